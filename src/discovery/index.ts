// Discovery of the servers that register themselves in the store.

export { withoutStart } from './cold.js'
export * from './servers.js'
