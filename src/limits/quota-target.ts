// What a host needs of an account's limit for the requests that come in at
// it: the rate of its demand, and enough saved tokens for short bursts.

import type { Quota } from '../model/index.js'
import type { AccountLimit } from './account.js'
import { demandRate } from './demand.js'
import { roomFor } from './quota.js'

/** Demand below this is not provided for. */
const leastDemandPerS = 4
/** Room for saved tokens, as a multiple of them: the demand comes unevenly. */
const capacityFactor = 3
/** The same for what a lender keeps. */
const keptFactor = 1.5
/** Part of a host's part of the burst that it holds; the rest stays at the home. */
const heldPart = 0.6
/** Saved tokens of a host with any demand. */
const leastSaved = 1.5
/** Saved tokens cover the demand of this time. */
const savedMs = 100
/** Part of the saved tokens that a lender keeps where others wait. */
const urgentPart = 0.5
/** A rate above the demand refills the saved tokens within this time. */
const refillMs = 1000

/** Tokens that are taken ahead are meant for the requests of this time. */
const aheadMs = 1000

/** A home collects this multiple of what is used. */
const collectFactor = 1.5
/** Room for tokens that a home collects at least. */
const leastCollected = 4

type Provision = { readonly ratePerS: number, readonly saved: number, readonly capacity: number }

const noProvision: Provision = { ratePerS: 0, saved: 0, capacity: 0 }

// A host saves up tokens only where its part of the burst, by its demand, is
// enough for it. Otherwise the burst would lie about in pieces of no use, and
// the host takes a token from the home for each request.
function provision (state: AccountLimit, nowMs: number): Provision {
  const ratePerS = Math.min(demandRate(state.demand, nowMs), state.limit.ratePerS)
  const wanted = leastSaved + ratePerS * savedMs / 1000
  const part = state.limit.capacity * ratePerS / state.limit.ratePerS
  const capacity = Math.min(part * heldPart, wanted * capacityFactor)
  const saved = Math.min(wanted, capacity / 2)
  return ratePerS < leastDemandPerS || saved < leastSaved ? noProvision : { ratePerS, saved, capacity }
}

/** A share, and the tokens in it. */
export type Provided = Quota & { readonly tokens: number }

/**
 * What a host keeps for its own requests when others ask it for a loan.
 * @param state - the account, advanced to now
 * @param isUrgent - whether requests wait at the borrower
 * @param nowMs - the time
 * @returns the rate, the room for tokens, and the tokens
 */
export function keptShare (state: AccountLimit, isUrgent: boolean, nowMs: number): Provided {
  const { saved, capacity } = provision(state, nowMs)
  const part = isUrgent ? urgentPart : 1
  const { ratePerS } = wantedShare(state, nowMs)
  return {
    ratePerS,
    capacity: Math.max(Math.min(capacity, saved * keptFactor) * part, roomFor(ratePerS)) + state.waiting.length,
    tokens: saved * part + state.waiting.length
  }
}

/**
 * What a host wants to have, its own share included. The rate follows the
 * demand and what is missing in saved tokens, so a surplus shrinks by itself.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns rate, capacity and tokens that come at once
 */
export function wantedShare (state: AccountLimit, nowMs: number): Provided {
  const { ratePerS, saved, capacity } = provision(state, nowMs)
  const missing = saved + state.waiting.length - state.level
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
  const { ratePerS, saved } = provision(state, nowMs)
  return state.waiting.length > 0 || (ratePerS > state.usable.ratePerS && state.level < saved / 2)
}

/**
 * Tokens for the requests to come that a host takes along where it has no rate
 * of its own: the next ones then need no message.
 * @param state - the account
 * @param nowMs - the time
 * @returns whole tokens
 */
export function tokensAhead (state: AccountLimit, nowMs: number): number {
  if (provision(state, nowMs).ratePerS > 0) return 0
  return Math.ceil(demandRate(state.demand, nowMs) * aheadMs / 1000)
}

/**
 * Tells whether a host provides for no further requests.
 * @param state - the account
 * @param nowMs - the time
 * @returns true where loans are of no more use
 */
export function needsNothing (state: AccountLimit, nowMs: number): boolean {
  return state.waiting.length === 0 && provision(state, nowMs).ratePerS === 0
}

/**
 * The part of the whole limit that an account's home provides for: what it and
 * those that borrow from it use, with room to spare.
 * @param state - the account, advanced to now
 * @param nowMs - the time
 * @returns a part, up to 1
 */
export function neededFraction (state: AccountLimit, nowMs: number): number {
  return Math.min(1, Math.max(usedPerS(state, nowMs) * collectFactor / state.limit.ratePerS, leastCollected / state.limit.capacity))
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
