// Failover: which server of a database leads, and how another one takes over.

export * from './settings.js'
export * from './group-view.js'
export * from './health.js'
export * from './proposal.js'
export * from './judge.js'
export * from './follow.js'
export * from './state.js'
export * from './failover.js'
