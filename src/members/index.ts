// Membership of the fleet, and the assignment of work to members.

export * from './rendezvous.js'
export * from './placement.js'
export * from './membership.js'
export { gossipEntries } from './gossip.js'
export * from './registry.js'
