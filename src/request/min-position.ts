// Floors for reads of the newest state, such as session reads without a token.
// A floor is the highest received position among the answers of a majority of
// the servers, each asked after the read came in. Every write acknowledged
// before that was received by a majority, so one of the answers is at or above
// it, whoever leads now and whatever this host knew before.
//
// One round of questions serves all reads that wait when it starts. A read that
// comes in during a round waits for the next one: a server may have answered
// the running round before a write that the read must see.

import { laterPosition, originPosition, type Position, type ServerName } from '../model/index.js'
import { majorityOf } from '../failover/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'

/** Settings of these floors. */
export type MinPositionSettings = {
  /** A round without a majority of answers ends after this time. */
  readonly roundTimeoutMs: number
  /** How many reads may wait for a round. */
  readonly maxWaiting: number
}

/** Settings for servers that answer within milliseconds. */
export const defaultMinPositionSettings: MinPositionSettings = { roundTimeoutMs: 300, maxWaiting: 10_000 }

/** A round of questions under way. */
export type MinPositionRound = {
  readonly round: number
  readonly ids: readonly string[]
  readonly startedAtMs: number
  readonly answers: Readonly<Record<ServerName, Position>>
  readonly failed: readonly ServerName[]
}

/** Reads that wait for a floor in one database. */
export type MinPositionState = {
  readonly settings: MinPositionSettings
  readonly servers: readonly ServerName[]
  readonly lastRound: number
  readonly running: MinPositionRound | undefined
  /** Reads that came in after the running round started. */
  readonly waiting: readonly string[]
}

/** What happens to the floors. Times are monotonic. */
export type MinPositionEvent =
  | { readonly kind: 'asked', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'roundAnswered', readonly round: number, readonly server: ServerName, readonly received: Position, readonly nowMs: number }
  | { readonly kind: 'roundFailed', readonly round: number, readonly server: ServerName, readonly nowMs: number }
  | { readonly kind: 'serversChanged', readonly servers: readonly ServerName[], readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What is to be done about it. */
export type MinPositionEffect =
  /** Ask every server for its status now; no earlier answer will do. */
  | { readonly kind: 'startRound', readonly round: number }
  | { readonly kind: 'floor', readonly id: string, readonly position: Position }
  | { readonly kind: 'noFloor', readonly id: string }

type Next = Transition<MinPositionState, MinPositionEffect>

/**
 * The state before any read came in.
 * @param servers - all servers of the database
 * @param settings - times and bounds
 * @returns the empty state
 */
export function initialMinPosition (servers: readonly ServerName[], settings: MinPositionSettings): MinPositionState {
  return { settings, servers, lastRound: 0, running: undefined, waiting: [] }
}

/**
 * The decision on these floors.
 * @param state - who waits and what was answered
 * @param event - what happened
 * @returns the next state and what to do
 */
export function minPositionStep (state: MinPositionState, event: MinPositionEvent): Next {
  switch (event.kind) {
    case 'asked': return ask(state, event.id, event.nowMs)
    case 'roundAnswered': return settle(takeAnswer(state, event.round, event.server, event.received), event.nowMs)
    case 'roundFailed': return settle(takeFailure(state, event.round, event.server), event.nowMs)
    case 'serversChanged': return settle(changeServers(state, event.servers), event.nowMs)
    case 'tick': return settle(state, event.nowMs)
  }
}

function ask (state: MinPositionState, id: string, nowMs: number): Next {
  if (state.waiting.length >= state.settings.maxWaiting) return { state, effects: [{ kind: 'noFloor', id }] }
  const waiting = { ...state, waiting: [...state.waiting, id] }
  return state.running === undefined ? startRound(waiting, nowMs) : withoutEffects(waiting)
}

function startRound (state: MinPositionState, nowMs: number): Next {
  if (state.waiting.length === 0) return withoutEffects({ ...state, running: undefined })
  const round = state.lastRound + 1
  const running = { round, ids: state.waiting, startedAtMs: nowMs, answers: {}, failed: [] }
  return { state: { ...state, lastRound: round, running, waiting: [] }, effects: [{ kind: 'startRound', round }] }
}

function takeAnswer (state: MinPositionState, round: number, server: ServerName, received: Position): MinPositionState {
  const { running } = state
  if (running?.round !== round || !state.servers.includes(server)) return state
  return { ...state, running: { ...running, answers: { ...running.answers, [server]: received } } }
}

function takeFailure (state: MinPositionState, round: number, server: ServerName): MinPositionState {
  const { running } = state
  if (running?.round !== round || running.failed.includes(server)) return state
  return { ...state, running: { ...running, failed: [...running.failed, server] } }
}

function changeServers (state: MinPositionState, servers: readonly ServerName[]): MinPositionState {
  return { ...state, servers }
}

function settle (state: MinPositionState, nowMs: number): Next {
  const { running, servers, settings } = state
  if (running === undefined) return withoutEffects(state)
  const majority = majorityOf(servers.length)
  const answers = servers.flatMap(server => running.answers[server] ?? [])
  if (answers.length >= majority) {
    const position = answers.reduce(laterPosition, originPosition)
    return finish(state, running.ids.map(id => ({ kind: 'floor', id, position })), nowMs)
  }
  const hopeless = servers.filter(server => !running.failed.includes(server)).length < majority
  if (!hopeless && nowMs - running.startedAtMs < settings.roundTimeoutMs) return withoutEffects(state)
  return finish(state, running.ids.map(id => ({ kind: 'noFloor', id })), nowMs)
}

function finish (state: MinPositionState, told: readonly MinPositionEffect[], nowMs: number): Next {
  const next = startRound(state, nowMs)
  return { state: next.state, effects: [...told, ...next.effects] }
}
