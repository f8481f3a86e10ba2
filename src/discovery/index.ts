// Discovery of the servers that register themselves in the store.

export * from './servers.js'
