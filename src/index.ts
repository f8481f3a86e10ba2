// The library: the decision parts of limpetmoor with their types. None of them
// opens a socket, reads a clock or draws a random number; whoever embeds one
// gives it events and carries out its effects. The daemon in src/daemon is one
// such embedder.

export * from './model/index.js'
export * from './pipe/index.js'
export * as request from './request/index.js'
export * as home from './dispatch/index.js'
export * as failover from './failover/index.js'
export * as members from './members/index.js'
export * as limits from './limits/index.js'
export * as duty from './leader/index.js'
export * as discovery from './discovery/index.js'
export * as config from './config/index.js'
