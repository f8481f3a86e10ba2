// Placement of dispatchers by capacity. Hosts may differ much in capacity, so servers
// are placed with weighted rendezvous hashing and a bound on the servers of each host.
// Every host computes the same placement from the same lists: it uses integers only,
// and takes servers in the order of their hashes.
//
// A host has one ticket for each server that its processor can dispatch for; the best
// of its tickets is its score for a server. A server goes to the host with the highest
// score that has room, in its own failure domain if a host responds there. The room of
// a host is its part of the servers by capacity and a quarter more, and at most what
// its processor can handle; so small hosts dispatch only where the large ones have no
// room left. Where no host has room, all rooms are doubled for the server. Rooms are
// computed from the listed hosts, whether they respond or not: a host that ends changes
// the room of no other one, so few other servers move.
//
// The placement applies once all listed hosts state that they know it. Before that,
// and where all hosts have the same capacity, servers are placed by rendezvous.ts.

import { nameHash, type DatabaseDeclaration, type FailureDomain, type HostName, type PeerFeature, type ServerName } from '../model/index.js'
import { capableMembers, dispatchersOf, rendezvousOrder, ticketScore, type Member } from './rendezvous.js'

/** Name of this placement among the features of a host. */
export const weightedPlacementFeature: PeerFeature = 'weightedPlacement'

/** What a placement is computed from. */
export type PlacementInput = {
  readonly databases: readonly DatabaseDeclaration[]
  readonly live: readonly Member[]
  readonly listed: readonly Member[]
}

type Assignment = ReadonlyMap<string, HostName>

/** Dispatchers of all servers. */
export type Placement =
  /** By rendezvous hashing among the capable members, without a bound. */
  | { readonly kind: 'unweighted', readonly input: PlacementInput }
  | { readonly kind: 'weighted', readonly input: PlacementInput, readonly assigned: Assignment }

/**
 * Capacity that the dispatcher of one server needs, in thousandths of a core.
 */
const serverMillicores = 300
const millicoresPerCore = 1000
/** Upper bound of a host's tickets; limits the time that a placement takes. */
const maxTickets = 16
/** The room of a host is its part of the servers times this fraction. */
const slack = { numerator: 5, denominator: 4 }
/** Number of hosts that accept statements for a server in an unweighted placement. */
const maxCandidates = 2

type Candidate = {
  readonly host: HostName
  /** Index among the live members. */
  readonly at: number
  readonly ticketHashes: readonly number[]
  readonly millicores: number
  /** Part of the servers by capacity, with the slack. */
  readonly part: number
}

/** A live member with its index. */
type IndexedMember = { readonly member: Member, readonly at: number }

type PlacedServer = { readonly key: string, readonly hash: number, readonly failureDomain: FailureDomain }

/** Candidates for some servers: the hosts of a failure domain, or of the fleet. */
type CandidateGroup = { readonly servers: readonly PlacedServer[], readonly candidates: readonly Candidate[] }

let latest: Placement = { kind: 'unweighted', input: { databases: [], live: [], listed: [] } }

/**
 * Places the dispatchers of all servers. The latest placement is kept, because several
 * components of a host ask for the same one.
 * @param input - databases and members
 * @returns the placement
 */
export function placeDispatchers (input: PlacementInput): Placement {
  const { databases, live, listed } = latest.input
  if (input.databases !== databases || input.live !== live || input.listed !== listed) latest = computePlacement(input)
  return latest
}

function computePlacement (input: PlacementInput): Placement {
  return isWeighted(input.listed) ? { kind: 'weighted', input, assigned: assign(input) } : { kind: 'unweighted', input }
}

/**
 * Finds the dispatchers of a database's servers.
 * @param placement - the placement
 * @param database - the database
 * @returns the dispatcher of each server; empty if no member is live
 */
export function placedDispatchers (placement: Placement, database: DatabaseDeclaration): ReadonlyMap<ServerName, HostName> {
  switch (placement.kind) {
    case 'unweighted': return dispatchersOf(database, placement.input.live)
    case 'weighted': return new Map(database.servers.flatMap(({ name }) => {
      const host = placement.assigned.get(serverKey(database.name, name))
      return host === undefined ? [] : [[name, host] as const]
    }))
  }
}

/**
 * Lists the hosts that accept statements for a server. The members that other hosts
 * regard as live may differ, so the host that would be next accepts them, too.
 * @param placement - the placement
 * @param database - the database
 * @param server - the server
 * @returns the dispatcher and the next host
 */
export function dispatcherCandidates (placement: Placement, database: DatabaseDeclaration, server: ServerName): readonly HostName[] {
  const current = placedDispatchers(placement, database).get(server)
  const dispatcher = current === undefined ? [] : [current]
  switch (placement.kind) {
    case 'unweighted': return [...dispatcher, ...firstByRendezvous(placement.input.listed, database, server)]
    case 'weighted': return [...dispatcher, ...dispatcher.flatMap(host => assignedWithout(placement, host).get(serverKey(database.name, server)) ?? [])]
  }
}

/**
 * Lists the hosts that are large enough to dispatch for a server in a weighted
 * placement. Every other host has to learn soon when one of them does not respond.
 * @param listed - all members of the host list
 * @returns the hosts; none in an unweighted placement
 */
export function dispatcherHosts<M extends Member> (listed: readonly M[]): readonly M[] {
  return isWeighted(listed) ? listed.filter(member => millicoresOf(member) >= serverMillicores) : []
}

function firstByRendezvous (listed: readonly Member[], database: DatabaseDeclaration, server: ServerName): readonly HostName[] {
  const failureDomain = database.servers.find(({ name }) => name === server)?.failureDomain
  const near = listed.filter(member => member.failureDomain === failureDomain)
  const names = capableMembers(near.length > 0 ? near : listed).map(({ host }) => host)
  return rendezvousOrder(serverKey(database.name, server), names).slice(0, maxCandidates)
}

const assignmentsWithout = new WeakMap<Placement, ReadonlyMap<HostName, Assignment>>()

// Kept with the placement: it is asked for with each statement for a server that has
// no dispatcher here.
function assignedWithout (placement: Placement, host: HostName): Assignment {
  const kept = assignmentsWithout.get(placement)
  const known = kept?.get(host)
  if (known !== undefined) return known
  const assigned = assign({ ...placement.input, live: placement.input.live.filter(member => member.host !== host) })
  assignmentsWithout.set(placement, new Map([...kept ?? [], [host, assigned]]))
  return assigned
}

// Equal hosts are placed as by earlier versions.
function isWeighted (listed: readonly Member[]): boolean {
  const first = listed[0]?.capacityCores
  return listed.every(member => member.capacityCores !== undefined && member.features?.includes(weightedPlacementFeature) === true) &&
    listed.some(member => member.capacityCores !== first)
}

function serverKey (database: string, server: ServerName): string {
  return `home/${database}/${server}`
}

function assign (input: PlacementInput): Assignment {
  const assigned = new Map<string, HostName>()
  const loads = input.live.map(() => 0)
  for (const { servers, candidates } of groupsOf(input)) {
    for (const server of servers) {
      const candidate = candidateWithRoom(server, candidates, loads)
      if (candidate === undefined) continue
      assigned.set(server.key, candidate.host)
      loads[candidate.at] = (loads[candidate.at] ?? 0) + 1
    }
  }
  return assigned
}

// The servers whose failure domain has no live host come last and may go anywhere.
function groupsOf ({ databases, live, listed }: PlacementInput): readonly CandidateGroup[] {
  const all = databases
    .flatMap(database => database.servers.map(({ name, failureDomain }): PlacedServer => ({ key: serverKey(database.name, name), hash: nameHash(serverKey(database.name, name)), failureDomain })))
    .sort((a, b) => a.hash - b.hash || (a.key < b.key ? -1 : 1))
  const indexed = live.map((member, at) => ({ member, at }))
  const domains = [...new Set(live.map(member => member.failureDomain))].sort()
  const local = domains.map((domain): CandidateGroup => {
    const servers = all.filter(server => server.failureDomain === domain)
    const inDomain = (member: Member): boolean => member.failureDomain === domain
    return { servers, candidates: candidatesOf(indexed.filter(({ member }) => inDomain(member)), listed.filter(inDomain), servers.length) }
  })
  const elsewhere = all.filter(server => !domains.includes(server.failureDomain))
  return elsewhere.length === 0 ? local : [...local, { servers: elsewhere, candidates: candidatesOf(indexed, listed, all.length) }]
}

function candidatesOf (live: readonly IndexedMember[], listed: readonly Member[], servers: number): readonly Candidate[] {
  const capacities = listed.map(millicoresOf)
  const able = capacities.filter(millicores => millicores >= serverMillicores)
  const total = (able.length > 0 ? able : capacities).reduce((sum, millicores) => sum + millicores, 0)
  return live.map(({ member, at }) => {
    const millicores = millicoresOf(member)
    const part = Math.ceil(servers * millicores * slack.numerator / (Math.max(1, total) * slack.denominator))
    return { host: member.host, at, millicores, part: Math.max(1, part), ticketHashes: ticketHashesOf(member.host, millicores) }
  })
}

// Multiplication and rounding give the same result on all processors, unlike
// logarithms, which weighted rendezvous hashing commonly uses.
function millicoresOf ({ capacityCores }: Member): number {
  return Math.max(1, Math.round((capacityCores ?? 0) * millicoresPerCore))
}

function ticketHashesOf (host: HostName, millicores: number): readonly number[] {
  const tickets = Math.min(maxTickets, Math.max(1, Math.floor(millicores / serverMillicores)))
  return Array.from({ length: tickets }, (_, at) => nameHash(at === 0 ? host : `${host}#${at}`))
}

function candidateWithRoom (server: PlacedServer, candidates: readonly Candidate[], loads: readonly number[]): Candidate | undefined {
  if (candidates.length === 0) return undefined
  for (let factor = 1; ; factor *= 2) {
    const best = highestWithRoom(server, candidates, loads, factor)
    if (best !== undefined) return best
  }
}

function highestWithRoom (server: PlacedServer, candidates: readonly Candidate[], loads: readonly number[], factor: number): Candidate | undefined {
  let best: Candidate | undefined
  let bestScore = -1
  for (const candidate of candidates) {
    if ((loads[candidate.at] ?? 0) >= roomOf(candidate, factor)) continue
    const score = scoreOf(server.hash, candidate.ticketHashes)
    if (score < bestScore || (score === bestScore && best !== undefined && best.host < candidate.host)) continue
    best = candidate
    bestScore = score
  }
  return best
}

function roomOf ({ millicores, part }: Candidate, factor: number): number {
  return Math.min(part * factor, Math.floor(millicores * factor / serverMillicores))
}

function scoreOf (serverHash: number, ticketHashes: readonly number[]): number {
  let highest = 0
  for (const hash of ticketHashes) highest = Math.max(highest, ticketScore(serverHash, hash))
  return highest
}
