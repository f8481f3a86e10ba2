// Rendezvous hashing: which member carries which duty. Every member computes
// the same order from the same view, so nobody is elected and nothing is
// agreed; two views that differ give two holders of a duty for a while, and
// every duty is built so that this is safe.
//
// Each name is hashed once by SHA-256; the score of a pair mixes the two
// hashes with integer arithmetic, so ranking thousands of members for one key
// costs microseconds. Hashed member lists are kept per list object.

import { createHash } from 'node:crypto'
import type { AccountName, DatabaseDeclaration, FailureDomain, HostName, ServerDeclaration, ServerName } from '../model/index.js'

/** A proxy host as the other members know it. */
export type Member = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly ip: string
  readonly port: number
}

type HashedName = { readonly name: string, readonly hash: number }

type MemberIndex = {
  readonly all: readonly HashedName[]
  readonly byDomain: ReadonlyMap<FailureDomain, readonly HashedName[]>
}

const indexes = new WeakMap<readonly Member[], MemberIndex>()

function hashOf (name: string): number {
  return createHash('sha256').update(name).digest().readUInt32LE(0)
}

function hashed (name: string): HashedName {
  return { name, hash: hashOf(name) }
}

// The finalizer of MurmurHash3: every input bit changes half of the output bits.
function mix (value: number): number {
  let h = value
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b)
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35)
  return (h ^ (h >>> 16)) >>> 0
}

function score (keyHash: number, name: HashedName): number {
  return mix(Math.imul(keyHash, 31) ^ name.hash)
}

function ranksBefore (a: HashedName, b: HashedName, keyHash: number): boolean {
  const difference = score(keyHash, a) - score(keyHash, b)
  return difference > 0 || (difference === 0 && a.name < b.name)
}

function first (key: string, names: readonly HashedName[]): string | undefined {
  const keyHash = hashOf(key)
  let best: HashedName | undefined
  for (const name of names) {
    if (best === undefined || ranksBefore(name, best, keyHash)) best = name
  }
  return best?.name
}

function ordered (key: string, names: readonly HashedName[]): readonly string[] {
  const keyHash = hashOf(key)
  return [...names].sort((a, b) => ranksBefore(a, b, keyHash) ? -1 : 1).map(hash => hash.name)
}

function indexOf (members: readonly Member[]): MemberIndex {
  const known = indexes.get(members)
  if (known !== undefined) return known
  const byDomain = new Map<FailureDomain, HashedName[]>()
  const all = members.map(member => hashed(member.host))
  members.forEach((member, at) => {
    const domain = byDomain.get(member.failureDomain) ?? []
    domain.push(all[at] as HashedName)
    byDomain.set(member.failureDomain, domain)
  })
  const index = { all, byDomain }
  indexes.set(members, index)
  return index
}

/**
 * Orders names by their rendezvous score for a key.
 * @param key - what is to be placed
 * @param names - who may carry it
 * @returns all names, the first choice first
 */
export function rendezvousOrder (key: string, names: readonly string[]): readonly string[] {
  return ordered(key, names.map(hashed))
}

function homeOf (database: DatabaseDeclaration, server: ServerDeclaration, index: MemberIndex): HostName | undefined {
  const near = index.byDomain.get(server.failureDomain)
  return first(`home/${database.name}/${server.name}`, near ?? index.all)
}

/**
 * Places the home of each server of a database: the first live member in the
 * server's failure domain, or of all live members where that has none.
 * @param database - the database
 * @param members - the live members
 * @returns the home of each server; empty where nobody is live
 */
export function dispatchersOf (database: DatabaseDeclaration, members: readonly Member[]): ReadonlyMap<ServerName, HostName> {
  const index = indexOf(members)
  const homes = new Map<ServerName, HostName>()
  for (const server of database.servers) {
    const home = homeOf(database, server, index)
    if (home !== undefined) homes.set(server.name, home)
  }
  return homes
}

/**
 * Orders the homes of a database for its failover duty.
 * @param database - the database
 * @param members - the live members
 * @returns each home once; the first acts first, later ones after a delay each
 */
export function dispatcherRanks (database: DatabaseDeclaration, members: readonly Member[]): readonly HostName[] {
  const homes = new Set(dispatchersOf(database, members).values())
  return rendezvousOrder(`failover/${database.name}`, [...homes])
}

/**
 * Places the home of a client account: who lends its unused share.
 * @param account - the client account
 * @param members - the live members
 * @returns the home; undefined where nobody is live
 */
export function quotaCoordinator (account: AccountName, members: readonly Member[]): HostName | undefined {
  return first(`account/${account}`, indexOf(members).all)
}

/**
 * Picks the members that watch the platform's store for their failure domain.
 * @param members - the members
 * @param perDomain - how many in each failure domain
 * @returns the watchers of all failure domains, in the order of their names
 */
export function watchersOf (members: readonly Member[], perDomain: number): readonly HostName[] {
  const { byDomain } = indexOf(members)
  return [...byDomain]
    .flatMap(([domain, names]) => ordered(`watcher/${domain}`, names).slice(0, perDomain))
    .sort()
}

/**
 * Picks the peers that a member of a large fleet observes: those 1, 2, 4, 8
 * ... places away, either way, on a ring in the order of hashed names. The
 * relation is mutual, and any two members are few steps apart.
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
