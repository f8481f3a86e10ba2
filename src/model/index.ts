// Core types: what the proxy talks about. Imports nothing from elsewhere.

export * from './ids.js'
export * from './position.js'
export * from './outcome.js'
export * from './statement.js'
export * from './manifest.js'
export * from './database.js'
export * from './peer.js'
