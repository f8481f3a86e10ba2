// Duties that one host at a time may carry.

export * from './lease.js'
