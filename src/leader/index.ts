// The lease that elects the failover leader.

export * from './lease.js'
