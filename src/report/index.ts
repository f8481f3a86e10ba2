// What a host reports to operators: events, metrics, statistics of each client
// account, and the collected reports of a failure domain's hosts.

export * from './activity.js'
export * from './events.js'
export * from './report-collector.js'
export * from './line-budget.js'
export * from './log.js'
export * from './metrics.js'
