// Lending. A host lends to an account's home what it owns and does not need,
// and the home lends that on to where the demand is. A home lends only what
// stays covered, until the loan is over, by its own share and by loans to it.
// Where more is wanted than there is, everybody gets the same part of it.

import type { BorrowRequest, Share, ShareGrant } from '../model/index.js'
import { advanced, borrowedQuota, lentQuota, ownQuota, refreshed, tokenTolerance, type AccountLimit, type Borrower } from './account.js'
import { loanedQuota, capLoans, withLoan } from './loans.js'
import { reservedQuota, usedPerS, type QuotaWithTokens } from './needs.js'
import { coordinatorLoanMs, lenderMarginMs, tokenLoanMs, hostLoanMs } from './settings.js'
import { subtractQuota, noQuota, addQuotas, capacityFor } from './share.js'

/** Room for tokens below which a rate would not make up a whole one in time. */
const minRateCapacity = 1.5

/** A lender has plenty while its tokens are above this part of its room for them. */
const surplusFraction = 0.85
/** And while no more than this part of the rate is used. */
const maxUsedFraction = 0.75

const noReserve: QuotaWithTokens = { ...noQuota, tokens: 0 }

/** An account after a request, and what is lent. */
export type LendResult = {
  readonly state: AccountLimit
  readonly grant: ShareGrant | undefined
}

/**
 * Answers a request to borrow.
 * @param state - the account
 * @param key - the borrower: host and incarnation
 * @param request - what it asks for
 * @param nowMs - the time
 * @returns the account and the grant; none for an outdated request
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
 * What a host can lend on to others for the time of a loan.
 * @param state - the account
 * @param nowMs - the time
 * @returns what stays covered, without what is lent
 */
export function relendableQuota (state: AccountLimit, nowMs: number): Share {
  return subtractQuota(coverageFor(state, hostLoanMs, nowMs), lentQuota(state, nowMs, () => true))
}

function coverageFor (state: AccountLimit, validMs: number, nowMs: number): Share {
  return addQuotas(ownQuota(state, nowMs), borrowedQuota(state, nowMs + validMs + lenderMarginMs))
}

// Tokens on their way back are covered by what was lent for them; without that
// they are void. A loan that the borrower had not heard of brings none back:
// the one that its tokens came with may have run out long ago.
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

/** What is lent, for how long, and how many tokens may go with it. */
type Offer = { readonly quota: Share, readonly validMs: number, readonly tokens: number }

function offerFor (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Offer {
  switch (request.purpose) {
    case 'collect': return { quota: offeredToCoordinator(state, key, request, nowMs), validMs: coordinatorLoanMs, tokens: request.wantTokens }
    case 'use': return hostOffer(state, key, request, nowMs)
  }
}

// A short loan needs cover for a short time only, so it is still there for
// requests that wait when owners are about to take their shares back.
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

// Tokens for the requests to come are lost where none come in time, so a lender
// gives them only out of a bucket that stays nearly full.
function tokensIncludingAhead (state: AccountLimit, key: string, { held, wantTokens, aheadTokens }: BorrowRequest, nowMs: number): number {
  if (usedPerS(state, nowMs) > state.limit.ratePerS * maxUsedFraction) return wantTokens
  const lent = lentQuota(state, nowMs, (_, other) => other !== key)
  const availableCapacity = subtractQuota(coverageFor(state, hostLoanMs, nowMs), lent).capacity - held.capacity
  const surplus = state.level - state.available.capacity * surplusFraction
  const ahead = Math.floor(Math.min(aheadTokens, availableCapacity - wantTokens, surplus - wantTokens))
  return wantTokens + Math.max(0, ahead)
}

// A loan without a rate, or with room for less than a request at a time, serves
// whole requests or nobody: a part of a token would be lost with it, and room
// without a token would block the capacity.
function tokenOnlyQuota (state: AccountLimit, quota: Share, request: BorrowRequest, nowMs: number): Share {
  const { held, want, wantTokens, isUrgent } = request
  const reserved = reservedQuota(state, isUrgent, nowMs).tokens
  const spare = Math.max(0, Math.min(state.level - reserved, quota.capacity - held.capacity) + tokenTolerance)
  const completesAll = want.ratePerS === 0 && wantTokens <= spare
  return { ratePerS: 0, capacity: held.capacity + (completesAll ? wantTokens : Math.floor(Math.min(wantTokens, spare))) }
}

function offeredToCoordinator (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Share {
  const lent = lentQuota(state, nowMs, (_, other) => other !== key)
  const unlent = subtractQuota(ownQuota(state, nowMs), lent)
  return subtractQuota(unlent, reservedFor(state, request, nowMs))
}

// An own share without room for a whole request is of use at the home only.
function reservedFor (state: AccountLimit, request: BorrowRequest, nowMs: number): QuotaWithTokens {
  const isTooSmall = request.purpose === 'collect' && ownQuota(state, nowMs).capacity < minRateCapacity
  return isTooSmall ? noReserve : reservedQuota(state, request.isUrgent, nowMs)
}

function offeredToHost (state: AccountLimit, key: string, request: BorrowRequest, { fraction, validMs }: { readonly fraction: number, readonly validMs: number }, nowMs: number): Share {
  const coverage = coverageFor(state, validMs, nowMs)
  const reserved = reservedQuota(state, request.isUrgent, nowMs)
  const lent = lentQuota(state, nowMs, (_, other) => other !== key)
  const unreserved = subtractQuota(subtractQuota(coverage, lent), { ratePerS: reserved.ratePerS * fraction, capacity: reserved.capacity * fraction })
  const ratePerS = Math.min(request.want.ratePerS * fraction, unreserved.ratePerS)
  const tokenCapacity = request.held.capacity + request.wantTokens
  const capacity = Math.max(request.want.capacity * fraction, tokenCapacity)
  // The rate that stays here needs room, too.
  const lendableCapacity = Math.max(unreserved.capacity - capacityFor(unreserved.ratePerS - ratePerS), tokenCapacity)
  return { ratePerS, capacity: Math.min(capacity, lendableCapacity, unreserved.capacity) }
}

// What everybody gets of what it wants, where more is wanted than there is.
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

// Tokens go with the capacity that is lent above what the borrower holds, so
// that they never lie on top of tokens that it has already.
function grantedTokens (before: AccountLimit, after: AccountLimit, offer: Offer, request: BorrowRequest, nowMs: number): number {
  const addedCapacity = Math.max(0, offer.quota.capacity - request.held.capacity)
  const spare = Math.max(0, before.level - reservedFor(before, request, nowMs).tokens)
  const overflow = Math.max(0, before.level - after.available.capacity)
  return Math.min(addedCapacity, Math.max(overflow, Math.min(offer.tokens, spare)))
}

/**
 * Tells whether loans to this host may be needed to cover what it lends. A
 * borrower may since have asked for another purpose than that of its loans.
 * @param state - the account, advanced to now
 * @returns true where it lends on, or more than its own share
 */
export function relends (state: AccountLimit): boolean {
  const own = ownQuota(state, state.atMs)
  const lent = lentQuota(state, state.atMs, () => true)
  const isAbove = lent.ratePerS > own.ratePerS + tokenTolerance || lent.capacity > own.capacity + tokenTolerance
  return isAbove || [...state.borrowers.values()].some(borrower => borrower.purpose === 'use')
}

/**
 * What this host may give back of its loans without losing tokens or cover.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns capacity
 */
export function spareCapacity (state: AccountLimit, nowMs: number): number {
  const unlent = relends(state) ? Math.min(relendableQuota(state, nowMs).capacity, state.available.capacity) : state.available.capacity
  return Math.max(0, unlent - state.level)
}
