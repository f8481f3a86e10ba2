// Quota that a host aims to have of an account's limit for the requests that it
// receives: the rate of its demand, and a reserve of tokens for short bursts.

import type { Quota } from '../model/index.js'
import { ownQuota, type AccountLimit } from './account.js'
import { demandRate } from './demand.js'
import { capacityFor, maxQuota } from './quota.js'

/** Below this demand a host has no target of its own. */
const minDemandPerS = 4
/** Capacity for the reserve, as a multiple of it: demand is uneven. */
const capacityFactor = 3
/** Capacity that a lender keeps for its reserve, as a multiple of it. */
const reserveCapacityFactor = 1.5
/**
 * Fraction of its proportional burst that a host holds; the rest stays with the
 * coordinator.
 */
const heldFraction = 0.6
/** Minimum reserve of a host with demand, in tokens. */
const minReserve = 1.5
/** Beyond the minimum, the reserve covers the demand of this time. */
const reserveMs = 100
/** Fraction of the reserve that a lender keeps while requests wait at the borrower. */
const urgentFraction = 0.5
/** A rate above the demand refills the reserve within this time. */
const refillMs = 1000

/** An owner keeps this multiple of the rate of its demand, because demand is uneven. */
const keptRateFactor = 1.5
/** Beyond the minimum, the tokens that an owner keeps cover the demand of this time. */
const keptMs = 1000

/** Tokens borrowed ahead cover the requests of this time. */
const aheadMs = 1000

/** A coordinator aggregates this multiple of the rate in use. */
const aggregationFactor = 1.5
/** Minimum capacity that a coordinator aggregates, in tokens. */
const minAggregatedCapacity = 4

type Target = { readonly ratePerS: number, readonly reserve: number, readonly capacity: number }

const noTarget: Target = { ratePerS: 0, reserve: 0, capacity: 0 }

// A host keeps a reserve only if its fraction of the burst, in proportion to its
// demand, is large enough. Otherwise the burst would be split into fractions too
// small to use; the host then borrows a token from the coordinator for each
// request.
function targetFor (state: AccountLimit, nowMs: number): Target {
  const ratePerS = Math.min(demandRate(state.demand, nowMs), state.limit.ratePerS)
  const wantedReserve = minReserve + ratePerS * reserveMs / 1000
  const proportionalBurst = state.limit.capacity * ratePerS / state.limit.ratePerS
  const capacity = Math.min(proportionalBurst * heldFraction, wantedReserve * capacityFactor)
  const reserve = Math.min(wantedReserve, capacity / 2)
  return ratePerS < minDemandPerS || reserve < minReserve ? noTarget : { ratePerS, reserve, capacity }
}

/** A quota with a number of tokens. */
export type QuotaWithTokens = Quota & { readonly tokens: number }

/**
 * Computes the quota that a host reserves for its own requests when it lends.
 * @param state - the account, advanced to now
 * @param isUrgent - whether requests wait at the borrower
 * @param nowMs - the time
 * @returns rate, capacity and tokens
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
 * Computes the quota that an owner keeps when the coordinator aggregates and no
 * request waits there: also a demand below `minDemandPerS` is served from the own
 * quota, so that an owner does not lend what it has to borrow back at once.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns rate, capacity and tokens, at least those that `reservedQuota` returns
 */
export function keptQuota (state: AccountLimit, nowMs: number): QuotaWithTokens {
  const reserved = reservedQuota(state, false, nowMs)
  const demandPerS = demandRate(state.demand, nowMs)
  if (demandPerS === 0) return reserved
  const own = ownQuota(state, nowMs)
  const ratePerS = Math.min(own.ratePerS, demandPerS * keptRateFactor)
  const tokens = Math.min(own.capacity, minReserve + demandPerS * keptMs / 1000)
  const kept = { ratePerS, capacity: Math.min(own.capacity, Math.max(tokens, capacityFor(ratePerS))) }
  return { ...maxQuota(reserved, kept), tokens: Math.max(reserved.tokens, tokens) }
}

/**
 * Computes the quota that a host aims to have, its own quota included. The rate
 * follows the demand and the tokens missing from the reserve, so a surplus
 * shrinks without further control.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns rate, capacity and the tokens required immediately
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
 * Checks whether a host is short of tokens or about to be.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns true if it should request quota
 */
export function isShort (state: AccountLimit, nowMs: number): boolean {
  const { ratePerS, reserve } = targetFor(state, nowMs)
  return state.waiting.length > 0 || (ratePerS > state.available.ratePerS && state.level < reserve / 2)
}

/**
 * Computes the tokens for future requests that a host without a target rate
 * borrows ahead, so that the next requests need no message.
 * @param state - the account
 * @param nowMs - the time
 * @returns a whole number of tokens
 */
export function tokensAhead (state: AccountLimit, nowMs: number): number {
  if (targetFor(state, nowMs).ratePerS > 0) return 0
  return Math.ceil(demandRate(state.demand, nowMs) * aheadMs / 1000)
}

/**
 * Checks whether a host no longer needs loans: no request waits and its demand
 * is too low for a target.
 * @param state - the account
 * @param nowMs - the time
 * @returns true if it needs no loan
 */
export function needsNoLoan (state: AccountLimit, nowMs: number): boolean {
  return state.waiting.length === 0 && targetFor(state, nowMs).ratePerS === 0
}

/**
 * Computes the fraction of the whole limit that an account's coordinator
 * aggregates: the rate in use by itself and its borrowers, with a margin.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns the fraction, at most 1
 */
export function neededFraction (state: AccountLimit, nowMs: number): number {
  return Math.min(1, Math.max(usedPerS(state, nowMs) * aggregationFactor / state.limit.ratePerS, minAggregatedCapacity / state.limit.capacity))
}

/**
 * Computes the rate in use by an account's coordinator and its borrowers.
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
