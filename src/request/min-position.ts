// Minimum positions for strong reads, such as session reads without a token; a
// token carries a caller's minimum positions between connections. The minimum
// position is the highest received position in the responses of a majority of the
// servers, each queried after the read came in. Every write acknowledged before
// that was received by a majority, so at least one response is at or above it,
// whichever server is primary now and whatever this host had observed before. A
// round of such queries is what Raft calls a read index.
//
// One round serves all reads that wait when it starts. A read that comes in
// during a round waits for the next one: a server may have responded in the
// running round before a write that the read has to cover.
//
// Where servers are polled and all reads of a round run on the primary, the caller
// (daemon/database-step) counts the primary as answered at the origin position,
// without a query. Any majority that received a write includes a server that
// responded or the primary, whose own log holds what it received. A response of a
// server that is fenced above the primary's term counts as failed.

import { laterPosition, originPosition, type Position, type ServerName } from '../model/index.js'
import { majorityOf } from '../failover/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'

/** Settings of the minimum position rounds. */
export type MinPositionSettings = {
  /** Time after which a round without a majority of responses ends. */
  readonly roundTimeoutMs: number
  /** Maximum number of reads that wait for the next round. */
  readonly maxWaiting: number
}

/** Settings for servers that respond within milliseconds. */
export const defaultMinPositionSettings: MinPositionSettings = { roundTimeoutMs: 300, maxWaiting: 10_000 }

/** A round of queries in progress. */
export type MinPositionRound = {
  readonly round: number
  /** Ids of the reads that the round serves; all pending writes share one id. */
  readonly ids: readonly string[]
  readonly startedAtMs: number
  readonly responses: Readonly<Record<ServerName, Position>>
  readonly failed: readonly ServerName[]
}

/** Reads of one database that wait for a minimum position. */
export type MinPositionState = {
  readonly settings: MinPositionSettings
  readonly servers: readonly ServerName[]
  readonly lastRound: number
  readonly running: MinPositionRound | undefined
  /** Reads that came in after the running round started. */
  readonly waiting: readonly string[]
}

/** Events of the minimum position rounds. Times are monotonic. */
export type MinPositionEvent =
  /**
   * A read came in and waits for a minimum position. Pending writes on polled
   * platforms request a round in the same way, under the id `quorum`.
   */
  | { readonly kind: 'requested', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'roundAnswered', readonly round: number, readonly server: ServerName, readonly received: Position, readonly nowMs: number }
  | { readonly kind: 'roundFailed', readonly round: number, readonly server: ServerName, readonly nowMs: number }
  | { readonly kind: 'serversChanged', readonly servers: readonly ServerName[], readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of the minimum position rounds. */
export type MinPositionEffect =
  /** Query the status of every server now; an earlier response must not be used. */
  | { readonly kind: 'startRound', readonly round: number }
  /** The minimum position of a waiting read was determined. */
  | { readonly kind: 'minPosition', readonly id: string, readonly position: Position }
  /** Too many reads were waiting, or no majority responded. */
  | { readonly kind: 'noMinPosition', readonly id: string }

type Next = Transition<MinPositionState, MinPositionEffect>

/**
 * Creates the state without waiting reads.
 * @param servers - all servers of the database
 * @param settings - times and bounds
 * @returns the initial state
 */
export function initialMinPosition (servers: readonly ServerName[], settings: MinPositionSettings): MinPositionState {
  return { settings, servers, lastRound: 0, running: undefined, waiting: [] }
}

/**
 * Step function of the minimum position rounds.
 * @param state - the current state
 * @param event - the event
 * @returns the next state and the effects
 */
export function minPositionStep (state: MinPositionState, event: MinPositionEvent): Next {
  switch (event.kind) {
    case 'requested': return addRead(state, event.id, event.nowMs)
    case 'roundAnswered': return completeRound(recordRoundResponse(state, event.round, event.server, event.received), event.nowMs)
    case 'roundFailed': return completeRound(recordRoundFailure(state, event.round, event.server), event.nowMs)
    case 'serversChanged': return completeRound(replaceServers(state, event.servers), event.nowMs)
    case 'tick': return completeRound(state, event.nowMs)
  }
}

function addRead (state: MinPositionState, id: string, nowMs: number): Next {
  if (state.waiting.length >= state.settings.maxWaiting) return { state, effects: [{ kind: 'noMinPosition', id }] }
  const waiting = { ...state, waiting: [...state.waiting, id] }
  return state.running === undefined ? startRound(waiting, nowMs) : withoutEffects(waiting)
}

function startRound (state: MinPositionState, nowMs: number): Next {
  if (state.waiting.length === 0) return withoutEffects({ ...state, running: undefined })
  const round = state.lastRound + 1
  const running = { round, ids: state.waiting, startedAtMs: nowMs, responses: {}, failed: [] }
  return { state: { ...state, lastRound: round, running, waiting: [] }, effects: [{ kind: 'startRound', round }] }
}

function recordRoundResponse (state: MinPositionState, round: number, server: ServerName, received: Position): MinPositionState {
  const { running } = state
  if (running?.round !== round || !state.servers.includes(server)) return state
  return { ...state, running: { ...running, responses: { ...running.responses, [server]: received } } }
}

function recordRoundFailure (state: MinPositionState, round: number, server: ServerName): MinPositionState {
  const { running } = state
  if (running?.round !== round || running.failed.includes(server)) return state
  return { ...state, running: { ...running, failed: [...running.failed, server] } }
}

function replaceServers (state: MinPositionState, servers: readonly ServerName[]): MinPositionState {
  return { ...state, servers }
}

function completeRound (state: MinPositionState, nowMs: number): Next {
  const { running, servers, settings } = state
  if (running === undefined) return withoutEffects(state)
  const majority = majorityOf(servers.length)
  const responses = servers.flatMap(server => running.responses[server] ?? [])
  if (responses.length >= majority) {
    const position = responses.reduce(laterPosition, originPosition)
    return endRound(state, running.ids.map(id => ({ kind: 'minPosition', id, position })), nowMs)
  }
  const majorityImpossible = servers.filter(server => !running.failed.includes(server)).length < majority
  if (!majorityImpossible && nowMs - running.startedAtMs < settings.roundTimeoutMs) return withoutEffects(state)
  return endRound(state, running.ids.map(id => ({ kind: 'noMinPosition', id })), nowMs)
}

function endRound (state: MinPositionState, results: readonly MinPositionEffect[], nowMs: number): Next {
  const next = startRound(state, nowMs)
  return { state: next.state, effects: [...results, ...next.effects] }
}
