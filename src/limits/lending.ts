// Lending. A host lends the quota that it owns and does not need to the
// account's coordinator, which re-lends it to hosts with demand. A coordinator
// lends only what its own quota and the loans to it cover until the new loan
// expires. If the demand exceeds the quota, every host receives the same
// fraction of its demand.

import type { BorrowRequest, Quota, QuotaGrant } from '../model/index.js'
import { advanced, borrowedQuota, lentQuota, ownQuota, refreshed, tokenTolerance, type AccountLimit, type Borrower } from './account.js'
import { loanedQuota, capLoans, withLoan } from './loans.js'
import { keptQuota, reservedQuota, usedPerS, type QuotaWithTokens } from './quota-target.js'
import { coordinatorLoanMs, lenderMarginMs, tokenLoanMs, hostLoanMs } from './settings.js'
import { subtractQuota, noQuota, addQuotas, capacityFor } from './quota.js'

/**
 * Minimum capacity at which a rate is useful: a smaller bucket loses tokens that
 * accrue between two requests (see `capacityFor`).
 */
const minRateCapacity = 1.5

/** Tokens above this fraction of a lender's capacity are surplus. */
const surplusFraction = 0.85
/** There is a surplus only while at most this fraction of the rate is in use. */
const maxUsedFraction = 0.75

const noReserve: QuotaWithTokens = { ...noQuota, tokens: 0 }

/** Updated account and the grant. */
export type LendResult = {
  readonly state: AccountLimit
  readonly grant: QuotaGrant | undefined
}

/**
 * Answers a request to borrow.
 * @param state - the account
 * @param key - the borrower: host and incarnation
 * @param request - the request
 * @param nowMs - the time
 * @returns the account and the grant; no grant for an outdated request
 */
export function lend (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): LendResult {
  const before = advanced(state, nowMs)
  const known = before.borrowers.get(key)
  if (known !== undefined && known.sequence >= request.sequence) return { state: before, grant: undefined }
  const returned = Math.min(request.returnedTokens, freedCapacity(known, request, nowMs))
  const borrower: Borrower = {
    purpose: request.purpose,
    loans: capLoans(known?.loans ?? [], request.held),
    sequence: request.sequence,
    want: request.want
  }
  const requested = withTokens(withBorrower(before, key, borrower), returned)
  return withGrant(requested, key, borrower, offerFor(requested, key, request, nowMs), request, nowMs)
}

/**
 * Computes the quota that a host can re-lend for the duration of a loan.
 * @param state - the account
 * @param nowMs - the time
 * @returns the covered quota minus the quota already lent
 */
export function relendableQuota (state: AccountLimit, nowMs: number): Quota {
  return subtractQuota(coverageFor(state, hostLoanMs, nowMs), lentQuota(state, nowMs, () => true))
}

// Quota that covers a loan of `validMs` made now: own quota, plus the borrowed
// quota that is still valid when the lender's record of the loan expires.
function coverageFor (state: AccountLimit, validMs: number, nowMs: number): Quota {
  return addQuotas(ownQuota(state, nowMs), borrowedQuota(state, nowMs + validMs + lenderMarginMs))
}

// Capacity that the borrower releases with this request. Returned tokens above it
// are discarded: the loan that they came with may have expired. Loans after
// `answered` are not counted: the borrower had not received them, so none of its
// tokens came with them.
function freedCapacity (known: Borrower | undefined, { held, answered }: BorrowRequest, nowMs: number): number {
  const loans = known?.loans.filter(loan => loan.sequence <= answered) ?? []
  return Math.max(0, loanedQuota(loans, nowMs).capacity - held.capacity)
}

function withTokens (state: AccountLimit, tokens: number): AccountLimit {
  return { ...state, level: Math.min(state.available.capacity, state.level + tokens) }
}

function withBorrower (state: AccountLimit, key: string, borrower: Borrower): AccountLimit {
  return refreshed({ ...state, borrowers: new Map(state.borrowers).set(key, borrower) })
}

/** Quota to lend, duration of the loan, and maximum tokens granted with it. */
type Offer = { readonly quota: Quota, readonly validMs: number, readonly tokens: number }

function offerFor (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Offer {
  switch (request.purpose) {
    case 'collect': return { quota: offeredToCoordinator(state, key, request, nowMs), validMs: coordinatorLoanMs, tokens: request.wantTokens }
    case 'use': return hostOffer(state, key, request, nowMs)
  }
}

// A short loan requires cover for a short time only, so it remains possible for
// waiting requests when the loans from owners are about to expire.
function hostOffer (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Offer {
  const fraction = fairFraction(state, key, request, hostLoanMs, nowMs)
  const hasRate = request.want.ratePerS > 0 && request.want.capacity * fraction >= minRateCapacity
  const long = { quota: offeredToHost(state, key, request, { fraction, validMs: hostLoanMs }, nowMs), validMs: hostLoanMs, tokens: request.wantTokens }
  const isEnough = long.quota.capacity - request.held.capacity >= Math.min(1, request.wantTokens)
  if (hasRate && (isEnough || !request.isUrgent)) return long
  const tokens = hasRate ? 0 : tokensIncludingAhead(state, key, request, nowMs)
  if (tokens > request.wantTokens) return { quota: { ratePerS: 0, capacity: request.held.capacity + tokens }, validMs: hostLoanMs, tokens }
  const quota = offeredToHost(state, key, request, { fraction, validMs: tokenLoanMs }, nowMs)
  return { quota: hasRate ? quota : tokenOnlyQuota(state, quota, request, nowMs), validMs: tokenLoanMs, tokens: request.wantTokens }
}

// Tokens for future requests are lost if none arrive in time, so a lender grants
// them only from a bucket that stays nearly full.
function tokensIncludingAhead (state: AccountLimit, key: string, { held, wantTokens, aheadTokens }: BorrowRequest, nowMs: number): number {
  if (usedPerS(state, nowMs) > state.limit.ratePerS * maxUsedFraction) return wantTokens
  const lent = lentQuota(state, nowMs, (_, other) => other !== key)
  const availableCapacity = subtractQuota(coverageFor(state, hostLoanMs, nowMs), lent).capacity - held.capacity
  const surplus = state.level - state.available.capacity * surplusFraction
  const ahead = Math.floor(Math.min(aheadTokens, availableCapacity - wantTokens, surplus - wantTokens))
  return wantTokens + Math.max(0, ahead)
}

// A loan without a rate, or with capacity for less than one request at a time,
// serves whole requests or none: a fraction of a token would be lost with the
// loan, and capacity without a token would be blocked. If the borrower wants no
// rate and all tokens that it requests can be lent, the exact number is lent: a
// borrower without a reserve requests what its waiting requests lack.
function tokenOnlyQuota (state: AccountLimit, quota: Quota, request: BorrowRequest, nowMs: number): Quota {
  const { held, want, wantTokens, isUrgent } = request
  const reserved = reservedQuota(state, isUrgent, nowMs).tokens
  const spare = Math.max(0, Math.min(state.level - reserved, quota.capacity - held.capacity) + tokenTolerance)
  const completesAll = want.ratePerS === 0 && wantTokens <= spare
  return { ratePerS: 0, capacity: held.capacity + (completesAll ? wantTokens : Math.floor(Math.min(wantTokens, spare))) }
}

function offeredToCoordinator (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Quota {
  const lent = lentQuota(state, nowMs, (_, other) => other !== key)
  const unlent = subtractQuota(ownQuota(state, nowMs), lent)
  return subtractQuota(unlent, reservedFor(state, request, nowMs))
}

// Own quota without capacity for a whole request is usable only at the coordinator.
function reservedFor (state: AccountLimit, request: BorrowRequest, nowMs: number): QuotaWithTokens {
  const isTooSmall = request.purpose === 'collect' && ownQuota(state, nowMs).capacity < minRateCapacity
  if (isTooSmall) return noReserve
  return request.purpose === 'collect' && !request.isUrgent ? keptQuota(state, nowMs) : reservedQuota(state, request.isUrgent, nowMs)
}

function offeredToHost (state: AccountLimit, key: string, request: BorrowRequest, { fraction, validMs }: { readonly fraction: number, readonly validMs: number }, nowMs: number): Quota {
  const coverage = coverageFor(state, validMs, nowMs)
  const reserved = reservedQuota(state, request.isUrgent, nowMs)
  const lent = lentQuota(state, nowMs, (_, other) => other !== key)
  const unreserved = subtractQuota(subtractQuota(coverage, lent), { ratePerS: reserved.ratePerS * fraction, capacity: reserved.capacity * fraction })
  const ratePerS = Math.min(request.want.ratePerS * fraction, unreserved.ratePerS)
  const tokenCapacity = request.held.capacity + request.wantTokens
  const capacity = Math.max(request.want.capacity * fraction, tokenCapacity)
  // The rate that stays on this host requires capacity, too.
  const lendableCapacity = Math.max(unreserved.capacity - capacityFor(unreserved.ratePerS - ratePerS), tokenCapacity)
  return { ratePerS, capacity: Math.min(capacity, lendableCapacity, unreserved.capacity) }
}

// Fraction of the requested rate that each host receives if the demand exceeds the quota.
function fairFraction (state: AccountLimit, key: string, request: BorrowRequest, validMs: number, nowMs: number): number {
  const coverage = coverageFor(state, validMs, nowMs)
  let wantedPerS = reservedQuota(state, request.isUrgent, nowMs).ratePerS + request.want.ratePerS
  for (const [other, borrower] of state.borrowers) {
    if (other !== key && borrower.purpose === 'use') wantedPerS += borrower.want.ratePerS
  }
  return wantedPerS <= coverage.ratePerS ? 1 : coverage.ratePerS / wantedPerS
}

function withGrant (state: AccountLimit, key: string, borrower: Borrower, offer: Offer, request: BorrowRequest, nowMs: number): LendResult {
  const { quota, validMs } = offer
  const loan = { ...quota, expiresMs: nowMs + validMs + lenderMarginMs, sequence: request.sequence }
  const lent: Borrower = { ...borrower, loans: withLoan(borrower.loans, loan, nowMs) }
  const after = refreshed({ ...state, borrowers: new Map(state.borrowers).set(key, lent) })
  const tokens = grantedTokens(state, after, offer, request, nowMs)
  const level = Math.min(state.level - tokens, after.available.capacity)
  return { state: { ...after, level }, grant: { ...quota, tokens, validMs } }
}

// Tokens are granted only up to the capacity lent beyond what the borrower holds,
// so that they do not overflow a bucket that already has tokens.
function grantedTokens (before: AccountLimit, after: AccountLimit, offer: Offer, request: BorrowRequest, nowMs: number): number {
  const addedCapacity = Math.max(0, offer.quota.capacity - request.held.capacity)
  const spare = Math.max(0, before.level - reservedFor(before, request, nowMs).tokens)
  const overflow = Math.max(0, before.level - after.available.capacity)
  return Math.min(addedCapacity, Math.max(overflow, Math.min(offer.tokens, spare)))
}

/**
 * Checks whether loans to this host may be needed to cover the quota that it
 * lends. The purpose of a borrower's last request may differ from that of its
 * loans, so the amount lent is checked as well.
 * @param state - the account, advanced to now
 * @returns true if it re-lends, or lends more than its own quota
 */
export function relends (state: AccountLimit): boolean {
  const own = ownQuota(state, state.atMs)
  const lent = lentQuota(state, state.atMs, () => true)
  const isAbove = lent.ratePerS > own.ratePerS + tokenTolerance || lent.capacity > own.capacity + tokenTolerance
  return isAbove || [...state.borrowers.values()].some(borrower => borrower.purpose === 'use')
}

/**
 * Computes the borrowed capacity that this host can return without losing
 * tokens or the cover of its own loans to others.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns the capacity, in tokens
 */
export function spareCapacity (state: AccountLimit, nowMs: number): number {
  const unlent = relends(state) ? Math.min(relendableQuota(state, nowMs).capacity, state.available.capacity) : state.available.capacity
  return Math.max(0, unlent - state.level)
}
