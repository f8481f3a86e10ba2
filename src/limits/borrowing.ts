// Borrowing. A host that is short asks the account's home; the home collects
// from those who own shares, from when somebody was short until nobody has
// been for a while. A request says what the borrower still holds and limits
// it to that before the request leaves: decrease before increase.

import type { BorrowRequest, HostName, Quota, QuotaGrant } from '../model/index.js'
import { advanced, refreshed, type AccountLimit, type Lender } from './account.js'
import { heldAt, limitTo, withLoan } from './loans.js'
import { needsNothing, isShort, tokensAhead, wantedShare } from './quota-target.js'
import { lendsOn, sparedCapacity } from './lending.js'
import { answerRoomMs, answerTimeoutMs, askPeriodMs, backoffMs, collectPeriodMs, renewBeforeMs, unmetMs } from './settings.js'
import { minus, noShare, roomFor, smaller } from './quota.js'

/** An account after a decision, and the requests to send. */
export type Asking = {
  readonly state: AccountLimit
  readonly requests: ReadonlyArray<{ readonly to: HostName, readonly request: BorrowRequest }>
}

/** What a request asks for; the rest of it is known from the account. */
type Asks = Omit<BorrowRequest, 'account' | 'held' | 'answered'>

/** A grant of fewer tokens is as good as none. */
const usefulTokens = 0.5

const newLender: Lender = { loans: [], sequence: 0, sentMs: -Infinity, openUntilMs: undefined, nextAskMs: -Infinity, backoffMs: backoffMs.first, emptyAnswers: 0 }

/**
 * Asks the account's home for a loan where this host is short or a loan that
 * it needs is about to run out.
 * @param state - the account, advanced to now
 * @param home - the account's home
 * @param sequence - sequence for a new request
 * @param nowMs - the time
 * @returns the account and the request, if any
 */
export function askHome (state: AccountLimit, home: HostName, sequence: number, nowMs: number): Asking {
  const lender = state.lenders.get(home) ?? newLender
  if (!mayAsk(state, lender, nowMs)) return { state, requests: [] }
  const held = heldAt(lender.loans, nowMs)
  if (needsNothing(state, nowMs)) return giveBack(state, home, held, sequence, nowMs)
  const wanted = wantedShare(state, nowMs)
  const want = minus(wanted, minus(state.usable, held))
  if (!isShort(state, nowMs) && !needsRenewal(lender, want, nowMs)) return { state, requests: [] }
  return send(state, home, { purpose: 'use', sequence, want, wantTokens: wanted.tokens, aheadTokens: tokensAhead(state, nowMs), returnedTokens: 0, isUrgent: state.waiting.length > 0 }, nowMs)
}

function giveBack (state: AccountLimit, home: HostName, held: Quota, sequence: number, nowMs: number): Asking {
  if (held.ratePerS === 0 || lendsOn(state)) return { state, requests: [] }
  const returnedTokens = Math.min(state.level, held.capacity)
  const without = { ...state, level: state.level - returnedTokens }
  return send(without, home, { purpose: 'use', sequence, want: noShare, wantTokens: 0, aheadTokens: 0, returnedTokens, isUrgent: false }, nowMs)
}

/**
 * Collects, as the account's home, from one who owns a share.
 * @param state - the account, advanced to now
 * @param owner - the owner
 * @param sequence - sequence for a new request
 * @param nowMs - the time
 * @returns the account and the request, if one is due
 */
export function collect (state: AccountLimit, owner: HostName, sequence: number, nowMs: number): Asking {
  const lender = state.lenders.get(owner) ?? newLender
  const missing = missingTokens(state, nowMs)
  const isUrgent = missing > 0
  const isDue = nowMs - lender.sentMs >= (isUrgent ? lender.backoffMs : collectPeriodMs)
  if (!isDue || isOpen(lender, nowMs)) return { state, requests: [] }
  const wantTokens = isUrgent ? missing : state.limit.capacity
  return send(state, owner, { purpose: 'collect', sequence, want: state.limit, wantTokens, aheadTokens: 0, returnedTokens: 0, isUrgent }, nowMs)
}

/**
 * Tokens that requests wait for here and at borrowers.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns tokens
 */
export function missingTokens (state: AccountLimit, nowMs: number): number {
  const unmet = nowMs - state.unmet.atMs < unmetMs ? state.unmet.tokens : 0
  return Math.max(0, Math.ceil(state.waiting.length + unmet - state.level))
}

/**
 * Takes in the answer to a request.
 * @param state - the account
 * @param from - the lender
 * @param sequence - sequence of the request
 * @param grant - what is lent; undefined where it refused or did not answer
 * @param nowMs - the time
 * @returns the account; unchanged where the answer is late
 */
export function takeAnswer (state: AccountLimit, from: HostName, sequence: number, grant: QuotaGrant | undefined, nowMs: number): AccountLimit {
  const current = advanced(state, nowMs)
  const lender = current.lenders.get(from)
  if (lender?.sequence !== sequence || lender.openUntilMs === undefined) return current
  const closed: Lender = { ...lender, openUntilMs: undefined, ...nextAsk(current, lender, grant, from, nowMs) }
  if (grant === undefined) return withLender(current, from, closed)
  const expiresMs = lender.sentMs + grant.validMs
  if (expiresMs <= nowMs) return withLender(current, from, closed)
  const loan = { ratePerS: grant.ratePerS, capacity: grant.capacity, expiresMs, sequence }
  const lent = withLender(current, from, { ...closed, loans: withLoan(lender.loans, loan, nowMs) })
  return { ...lent, level: Math.min(lent.usable.capacity, lent.level + grant.tokens) }
}

function isOpen (lender: Lender, nowMs: number): boolean {
  return lender.openUntilMs !== undefined && nowMs < lender.openUntilMs
}

/**
 * Tells whether lenders may still bring tokens for the requests that wait: one
 * has not answered yet, or has answered once, which made it collect.
 * @param state - the account
 * @param nowMs - the time
 * @returns false where they have answered that there are none
 */
export function mayBringTokens (state: AccountLimit, nowMs: number): boolean {
  for (const lender of state.lenders.values()) {
    if (isOpen(lender, nowMs)) return true
    if (lender.emptyAnswers === 1 && nowMs - lender.sentMs < answerTimeoutMs) return true
  }
  return false
}

function mayAsk (state: AccountLimit, lender: Lender, nowMs: number): boolean {
  if (isOpen(lender, nowMs)) return false
  return state.waiting.length > 0 ? nowMs >= lender.nextAskMs : nowMs - lender.sentMs >= askPeriodMs
}

function needsRenewal (lender: Lender, want: Quota, nowMs: number): boolean {
  if (want.ratePerS === 0 || heldAt(lender.loans, nowMs).ratePerS === 0) return false
  return heldAt(lender.loans, nowMs + renewBeforeMs).ratePerS < want.ratePerS / 2
}

function send (state: AccountLimit, to: HostName, asks: Asks, nowMs: number): Asking {
  const lender = state.lenders.get(to) ?? newLender
  const held = keptLoan(state, lender, asks, nowMs)
  const asked: Lender = {
    ...lender,
    loans: limitTo(lender.loans, held),
    sequence: asks.sequence,
    sentMs: nowMs,
    openUntilMs: nowMs + answerTimeoutMs
  }
  const answered = Math.max(0, ...lender.loans.map(loan => loan.sequence))
  const request: BorrowRequest = { account: state.account, held, answered, ...asks }
  return { state: withLender(state, to, asked), requests: [{ to, request }] }
}

// Capacity that holds no token is given back, but for the room that a rate
// needs, and so is a rate that is not wanted.
function keptLoan (state: AccountLimit, lender: Lender, asks: Asks, nowMs: number): Quota {
  const held = heldAt(lender.loans, nowMs)
  if (asks.purpose === 'use' && asks.returnedTokens > 0) return noShare
  const all = [...state.lenders.values()].reduce((sum, other) => sum + heldAt(other.loans, nowMs).capacity, 0)
  const room = sparedCapacity(state, nowMs) - state.usable.ratePerS * answerRoomMs / 1000
  const spared = all === 0 ? 0 : Math.max(0, room) * held.capacity / all
  const rateRoom = Math.min(held.capacity, roomFor(held.ratePerS))
  const kept = { ratePerS: held.ratePerS, capacity: Math.max(rateRoom, held.capacity - spared) }
  return asks.purpose === 'collect' || lendsOn(state) ? kept : smaller(kept, { ratePerS: asks.want.ratePerS, capacity: Infinity })
}

// Who gets nothing for requests that wait asks again after a growing time; the
// home's owners less often, because it asks all of them.
function nextAsk (state: AccountLimit, lender: Lender, grant: QuotaGrant | undefined, from: HostName, nowMs: number): Pick<Lender, 'nextAskMs' | 'backoffMs' | 'emptyAnswers'> {
  if (missingTokens(state, nowMs) === 0) return { nextAskMs: nowMs, backoffMs: backoffMs.first, emptyAnswers: 0 }
  if (grant !== undefined && grant.tokens >= usefulTokens) return { nextAskMs: nowMs, backoffMs: Math.max(backoffMs.first, lender.backoffMs / 2), emptyAnswers: 0 }
  const longestMs = state.placement?.home === from ? backoffMs.longest : collectPeriodMs
  return { nextAskMs: nowMs + lender.backoffMs, backoffMs: Math.min(lender.backoffMs * 2, longestMs), emptyAnswers: lender.emptyAnswers + 1 }
}

function withLender (state: AccountLimit, host: HostName, lender: Lender): AccountLimit {
  return refreshed({ ...state, lenders: new Map(state.lenders).set(host, lender) })
}
