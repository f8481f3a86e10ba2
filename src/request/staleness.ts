// Reads of a stated age. A replica may serve data of age A where it has applied
// everything that was acknowledged up to a moment not longer ago than A.
//
// The home notes the time by its own monotonic clock, then asks the servers.
// The highest received position among the answers of a majority is at or above
// every write acknowledged before that time. A replica that has applied this
// position therefore shows the data of that time or later. The primary's word
// alone would not do: one that has been replaced without knowing would vouch
// for old data. No clock of another host is read, and where no majority
// answers, or the replica stands still, the age grows by itself until the
// replica serves no more.

import { covers, laterPosition, originPosition, type Position, type ServerName } from '../model/index.js'
import { majorityOf } from '../failover/index.js'

/** Everything acknowledged before a time is at or below a position. */
export type Watermark = {
  readonly position: Position
  /** Monotonic time of this home, read before the servers were asked. */
  readonly queriedAtMs: number
}

/** One server's answer. */
export type TimedResponse = {
  readonly received: Position
  readonly queriedAtMs: number
}

/** What a home knows of the age of a database's data. */
export type StalenessState = {
  readonly servers: readonly ServerName[]
  readonly responses: Readonly<Record<ServerName, TimedResponse>>
  /** Newest first. */
  readonly watermarks: readonly Watermark[]
}

/** Marks closer together than this are not both kept. */
const markSpacingMs = 5
/** Marks that are kept at most. */
const maxMarks = 256

/**
 * The record before any answer came in.
 * @param servers - all servers of the database
 * @returns the empty record
 */
export function emptyStaleness (servers: readonly ServerName[]): StalenessState {
  return { servers, responses: {}, watermarks: [] }
}

/**
 * Takes in the answer of a server.
 * @param record - what was known
 * @param server - who answered
 * @param answer - the received position and the time before it was asked for
 * @returns what is known now
 */
export function recordResponse (record: StalenessState, server: ServerName, answer: TimedResponse): StalenessState {
  const before = record.responses[server]
  if (!record.servers.includes(server)) return record
  if (before !== undefined && before.queriedAtMs > answer.queriedAtMs) return record
  const answers = { ...record.responses, [server]: answer }
  const mark = majorityMark(Object.values(answers), record.servers.length)
  return { ...record, responses: answers, watermarks: mark === undefined ? record.watermarks : withMark(record.watermarks, mark) }
}

// The majority that was asked last; the earliest time among it counts.
function majorityMark (answers: readonly TimedResponse[], serverCount: number): Watermark | undefined {
  const latest = [...answers].sort((a, b) => b.queriedAtMs - a.queriedAtMs).slice(0, majorityOf(serverCount))
  const earliest = latest.at(-1)
  if (earliest === undefined || latest.length < majorityOf(serverCount)) return undefined
  const position = latest.map(answer => answer.received).reduce(laterPosition, originPosition)
  return { position, queriedAtMs: earliest.queriedAtMs }
}

/**
 * Takes in a mark that another home found.
 * @param record - what was known
 * @param mark - the mark, dated no later than it holds
 * @returns what is known now
 */
export function recordWatermark (record: StalenessState, mark: Watermark): StalenessState {
  return { ...record, watermarks: withMark(record.watermarks, mark) }
}

function withMark (marks: readonly Watermark[], mark: Watermark): readonly Watermark[] {
  const newest = marks[0]
  const second = marks[1]
  if (newest === undefined) return [mark]
  if (mark.queriedAtMs <= newest.queriedAtMs) return marks
  const crowded = second !== undefined && newest.queriedAtMs - second.queriedAtMs < markSpacingMs
  return [mark, ...(crowded ? marks.slice(1) : marks)].slice(0, maxMarks)
}

/**
 * Replaces the servers after a change of the manifest.
 * @param record - what was known
 * @param servers - all servers of the database
 * @returns the record; earlier marks still hold
 */
export function withStalenessServers (record: StalenessState, servers: readonly ServerName[]): StalenessState {
  const kept = Object.entries(record.responses).filter(([server]) => servers.includes(server))
  return { ...record, servers, responses: Object.fromEntries(kept) }
}

/**
 * Tells how old the data of a replica may be.
 * @param record - what is known
 * @param applied - what the replica has applied
 * @param nowMs - monotonic time
 * @returns the age in milliseconds, undefined where nothing is known
 */
export function stalenessOf (record: StalenessState, applied: Position, nowMs: number): number | undefined {
  const mark = record.watermarks.find(({ position }) => covers(applied, position))
  return mark === undefined ? undefined : nowMs - mark.queriedAtMs
}

/**
 * Tells whether a replica may serve a read of a stated age.
 * @param record - what is known
 * @param applied - what the replica has applied
 * @param maxAgeMs - the age that the caller accepts
 * @param nowMs - monotonic time
 * @returns true where the replica's data is surely no older
 */
export function isWithinStaleness (record: StalenessState, applied: Position, maxAgeMs: number, nowMs: number): boolean {
  const ageMs = stalenessOf(record, applied, nowMs)
  return ageMs !== undefined && ageMs <= maxAgeMs
}

/**
 * Finds the lowest position that a read of a stated age has to cover.
 * @param record - what is known
 * @param maxAgeMs - the age that the caller accepts
 * @param nowMs - monotonic time
 * @returns the position of the oldest mark within the age, undefined where none is
 */
export function oldestWatermark (record: StalenessState, maxAgeMs: number, nowMs: number): Position | undefined {
  return record.watermarks.findLast(mark => nowMs - mark.queriedAtMs <= maxAgeMs)?.position
}
