// Decides when a write is acknowledged: once a majority of the servers has
// reported a received position of the write's own term at or above it. Terms,
// fences and proposers are those of src/failover: proposal.ts there describes one
// promotion, settings.ts both promotion methods.
//
// Why such a write is in the log of every later primary. Positions of one term
// are written by one primary, so a server whose log ends at (T, j) holds every
// entry (T, i) with i <= j. A primary of a later term was promoted by a
// proposer that had fenced a majority for that term; one server S of it is
// also in the majority that received (T, i). S received it before its fence,
// because a fenced server accepts no entry of a lower term. The proposer
// promotes the most advanced log of its majority, which ends at or after S's.
// If that end is of term T, the log holds (T, i). If it is of a term between,
// the primary of that term holds (T, i) by the same argument, and so does the
// log.
//
// A position of a later term proves nothing: the server may have followed a
// primary that never had the write. So terms must be equal, and a write that
// reached no majority before its primary was replaced never gets a quorum; its
// caller receives an unknown outcome.
//
// A status stays true once it was reported, so late statuses do no harm, and a
// primary that has been replaced can get no further quorum: a majority of the
// servers accepts no entry of its term any more.
//
// Fences are permanent with the promotion method `byQuorum` and temporary with
// `byLeader`, where the platform promotes on the order of the one host that holds
// the leader lease. A fence then ends when the server is resumed or restarts, so
// the argument holds only as far as the fenced majority stays fenced until the
// promotion; this file does not check that.
//
// The drivers in src/wire and platform read both positions. A driver that knows
// only the applied position may report it as the received one: an applied entry
// is also received, so the argument still holds, but each write then waits for
// the lag of the replica that completes the majority.
// Where a platform reports only the received position, writes are acknowledged
// as described here, but replicas cannot serve reads with a minimum position,
// because their applied positions are unknown.

import type { Position, ServerName, ServerStatus } from '../model/index.js'
import { majorityOf } from '../failover/index.js'
import type { Transition } from '../pipe/index.js'

/** A write that waits for a quorum. */
export type PendingWrite = {
  readonly id: string
  readonly position: Position
  readonly deadlineAtMs: number
}

/** Received indexes and the highest fence that one server has reported. */
export type ReceivedIndexes = {
  readonly fencedTerm: number
  /** Highest received index by term, for the latest terms only. */
  readonly indexByTerm: Readonly<Record<number, number>>
}

/** Pending writes and what the servers of the database have received. */
export type QuorumWaitState = {
  readonly servers: readonly ServerName[]
  /**
   * Whether fences are permanent or temporary. A server whose fence may be
   * lifted can still receive a write of an older term.
   */
  readonly fences: 'permanent' | 'temporary'
  readonly received: Readonly<Record<ServerName, ReceivedIndexes>>
  readonly pending: readonly PendingWrite[]
}

/** Events of the quorum wait. Times are monotonic. */
export type QuorumWaitEvent =
  | { readonly kind: 'pending', readonly id: string, readonly position: Position, readonly deadlineAtMs: number }
  | { readonly kind: 'statusReceived', readonly status: ServerStatus }
  | { readonly kind: 'serversChanged', readonly servers: readonly ServerName[] }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Results for pending writes. */
export type QuorumWaitEffect =
  /** A majority has received the write in its own term. */
  | { readonly kind: 'quorumReached', readonly id: string }
  /**
   * No quorum was reached; the write may or may not last, so its outcome is
   * unknown.
   */
  | { readonly kind: 'quorumNotReached', readonly id: string }

/**
 * Number of terms for which a server's received index is kept: the latest one and
 * the one before, whose writes may be pending at a change of primary. A server
 * no longer counts for writes of an older term, which may end without a quorum.
 */
const maxTermsPerServer = 2

/**
 * Creates the state without statuses or pending writes.
 * @param servers - all servers of the database
 * @param fences - whether a fence is permanent
 * @returns the initial state
 */
export function initialQuorumWait (servers: readonly ServerName[], fences: QuorumWaitState['fences'] = 'permanent'): QuorumWaitState {
  return { servers, fences, received: {}, pending: [] }
}

/**
 * Step function of the quorum wait.
 * @param state - the current state
 * @param event - the event
 * @returns the next state and the results of writes that were decided
 */
export function quorumWaitStep (state: QuorumWaitState, event: QuorumWaitEvent): Transition<QuorumWaitState, QuorumWaitEffect> {
  switch (event.kind) {
    case 'pending': {
      const { id, position, deadlineAtMs } = event
      return decidePending({ ...state, pending: [...state.pending, { id, position, deadlineAtMs }] }, -Infinity)
    }
    case 'statusReceived': return decidePending(recordStatus(state, event.status), -Infinity)
    case 'serversChanged': return decidePending({ ...state, servers: event.servers }, -Infinity)
    case 'tick': return decidePending(state, event.nowMs)
  }
}

function recordStatus (state: QuorumWaitState, status: ServerStatus): QuorumWaitState {
  const before = state.received[status.server] ?? { fencedTerm: 0, indexByTerm: {} }
  const { term, index } = status.received
  const indexByTerm = { ...before.indexByTerm, [term]: Math.max(index, before.indexByTerm[term] ?? 0) }
  const indexes = {
    fencedTerm: Math.max(before.fencedTerm, status.fencedTerm),
    indexByTerm: latestTerms(indexByTerm)
  }
  return { ...state, received: { ...state.received, [status.server]: indexes } }
}

function latestTerms (indexByTerm: Readonly<Record<number, number>>): Readonly<Record<number, number>> {
  const terms = Object.entries(indexByTerm).sort(([a], [b]) => Number(b) - Number(a))
  return Object.fromEntries(terms.slice(0, maxTermsPerServer))
}

type WriteDecision = 'quorumReached' | 'quorumNotReached' | 'pending'

function decidePending (state: QuorumWaitState, nowMs: number): Transition<QuorumWaitState, QuorumWaitEffect> {
  const decided = state.pending.map(write => ({ write, decision: decideWrite(state, write, nowMs) }))
  const effects = decided.flatMap(({ write, decision }): readonly QuorumWaitEffect[] =>
    decision === 'pending' ? [] : [{ kind: decision, id: write.id }])
  if (effects.length === 0) return { state, effects }
  const pending = decided.filter(({ decision }) => decision === 'pending').map(({ write }) => write)
  return { state: { ...state, pending }, effects }
}

function decideWrite (state: QuorumWaitState, write: PendingWrite, nowMs: number): WriteDecision {
  const majority = majorityOf(state.servers.length)
  const receivers = state.servers.filter(server => hasReceived(state.received[server], write.position))
  if (receivers.length >= majority) return 'quorumReached'
  // Servers that may still receive the write: under permanent fences only those
  // that are not fenced above its term.
  const candidates = state.servers.filter(server =>
    !receivers.includes(server) && (state.fences === 'temporary' || (state.received[server]?.fencedTerm ?? 0) <= write.position.term))
  const quorumImpossible = receivers.length + candidates.length < majority
  return quorumImpossible || nowMs >= write.deadlineAtMs ? 'quorumNotReached' : 'pending'
}

function hasReceived (indexes: ReceivedIndexes | undefined, position: Position): boolean {
  const index = indexes?.indexByTerm[position.term]
  return index !== undefined && index >= position.index
}

/**
 * Decides whether a position has a quorum according to the statuses so far.
 * @param state - the current state
 * @param position - the position
 * @returns true if a majority has received it in its own term
 */
export function hasQuorum (state: QuorumWaitState, position: Position): boolean {
  return decideWrite(state, { id: '', position, deadlineAtMs: Infinity }, -Infinity) === 'quorumReached'
}
