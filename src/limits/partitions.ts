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
export type PartitionOwner = {
  readonly host: HostName
  readonly incarnation: string
}

/** A table of seats as the store keeps it; null: free. */
export type PartitionTable = {
  readonly seats: ReadonlyArray<PartitionOwner | null>
}

/** Where a host's seats stand. */
export type PartitionRange = {
  /** Name of the object in the store. */
  readonly table: string
  readonly firstPartition: number
  readonly size: number
  /** The hosts that share this table. */
  readonly hosts: readonly HostName[]
}

/** Seats in one table at most. */
const seatsPerTable = 256
/** Seats of an account at least: its home collects from few holders, and one of them may be lost. */
const fewSeats = 8
/** An account gets more seats where one would carry more than this. */
const ratePerSeatPerS = 50
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
 * @param seats - number of seats of the manifest
 * @returns the range of seats that it shares with some of the hosts
 */
export function partitionRange (host: HostName, hosts: readonly HostName[], seats: number): PartitionRange {
  const tables = Math.ceil(seats / seatsPerTable)
  if (tables <= 1) return { table: 'table', firstPartition: 0, size: seats, hosts }
  const at = hashOf(host) % tables
  const firstSeat = Math.floor(seats * at / tables)
  const size = Math.floor(seats * (at + 1) / tables) - firstSeat
  return { table: `table-${at}`, firstPartition: firstSeat, size, hosts: hosts.filter(other => hashOf(other) % tables === at) }
}

/**
 * Tells which part of an account's limit goes with a seat.
 * @param account - the account
 * @param ratePerS - its rate
 * @param seat - the seat
 * @param seats - number of seats of the manifest
 * @returns the part; 0 for a seat that the account does not use
 */
export function partitionFraction (account: AccountName, ratePerS: number, seat: number, seats: number): number {
  if (seat >= seats) return 0
  const stride = seatStride(ratePerS, seats)
  const offset = hashOf(account) % stride
  return seat % stride === offset ? 1 / Math.ceil((seats - offset) / stride) : 0
}

/**
 * Tells whether an account's division among seats is the same for two
 * manifests.
 * @param before - rate and seats of one
 * @param after - rate and seats of the other
 * @returns true where every seat carries the same part
 */
export function sameDivision (before: Division, after: Division): boolean {
  return before.seats === after.seats && seatStride(before.ratePerS, before.seats) === seatStride(after.ratePerS, after.seats)
}

/** What the division of an account's limit depends on. */
export type Division = { readonly ratePerS: number, readonly seats: number }

function seatStride (ratePerS: number, seats: number): number {
  const isOneTable = seats <= seatsPerTable
  const wanted = isOneTable ? fewSeats : Math.max(fewSeats, Math.ceil(ratePerS / ratePerSeatPerS))
  // Powers of two, so that a change of the rate rarely changes the division.
  return 2 ** Math.max(0, Math.floor(Math.log2(seats / wanted)))
}

/**
 * Tells with which of its owners an account's home begins to collect.
 * @param account - the account
 * @param owners - how many there are
 * @returns an index
 */
export function firstOwner (account: AccountName, owners: number): number {
  return owners === 0 ? 0 : hashOf(account) % owners
}

function hashOf (name: string): number {
  return createHash('sha256').update(name).digest().readUInt32LE(0)
}

/** What a plan depends on, besides the table. */
export type SeatView = {
  readonly self: PartitionOwner
  /** Hosts that are to share the seats; without the own one where it stops. */
  readonly sharing: readonly HostName[]
  /** Hosts whose seats are to be freed. */
  readonly isGone: (host: HostName) => boolean
}

/** Changes of a table; the numbers count within it. */
export type SeatPlan = {
  /** Own seats above the even share. */
  readonly release: readonly number[]
  /** Free seats, or own ones of an earlier incarnation, to be held. */
  readonly take: readonly number[]
  /** Seats of hosts that are gone. */
  readonly free: readonly number[]
}

/**
 * Plans what a host changes in its table.
 * @param table - the table
 * @param view - what the host knows
 * @returns the changes; all empty where the table is as it should be
 */
export function planSeats (table: PartitionTable, view: SeatView): SeatPlan {
  const { self } = view
  const all = table.seats.map((holder, seat) => ({ holder, seat }))
  const mine = all.filter(({ holder }) => holder?.host === self.host)
  const gone = all.filter(({ holder }) => holder !== null && holder.host !== self.host && view.isGone(holder.host))
  const quota = evenShare(self.host, view.sharing, table.seats.length)
  const kept = mine.slice(0, quota)
  const stale = kept.filter(({ holder }) => holder?.incarnation !== self.incarnation)
  const vacant = all.filter(({ holder }) => holder === null).concat(gone)
  const wanted = vacant.slice(0, quota - kept.length)
  return {
    release: mine.slice(quota).map(({ seat }) => seat),
    take: [...stale, ...wanted].map(({ seat }) => seat),
    free: gone.filter(({ seat }) => !wanted.some(taken => taken.seat === seat)).map(({ seat }) => seat)
  }
}

function evenShare (host: HostName, sharing: readonly HostName[], seats: number): number {
  const rank = [...sharing].sort().indexOf(host)
  if (rank < 0) return 0
  return Math.floor(seats / sharing.length) + (rank < seats % sharing.length ? 1 : 0)
}

/**
 * Carries a plan out.
 * @param table - the table
 * @param plan - the changes
 * @param self - who plans
 * @returns the changed table
 */
export function plannedTable (table: PartitionTable, plan: SeatPlan, self: PartitionOwner): PartitionTable {
  const vacated = new Set([...plan.release, ...plan.free])
  const taken = new Set(plan.take)
  return {
    seats: table.seats.map((holder, seat) => {
      if (taken.has(seat)) return self
      return vacated.has(seat) ? null : holder
    })
  }
}

/** What a host knows of its seats. */
export type PartitionsState = {
  readonly self: PartitionOwner
  readonly seats: number
  readonly hosts: readonly ListedHost[]
  /** The own range of seats, by the live hosts. */
  readonly range: PartitionRange
  /** Since when a host that held a seat is missing in the list. */
  readonly absentSinceMs: ReadonlyMap<HostName, number>
  readonly listedMs: number | undefined
  readonly stopping: boolean
  readonly table: PartitionTable | undefined
  readonly version: number
  /** Seats given up in a write on top of `version`; unused until a newer one. */
  /** Own seats that the process before this one held. */
  readonly regained: ReadonlySet<number>
  readonly giving: { readonly seats: ReadonlySet<number>, readonly version: number }
  readonly isWriting: boolean
  /** When the read that is under way was sent. */
  readonly readSentMs: number | undefined
  /** A write ended during a read, which may have missed it. */
  readonly mustReadAgain: boolean
  /** When the read was sent that the table comes from. */
  readonly tableOfMs: number
  readonly nextReadMs: number
}

/** What happens to the seats. */
export type PartitionsEvent =
  | { readonly kind: 'manifestApplied', readonly partitionCount: number, readonly nowMs: number }
  | { readonly kind: 'hostsListed', readonly hosts: readonly ListedHost[], readonly nowMs: number }
  /** The table was read; version 0: there is none yet. */
  | { readonly kind: 'tableRead', readonly table: PartitionTable | undefined, readonly version: number, readonly nowMs: number }
  /** A write ended: done, refused or unknown; the table is read again. */
  | { readonly kind: 'writeEnded', readonly nowMs: number }
  | { readonly kind: 'readFailed', readonly nowMs: number }
  | { readonly kind: 'stopping', readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the seats want done, in this order. */
export type PartitionsEffect =
  | { readonly kind: 'seatsChanged', readonly owned: readonly number[], readonly reacquired: ReadonlySet<number>, readonly owners: ReadonlyMap<number, HostName>, readonly tableReadSentMs: number }
  | { readonly kind: 'readTable', readonly table: string }
  | { readonly kind: 'writeTable', readonly table: string, readonly value: PartitionTable, readonly version: number }

/**
 * The seats of a host that has just started: none.
 * @param self - the host and its incarnation
 * @returns the state
 */
export function initialPartitions (self: PartitionOwner): PartitionsState {
  return {
    self,
    seats: 0,
    hosts: [],
    range: partitionRange(self.host, [], 0),
    absentSinceMs: new Map(),
    listedMs: undefined,
    stopping: false,
    table: undefined,
    version: -1,
    regained: new Set(),
    giving: { seats: new Set(), version: -1 },
    isWriting: false,
    readSentMs: undefined,
    mustReadAgain: false,
    tableOfMs: -Infinity,
    nextReadMs: 0
  }
}

/**
 * Takes in one event.
 * @param state - what is known
 * @param event - what happened
 * @returns what is known then, and what to do
 */
export function partitionsStep (state: PartitionsState, event: PartitionsEvent): Transition<PartitionsState, PartitionsEffect> {
  switch (event.kind) {
    case 'manifestApplied': return plan(ranged({ ...state, seats: event.partitionCount }))
    case 'hostsListed': return plan(listHosts(state, event.hosts, event.nowMs))
    case 'tableRead': return tableRead(state, event.table, event.version, event.nowMs)
    case 'writeEnded': return read({ ...state, isWriting: false }, event.nowMs)
    case 'readFailed': return readAgain({ ...state, readSentMs: undefined }, event.nowMs)
    case 'stopping': return plan({ ...state, stopping: true })
    case 'tick': return event.nowMs < state.nextReadMs || state.isWriting || state.readSentMs !== undefined ? { state, effects: [] } : read(state, event.nowMs)
  }
}

function read (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  const periodMs = Math.max(readPeriodMs, state.hosts.length * readPeriodPerHostMs)
  if (state.seats === 0) return { state, effects: [] }
  if (state.readSentMs !== undefined) return { state: { ...state, mustReadAgain: true }, effects: [] }
  return { state: { ...state, nextReadMs: nowMs + periodMs, readSentMs: nowMs, mustReadAgain: false }, effects: [{ kind: 'readTable', table: state.range.table }] }
}

function readAgain (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  return state.mustReadAgain ? read(state, nowMs) : { state, effects: [] }
}

function listHosts (state: PartitionsState, hosts: readonly ListedHost[], nowMs: number): PartitionsState {
  const listed = { ...state, hosts, listedMs: nowMs, ...absence(state, hosts, nowMs) }
  const isSame = hosts.length === state.hosts.length && hosts.every(({ host, state: duty }, at) => host === state.hosts[at]?.host && duty === state.hosts[at]?.state)
  return isSame ? listed : ranged(listed)
}

function ranged (state: PartitionsState): PartitionsState {
  const live = state.hosts.filter(host => host.state === 'live').map(({ host }) => host)
  return { ...state, range: partitionRange(state.self.host, live, state.seats) }
}

function absence (state: PartitionsState, hosts: readonly ListedHost[], nowMs: number): Pick<PartitionsState, 'absentSinceMs'> {
  const listed = new Set(hosts.map(({ host }) => host))
  const holders = new Set((state.table?.seats ?? []).flatMap(holder => holder === null ? [] : [holder.host]))
  const missing = [...holders].filter(host => !listed.has(host))
  return { absentSinceMs: new Map(missing.map(host => [host, state.absentSinceMs.get(host) ?? nowMs])) }
}

function tableRead (state: PartitionsState, table: PartitionTable | undefined, version: number, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  const answered = { ...state, readSentMs: undefined }
  if (version < state.version || state.mustReadAgain) return readAgain(answered, nowMs)
  const giving = version > state.giving.version ? { seats: new Set<number>(), version } : state.giving
  const tableOfMs = state.readSentMs ?? state.tableOfMs
  const known = { ...answered, table: table ?? { seats: [] }, version, giving, tableOfMs }
  return plan({ ...known, ...(known.listedMs === undefined ? {} : absence(known, known.hosts, nowMs)) })
}

function plan (state: PartitionsState): Transition<PartitionsState, PartitionsEffect> {
  if (state.table === undefined || state.seats === 0) return { state, effects: [] }
  if (state.isWriting || state.listedMs === undefined) return { state, effects: [seatsChanged(state)] }
  const { range } = state
  const table = resized(state.table, range.size)
  const sharing = state.stopping ? range.hosts.filter(host => host !== state.self.host) : range.hosts
  const { listedMs } = state
  // Counted between two lists: an old list says nothing of the time since.
  const isGone = (host: HostName): boolean => listedMs - (state.absentSinceMs.get(host) ?? listedMs) >= absenceMarginMs
  const changes = planSeats(table, { self: state.self, sharing, isGone })
  // A given seat that is to be kept after all needs a newer version of the table, too.
  const isGiving = state.giving.seats.size > 0 && state.giving.version === state.version
  const isEmpty = changes.release.length + changes.take.length + changes.free.length === 0 && !isGiving
  if (isEmpty) return { state, effects: [seatsChanged(state)] }
  const giving = { seats: new Set([...state.giving.seats, ...changes.release]), version: state.version }
  const next = { ...state, giving, regained: regainedSeats(state, table, changes.take), isWriting: true }
  const value = plannedTable(table, changes, state.self)
  return { state: next, effects: [seatsChanged(next), { kind: 'writeTable', table: range.table, value, version: state.version }] }
}

// Counted from the range's first seat, like the seats of the table.
function regainedSeats (state: PartitionsState, table: PartitionTable, taken: readonly number[]): ReadonlySet<number> {
  const own = taken.filter(seat => table.seats[seat]?.host === state.self.host).map(seat => state.range.firstPartition + seat)
  return own.length === 0 ? state.regained : new Set([...state.regained, ...own])
}

function resized (table: PartitionTable, size: number): PartitionTable {
  return { seats: Array.from({ length: size }, (_, seat) => table.seats[seat] ?? null) }
}

function seatsChanged (state: PartitionsState): PartitionsEffect {
  const { firstPartition: firstSeat, size } = state.range
  const holders = new Map<number, HostName>()
  const held: number[] = []
  for (const [at, holder] of (state.table?.seats ?? []).slice(0, size).entries()) {
    if (holder === null) continue
    holders.set(firstSeat + at, holder.host)
    const isMine = holder.host === state.self.host && holder.incarnation === state.self.incarnation
    if (isMine && !state.giving.seats.has(at)) held.push(firstSeat + at)
  }
  return { kind: 'seatsChanged', owned: held, reacquired: state.regained, owners: holders, tableReadSentMs: state.tableOfMs }
}
