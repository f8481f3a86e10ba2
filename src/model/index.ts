// Core types of the domain. This folder imports from no other folder.

export * from './ids.js'
export * from './position.js'
export * from './outcome.js'
export * from './statement.js'
export * from './manifest.js'
export * from './database.js'
export * from './execution-mode.js'
export * from './peer.js'
export * from './name-hash.js'
