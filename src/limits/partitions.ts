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
// A store that was restored from a copy (a higher era) holds an earlier table, and a late
// write of the earlier era could match a version that was assigned again. Each era
// therefore has a table object of its own, which starts as a copy of the latest earlier
// one. A host goes on using the partitions that it uses and that the new table gives it;
// of all others any host may still be a user, so they are used only once the era is
// settled (src/era), after the handover delay. A host that hears of a higher era and does
// not read its table within `eraGraceMs` stops using its partitions.
//
// How limits are divided into partitions, and partitions into tables: division.ts.

import type { HostName } from '../model/index.js'
import { eraGraceMs } from '../era/index.js'
import { capableMembers, type ListedHost } from '../members/index.js'
import type { Transition } from '../pipe/index.js'
import { partitionRange, type PartitionRange } from './division.js'
import { applyPlan, planPartitions, type PartitionOwner, type PartitionPlan, type PartitionTable } from './partition-plan.js'

/** Absence from the platform's list after which a host's partitions are reclaimed. */
const absenceMarginMs = 15_000
/** Time between two reads of a table. */
const readPeriodMs = 5000
/** The same while the store has no table of the era that this host has heard of. */
const repeatReadMs = 300
/** The same for a host that owns none and knows the owners. */
const distantReadPeriodMs = 60_000
/**
 * Minimum time between two reads, per host that owns partitions, so that the rate
 * of reads does not grow with the fleet.
 */
const readPeriodPerHostMs = 50

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
  /** Era of `table`, and the highest era that this host has heard of, with the time since when. */
  readonly era: number
  readonly heardEra: number
  readonly heardSinceMs: number
  /** Whether the time is over in which the table of an earlier era than `heardEra` may be used. */
  readonly isOutdated: boolean
  /** Highest era that is settled. */
  readonly settledEra: number
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
  | { readonly kind: 'tableRead', readonly table: PartitionTable | undefined, readonly version: number, readonly era?: number, readonly nowMs: number }
  /** The store has no table of this era yet; `table` is the latest earlier one. */
  | { readonly kind: 'copyRead', readonly table: PartitionTable | undefined, readonly era: number, readonly nowMs: number }
  /** A higher era was heard of, from the store or from another host. */
  | { readonly kind: 'eraHeard', readonly era: number, readonly nowMs: number }
  | { readonly kind: 'eraSettled', readonly era: number, readonly nowMs: number }
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
   * read of the table. While the era is not settled, only those of the own
   * partitions may be used that are in use already.
   */
  | { readonly kind: 'partitionsChanged', readonly owned: readonly number[], readonly reacquired: ReadonlySet<number>, readonly owners: ReadonlyMap<number, HostName>, readonly tableReadSentMs: number, readonly isSettled: boolean }
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
    era: 0,
    heardEra: 0,
    heardSinceMs: Infinity,
    isOutdated: false,
    settledEra: 0,
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
    case 'tableRead': return tableRead(state, event)
    case 'copyRead': return createTable({ ...state, readSentMs: undefined }, event)
    case 'eraHeard': return eraHeard(state, event.era, event.nowMs)
    case 'eraSettled': return startRead({ ...state, settledEra: Math.max(state.settledEra, event.era) }, event.nowMs)
    case 'written': return written(state, event.table, event.version, event.sentMs)
    case 'writeEnded': return startRead({ ...state, isWriting: false }, event.nowMs)
    case 'readFailed': return readFailed({ ...state, readSentMs: undefined }, event.nowMs)
    case 'stopping': return updateTable({ ...state, stopping: true })
    case 'tick': return tick(state, event.nowMs)
  }
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the state
 * @returns monotonic time; Infinity while a read or a write is in progress
 */
export function partitionsDueAtMs (state: PartitionsState): number {
  const outdatedAtMs = isBehind(state) && !state.isOutdated ? state.heardSinceMs + eraGraceMs : Infinity
  return state.isWriting || state.readSentMs !== undefined || state.partitionCount === 0 ? outdatedAtMs : Math.min(outdatedAtMs, state.nextReadMs)
}

function tick (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  const isOutdated = isBehind(state) && nowMs >= state.heardSinceMs + eraGraceMs
  const current = { ...state, isOutdated }
  const effects = isOutdated && !state.isOutdated ? [partitionsChanged(current)] : []
  if (nowMs < state.nextReadMs || state.isWriting || state.readSentMs !== undefined) return { state: current, effects }
  const read = startRead(current, nowMs)
  return { state: read.state, effects: [...effects, ...read.effects] }
}

function isBehind ({ heardEra, era }: PartitionsState): boolean {
  return heardEra > era
}

function eraHeard (state: PartitionsState, era: number, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  if (era <= state.heardEra) return { state, effects: [] }
  // The time counts from the first era that was missed.
  const heardSinceMs = isBehind(state) ? state.heardSinceMs : nowMs
  return startRead({ ...state, heardEra: era, heardSinceMs }, nowMs)
}

// The first host that finds no table of an era creates it. Its answer, or the next read,
// shows the table of the era; the copy itself is not used.
function createTable (state: PartitionsState, { table, era, nowMs }: Extract<PartitionsEvent, { readonly kind: 'copyRead' }>): Transition<PartitionsState, PartitionsEffect> {
  const creates = state.range.hosts.includes(state.self.host)
  if (era < state.era || state.isWriting || !creates) return repeatRead({ ...state, nextReadMs: nowMs + repeatReadMs }, nowMs)
  const value = { seats: table?.seats ?? [], era }
  return { state: { ...state, isWriting: true }, effects: [{ kind: 'writeTable', table: state.range.table, value, version: 0 }] }
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

function readFailed (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  return repeatRead(isBehind(state) ? { ...state, nextReadMs: nowMs + repeatReadMs } : state, nowMs)
}

function repeatRead (state: PartitionsState, nowMs: number): Transition<PartitionsState, PartitionsEffect> {
  return state.mustReadAgain ? startRead(state, nowMs) : { state, effects: [] }
}

function withHosts (state: PartitionsState, hosts: readonly ListedHost[], nowMs: number): PartitionsState {
  const listed = { ...state, hosts, hostsListedMs: nowMs, ...absenceTimes(state, hosts, nowMs) }
  const isSame = hosts.length === state.hosts.length && hosts.every((host, at) => isSameSharer(host, state.hosts[at]))
  if (isSame) return listed
  // A host that begins to share the partitions reads the table at once: the others
  // release some for it, which the table that it knows does not show. A host that read
  // the table before it was listed would otherwise wait for `distantReadPeriodMs`.
  const ranged = withRange(listed)
  return !sharesPartitions(state) && sharesPartitions(ranged) ? { ...ranged, nextReadMs: Math.min(ranged.nextReadMs, nowMs) } : ranged
}

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

function tableRead (state: PartitionsState, event: Extract<PartitionsEvent, { readonly kind: 'tableRead' }>): Transition<PartitionsState, PartitionsEffect> {
  const { table, version, era = 0, nowMs } = event
  const readEnded = { ...state, readSentMs: undefined }
  const isOlder = era < state.era || (era === state.era && version < state.version)
  if (isOlder || state.mustReadAgain) return repeatRead(readEnded, nowMs)
  const isNewer = era > state.era || version > state.releasing.version
  const releasing = isNewer ? { partitions: new Set<number>(), version } : state.releasing
  const tableReadSentMs = state.readSentMs ?? state.tableReadSentMs
  const known = inEra({ ...readEnded, table: table ?? { seats: [] }, version, releasing, tableReadSentMs }, era)
  return updateTable({ ...known, ...(known.hostsListedMs === undefined ? {} : absenceTimes(known, known.hosts, nowMs)) })
}

function inEra (state: PartitionsState, era: number): PartitionsState {
  const settledEra = state.table?.isSettled === true ? Math.max(state.settledEra, era) : state.settledEra
  return { ...state, era, heardEra: Math.max(state.heardEra, era), isOutdated: state.isOutdated && state.heardEra > era, settledEra }
}

function written (state: PartitionsState, table: PartitionTable, version: number, sentMs: number): Transition<PartitionsState, PartitionsEffect> {
  const era = table.era ?? 0
  // A read that is in progress may have been answered before the write.
  const ended = { ...state, isWriting: false, mustReadAgain: state.readSentMs !== undefined }
  if (era < state.era || (era === state.era && version <= state.version)) return { state: ended, effects: [] }
  return updateTable(inEra({ ...ended, table, version, releasing: { partitions: new Set(), version }, tableReadSentMs: sentMs }, era))
}

function updateTable (state: PartitionsState): Transition<PartitionsState, PartitionsEffect> {
  if (state.table === undefined || state.partitionCount === 0) return { state, effects: [] }
  // A plan for the table of an earlier era can't be written any more.
  if (state.isWriting || state.hostsListedMs === undefined || isBehind(state)) return { state, effects: [partitionsChanged(state)] }
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
  // The first host that finds the era settled records it for hosts that start later.
  const needsMark = isSettled(state) && state.era > 0 && state.table.isSettled !== true && range.hosts.includes(state.self.host)
  const isEmpty = changes.release.length + changes.acquire.length + changes.reclaim.length === 0 && !isReleasing && !needsMark
  if (isEmpty) return { state, effects: [partitionsChanged(state)] }
  const releasing = { partitions: new Set([...state.releasing.partitions, ...changes.release]), version: state.version }
  const next = { ...state, releasing, reacquired: reacquiredPartitions(state, table, changes), isWriting: true }
  const value = { ...applyPlan(table, changes, state.self), ...eraFields(state) }
  return { state: next, effects: [partitionsChanged(next), { kind: 'writeTable', table: range.table, value, version: state.version }] }
}

function eraFields (state: PartitionsState): Pick<PartitionTable, 'era' | 'isSettled'> {
  if (state.era === 0) return {}
  return { era: state.era, ...(isSettled(state) ? { isSettled: true } : {}) }
}

function isSettled ({ settledEra, era }: PartitionsState): boolean {
  return settledEra >= era
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
    if (isOwned && !state.isOutdated && !state.releasing.partitions.has(at)) owned.push(firstPartition + at)
  }
  return { kind: 'partitionsChanged', owned, reacquired: state.reacquired, owners, tableReadSentMs: state.tableReadSentMs, isSettled: isSettled(state) }
}
