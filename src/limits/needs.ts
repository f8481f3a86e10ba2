// What a host needs of an account's limit for the requests that come in at
// it: the rate of its demand, and enough saved tokens for short bursts.

import type { Share } from '../model/index.js'
import type { AccountLimit } from './account.js'
import { demandRate } from './demand.js'
import { capacityFor } from './share.js'

/** Demand below this is not provided for. */
const minDemandPerS = 4
/** Room for saved tokens, as a multiple of them: the demand comes unevenly. */
const capacityFactor = 3
/** The same for what a lender keeps. */
const reserveCapacityFactor = 1.5
/** Part of a host's part of the burst that it holds; the rest stays at the home. */
const heldFraction = 0.6
/** Saved tokens of a host with any demand. */
const minReserve = 1.5
/** Saved tokens cover the demand of this time. */
const reserveMs = 100
/** Part of the saved tokens that a lender keeps where others wait. */
const urgentFraction = 0.5
/** A rate above the demand refills the saved tokens within this time. */
const refillMs = 1000

/** Tokens that are taken ahead are meant for the requests of this time. */
const aheadMs = 1000

/** A home collects this multiple of what is used. */
const aggregationFactor = 1.5
/** Room for tokens that a home collects at least. */
const minAggregatedCapacity = 4

type Target = { readonly ratePerS: number, readonly reserve: number, readonly capacity: number }

const noTarget: Target = { ratePerS: 0, reserve: 0, capacity: 0 }

// A host saves up tokens only where its part of the burst, by its demand, is
// enough for it. Otherwise the burst would lie about in pieces of no use, and
// the host takes a token from the home for each request.
function targetFor (state: AccountLimit, nowMs: number): Target {
  const ratePerS = Math.min(demandRate(state.demand, nowMs), state.limit.ratePerS)
  const wantedReserve = minReserve + ratePerS * reserveMs / 1000
  const demandShare = state.limit.capacity * ratePerS / state.limit.ratePerS
  const capacity = Math.min(demandShare * heldFraction, wantedReserve * capacityFactor)
  const reserve = Math.min(wantedReserve, capacity / 2)
  return ratePerS < minDemandPerS || reserve < minReserve ? noTarget : { ratePerS, reserve, capacity }
}

/** A share, and the tokens in it. */
export type QuotaWithTokens = Share & { readonly tokens: number }

/**
 * What a host keeps for its own requests when others ask it for a loan.
 * @param state - the account, advanced to now
 * @param isUrgent - whether requests wait at the borrower
 * @param nowMs - the time
 * @returns the rate, the room for tokens, and the tokens
 */
export function reservedQuota (state: AccountLimit, isUrgent: boolean, nowMs: number): QuotaWithTokens {
  const { reserve, capacity } = targetFor(state, nowMs)
  const fraction = isUrgent ? urgentFraction : 1
  const { ratePerS } = targetQuota(state, nowMs)
  return {
    ratePerS,
    capacity: Math.max(Math.min(capacity, reserve * reserveCapacityFactor) * fraction, capacityFor(ratePerS)) + state.waiting.length,
    tokens: reserve * fraction + state.waiting.length
  }
}

/**
 * What a host wants to have, its own share included. The rate follows the
 * demand and what is missing in saved tokens, so a surplus shrinks by itself.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns rate, capacity and tokens that come at once
 */
export function targetQuota (state: AccountLimit, nowMs: number): QuotaWithTokens {
  const { ratePerS, reserve, capacity } = targetFor(state, nowMs)
  const missing = reserve + state.waiting.length - state.level
  const refilling = ratePerS === 0 ? 0 : ratePerS + missing * 1000 / refillMs
  return {
    ratePerS: Math.min(Math.max(0, refilling), state.limit.ratePerS),
    capacity: Math.min(capacity + state.waiting.length, state.limit.capacity),
    tokens: Math.min(Math.max(0, missing), state.limit.capacity)
  }
}

/**
 * Tells whether a host is short of tokens or about to be.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns true where it should ask for more
 */
export function isShort (state: AccountLimit, nowMs: number): boolean {
  const { ratePerS, reserve } = targetFor(state, nowMs)
  return state.waiting.length > 0 || (ratePerS > state.available.ratePerS && state.level < reserve / 2)
}

/**
 * Tokens for the requests to come that a host takes along where it has no rate
 * of its own: the next ones then need no message.
 * @param state - the account
 * @param nowMs - the time
 * @returns whole tokens
 */
export function tokensAhead (state: AccountLimit, nowMs: number): number {
  if (targetFor(state, nowMs).ratePerS > 0) return 0
  return Math.ceil(demandRate(state.demand, nowMs) * aheadMs / 1000)
}

/**
 * Tells whether a host provides for no further requests.
 * @param state - the account
 * @param nowMs - the time
 * @returns true where loans are of no more use
 */
export function needsNoLoan (state: AccountLimit, nowMs: number): boolean {
  return state.waiting.length === 0 && targetFor(state, nowMs).ratePerS === 0
}

/**
 * The part of the whole limit that an account's home provides for: what it and
 * those that borrow from it use, with room to spare.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns a part, up to 1
 */
export function neededFraction (state: AccountLimit, nowMs: number): number {
  return Math.min(1, Math.max(usedPerS(state, nowMs) * aggregationFactor / state.limit.ratePerS, minAggregatedCapacity / state.limit.capacity))
}

/**
 * What an account's home and those that borrow from it use.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns requests per second
 */
export function usedPerS (state: AccountLimit, nowMs: number): number {
  let ratePerS = demandRate(state.demand, nowMs) + demandRate(state.lentDemand, nowMs)
  for (const borrower of state.borrowers.values()) {
    if (borrower.purpose === 'use') ratePerS += borrower.want.ratePerS
  }
  return ratePerS
}
