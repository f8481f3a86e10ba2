// Decides when a write is acknowledged: once a majority of the servers has
// reported a received position of the write's own term at or above it.
//
// Why such a write is in the log of every later primary. Positions of one term
// are written by one primary, so a server whose log ends at (T, j) holds every
// entry (T, i) with i <= j. A primary of a later term was promoted by a
// proposer that had fenced a majority for that term; one server S of it is
// also in the majority that received (T, i). S received it before its fence,
// because a fenced server takes no entry of a lower term. The proposer
// promotes the furthest log of its majority, which ends at or after S's. If
// that end is of term T, the log holds (T, i). If it is of a term between, the
// primary of that term holds (T, i) by the same argument, and so does the log.
//
// A position of a later term proves nothing: the server may have followed a
// primary that never had the write. So terms must be equal, and a write that
// reached no majority before its primary was replaced is never confirmed; its
// caller is told that the outcome is unknown.
//
// What a server reported once stays true, so late statuses do no harm, and a
// primary that has been replaced can gain no confirmation: a majority of the
// servers takes nothing of its term any more.
//
// Where a platform shows only the applied position, it takes the place of the
// received one: what is applied is received too, so all of this still holds,
// but each write then waits for the lag of the faster replica. Where it shows
// only the received position, confirmation is as here, but replicas cannot
// serve reads with a floor, because nobody knows what they have applied.

import type { Position, ServerName, ServerStatus } from '../model/index.js'
import { majorityOf } from '../failover/index.js'
import type { Transition } from '../pipe/index.js'

/** A write that waits for its confirmation. */
export type PendingWrite = {
  readonly id: string
  readonly position: Position
  readonly deadlineAtMs: number
}

/** What one server has reported. */
export type ReceivedIndexes = {
  readonly fencedTerm: number
  /** The highest index received in each term, for the latest terms only. */
  readonly indexByTerm: Readonly<Record<number, number>>
}

/** Writes that wait and what the servers of the database have received. */
export type QuorumWaitState = {
  readonly servers: readonly ServerName[]
  /** Whether a fence lasts; one that may be lifted makes no write hopeless. */
  readonly fences: 'lasting' | 'passing'
  readonly received: Readonly<Record<ServerName, ReceivedIndexes>>
  readonly pending: readonly PendingWrite[]
}

/** What happens to the confirmation of writes. Times are monotonic. */
export type QuorumWaitEvent =
  | { readonly kind: 'waiting', readonly id: string, readonly position: Position, readonly deadlineAtMs: number }
  | { readonly kind: 'statusReceived', readonly status: ServerStatus }
  | { readonly kind: 'serversChanged', readonly servers: readonly ServerName[] }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the waiting write is told. */
export type QuorumWaitEffect =
  | { readonly kind: 'confirmed', readonly id: string }
  /** The write may or may not last; the caller's outcome is unknown. */
  | { readonly kind: 'notConfirmed', readonly id: string }

/** Terms of which a server's received index is kept. */
const keptTerms = 2

/**
 * The state before any status came in.
 * @param servers - all servers of the database
 * @param fences - whether a fence lasts
 * @returns the empty state
 */
export function initialQuorumWait (servers: readonly ServerName[], fences: QuorumWaitState['fences'] = 'lasting'): QuorumWaitState {
  return { servers, fences, received: {}, pending: [] }
}

/**
 * The confirmation decision.
 * @param state - what waits and what was received
 * @param event - what happened
 * @returns the next state and who is told
 */
export function quorumWaitStep (state: QuorumWaitState, event: QuorumWaitEvent): Transition<QuorumWaitState, QuorumWaitEffect> {
  switch (event.kind) {
    case 'waiting': {
      const { id, position, deadlineAtMs } = event
      return settle({ ...state, pending: [...state.pending, { id, position, deadlineAtMs }] }, -Infinity)
    }
    case 'statusReceived': return settle(learn(state, event.status), -Infinity)
    case 'serversChanged': return settle({ ...state, servers: event.servers }, -Infinity)
    case 'tick': return settle(state, event.nowMs)
  }
}

function learn (state: QuorumWaitState, status: ServerStatus): QuorumWaitState {
  const before = state.received[status.server] ?? { fencedTerm: 0, indexByTerm: {} }
  const { term, index } = status.received
  const indexByTerm = { ...before.indexByTerm, [term]: Math.max(index, before.indexByTerm[term] ?? 0) }
  const receipt = {
    fencedTerm: Math.max(before.fencedTerm, status.fencedTerm),
    indexByTerm: latestTerms(indexByTerm)
  }
  return { ...state, received: { ...state.received, [status.server]: receipt } }
}

function latestTerms (indexByTerm: Readonly<Record<number, number>>): Readonly<Record<number, number>> {
  const terms = Object.entries(indexByTerm).sort(([a], [b]) => Number(b) - Number(a))
  return Object.fromEntries(terms.slice(0, keptTerms))
}

type Judgement = 'confirmed' | 'notConfirmed' | 'open'

function settle (state: QuorumWaitState, nowMs: number): Transition<QuorumWaitState, QuorumWaitEffect> {
  const judged = state.pending.map(write => ({ write, judgement: judge(state, write, nowMs) }))
  const effects = judged.flatMap(({ write, judgement }): readonly QuorumWaitEffect[] =>
    judgement === 'open' ? [] : [{ kind: judgement, id: write.id }])
  if (effects.length === 0) return { state, effects }
  const waiting = judged.filter(({ judgement }) => judgement === 'open').map(({ write }) => write)
  return { state: { ...state, pending: waiting }, effects }
}

function judge (state: QuorumWaitState, write: PendingWrite, nowMs: number): Judgement {
  const majority = majorityOf(state.servers.length)
  const holders = state.servers.filter(server => holds(state.received[server], write.position))
  if (holders.length >= majority) return 'confirmed'
  const hopefuls = state.servers.filter(server =>
    !holders.includes(server) && (state.fences === 'passing' || (state.received[server]?.fencedTerm ?? 0) <= write.position.term))
  const hopeless = holders.length + hopefuls.length < majority
  return hopeless || nowMs >= write.deadlineAtMs ? 'notConfirmed' : 'open'
}

function holds (receipt: ReceivedIndexes | undefined, position: Position): boolean {
  const index = receipt?.indexByTerm[position.term]
  return index !== undefined && index >= position.index
}

/**
 * Tells whether a position is confirmed by what was reported so far.
 * @param state - what was received
 * @param position - the position
 * @returns true where a majority received it in its own term
 */
export function hasQuorum (state: QuorumWaitState, position: Position): boolean {
  return judge(state, { id: '', position, deadlineAtMs: Infinity }, -Infinity) === 'confirmed'
}
