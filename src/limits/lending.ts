// Lending. A host lends to an account's home what it owns and does not need,
// and the home lends that on to where the demand is. A home lends only what
// stays covered, until the loan is over, by its own share and by loans to it.
// Where more is wanted than there is, everybody gets the same part of it.

import type { BorrowRequest, Quota, QuotaGrant } from '../model/index.js'
import { advanced, borrowedShare, lentShare, ownShare, refreshed, tokenTolerance, type AccountLimit, type Borrower } from './account.js'
import { heldAt, limitTo, withLoan } from './loans.js'
import { keptShare, usedPerS, type Provided } from './quota-target.js'
import { collectValidMs, lenderMarginMs, tokenValidMs, useValidMs } from './settings.js'
import { minus, noShare, plus, roomFor } from './quota.js'

/** Room for tokens below which a rate would not make up a whole one in time. */
const leastRoom = 1.5

/** A lender has plenty while its tokens are above this part of its room for them. */
const plentyPart = 0.85
/** And while no more than this part of the rate is used. */
const calmPart = 0.75

const keepsNothing: Provided = { ...noShare, tokens: 0 }

/** An account after a request, and what is lent. */
export type Lending = {
  readonly state: AccountLimit
  readonly grant: QuotaGrant | undefined
}

/**
 * Answers a request to borrow.
 * @param state - the account
 * @param key - the borrower: host and incarnation
 * @param request - what it asks for
 * @param nowMs - the time
 * @returns the account and the grant; none for an outdated request
 */
export function lend (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Lending {
  const before = advanced(state, nowMs)
  const known = before.borrowers.get(key)
  if (known !== undefined && known.sequence >= request.sequence) return { state: before, grant: undefined }
  const returned = Math.min(request.returnedTokens, freedCapacity(known, request, nowMs))
  const borrower: Borrower = {
    purpose: request.purpose,
    loans: limitTo(known?.loans ?? [], request.held),
    sequence: request.sequence,
    want: request.want
  }
  const asked = withTokens(withBorrower(before, key, borrower), returned)
  return granted(asked, key, borrower, offerFor(asked, key, request, nowMs), request, nowMs)
}

/**
 * What a host can lend on to others for the time of a loan.
 * @param state - the account
 * @param nowMs - the time
 * @returns what stays covered, without what is lent
 */
export function coveredShare (state: AccountLimit, nowMs: number): Quota {
  return minus(coverUntil(state, useValidMs, nowMs), lentShare(state, nowMs, () => true))
}

function coverUntil (state: AccountLimit, validMs: number, nowMs: number): Quota {
  return plus(ownShare(state, nowMs), borrowedShare(state, nowMs + validMs + lenderMarginMs))
}

// Tokens on their way back are covered by what was lent for them; without that
// they are void. A loan that the borrower had not heard of brings none back:
// the one that its tokens came with may have run out long ago.
function freedCapacity (known: Borrower | undefined, { held, answered }: BorrowRequest, nowMs: number): number {
  const loans = known?.loans.filter(loan => loan.sequence <= answered) ?? []
  return Math.max(0, heldAt(loans, nowMs).capacity - held.capacity)
}

function withTokens (state: AccountLimit, tokens: number): AccountLimit {
  return { ...state, level: Math.min(state.usable.capacity, state.level + tokens) }
}

function withBorrower (state: AccountLimit, key: string, borrower: Borrower): AccountLimit {
  return refreshed({ ...state, borrowers: new Map(state.borrowers).set(key, borrower) })
}

/** What is lent, for how long, and how many tokens may go with it. */
type Offer = { readonly share: Quota, readonly validMs: number, readonly tokens: number }

function offerFor (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Offer {
  switch (request.purpose) {
    case 'collect': return { share: offeredToHome(state, key, request, nowMs), validMs: collectValidMs, tokens: request.wantTokens }
    case 'use': return useOffer(state, key, request, nowMs)
  }
}

// A short loan needs cover for a short time only, so it is still there for
// requests that wait when owners are about to take their shares back.
function useOffer (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Offer {
  const part = fairPart(state, key, request, useValidMs, nowMs)
  const hasRate = request.want.ratePerS > 0 && request.want.capacity * part >= leastRoom
  const long = { share: offeredForUse(state, key, request, { part, validMs: useValidMs }, nowMs), validMs: useValidMs, tokens: request.wantTokens }
  const isEnough = long.share.capacity - request.held.capacity >= Math.min(1, request.wantTokens)
  if (hasRate && (isEnough || !request.isUrgent)) return long
  const tokens = hasRate ? 0 : withTokensAhead(state, key, request, nowMs)
  if (tokens > request.wantTokens) return { share: { ratePerS: 0, capacity: request.held.capacity + tokens }, validMs: useValidMs, tokens }
  const share = offeredForUse(state, key, request, { part, validMs: tokenValidMs }, nowMs)
  return { share: hasRate ? share : bareTokens(state, share, request, nowMs), validMs: tokenValidMs, tokens: request.wantTokens }
}

// Tokens for the requests to come are lost where none come in time, so a lender
// gives them only out of a bucket that stays nearly full.
function withTokensAhead (state: AccountLimit, key: string, { held, wantTokens, aheadTokens }: BorrowRequest, nowMs: number): number {
  if (usedPerS(state, nowMs) > state.limit.ratePerS * calmPart) return wantTokens
  const lent = lentShare(state, nowMs, (_, other) => other !== key)
  const room = minus(coverUntil(state, useValidMs, nowMs), lent).capacity - held.capacity
  const plenty = state.level - state.usable.capacity * plentyPart
  const ahead = Math.floor(Math.min(aheadTokens, room - wantTokens, plenty - wantTokens))
  return wantTokens + Math.max(0, ahead)
}

// A loan without a rate, or with room for less than a request at a time, serves
// whole requests or nobody: a part of a token would be lost with it, and room
// without a token would block the capacity.
function bareTokens (state: AccountLimit, share: Quota, request: BorrowRequest, nowMs: number): Quota {
  const { held, want, wantTokens, isUrgent } = request
  const kept = keptShare(state, isUrgent, nowMs).tokens
  const spare = Math.max(0, Math.min(state.level - kept, share.capacity - held.capacity) + tokenTolerance)
  const completesAll = want.ratePerS === 0 && wantTokens <= spare
  return { ratePerS: 0, capacity: held.capacity + (completesAll ? wantTokens : Math.floor(Math.min(wantTokens, spare))) }
}

function offeredToHome (state: AccountLimit, key: string, request: BorrowRequest, nowMs: number): Quota {
  const lent = lentShare(state, nowMs, (_, other) => other !== key)
  const own = minus(ownShare(state, nowMs), lent)
  return minus(own, keptOf(state, request, nowMs))
}

// An own share without room for a whole request is of use at the home only.
function keptOf (state: AccountLimit, request: BorrowRequest, nowMs: number): Provided {
  const isUseless = request.purpose === 'collect' && ownShare(state, nowMs).capacity < leastRoom
  return isUseless ? keepsNothing : keptShare(state, request.isUrgent, nowMs)
}

function offeredForUse (state: AccountLimit, key: string, request: BorrowRequest, { part, validMs }: { readonly part: number, readonly validMs: number }, nowMs: number): Quota {
  const cover = coverUntil(state, validMs, nowMs)
  const kept = keptShare(state, request.isUrgent, nowMs)
  const lent = lentShare(state, nowMs, (_, other) => other !== key)
  const free = minus(minus(cover, lent), { ratePerS: kept.ratePerS * part, capacity: kept.capacity * part })
  const ratePerS = Math.min(request.want.ratePerS * part, free.ratePerS)
  const forTokens = request.held.capacity + request.wantTokens
  const capacity = Math.max(request.want.capacity * part, forTokens)
  // The rate that stays here needs room, too.
  const spared = Math.max(free.capacity - roomFor(free.ratePerS - ratePerS), forTokens)
  return { ratePerS, capacity: Math.min(capacity, spared, free.capacity) }
}

// What everybody gets of what it wants, where more is wanted than there is.
function fairPart (state: AccountLimit, key: string, request: BorrowRequest, validMs: number, nowMs: number): number {
  const cover = coverUntil(state, validMs, nowMs)
  let wantedPerS = keptShare(state, request.isUrgent, nowMs).ratePerS + request.want.ratePerS
  for (const [other, borrower] of state.borrowers) {
    if (other !== key && borrower.purpose === 'use') wantedPerS += borrower.want.ratePerS
  }
  return wantedPerS <= cover.ratePerS ? 1 : cover.ratePerS / wantedPerS
}

function granted (state: AccountLimit, key: string, borrower: Borrower, offer: Offer, request: BorrowRequest, nowMs: number): Lending {
  const { share, validMs } = offer
  const loan = { ...share, expiresMs: nowMs + validMs + lenderMarginMs, sequence: request.sequence }
  const lent: Borrower = { ...borrower, loans: withLoan(borrower.loans, loan, nowMs) }
  const after = refreshed({ ...state, borrowers: new Map(state.borrowers).set(key, lent) })
  const tokens = tokensFor(state, after, offer, request, nowMs)
  const level = Math.min(state.level - tokens, after.usable.capacity)
  return { state: { ...after, level }, grant: { ...share, tokens, validMs } }
}

// Tokens go with the capacity that is lent above what the borrower holds, so
// that they never lie on top of tokens that it has already.
function tokensFor (before: AccountLimit, after: AccountLimit, offer: Offer, request: BorrowRequest, nowMs: number): number {
  const room = Math.max(0, offer.share.capacity - request.held.capacity)
  const spare = Math.max(0, before.level - keptOf(before, request, nowMs).tokens)
  const overflow = Math.max(0, before.level - after.usable.capacity)
  return Math.min(room, Math.max(overflow, Math.min(offer.tokens, spare)))
}

/**
 * Tells whether loans to this host may be needed to cover what it lends. A
 * borrower may since have asked for another purpose than that of its loans.
 * @param state - the account, advanced to now
 * @returns true where it lends on, or more than its own share
 */
export function lendsOn (state: AccountLimit): boolean {
  const own = ownShare(state, state.atMs)
  const lent = lentShare(state, state.atMs, () => true)
  const isAbove = lent.ratePerS > own.ratePerS + tokenTolerance || lent.capacity > own.capacity + tokenTolerance
  return isAbove || [...state.borrowers.values()].some(borrower => borrower.purpose === 'use')
}

/**
 * What this host may give back of its loans without losing tokens or cover.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns capacity
 */
export function sparedCapacity (state: AccountLimit, nowMs: number): number {
  const free = lendsOn(state) ? Math.min(coveredShare(state, nowMs).capacity, state.usable.capacity) : state.usable.capacity
  return Math.max(0, free - state.level)
}
