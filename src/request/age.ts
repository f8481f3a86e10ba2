// Bounded-staleness reads. A replica may serve a read with staleness bound A if
// it has applied every write acknowledged up to some moment at most A ago.
//
// The dispatcher reads its own monotonic clock, then queries the servers for
// their received positions. The highest position in the responses of a majority
// is at or above every write acknowledged before that time. This pair of time
// and position is a watermark: a replica that has applied the position shows
// the data of that time or later. A response of the primary alone is not
// enough, since a primary that was replaced without noticing would report an
// outdated position. No clock of another host is read. While no majority
// responds, or the replica applies nothing, the computed staleness keeps growing
// until the replica no longer serves the read.

import { covers, laterPosition, originPosition, type Position, type ServerName } from '../model/index.js'
import { majorityOf } from '../failover/index.js'

/** Every write acknowledged before `queriedAtMs` is at or below `position`. */
export type AgeMark = {
  readonly position: Position
  /** Monotonic time of this host, read before the servers were queried. */
  readonly askedAtMs: number
}

/** Received position that one server reported, with the time before the query. */
export type TimedAnswer = {
  readonly received: Position
  readonly askedAtMs: number
}

/**
 * Responses and watermarks from which the staleness of a database's replicas
 * is computed.
 */
export type AgeRecord = {
  readonly servers: readonly ServerName[]
  readonly answers: Readonly<Record<ServerName, TimedAnswer>>
  /** Newest first. */
  readonly marks: readonly AgeMark[]
}

/** Of two watermarks closer together than this only one is kept. */
const minWatermarkSpacingMs = 5
const maxWatermarks = 256

/**
 * Creates the state without responses or watermarks.
 * @param servers - all servers of the database
 * @returns the initial state
 */
export function emptyAgeRecord (servers: readonly ServerName[]): AgeRecord {
  return { servers, answers: {}, marks: [] }
}

/**
 * Records a server's response and derives a watermark from the responses of a
 * majority. A response to an earlier query than the recorded one is dropped.
 * @param record - the current state
 * @param server - the server that responded
 * @param answer - its received position and the time before the query
 * @returns the next state
 */
export function noteAnswer (record: AgeRecord, server: ServerName, answer: TimedAnswer): AgeRecord {
  const before = record.answers[server]
  if (!record.servers.includes(server)) return record
  if (before !== undefined && before.askedAtMs > answer.askedAtMs) return record
  const answers = { ...record.answers, [server]: answer }
  const mark = majorityWatermark(Object.values(answers), record.servers.length)
  return { ...record, answers, marks: mark === undefined ? record.marks : withWatermark(record.marks, mark) }
}

// Takes the majority that was queried last, with the earliest of its query times.
function majorityWatermark (answers: readonly TimedAnswer[], serverCount: number): AgeMark | undefined {
  const latest = [...answers].sort((a, b) => b.askedAtMs - a.askedAtMs).slice(0, majorityOf(serverCount))
  const earliest = latest.at(-1)
  if (earliest === undefined || latest.length < majorityOf(serverCount)) return undefined
  const position = latest.map(answer => answer.received).reduce(laterPosition, originPosition)
  return { position, askedAtMs: earliest.askedAtMs }
}

/**
 * Records a watermark that another host reported.
 * @param record - the current state
 * @param mark - the watermark; its time must not be later than the time for
 *   which it holds
 * @returns the next state
 */
export function takeMark (record: AgeRecord, mark: AgeMark): AgeRecord {
  return { ...record, marks: withWatermark(record.marks, mark) }
}

function withWatermark (marks: readonly AgeMark[], mark: AgeMark): readonly AgeMark[] {
  const newest = marks[0]
  const second = marks[1]
  if (newest === undefined) return [mark]
  if (mark.askedAtMs <= newest.askedAtMs) return marks
  const crowded = second !== undefined && newest.askedAtMs - second.askedAtMs < minWatermarkSpacingMs
  return [mark, ...(crowded ? marks.slice(1) : marks)].slice(0, maxWatermarks)
}

/**
 * Replaces the servers after a manifest change.
 * @param record - the current state
 * @param servers - all servers of the database
 * @returns the next state; existing watermarks stay valid
 */
export function withAgeServers (record: AgeRecord, servers: readonly ServerName[]): AgeRecord {
  const kept = Object.entries(record.answers).filter(([server]) => servers.includes(server))
  return { ...record, servers, answers: Object.fromEntries(kept) }
}

/**
 * Computes an upper bound on the staleness of a replica.
 * @param record - the current state
 * @param applied - the replica's applied position
 * @param nowMs - monotonic time
 * @returns the staleness in milliseconds; undefined if the replica covers no
 *   watermark
 */
export function ageOf (record: AgeRecord, applied: Position, nowMs: number): number | undefined {
  const mark = record.marks.find(({ position }) => covers(applied, position))
  return mark === undefined ? undefined : nowMs - mark.askedAtMs
}

/**
 * Decides whether a replica may serve a bounded-staleness read.
 * @param record - the current state
 * @param applied - the replica's applied position
 * @param maxAgeMs - the staleness that the caller accepts
 * @param nowMs - monotonic time
 * @returns true if the replica's data is guaranteed to be no staler
 */
export function replicaServesAge (record: AgeRecord, applied: Position, maxAgeMs: number, nowMs: number): boolean {
  const ageMs = ageOf(record, applied, nowMs)
  return ageMs !== undefined && ageMs <= maxAgeMs
}

/**
 * Finds the lowest position that a bounded-staleness read has to cover.
 * @param record - the current state
 * @param maxAgeMs - the staleness that the caller accepts
 * @param nowMs - monotonic time
 * @returns the position of the oldest watermark within the bound; undefined if
 *   there is none
 */
export function oldestMark (record: AgeRecord, maxAgeMs: number, nowMs: number): Position | undefined {
  return record.marks.findLast(mark => nowMs - mark.askedAtMs <= maxAgeMs)?.position
}
