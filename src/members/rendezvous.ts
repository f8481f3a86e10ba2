// Rendezvous hashing: assigns dispatchers, coordinators and watchers to members.
// Every member computes the same order from the same view, so the assignment
// needs no election and no agreement. While two views differ, two members may
// hold the same assignment; see membership.ts for what protects against this.
//
// Each name is hashed by SHA-256 (model/name-hash.ts); the score of a pair mixes the two
// hashes with integer arithmetic, so ranking thousands of members for one key
// takes microseconds. Hashed member lists are cached by list object.
//
// Tasks for other hosts are assigned to the capable members only: those with at
// least half of the largest processor capacity. A fleet may consist of a few large
// hosts and many small ones, and a small one could not run the statements of a whole
// server. While the capacity of a member is not known, as in a fleet that is being
// upgraded, all members count as capable. Dispatchers are placed by placement.ts in
// fleets of unlike hosts.
//
// The key prefixes are part of the hash input: changing one moves the assignments.
// `home/`: dispatcher of a server, also used by placement.ts, where it has to be
// equal; `failover/`: rank of a database's dispatchers; `account/`: quota
// coordinator of an account; `watcher/`: watchers of a failure domain.

import { nameHash, type AccountName, type DatabaseDeclaration, type FailureDomain, type HostName, type ServerDeclaration, type ServerName } from '../model/index.js'

/** A proxy host with its address for other members. */
export type Member = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly ip: string
  readonly port: number
  /** Processor capacity in cores; undefined where the host does not state it. */
  readonly capacityCores?: number | undefined
  /** Optional parts of the protocol that the host states in its registration; see `PeerFeature`. */
  readonly features?: readonly string[] | undefined
}

/** Fraction of the largest capacity from which a member counts as capable. */
const minCapacityFraction = 0.5

/**
 * Selects the members that get tasks for other hosts.
 * @param members - the members among which the tasks are assigned
 * @returns the members with at least half of the largest capacity; all where one is
 *   not known
 */
export function capableMembers<M extends Member> (members: readonly M[]): readonly M[] {
  const capacities = members.map(({ capacityCores }) => capacityCores ?? NaN)
  const required = Math.max(0, ...capacities) * minCapacityFraction
  return Number.isNaN(required) ? members : members.filter((_, at) => (capacities[at] ?? 0) >= required)
}

type HashedName = { readonly name: string, readonly hash: number }

/** The capable members of the fleet, and of each failure domain. */
type MemberIndex = {
  readonly all: readonly HashedName[]
  readonly byDomain: ReadonlyMap<FailureDomain, readonly HashedName[]>
}

const indexes = new WeakMap<readonly Member[], MemberIndex>()

function hashed (name: string): HashedName {
  return { name, hash: nameHash(name) }
}

// Finalizer of MurmurHash3: each input bit changes half of the output bits on
// average.
function mix (value: number): number {
  let h = value
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b)
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35)
  return (h ^ (h >>> 16)) >>> 0
}

/**
 * Computes the rendezvous score of a pair.
 * @param keyHash - hash of the key
 * @param hostHash - hash of the host's name
 * @returns the score, a 32-bit unsigned integer
 */
export function ticketScore (keyHash: number, hostHash: number): number {
  return mix(Math.imul(keyHash, 31) ^ hostHash)
}

function ranksBefore (a: HashedName, b: HashedName, keyHash: number): boolean {
  const difference = ticketScore(keyHash, a.hash) - ticketScore(keyHash, b.hash)
  return difference > 0 || (difference === 0 && a.name < b.name)
}

function firstRanked (key: string, names: readonly HashedName[]): string | undefined {
  const keyHash = nameHash(key)
  let best: HashedName | undefined
  for (const name of names) {
    if (best === undefined || ranksBefore(name, best, keyHash)) best = name
  }
  return best?.name
}

function rankAll (key: string, names: readonly HashedName[]): readonly string[] {
  const keyHash = nameHash(key)
  return [...names].sort((a, b) => ranksBefore(a, b, keyHash) ? -1 : 1).map(hash => hash.name)
}

function memberIndexOf (members: readonly Member[]): MemberIndex {
  const cached = indexes.get(members)
  if (cached !== undefined) return cached
  const names = new Map(members.map(({ host }) => [host, hashed(host)]))
  const hashedNames = (list: readonly Member[]): readonly HashedName[] => capableMembers(list).flatMap(({ host }) => names.get(host) ?? [])
  const domains = [...new Set(members.map(member => member.failureDomain))]
  const byDomain = new Map(domains.map(domain => [domain, hashedNames(members.filter(member => member.failureDomain === domain))]))
  const index = { all: hashedNames(members), byDomain }
  indexes.set(members, index)
  return index
}

/**
 * Orders names by their rendezvous score for a key.
 * @param key - key of the assignment
 * @param names - names of the candidates
 * @returns all names, the preferred one first
 */
export function rendezvousOrder (key: string, names: readonly string[]): readonly string[] {
  return rankAll(key, names.map(hashed))
}

function dispatcherOf (database: DatabaseDeclaration, server: ServerDeclaration, index: MemberIndex): HostName | undefined {
  const local = index.byDomain.get(server.failureDomain)
  return firstRanked(`home/${database.name}/${server.name}`, local ?? index.all)
}

/**
 * Assigns a dispatcher to each server of a database: the first-ranked live
 * member in the server's failure domain, or of all live members if that domain
 * has none.
 * @param database - the database
 * @param members - the live members
 * @returns the dispatcher of each server; empty if no member is live
 */
export function dispatchersOf (database: DatabaseDeclaration, members: readonly Member[]): ReadonlyMap<ServerName, HostName> {
  const index = memberIndexOf(members)
  const dispatchers = new Map<ServerName, HostName>()
  for (const server of database.servers) {
    const dispatcher = dispatcherOf(database, server, index)
    if (dispatcher !== undefined) dispatchers.set(server.name, dispatcher)
  }
  return dispatchers
}

/**
 * Ranks the dispatchers of a database for failover.
 * @param database - the database
 * @param members - the live members
 * @returns each dispatcher once; the first starts a failover without delay, each
 *   later one after a longer delay
 */
export function dispatcherRanks (database: DatabaseDeclaration, members: readonly Member[]): readonly HostName[] {
  return rankDispatchers(database, dispatchersOf(database, members))
}

/**
 * Ranks given dispatchers of a database for failover.
 * @param database - the database
 * @param dispatchers - the dispatcher of each server
 * @returns each dispatcher once, in the order of `dispatcherRanks`
 */
export function rankDispatchers (database: DatabaseDeclaration, dispatchers: ReadonlyMap<ServerName, HostName>): readonly HostName[] {
  return rendezvousOrder(`failover/${database.name}`, [...new Set(dispatchers.values())])
}

/**
 * Assigns the quota coordinator of a client account, the member that lends the
 * account's unused quota.
 * @param account - the client account
 * @param members - the live members
 * @returns the coordinator; undefined if no member is live
 */
export function quotaCoordinator (account: AccountName, members: readonly Member[]): HostName | undefined {
  return firstRanked(`account/${account}`, memberIndexOf(members).all)
}

/**
 * Selects the members that watch the platform's store for their failure domain.
 * @param members - the members
 * @param perDomain - number of watchers in each failure domain
 * @returns the watchers of all failure domains, ordered by name
 */
export function watchersOf (members: readonly Member[], perDomain: number): readonly HostName[] {
  const { byDomain } = memberIndexOf(members)
  return [...byDomain]
    .flatMap(([domain, names]) => rankAll(`watcher/${domain}`, names).slice(0, perDomain))
    .sort()
}

/**
 * Selects the peers that a member of a large fleet observes: those 1, 2, 4, 8
 * ... places away in both directions on a ring in the order of hashed names. The
 * relation is symmetric, and any two members are O(log n) hops apart.
 * @param self - the member
 * @param others - the names of the other members
 * @returns the peers
 */
export function ringNeighbours (self: HostName, others: readonly HostName[]): readonly HostName[] {
  const ring = [self, ...others].map(hashed).sort((a, b) => a.hash - b.hash || (a.name < b.name ? -1 : 1))
  const at = ring.findIndex(({ name }) => name === self)
  const neighbours = new Set<HostName>()
  for (let distance = 1; distance < ring.length; distance *= 2) {
    neighbours.add((ring[(at + distance) % ring.length] as HashedName).name)
    neighbours.add((ring[(at + ring.length - distance) % ring.length] as HashedName).name)
  }
  return [...neighbours].filter(name => name !== self)
}
