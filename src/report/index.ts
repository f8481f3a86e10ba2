// What a host tells its operators: events, metrics, figures of each client
// account, and the gathered reports.

export * from './events.js'
export * from './gather.js'
export * from './line-budget.js'
export * from './log.js'
export * from './metrics.js'
