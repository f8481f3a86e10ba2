// Limits: no account gets more than its rate and burst across all hosts.

export * from './limits.js'
export * from './partitions.js'
export { limitsTickMs } from './settings.js'
