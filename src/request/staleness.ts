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
export type Watermark = {
  readonly position: Position
  /** Monotonic time of this host, read before the servers were queried. */
  readonly queriedAtMs: number
}

/** Received position that one server reported, with the time before the query. */
export type TimedResponse = {
  readonly received: Position
  readonly queriedAtMs: number
}

/**
 * Responses and watermarks from which the staleness of a database's replicas
 * is computed.
 */
export type StalenessState = {
  readonly servers: readonly ServerName[]
  readonly responses: Readonly<Record<ServerName, TimedResponse>>
  /** Newest first. */
  readonly watermarks: readonly Watermark[]
}

/** Of two watermarks closer together than this only one is kept. */
const minWatermarkSpacingMs = 5
const maxWatermarks = 256

/**
 * Creates the state without responses or watermarks.
 * @param servers - all servers of the database
 * @returns the initial state
 */
export function emptyStaleness (servers: readonly ServerName[]): StalenessState {
  return { servers, responses: {}, watermarks: [] }
}

/**
 * Records a server's response and derives a watermark from the responses of a
 * majority. A response to an earlier query than the recorded one is dropped.
 * @param state - the current state
 * @param server - the server that responded
 * @param response - its received position and the time before the query
 * @returns the next state
 */
export function recordResponse (state: StalenessState, server: ServerName, response: TimedResponse): StalenessState {
  const before = state.responses[server]
  if (!state.servers.includes(server)) return state
  if (before !== undefined && before.queriedAtMs > response.queriedAtMs) return state
  const responses = { ...state.responses, [server]: response }
  const watermark = majorityWatermark(Object.values(responses), state.servers.length)
  return { ...state, responses, watermarks: watermark === undefined ? state.watermarks : withWatermark(state.watermarks, watermark) }
}

// Takes the majority that was queried last, with the earliest of its query times.
function majorityWatermark (responses: readonly TimedResponse[], serverCount: number): Watermark | undefined {
  const latest = [...responses].sort((a, b) => b.queriedAtMs - a.queriedAtMs).slice(0, majorityOf(serverCount))
  const earliest = latest.at(-1)
  if (earliest === undefined || latest.length < majorityOf(serverCount)) return undefined
  const position = latest.map(response => response.received).reduce(laterPosition, originPosition)
  return { position, queriedAtMs: earliest.queriedAtMs }
}

/**
 * Records a watermark that another host reported.
 * @param state - the current state
 * @param watermark - the watermark; its time must not be later than the time for
 *   which it holds
 * @returns the next state
 */
export function recordWatermark (state: StalenessState, watermark: Watermark): StalenessState {
  return { ...state, watermarks: withWatermark(state.watermarks, watermark) }
}

function withWatermark (watermarks: readonly Watermark[], watermark: Watermark): readonly Watermark[] {
  const newest = watermarks[0]
  const second = watermarks[1]
  if (newest === undefined) return [watermark]
  if (watermark.queriedAtMs <= newest.queriedAtMs) return watermarks
  const tooClose = second !== undefined && newest.queriedAtMs - second.queriedAtMs < minWatermarkSpacingMs
  return [watermark, ...(tooClose ? watermarks.slice(1) : watermarks)].slice(0, maxWatermarks)
}

/**
 * Replaces the servers after a manifest change.
 * @param state - the current state
 * @param servers - all servers of the database
 * @returns the next state; existing watermarks stay valid
 */
export function withStalenessServers (state: StalenessState, servers: readonly ServerName[]): StalenessState {
  const kept = Object.entries(state.responses).filter(([server]) => servers.includes(server))
  return { ...state, servers, responses: Object.fromEntries(kept) }
}

/**
 * Computes an upper bound on the staleness of a replica.
 * @param state - the current state
 * @param applied - the replica's applied position
 * @param nowMs - monotonic time
 * @returns the staleness in milliseconds; undefined if the replica covers no
 *   watermark
 */
export function stalenessOf (state: StalenessState, applied: Position, nowMs: number): number | undefined {
  const watermark = state.watermarks.find(({ position }) => covers(applied, position))
  return watermark === undefined ? undefined : nowMs - watermark.queriedAtMs
}

/**
 * Decides whether a replica may serve a bounded-staleness read.
 * @param state - the current state
 * @param applied - the replica's applied position
 * @param maxAgeMs - the staleness that the caller accepts
 * @param nowMs - monotonic time
 * @returns true if the replica's data is guaranteed to be no staler
 */
export function isWithinStaleness (state: StalenessState, applied: Position, maxAgeMs: number, nowMs: number): boolean {
  const stalenessMs = stalenessOf(state, applied, nowMs)
  return stalenessMs !== undefined && stalenessMs <= maxAgeMs
}

/**
 * Finds the lowest position that a bounded-staleness read has to cover.
 * @param state - the current state
 * @param maxAgeMs - the staleness that the caller accepts
 * @param nowMs - monotonic time
 * @returns the position of the oldest watermark within the bound; undefined if
 *   there is none
 */
export function oldestWatermark (state: StalenessState, maxAgeMs: number, nowMs: number): Position | undefined {
  return state.watermarks.findLast(watermark => nowMs - watermark.queriedAtMs <= maxAgeMs)?.position
}
