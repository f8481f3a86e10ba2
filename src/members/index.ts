// Who is in the fleet, and who carries which duty.

export * from './rendezvous.js'
export * from './membership.js'
export * from './registry.js'
