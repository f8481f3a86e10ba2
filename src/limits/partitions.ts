// Quota partitions. Every limit is divided into the same number of partitions. A
// partition has at most one owner at a time: one host in one incarnation,
// recorded in a table in the platform's store that changes only by conditional
// update. Partitions are distributed about evenly over the hosts; a host keeps some
// more than its even count, so that a host that joins moves few of them: a partition
// that moves is unused during the handover delay. Only the capable hosts own
// partitions (members/rendezvous), so few hosts lend. A host chooses partitions of
// different accounts, so that it needs to borrow for few. An owner stops using
// a partition before it writes the release. The next owner does not use the
// partition during the handover delay, in which the loans of the previous owner
// expire. Partitions of a host that is missing from the platform's list are
// reclaimed after a margin. During a store outage the table can't change, and
// every host keeps the partitions that it owns.
//
// A process that acquires the partitions of the previous process on its host
// counts the handover delay from its own start, because the previous process has
// lent nothing since then. The delay ends early once every listed host has given up
// the loans of the previous process (`resetLoans` in limits.ts).
//
// A write whose answer was lost may take effect late. A partition that was to be
// released is therefore not used again until the table has a newer version.
//
// How limits are divided into partitions, and partitions into tables: division.ts.

import type { HostName } from '../model/index.js'
import { capableMembers, type ListedHost } from '../members/index.js'
import type { Transition } from '../pipe/index.js'
import { partitionRange, spreadOverAccounts, type PartitionRange } from './division.js'

/** Owner of a quota partition. */
export type PartitionOwner = {
  readonly host: HostName
  readonly incarnation: string
}

/** Partition table as kept in the store; null marks an unowned partition. */
export type PartitionTable = {
  /** Owner of each partition; `seats` is the name of the stored field. */
  readonly seats: ReadonlyArray<PartitionOwner | null>
}

/** Partitions that a host keeps above its even count. */
const keptAboveEven = 2
/** Absence from the platform's list after which a host's partitions are reclaimed. */
const absenceMarginMs = 15_000
/** Time between two reads of a table. */
const readPeriodMs = 5000
/** The same for a host that owns none and knows the owners. */
const distantReadPeriodMs = 60_000
/**
 * Minimum time between two reads, per host that owns partitions, so that the rate
 * of reads does not grow with the fleet.
 */
const readPeriodPerHostMs = 50

/** Input of a plan besides the table. */
export type PartitionView = {
  readonly self: PartitionOwner
  /** Hosts that the partitions are distributed over; without the local host while it stops. */
  readonly sharingHosts: readonly HostName[]
  /** Whether a host's partitions are to be reclaimed. */
  readonly isRemoved: (host: HostName) => boolean
}

/** Changes of a table, by partition index within the table. */
export type PartitionPlan = {
  /** Own partitions above the even count and `keptAboveEven`. */
  readonly release: readonly number[]
  /**
   * Partitions to acquire: unowned ones, those of removed hosts, and those of
   * an earlier incarnation of this host.
   */
  readonly acquire: readonly number[]
  /** Partitions of removed hosts that become unowned. */
  readonly reclaim: readonly number[]
}

/**
 * Plans a host's changes of its table.
 * @param table - the table
 * @param view - the host's view of the fleet
 * @returns the changes; all empty if none is needed
 */
export function planPartitions (table: PartitionTable, view: PartitionView): PartitionPlan {
  const { self } = view
  const all = table.seats.map((owner, partition) => ({ owner, partition }))
  const inSpreadOrder = (some: typeof all, known: typeof all): typeof all => {
    const order = spreadOverAccounts(some.map(({ partition }) => partition), known.map(({ partition }) => partition), all.length)
    return order.flatMap(partition => all[partition] ?? [])
  }
  const owned = inSpreadOrder(all.filter(({ owner }) => owner?.host === self.host), [])
  const ofRemovedHosts = all.filter(({ owner }) => owner !== null && owner.host !== self.host && view.isRemoved(owner.host))
  const dueCount = evenCount(self.host, view.sharingHosts, table.seats.length)
  const kept = owned.slice(0, view.sharingHosts.includes(self.host) ? dueCount + keptAboveEven : 0)
  const ofEarlierIncarnation = kept.filter(({ owner }) => owner?.incarnation !== self.incarnation)
  const unowned = inSpreadOrder(all.filter(({ owner }) => owner === null), kept).concat(inSpreadOrder(ofRemovedHosts, kept))
  const acquired = unowned.slice(0, Math.max(0, dueCount - kept.length))
  return {
    release: owned.slice(kept.length).map(({ partition }) => partition),
    acquire: [...ofEarlierIncarnation, ...acquired].map(({ partition }) => partition),
    reclaim: ofRemovedHosts.filter(({ partition }) => !acquired.some(other => other.partition === partition)).map(({ partition }) => partition)
  }
}

function evenCount (host: HostName, sharingHosts: readonly HostName[], partitionCount: number): number {
  const rank = [...sharingHosts].sort().indexOf(host)
  if (rank < 0) return 0
  return Math.floor(partitionCount / sharingHosts.length) + (rank < partitionCount % sharingHosts.length ? 1 : 0)
}

/**
 * Applies a plan to a table.
 * @param table - the table
 * @param plan - the changes
 * @param self - the owner of the acquired partitions
 * @returns the changed table
 */
export function applyPlan (table: PartitionTable, plan: PartitionPlan, self: PartitionOwner): PartitionTable {
  const unowned = new Set([...plan.release, ...plan.reclaim])
  const acquired = new Set(plan.acquire)
  return {
    seats: table.seats.map((owner, partition) => {
      if (acquired.has(partition)) return self
      return unowned.has(partition) ? null : owner
    })
  }
}

/** State of a host's quota partitions. */
export type PartitionsState = {
  readonly self: PartitionOwner
  readonly partitionCount: number
  readonly hosts: readonly ListedHost[]
  /** Range of this host, computed from the live hosts. */
  readonly range: PartitionRange
  /** Partition owners that are missing from the host list, with the time since when. */
  readonly absentSinceMs: ReadonlyMap<HostName, number>
  readonly hostsListedMs: number | undefined
  readonly stopping: boolean
  readonly table: PartitionTable | undefined
  /** Store version of `table`; -1 before the first read, 0 if the store has no table. */
  readonly version: number
  /** Own partitions that the previous process on this host owned. */
  readonly reacquired: ReadonlySet<number>
  /** Partitions released by a write based on `version`; not used until a newer version. */
  readonly releasing: { readonly partitions: ReadonlySet<number>, readonly version: number }
  readonly isWriting: boolean
  /** Send time of the read in progress. */
  readonly readSentMs: number | undefined
  /** Whether a write ended during a read, whose result may not include it. */
  readonly mustReadAgain: boolean
  /** Send time of the read that returned `table`. */
  readonly tableReadSentMs: number
  readonly nextReadMs: number
}

/** Events of the quota partitions. */
export type PartitionsEvent =
  | { readonly kind: 'manifestApplied', readonly partitionCount: number, readonly nowMs: number }
  | { readonly kind: 'hostsListed', readonly hosts: readonly ListedHost[], readonly nowMs: number }
  /** Result of a read; version 0 if the table does not exist yet. */
  | { readonly kind: 'tableRead', readonly table: PartitionTable | undefined, readonly version: number, readonly nowMs: number }
  /** A write took effect; the store has the written table under the version now. */
  | { readonly kind: 'written', readonly table: PartitionTable, readonly version: number, readonly sentMs: number }
  /** A write was rejected or has an unknown result; the table is read again. */
  | { readonly kind: 'writeEnded', readonly nowMs: number }
  | { readonly kind: 'readFailed', readonly nowMs: number }
  | { readonly kind: 'stopping', readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of the quota partitions, to be performed in order. */
export type PartitionsEffect =
  /**
   * Partitions that this host owns and is not releasing, and the owners of all
   * partitions in its table. Also sent without a change, for example after a
   * read of the table.
   */
  | { readonly kind: 'partitionsChanged', readonly owned: readonly number[], readonly reacquired: ReadonlySet<number>, readonly owners: ReadonlyMap<number, HostName>, readonly tableReadSentMs: number }
  /** `hosts`: number of hosts that own partitions of the table. */
  | { readonly kind: 'readTable', readonly table: string, readonly hosts: number }
  | { readonly kind: 'writeTable', readonly table: string, readonly value: PartitionTable, readonly version: number }

/**
 * Creates the state of a host that has just started and owns no partition.
 * @param self - the host and its incarnation
 * @returns the state
 */
export function initialPartitions (self: PartitionOwner): PartitionsState {
  return {
    self,
    partitionCount: 0,
    hosts: [],
    range: partitionRange(self.host, [], 0),
    absentSinceMs: new Map(),
    hostsListedMs: undefined,
    stopping: false,
    table: undefined,
    version: -1,
    reacquired: new Set(),
    releasing: { partitions: new Set(), version: -1 },
    isWriting: false,
    readSentMs: undefined,
    mustReadAgain: false,
    tableReadSentMs: -Infinity,
    nextReadMs: 0
  }
}

/**
 * Handles one event.
 * @param state - the state
 * @param event - the event
 * @returns the new state and the effects
 */
export function partitionsStep (state: PartitionsState, event: PartitionsEvent): Transition<PartitionsState, PartitionsEffect> {
  switch (event.kind) {
    case 'manifestApplied': return updateTable(withRange({ ...state, partitionCount: event.partitionCount }))
    case 'hostsListed': return updateTable(withHosts(state, event.hosts, event.nowMs))
    case 'tableRead': return tableRead(state, event.table, event.version, event.nowMs)
    case 'written': return written(state, event.table, event.version, event.sentMs)
    case 'writeEnded': return startRead({ ...state, isWriting: false }, event.nowMs)
    case 'readFailed': return repeatRead({ ...state, readSentMs: undefined }, event.nowMs)
    case 'stopping': return updateTable({ ...state, stopping: true })
    case 'tick': return event.nowMs < state.nextReadMs || state.isWriting || state.readSentMs !== undefined ? { state, effects: [] } : startRead(state, event.nowMs)
  }
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the state
 * @returns monotonic time; Infinity while a read or a write is in progress
 */
export function partitionsDueAtMs (state: PartitionsState): number {
  return state.isWriting || state.readSentMs !== undefined || state.partitionCount === 0 ? Infinity : state.nextReadMs
}

function startRead (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  const periodMs = sharesPartitions(state) || !knowsOwners(state) ? Math.max(readPeriodMs, state.range.hosts.length * readPeriodPerHostMs) : distantReadPeriodMs
  if (state.partitionCount === 0) return { state, effects: [] }
  if (state.readSentMs !== undefined) return { state: { ...state, mustReadAgain: true }, effects: [] }
  return { state: { ...state, nextReadMs: nowMs + periodMs, readSentMs: nowMs, mustReadAgain: false }, effects: [{ kind: 'readTable', table: state.range.table, hosts: state.range.hosts.length }] }
}

// While no owner is known, a host can't tell that it is to delegate admissions.
function knowsOwners ({ table }: PartitionsState): boolean {
  return table?.seats.some(owner => owner !== null) === true
}

function repeatRead (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  return state.mustReadAgain ? startRead(state, nowMs) : { state, effects: [] }
}

function withHosts (state: PartitionsState, hosts: readonly ListedHost[], nowMs: number): PartitionsState {
  const listed = { ...state, hosts, hostsListedMs: nowMs, ...absenceTimes(state, hosts, nowMs) }
  const isSame = hosts.length === state.hosts.length && hosts.every((host, at) => isSameSharer(host, state.hosts[at]))
  if (isSame) return listed
  const ranged = withRange(listed)
  return !sharesPartitions(state) && sharesPartitions(ranged) ? { ...ranged, nextReadMs: Math.min(ranged.nextReadMs, nowMs) } : ranged
}

// A host that begins to share the partitions reads the table at once: the others
// release some for it, which the table that it knows does not show. A host that read
// the table before it was listed would otherwise wait for `distantReadPeriodMs`.
function sharesPartitions ({ range, self }: PartitionsState): boolean {
  return range.hosts.includes(self.host)
}

function isSameSharer (a: ListedHost, b: ListedHost | undefined): boolean {
  return a.host === b?.host && a.state === b.state && a.capacityCores === b.capacityCores
}

function withRange (state: PartitionsState): PartitionsState {
  const live = capableMembers(state.hosts.filter(host => host.state === 'live')).map(({ host }) => host)
  return { ...state, range: partitionRange(state.self.host, live, state.partitionCount) }
}

function absenceTimes (state: PartitionsState, hosts: readonly ListedHost[], nowMs: number): Pick<PartitionsState, 'absentSinceMs'> {
  const listed = new Set(hosts.map(({ host }) => host))
  const owners = new Set((state.table?.seats ?? []).flatMap(owner => owner === null ? [] : [owner.host]))
  const missing = [...owners].filter(host => !listed.has(host))
  return { absentSinceMs: new Map(missing.map(host => [host, state.absentSinceMs.get(host) ?? nowMs])) }
}

function tableRead (state: PartitionsState, table: PartitionTable | undefined, version: number, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  const readEnded = { ...state, readSentMs: undefined }
  if (version < state.version || state.mustReadAgain) return repeatRead(readEnded, nowMs)
  const releasing = version > state.releasing.version ? { partitions: new Set<number>(), version } : state.releasing
  const tableReadSentMs = state.readSentMs ?? state.tableReadSentMs
  const known = { ...readEnded, table: table ?? { seats: [] }, version, releasing, tableReadSentMs }
  return updateTable({ ...known, ...(known.hostsListedMs === undefined ? {} : absenceTimes(known, known.hosts, nowMs)) })
}

function written (state: PartitionsState, table: PartitionTable, version: number, sentMs: number): Transition<PartitionsState, PartitionsEffect> {
  // A read that is in progress may have been answered before the write.
  const ended = { ...state, isWriting: false, mustReadAgain: state.readSentMs !== undefined }
  if (version <= state.version) return { state: ended, effects: [] }
  return updateTable({ ...ended, table, version, releasing: { partitions: new Set(), version }, tableReadSentMs: sentMs })
}

function updateTable (state: PartitionsState): Transition<PartitionsState, PartitionsEffect> {
  if (state.table === undefined || state.partitionCount === 0) return { state, effects: [] }
  if (state.isWriting || state.hostsListedMs === undefined) return { state, effects: [partitionsChanged(state)] }
  const { range } = state
  const table = resized(state.table, range.size)
  const sharingHosts = state.stopping ? range.hosts.filter(host => host !== state.self.host) : range.hosts
  const { hostsListedMs } = state
  // Absence is measured between two host lists, because an old list contains no
  // information about later times.
  const isRemoved = (host: HostName): boolean => hostsListedMs - (state.absentSinceMs.get(host) ?? hostsListedMs) >= absenceMarginMs
  const changes = planPartitions(table, { self: state.self, sharingHosts, isRemoved })
  // A release may be pending although the plan now keeps the partition. The table
  // is then written without changes: the newer version makes the store reject a
  // release write that arrives late.
  const isReleasing = state.releasing.partitions.size > 0 && state.releasing.version === state.version
  const isEmpty = changes.release.length + changes.acquire.length + changes.reclaim.length === 0 && !isReleasing
  if (isEmpty) return { state, effects: [partitionsChanged(state)] }
  const releasing = { partitions: new Set([...state.releasing.partitions, ...changes.release]), version: state.version }
  const next = { ...state, releasing, reacquired: reacquiredPartitions(state, table, changes), isWriting: true }
  const value = applyPlan(table, changes, state.self)
  return { state: next, effects: [partitionsChanged(next), { kind: 'writeTable', table: range.table, value, version: state.version }] }
}

// Converts indexes within the table to partition numbers.
function reacquiredPartitions (state: PartitionsState, table: PartitionTable, { acquire, release }: PartitionPlan): ReadonlySet<number> {
  const numberOf = (partition: number): number => state.range.firstPartition + partition
  const changed = new Set([...acquire, ...release].map(numberOf))
  const kept = [...state.reacquired].filter(partition => !changed.has(partition))
  return new Set([...kept, ...acquire.filter(partition => table.seats[partition]?.host === state.self.host).map(numberOf)])
}

function resized (table: PartitionTable, size: number): PartitionTable {
  return { seats: Array.from({ length: size }, (_, partition) => table.seats[partition] ?? null) }
}

function partitionsChanged (state: PartitionsState): PartitionsEffect {
  const { firstPartition, size } = state.range
  const owners = new Map<number, HostName>()
  const owned: number[] = []
  for (const [at, owner] of (state.table?.seats ?? []).slice(0, size).entries()) {
    if (owner === null) continue
    owners.set(firstPartition + at, owner.host)
    const isOwned = owner.host === state.self.host && owner.incarnation === state.self.incarnation
    if (isOwned && !state.releasing.partitions.has(at)) owned.push(firstPartition + at)
  }
  return { kind: 'partitionsChanged', owned, reacquired: state.reacquired, owners, tableReadSentMs: state.tableReadSentMs }
}
