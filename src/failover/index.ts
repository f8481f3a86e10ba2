// Failover: detecting that the primary of a database has failed, and promoting another server.

export * from './settings.js'
export * from './group-view.js'
export * from './health.js'
export * from './proposal.js'
export * from './promotion-policy.js'
export * from './follow.js'
export * from './state.js'
export * from './failover.js'
