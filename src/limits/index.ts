// Limits: no account gets more than its rate and burst across all hosts.

export * from './limits.js'
export type { RecallAnswer } from './recall.js'
export * from './seats.js'
export { limitsTickMs, seatQuietMs } from './settings.js'
