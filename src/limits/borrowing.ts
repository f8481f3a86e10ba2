// Borrowing. A host that is short of tokens borrows from the account's
// coordinator. The coordinator borrows from the hosts that own quota, from the
// first shortage until there has been none for some time. A request states what
// the borrower still holds, and the borrower reduces itself to that before it
// sends the request: decrease before increase.

import type { BorrowRequest, HostName, Quota, QuotaGrant } from '../model/index.js'
import { advanced, refreshed, type AccountLimit, type Lender } from './account.js'
import { loanedQuota, capLoans, withLoan } from './loans.js'
import { needsNoLoan, isShort, tokensAhead, targetQuota } from './quota-target.js'
import { relends, spareCapacity } from './lending.js'
import { answerHeadroomMs, answerTimeoutMs, requestPeriodMs, backoffMs, aggregationPeriodMs, renewBeforeMs, unmetDemandMs } from './settings.js'
import { subtractQuota, noQuota, capacityFor, minQuota } from './quota.js'

/** Updated account and the requests to send. */
export type BorrowResult = {
  readonly state: AccountLimit
  readonly requests: ReadonlyArray<{ readonly to: HostName, readonly request: BorrowRequest }>
}

/** Fields of a request that do not follow from the account's state. */
type RequestFields = Omit<BorrowRequest, 'account' | 'held' | 'answered'>

/** A grant of fewer tokens counts as empty. */
const minUsefulTokens = 0.5

const newLender: Lender = { loans: [], sequence: 0, sentMs: -Infinity, answerDueMs: undefined, nextRequestMs: -Infinity, backoffMs: backoffMs.initial, emptyAnswers: 0 }

/**
 * Requests a loan from the account's coordinator if this host is short of
 * tokens or a loan that it needs is about to expire. Returns a loan that is no
 * longer needed.
 * @param state - the account, advanced to now
 * @param coordinator - the account's coordinator
 * @param sequence - sequence number for a new request
 * @param nowMs - the time
 * @returns the account and the request, if any
 */
export function requestFromCoordinator (state: AccountLimit, coordinator: HostName, sequence: number, nowMs: number): BorrowResult {
  const lender = state.lenders.get(coordinator) ?? newLender
  if (!canRequest(state, lender, nowMs)) return { state, requests: [] }
  const held = loanedQuota(lender.loans, nowMs)
  if (needsNoLoan(state, nowMs)) return returnLoan(state, coordinator, held, sequence, nowMs)
  const target = targetQuota(state, nowMs)
  const want = subtractQuota(target, subtractQuota(state.available, held))
  if (!isShort(state, nowMs) && !needsRenewal(lender, want, nowMs)) return { state, requests: [] }
  return send(state, coordinator, { purpose: 'use', sequence, want, wantTokens: target.tokens, aheadTokens: tokensAhead(state, nowMs), returnedTokens: 0, isUrgent: state.waiting.length > 0 }, nowMs)
}

function returnLoan (state: AccountLimit, coordinator: HostName, held: Quota, sequence: number, nowMs: number): BorrowResult {
  if (held.ratePerS === 0 || relends(state)) return { state, requests: [] }
  const returnedTokens = Math.min(state.level, held.capacity)
  const remaining = { ...state, level: state.level - returnedTokens }
  return send(remaining, coordinator, { purpose: 'use', sequence, want: noQuota, wantTokens: 0, aheadTokens: 0, returnedTokens, isUrgent: false }, nowMs)
}

/**
 * Borrows, as the account's coordinator, from a host that owns quota.
 * @param state - the account, advanced to now
 * @param owner - the host that owns quota
 * @param sequence - sequence number for a new request
 * @param nowMs - the time
 * @returns the account and the request, if one is due
 */
export function borrowFromOwner (state: AccountLimit, owner: HostName, sequence: number, nowMs: number): BorrowResult {
  const lender = state.lenders.get(owner) ?? newLender
  const missing = missingTokens(state, nowMs)
  const isUrgent = missing > 0
  const isDue = nowMs - lender.sentMs >= (isUrgent ? lender.backoffMs : aggregationPeriodMs)
  if (!isDue || isAwaitingAnswer(lender, nowMs)) return { state, requests: [] }
  const wantTokens = isUrgent ? missing : state.limit.capacity
  return send(state, owner, { purpose: 'collect', sequence, want: state.limit, wantTokens, aheadTokens: 0, returnedTokens: 0, isUrgent }, nowMs)
}

/**
 * Counts the tokens that waiting requests lack on this host and at borrowers.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns a whole number of tokens
 */
export function missingTokens (state: AccountLimit, nowMs: number): number {
  const unmet = nowMs - state.unmet.atMs < unmetDemandMs ? state.unmet.tokens : 0
  return Math.max(0, Math.ceil(state.waiting.length + unmet - state.level))
}

/**
 * Applies the answer to a request.
 * @param state - the account
 * @param from - the lender
 * @param sequence - sequence number of the request
 * @param grant - the granted quota; undefined if the lender refused or did not answer
 * @param nowMs - the time
 * @returns the account advanced to now; an answer to an older request has no other effect
 */
export function applyAnswer (state: AccountLimit, from: HostName, sequence: number, grant: QuotaGrant | undefined, nowMs: number): AccountLimit {
  const current = advanced(state, nowMs)
  const lender = current.lenders.get(from)
  if (lender?.sequence !== sequence || lender.answerDueMs === undefined) return current
  const closed: Lender = { ...lender, answerDueMs: undefined, ...nextRequest(current, lender, grant, from, nowMs) }
  if (grant === undefined) return withLender(current, from, closed)
  const expiresMs = lender.sentMs + grant.validMs
  if (expiresMs <= nowMs) return withLender(current, from, closed)
  const loan = { ratePerS: grant.ratePerS, capacity: grant.capacity, expiresMs, sequence }
  const lent = withLender(current, from, { ...closed, loans: withLoan(lender.loans, loan, nowMs) })
  return { ...lent, level: Math.min(lent.available.capacity, lent.level + grant.tokens) }
}

function isAwaitingAnswer (lender: Lender, nowMs: number): boolean {
  return lender.answerDueMs !== undefined && nowMs < lender.answerDueMs
}

/**
 * Checks whether waiting requests may still receive tokens from a lender: an
 * answer is outstanding, or a lender gave one empty answer and, because of that
 * request, now aggregates quota itself.
 * @param state - the account
 * @param nowMs - the time
 * @returns false if the lenders have answered that they have none
 */
export function canReceiveTokens (state: AccountLimit, nowMs: number): boolean {
  for (const lender of state.lenders.values()) {
    if (isAwaitingAnswer(lender, nowMs)) return true
    if (lender.emptyAnswers === 1 && nowMs - lender.sentMs < answerTimeoutMs) return true
  }
  return false
}

function canRequest (state: AccountLimit, lender: Lender, nowMs: number): boolean {
  if (isAwaitingAnswer(lender, nowMs)) return false
  return state.waiting.length > 0 ? nowMs >= lender.nextRequestMs : nowMs - lender.sentMs >= requestPeriodMs
}

function needsRenewal (lender: Lender, want: Quota, nowMs: number): boolean {
  if (want.ratePerS === 0 || loanedQuota(lender.loans, nowMs).ratePerS === 0) return false
  return loanedQuota(lender.loans, nowMs + renewBeforeMs).ratePerS < want.ratePerS / 2
}

function send (state: AccountLimit, to: HostName, fields: RequestFields, nowMs: number): BorrowResult {
  const lender = state.lenders.get(to) ?? newLender
  const held = retainedQuota(state, lender, fields, nowMs)
  const requested: Lender = {
    ...lender,
    loans: capLoans(lender.loans, held),
    sequence: fields.sequence,
    sentMs: nowMs,
    answerDueMs: nowMs + answerTimeoutMs
  }
  const answered = Math.max(0, ...lender.loans.map(loan => loan.sequence))
  const request: BorrowRequest = { account: state.account, held, answered, ...fields }
  return { state: withLender(state, to, requested), requests: [{ to, request }] }
}

// Capacity that holds no token is returned, except for the capacity that a rate
// requires. A rate above the requested one is returned, too.
function retainedQuota (state: AccountLimit, lender: Lender, fields: RequestFields, nowMs: number): Quota {
  const held = loanedQuota(lender.loans, nowMs)
  if (fields.purpose === 'use' && fields.returnedTokens > 0) return noQuota
  const totalCapacity = [...state.lenders.values()].reduce((sum, other) => sum + loanedQuota(other.loans, nowMs).capacity, 0)
  const unneeded = spareCapacity(state, nowMs) - state.available.ratePerS * answerHeadroomMs / 1000
  const returned = totalCapacity === 0 ? 0 : Math.max(0, unneeded) * held.capacity / totalCapacity
  const rateCapacity = Math.min(held.capacity, capacityFor(held.ratePerS))
  const kept = { ratePerS: held.ratePerS, capacity: Math.max(rateCapacity, held.capacity - returned) }
  return fields.purpose === 'collect' || relends(state) ? kept : minQuota(kept, { ratePerS: fields.want.ratePerS, capacity: Infinity })
}

// A borrower that receives nothing for its waiting requests retries after an
// exponential back-off. The back-off of a coordinator towards owners has a larger
// maximum, because it sends requests to all of them.
function nextRequest (state: AccountLimit, lender: Lender, grant: QuotaGrant | undefined, from: HostName, nowMs: number): Pick<Lender, 'nextRequestMs' | 'backoffMs' | 'emptyAnswers'> {
  if (missingTokens(state, nowMs) === 0) return { nextRequestMs: nowMs, backoffMs: backoffMs.initial, emptyAnswers: 0 }
  if (grant !== undefined && grant.tokens >= minUsefulTokens) return { nextRequestMs: nowMs, backoffMs: Math.max(backoffMs.initial, lender.backoffMs / 2), emptyAnswers: 0 }
  const maxBackoffMs = state.sources?.coordinator === from ? backoffMs.max : aggregationPeriodMs
  return { nextRequestMs: nowMs + lender.backoffMs, backoffMs: Math.min(lender.backoffMs * 2, maxBackoffMs), emptyAnswers: lender.emptyAnswers + 1 }
}

function withLender (state: AccountLimit, host: HostName, lender: Lender): AccountLimit {
  return refreshed({ ...state, lenders: new Map(state.lenders).set(host, lender) })
}
