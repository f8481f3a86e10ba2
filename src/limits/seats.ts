// Seats. Every limit is divided by the number of seats, and a seat has one
// holder at a time: one host in one incarnation, recorded in a table in the
// platform's store that is changed by conditional update only. Hosts share
// the seats evenly. A holder stops using a seat before it writes that the
// seat is free; who takes it leaves it unused for a quiet time, in which the
// loans of the holder before run out. Seats of a host that the platform's
// list dropped are freed after a margin; during a store outage nobody can
// change the table, and everybody goes on with the seats it has.
//
// A process that takes over the seats of the one before it on its host counts
// the quiet time from its own start: the one before has lent nothing since.
//
// A write whose answer was lost may take effect late. A seat that was to be
// released is therefore not used again before the table has a newer version.
//
// Above `seatsPerTable` seats there are several tables, and each host belongs
// to one, so that hosts rarely conflict and read little. An account with a
// low rate then lives on a few seats only, spread evenly.

import { createHash } from 'node:crypto'
import type { AccountName, HostName } from '../model/index.js'
import type { ListedHost } from '../members/index.js'
import type { Transition } from '../pipe/index.js'

/** Who holds a seat. */
export type SeatHolder = {
  readonly host: HostName
  readonly incarnation: string
}

/** A table of seats as the store keeps it; null: free. */
export type SeatTable = {
  readonly seats: ReadonlyArray<SeatHolder | null>
}

/** Where a host's seats stand. */
export type SeatRange = {
  /** Name of the object in the store. */
  readonly table: string
  readonly firstSeat: number
  readonly size: number
  /** The hosts that share this table. */
  readonly hosts: readonly HostName[]
}

/** Seats in one table at most. */
const maxPartitionsPerTable = 256
/** Seats of an account at least: its home collects from few holders, and one of them may be lost. */
const minPartitionsPerAccount = 8
/** An account gets more seats where one would carry more than this. */
const maxRatePerPartitionPerS = 50
/** Absence from the platform's list after which seats are freed. */
const absenceMarginMs = 15_000
/** Time between two reads of a table. */
const readPeriodMs = 5000
/** The same for each host in a large fleet, so that reads do not grow with it. */
const readPeriodPerHostMs = 50

/**
 * Finds the table of a host.
 * @param host - the host
 * @param hosts - all live hosts of the platform's list
 * @param partitionCount - number of seats of the manifest
 * @returns the range of seats that it shares with some of the hosts
 */
export function seatRange (host: HostName, hosts: readonly HostName[], partitionCount: number): SeatRange {
  const tables = Math.ceil(partitionCount / maxPartitionsPerTable)
  if (tables <= 1) return { table: 'table', firstSeat: 0, size: partitionCount, hosts }
  const at = hashOf(host) % tables
  const firstSeat = Math.floor(partitionCount * at / tables)
  const size = Math.floor(partitionCount * (at + 1) / tables) - firstSeat
  return { table: `table-${at}`, firstSeat, size, hosts: hosts.filter(other => hashOf(other) % tables === at) }
}

/**
 * Tells which part of an account's limit goes with a seat.
 * @param account - the account
 * @param ratePerS - its rate
 * @param partition - the seat
 * @param partitionCount - number of seats of the manifest
 * @returns the part; 0 for a seat that the account does not use
 */
export function seatFraction (account: AccountName, ratePerS: number, partition: number, partitionCount: number): number {
  if (partition >= partitionCount) return 0
  const stride = partitionStride(ratePerS, partitionCount)
  const offset = hashOf(account) % stride
  return partition % stride === offset ? 1 / Math.ceil((partitionCount - offset) / stride) : 0
}

/**
 * Tells whether an account's division among seats is the same for two
 * manifests.
 * @param before - rate and seats of one
 * @param after - rate and seats of the other
 * @returns true where every seat carries the same part
 */
export function isSameDivision (before: Division, after: Division): boolean {
  return before.partitionCount === after.partitionCount && partitionStride(before.ratePerS, before.partitionCount) === partitionStride(after.ratePerS, after.partitionCount)
}

/** What the division of an account's limit depends on. */
export type Division = { readonly ratePerS: number, readonly partitionCount: number }

function partitionStride (ratePerS: number, partitionCount: number): number {
  const isOneTable = partitionCount <= maxPartitionsPerTable
  const minPartitions = isOneTable ? minPartitionsPerAccount : Math.max(minPartitionsPerAccount, Math.ceil(ratePerS / maxRatePerPartitionPerS))
  // Powers of two, so that a change of the rate rarely changes the division.
  return 2 ** Math.max(0, Math.floor(Math.log2(partitionCount / minPartitions)))
}

/**
 * Tells with which of its owners an account's home begins to collect.
 * @param account - the account
 * @param ownerCount - how many there are
 * @returns an index
 */
export function firstOwner (account: AccountName, ownerCount: number): number {
  return ownerCount === 0 ? 0 : hashOf(account) % ownerCount
}

function hashOf (name: string): number {
  return createHash('sha256').update(name).digest().readUInt32LE(0)
}

/** What a plan depends on, besides the table. */
export type PartitionView = {
  readonly self: SeatHolder
  /** Hosts that are to share the seats; without the own one where it stops. */
  readonly sharingHosts: readonly HostName[]
  /** Hosts whose seats are to be freed. */
  readonly isRemoved: (host: HostName) => boolean
}

/** Changes of a table; the numbers count within it. */
export type PartitionPlan = {
  /** Own seats above the even share. */
  readonly release: readonly number[]
  /** Free seats, or own ones of an earlier incarnation, to be held. */
  readonly acquire: readonly number[]
  /** Seats of hosts that are gone. */
  readonly reclaim: readonly number[]
}

/**
 * Plans what a host changes in its table.
 * @param table - the table
 * @param view - what the host knows
 * @returns the changes; all empty where the table is as it should be
 */
export function planPartitions (table: SeatTable, view: PartitionView): PartitionPlan {
  const { self } = view
  const all = table.seats.map((owner, partition) => ({ owner, partition }))
  const owned = all.filter(({ owner }) => owner?.host === self.host)
  const ofRemovedHosts = all.filter(({ owner }) => owner !== null && owner.host !== self.host && view.isRemoved(owner.host))
  const dueCount = evenCount(self.host, view.sharingHosts, table.seats.length)
  const kept = owned.slice(0, dueCount)
  const ofEarlierIncarnation = kept.filter(({ owner }) => owner?.incarnation !== self.incarnation)
  const unowned = all.filter(({ owner }) => owner === null).concat(ofRemovedHosts)
  const acquired = unowned.slice(0, dueCount - kept.length)
  return {
    release: owned.slice(dueCount).map(({ partition }) => partition),
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
 * Carries a plan out.
 * @param table - the table
 * @param plan - the changes
 * @param self - who plans
 * @returns the changed table
 */
export function applyPlan (table: SeatTable, plan: PartitionPlan, self: SeatHolder): SeatTable {
  const unowned = new Set([...plan.release, ...plan.reclaim])
  const acquired = new Set(plan.acquire)
  return {
    seats: table.seats.map((owner, partition) => {
      if (acquired.has(partition)) return self
      return unowned.has(partition) ? null : owner
    })
  }
}

/** What a host knows of its seats. */
export type SeatsState = {
  readonly self: SeatHolder
  readonly partitionCount: number
  readonly hosts: readonly ListedHost[]
  /** The own range of seats, by the live hosts. */
  readonly range: SeatRange
  /** Since when a host that held a seat is missing in the list. */
  readonly absentSinceMs: ReadonlyMap<HostName, number>
  readonly hostsListedMs: number | undefined
  readonly stopping: boolean
  readonly table: SeatTable | undefined
  readonly version: number
  /** Seats given up in a write on top of `version`; unused until a newer one. */
  /** Own seats that the process before this one held. */
  readonly reacquired: ReadonlySet<number>
  readonly releasing: { readonly partitions: ReadonlySet<number>, readonly version: number }
  readonly isWriting: boolean
  /** When the read that is under way was sent. */
  readonly readSentMs: number | undefined
  /** A write ended during a read, which may have missed it. */
  readonly mustReadAgain: boolean
  /** When the read was sent that the table comes from. */
  readonly tableReadSentMs: number
  readonly nextReadMs: number
}

/** What happens to the seats. */
export type SeatsEvent =
  | { readonly kind: 'manifestApplied', readonly seats: number, readonly nowMs: number }
  | { readonly kind: 'hostsListed', readonly hosts: readonly ListedHost[], readonly nowMs: number }
  /** The table was read; version 0: there is none yet. */
  | { readonly kind: 'tableRead', readonly table: SeatTable | undefined, readonly version: number, readonly nowMs: number }
  /** A write ended: done, refused or unknown; the table is read again. */
  | { readonly kind: 'writeEnded', readonly nowMs: number }
  | { readonly kind: 'readFailed', readonly nowMs: number }
  | { readonly kind: 'stopping', readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the seats want done, in this order. */
export type SeatsEffect =
  | { readonly kind: 'seatsChanged', readonly held: readonly number[], readonly regained: ReadonlySet<number>, readonly holders: ReadonlyMap<number, HostName>, readonly tableOfMs: number }
  | { readonly kind: 'readTable', readonly table: string }
  | { readonly kind: 'writeTable', readonly table: string, readonly value: SeatTable, readonly version: number }

/**
 * The seats of a host that has just started: none.
 * @param self - the host and its incarnation
 * @returns the state
 */
export function initialSeats (self: SeatHolder): SeatsState {
  return {
    self,
    partitionCount: 0,
    hosts: [],
    range: seatRange(self.host, [], 0),
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
 * Takes in one event.
 * @param state - what is known
 * @param event - what happened
 * @returns what is known then, and what to do
 */
export function seatsStep (state: SeatsState, event: SeatsEvent): Transition<SeatsState, SeatsEffect> {
  switch (event.kind) {
    case 'manifestApplied': return updateTable(withRange({ ...state, partitionCount: event.seats }))
    case 'hostsListed': return updateTable(withHosts(state, event.hosts, event.nowMs))
    case 'tableRead': return tableRead(state, event.table, event.version, event.nowMs)
    case 'writeEnded': return startRead({ ...state, isWriting: false }, event.nowMs)
    case 'readFailed': return repeatRead({ ...state, readSentMs: undefined }, event.nowMs)
    case 'stopping': return updateTable({ ...state, stopping: true })
    case 'tick': return event.nowMs < state.nextReadMs || state.isWriting || state.readSentMs !== undefined ? { state, effects: [] } : startRead(state, event.nowMs)
  }
}

function startRead (state: SeatsState, nowMs: number): Transition<SeatsState, SeatsEffect> {
  const periodMs = Math.max(readPeriodMs, state.hosts.length * readPeriodPerHostMs)
  if (state.partitionCount === 0) return { state, effects: [] }
  if (state.readSentMs !== undefined) return { state: { ...state, mustReadAgain: true }, effects: [] }
  return { state: { ...state, nextReadMs: nowMs + periodMs, readSentMs: nowMs, mustReadAgain: false }, effects: [{ kind: 'readTable', table: state.range.table }] }
}

function repeatRead (state: SeatsState, nowMs: number): Transition<SeatsState, SeatsEffect> {
  return state.mustReadAgain ? startRead(state, nowMs) : { state, effects: [] }
}

function withHosts (state: SeatsState, hosts: readonly ListedHost[], nowMs: number): SeatsState {
  const listed = { ...state, hosts, hostsListedMs: nowMs, ...absenceTimes(state, hosts, nowMs) }
  const isSame = hosts.length === state.hosts.length && hosts.every(({ host, state: hostState }, at) => host === state.hosts[at]?.host && hostState === state.hosts[at]?.state)
  return isSame ? listed : withRange(listed)
}

function withRange (state: SeatsState): SeatsState {
  const live = state.hosts.filter(host => host.state === 'live').map(({ host }) => host)
  return { ...state, range: seatRange(state.self.host, live, state.partitionCount) }
}

function absenceTimes (state: SeatsState, hosts: readonly ListedHost[], nowMs: number): Pick<SeatsState, 'absentSinceMs'> {
  const listed = new Set(hosts.map(({ host }) => host))
  const owners = new Set((state.table?.seats ?? []).flatMap(owner => owner === null ? [] : [owner.host]))
  const missing = [...owners].filter(host => !listed.has(host))
  return { absentSinceMs: new Map(missing.map(host => [host, state.absentSinceMs.get(host) ?? nowMs])) }
}

function tableRead (state: SeatsState, table: SeatTable | undefined, version: number, nowMs: number): Transition<SeatsState, SeatsEffect> {
  const readEnded = { ...state, readSentMs: undefined }
  if (version < state.version || state.mustReadAgain) return repeatRead(readEnded, nowMs)
  const releasing = version > state.releasing.version ? { partitions: new Set<number>(), version } : state.releasing
  const tableReadSentMs = state.readSentMs ?? state.tableReadSentMs
  const known = { ...readEnded, table: table ?? { seats: [] }, version, releasing, tableReadSentMs }
  return updateTable({ ...known, ...(known.hostsListedMs === undefined ? {} : absenceTimes(known, known.hosts, nowMs)) })
}

function updateTable (state: SeatsState): Transition<SeatsState, SeatsEffect> {
  if (state.table === undefined || state.partitionCount === 0) return { state, effects: [] }
  if (state.isWriting || state.hostsListedMs === undefined) return { state, effects: [partitionsChanged(state)] }
  const { range } = state
  const table = resized(state.table, range.size)
  const sharingHosts = state.stopping ? range.hosts.filter(host => host !== state.self.host) : range.hosts
  const { hostsListedMs } = state
  // Counted between two lists: an old list says nothing of the time since.
  const isRemoved = (host: HostName): boolean => hostsListedMs - (state.absentSinceMs.get(host) ?? hostsListedMs) >= absenceMarginMs
  const changes = planPartitions(table, { self: state.self, sharingHosts, isRemoved })
  // A given seat that is to be kept after all needs a newer version of the table, too.
  const isReleasing = state.releasing.partitions.size > 0 && state.releasing.version === state.version
  const isEmpty = changes.release.length + changes.acquire.length + changes.reclaim.length === 0 && !isReleasing
  if (isEmpty) return { state, effects: [partitionsChanged(state)] }
  const releasing = { partitions: new Set([...state.releasing.partitions, ...changes.release]), version: state.version }
  const next = { ...state, releasing, reacquired: reacquiredPartitions(state, table, changes.acquire), isWriting: true }
  const value = applyPlan(table, changes, state.self)
  return { state: next, effects: [partitionsChanged(next), { kind: 'writeTable', table: range.table, value, version: state.version }] }
}

// Counted from the range's first seat, like the seats of the table.
function reacquiredPartitions (state: SeatsState, table: SeatTable, acquired: readonly number[]): ReadonlySet<number> {
  const reacquired = acquired.filter(partition => table.seats[partition]?.host === state.self.host).map(partition => state.range.firstSeat + partition)
  return reacquired.length === 0 ? state.reacquired : new Set([...state.reacquired, ...reacquired])
}

function resized (table: SeatTable, size: number): SeatTable {
  return { seats: Array.from({ length: size }, (_, partition) => table.seats[partition] ?? null) }
}

function partitionsChanged (state: SeatsState): SeatsEffect {
  const { firstSeat, size } = state.range
  const owners = new Map<number, HostName>()
  const owned: number[] = []
  for (const [at, owner] of (state.table?.seats ?? []).slice(0, size).entries()) {
    if (owner === null) continue
    owners.set(firstSeat + at, owner.host)
    const isOwned = owner.host === state.self.host && owner.incarnation === state.self.incarnation
    if (isOwned && !state.releasing.partitions.has(at)) owned.push(firstSeat + at)
  }
  return { kind: 'seatsChanged', held: owned, regained: state.reacquired, holders: owners, tableOfMs: state.tableReadSentMs }
}
