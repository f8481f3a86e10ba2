// Limits: no account gets more than its rate and burst across all hosts.

export * from './limits.js'
export * from './seats.js'
export { limitsTickMs } from './settings.js'
