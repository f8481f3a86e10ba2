// Recall of loans. A host that has just started does not know what the process
// before it has lent, and its seats rest until the longest loan would have run
// out. So it asks every host of a list that is younger than its start for what
// it holds: a host that lends nothing on drops it at once, one that does says
// how long it goes on. Once all have answered, the seats rest no longer than
// the last of these loans.
//
// Only listed hosts are lent anything, and a listed host stays in the list for
// longer than any loan, so nobody else can hold one. A loan whose answer is
// still on its way is void, because the borrower awaits it no more.

import type { HostName } from '../model/index.js'
import { advanced, refreshed, type AccountLimit, type Lender } from './account.js'
import { lendsOn } from './lending.js'
import { seatQuietMs } from './settings.js'

/** What one host held of another, when it was asked. */
export type RecallAnswer = {
  /** How long it goes on with what it holds; 0: it holds nothing any more. */
  readonly freeInMs: number
  /** For how long it has surely held nothing. */
  readonly unusedMs: number
}

/** How far a recall is. Times are monotonic. */
export type Recall =
  /** No list of hosts is known that is younger than the start. */
  | { readonly kind: 'unlisted' }
  | { readonly kind: 'asking', readonly pending: ReadonlySet<HostName>, readonly freeAtMs: number, readonly unusedSinceMs: number }
  /** Nobody uses the loans from `freeAtMs` on, or has used them since `unusedSinceMs`. */
  | { readonly kind: 'answered', readonly freeAtMs: number, readonly unusedSinceMs: number }

/** The recall of a host that has just started. */
export const newRecall: Recall = { kind: 'unlisted' }

/**
 * Begins to ask the other hosts.
 * @param hosts - all other hosts of a list that was asked for after the start
 * @param startedAtMs - when this process started
 * @returns the recall
 */
export function beginRecall (hosts: readonly HostName[], startedAtMs: number): Recall {
  return settled({ kind: 'asking', pending: new Set(hosts), freeAtMs: startedAtMs, unusedSinceMs: startedAtMs })
}

/**
 * Takes in the answer of a host.
 * @param recall - the recall
 * @param from - the host
 * @param answer - what it held
 * @param nowMs - when the answer came in
 * @returns the recall then
 */
export function takeRecallAnswer (recall: Recall, from: HostName, answer: RecallAnswer, nowMs: number): Recall {
  if (recall.kind !== 'asking' || !recall.pending.has(from)) return recall
  const pending = new Set(recall.pending)
  pending.delete(from)
  const freeAtMs = answer.freeInMs === 0 ? recall.freeAtMs : Math.max(recall.freeAtMs, nowMs + answer.freeInMs)
  return settled({ ...recall, pending, freeAtMs, unusedSinceMs: Math.max(recall.unusedSinceMs, nowMs - answer.unusedMs, freeAtMs) })
}

function settled (recall: Extract<Recall, { readonly kind: 'asking' }>): Recall {
  const { pending, freeAtMs, unusedSinceMs } = recall
  return pending.size > 0 ? recall : { kind: 'answered', freeAtMs, unusedSinceMs }
}

/**
 * Tells from when on the seats of the process before may be used.
 * @param recall - the recall
 * @param startedAtMs - when this process started
 * @returns the time
 */
export function restsUntilMs (recall: Recall, startedAtMs: number): number {
  const longestMs = startedAtMs + seatQuietMs
  switch (recall.kind) {
    case 'unlisted':
    case 'asking': return longestMs
    case 'answered': return Math.min(recall.freeAtMs, longestMs)
  }
}

/** An account after a recall, and for how long it still holds loans of the lender. */
export type Released = {
  readonly state: AccountLimit
  readonly freeInMs: number
}

/**
 * Drops what an account has borrowed from a host, unless it covers what is lent on.
 * @param state - the account
 * @param lender - the host
 * @param nowMs - the time
 * @returns the account; an answer of the lender that is on its way is void
 */
export function releaseLoans (state: AccountLimit, lender: HostName, nowMs: number): Released {
  const known = state.lenders.get(lender)
  if (known === undefined) return { state, freeInMs: 0 }
  const current = advanced(state, nowMs)
  const closed: Lender = { ...known, loans: known.loans.filter(loan => loan.expiresMs > nowMs), openUntilMs: undefined }
  const lastMs = Math.max(nowMs, ...closed.loans.map(loan => loan.expiresMs))
  const mustKeep = lastMs > nowMs && lendsOn(current)
  const kept: Lender = mustKeep ? closed : { ...closed, loans: [] }
  return {
    state: refreshed({ ...current, lenders: new Map(current.lenders).set(lender, kept) }),
    freeInMs: mustKeep ? lastMs - nowMs : 0
  }
}
