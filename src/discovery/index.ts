// Who is there: servers that register themselves in the store.

export * from './servers.js'
