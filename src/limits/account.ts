// One account's limit on one host: a token bucket whose rate and capacity are
// the shares that the host may use just now. These are its own share (by its
// seats), with what others lend to it, without what it lends. The state is
// advanced to the time of each event, through every loan that ran out since,
// so a host that was paused finds the loans over before it admits anything.
//
// Over all hosts the usable rates and capacities of an account sum to at most
// its rate and burst at every moment, and a level never exceeds the capacity.
// So in any window the fleet admits at most burst + rate * window.

import type { Member } from '../members/index.js'
import type { HostName, Quota } from '../model/index.js'
import { noDemand, type Demand } from './demand.js'
import { heldAt, type Loan } from './loans.js'
import { minus, noShare, plus, times } from './quota.js'

/** A part of the limit that this host owns from a time on. */
export type OwnPart = { readonly fraction: number, readonly fromMs: number }

/** Holds the own share down for a time after the division of limits changed. */
export type Ceiling = { readonly fraction: number, readonly untilMs: number }

/** A host that lends to this one. */
export type Lender = {
  readonly loans: readonly Loan[]
  /** Sequence of the newest request; answers to older ones are void. */
  readonly sequence: number
  readonly sentMs: number
  /** Set while an answer is awaited. */
  readonly openUntilMs: number | undefined
  readonly nextAskMs: number
  readonly backoffMs: number
  /** Answers in a row that brought nothing for requests that wait. */
  readonly emptyAnswers: number
}

/** A host, in one incarnation, that borrows from this one. */
export type Borrower = {
  readonly purpose: 'use' | 'collect'
  readonly loans: readonly Loan[]
  readonly sequence: number
  readonly want: Quota
}

/** A request that waits for a token. */
export type WaitingRequest = {
  readonly id: string
  /** It waits until here, whatever the lenders answer. */
  readonly leastMs: number
  /** It waits no longer, also where lenders have not answered yet. */
  readonly untilMs: number
}

/** Who lends and owns an account's limit, as found from one view of the fleet. */
export type Placement = {
  readonly members: readonly Member[]
  readonly holders: ReadonlyMap<number, HostName>
  readonly home: HostName | undefined
  /** Live hosts, without this one, that may own a part; in the order in which their parts are collected. */
  readonly owners: readonly Owner[]
}

/** A host that owns a part of an account's limit. */
export type Owner = { readonly host: HostName, readonly fraction: number }

/** One account's limit on one host. */
export type AccountLimit = {
  readonly account: string
  /** Rate and burst of the whole account. */
  readonly limit: Quota
  readonly own: readonly OwnPart[]
  readonly ceiling: Ceiling | undefined
  readonly lenders: ReadonlyMap<HostName, Lender>
  readonly borrowers: ReadonlyMap<string, Borrower>
  readonly level: number
  readonly atMs: number
  /** What may be used from `atMs` until `changesMs`. */
  readonly usable: Quota
  readonly changesMs: number
  readonly demand: Demand
  /** Tokens that others were lent for requests that waited. */
  readonly lentDemand: Demand
  readonly waiting: readonly WaitingRequest[]
  /** Last time that somebody was short of tokens here or asked for some. */
  readonly shortMs: number
  readonly placement: Placement | undefined
  /** Tokens that requests waited for at borrowers and did not get. */
  readonly unmet: { readonly tokens: number, readonly atMs: number }
}

/** Rounding errors of token counts stay far below this. */
export const tokenTolerance = 1e-6

/**
 * An account whose limit is not known to be owned here yet.
 * @param account - the account's name
 * @param limit - its rate and burst
 * @param nowMs - the time
 * @returns the state: an empty bucket
 */
export function newAccount (account: string, limit: Quota, nowMs: number): AccountLimit {
  return {
    account,
    limit,
    own: [],
    ceiling: undefined,
    lenders: new Map(),
    borrowers: new Map(),
    level: 0,
    atMs: nowMs,
    usable: noShare,
    changesMs: Infinity,
    demand: noDemand,
    lentDemand: noDemand,
    waiting: [],
    shortMs: -Infinity,
    placement: undefined,
    unmet: { tokens: 0, atMs: -Infinity }
  }
}

/**
 * The part of the limit that this host owns, lent or not.
 * @param state - the account
 * @param atMs - the time
 * @returns the part, from 0 to 1
 */
export function ownFraction (state: AccountLimit, atMs: number): number {
  const fraction = state.own.reduce((sum, part) => part.fromMs <= atMs ? sum + part.fraction : sum, 0)
  const { ceiling } = state
  return ceiling === undefined || ceiling.untilMs <= atMs ? fraction : Math.min(fraction, ceiling.fraction)
}

/**
 * The share that this host owns, lent or not.
 * @param state - the account
 * @param atMs - the time
 * @returns the share
 */
export function ownShare (state: AccountLimit, atMs: number): Quota {
  return times(state.limit, ownFraction(state, atMs))
}

/**
 * What others have lent to this host.
 * @param state - the account
 * @param atMs - the time up to which loans have to hold
 * @returns the share
 */
export function borrowedShare (state: AccountLimit, atMs: number): Quota {
  let sum = noShare
  for (const lender of state.lenders.values()) sum = plus(sum, heldAt(lender.loans, atMs))
  return sum
}

/**
 * What this host has lent.
 * @param state - the account
 * @param atMs - the time
 * @param counts - tells which borrowers are counted
 * @returns the share
 */
export function lentShare (state: AccountLimit, atMs: number, counts: (borrower: Borrower, key: string) => boolean): Quota {
  let sum = noShare
  for (const [key, borrower] of state.borrowers) {
    if (counts(borrower, key)) sum = plus(sum, heldAt(borrower.loans, atMs))
  }
  return sum
}

/**
 * Brings the cached share up to date after loans or seats changed. Tokens
 * above the capacity are lost.
 * @param state - the account, changed at its `atMs`
 * @returns the account with usable share, next change and level put right
 */
export function refreshed (state: AccountLimit): AccountLimit {
  const { atMs } = state
  const lenders = new Map([...state.lenders].map(([host, lender]) => [host, { ...lender, loans: inTime(lender.loans, atMs) }]))
  const borrowers = new Map([...state.borrowers]
    .map(([key, borrower]): readonly [string, Borrower] => [key, { ...borrower, loans: inTime(borrower.loans, atMs) }])
    .filter(([, borrower]) => borrower.loans.length > 0))
  const current = { ...state, lenders, borrowers }
  const gained = plus(ownShare(current, atMs), borrowedShare(current, atMs))
  const usable = minus(gained, lentShare(current, atMs, () => true))
  return { ...current, usable, changesMs: nextChange(current), level: Math.min(state.level, usable.capacity) }
}

/**
 * Lets time pass: tokens come in at the usable rate, loans run out.
 * @param state - the account
 * @param nowMs - the time; an earlier one than seen before changes nothing
 * @returns the account at that time
 */
export function advanced (state: AccountLimit, nowMs: number): AccountLimit {
  let current = state
  while (current.changesMs <= nowMs) current = refreshed(accrued(current, current.changesMs))
  return accrued(current, nowMs)
}

/**
 * Tells whether a token is there.
 * @param state - the account, advanced to now
 * @returns true where a request may be admitted
 */
export function hasToken (state: AccountLimit): boolean {
  return state.level >= 1 - tokenTolerance
}

/**
 * Takes one token.
 * @param state - the account, which has one
 * @returns the account without it
 */
export function withoutToken (state: AccountLimit): AccountLimit {
  return { ...state, level: Math.max(0, state.level - 1) }
}

function accrued (state: AccountLimit, toMs: number): AccountLimit {
  if (toMs <= state.atMs) return state
  const gained = state.usable.ratePerS * (toMs - state.atMs) / 1000
  return { ...state, atMs: toMs, level: Math.min(state.usable.capacity, state.level + gained) }
}

function inTime (loans: readonly Loan[], atMs: number): readonly Loan[] {
  return loans.filter(loan => loan.expiresMs > atMs)
}

function nextChange (state: AccountLimit): number {
  let next = Infinity
  const consider = (atMs: number): void => {
    if (atMs > state.atMs && atMs < next) next = atMs
  }
  for (const part of state.own) consider(part.fromMs)
  if (state.ceiling !== undefined) consider(state.ceiling.untilMs)
  for (const lender of state.lenders.values()) for (const loan of lender.loans) consider(loan.expiresMs)
  for (const borrower of state.borrowers.values()) for (const loan of borrower.loans) consider(loan.expiresMs)
  return next
}
