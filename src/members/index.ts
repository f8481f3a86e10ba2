// Who is in the fleet, and who carries which duty.

export * from './rendezvous.js'
export * from './membership.js'
export * from './abandoned.js'
export * from './registry.js'
