// One account's limit on one host: a token bucket whose rate and capacity are
// the quota available to the host. The available quota is the host's own quota
// (from its partitions), plus what it borrows, minus what it lends. The state
// is advanced to the time of each event, through the expiry of every loan since
// then, so a host that was paused expires its loans before it admits a request.
//
// Over all hosts, the available rates and capacities of an account sum to at
// most its rate and burst at every moment, and a level never exceeds the
// capacity. In any window the fleet therefore admits at most
// burst + rate * window requests.

import type { Member } from '../members/index.js'
import type { HostName, Quota } from '../model/index.js'
import { noDemand, type Demand } from './demand.js'
import { loanedQuota, type Loan } from './loans.js'
import { subtractQuota, noQuota, addQuotas, scaleQuota } from './quota.js'

/** Fraction of the limit that this host owns from a given time on. */
export type OwnedFraction = { readonly fraction: number, readonly fromMs: number }

/** Upper bound on the own fraction for a time after the division of limits changed. */
export type Ceiling = { readonly fraction: number, readonly untilMs: number }

/** A host that lends to this host. */
export type Lender = {
  readonly loans: readonly Loan[]
  /** Sequence number of the newest request; answers to older requests are discarded. */
  readonly sequence: number
  readonly sentMs: number
  /** Time at which the request times out; undefined while none is outstanding. */
  readonly answerDueMs: number | undefined
  readonly nextRequestMs: number
  readonly backoffMs: number
  /** Consecutive answers without useful tokens while requests waited. */
  readonly emptyAnswers: number
}

/** A host, in one incarnation, that borrows from this host. */
export type Borrower = {
  /** `use`: for the borrower's own requests; `collect`: by the coordinator, for re-lending. */
  readonly purpose: 'use' | 'collect'
  readonly loans: readonly Loan[]
  readonly sequence: number
  readonly want: Quota
}

/** A request that waits for a token. */
export type WaitingRequest = {
  readonly id: string
  /** The request waits at least until this time, whatever the lenders answer. */
  readonly minWaitUntilMs: number
  /** The request waits at most until this time, even if answers are outstanding. */
  readonly maxWaitUntilMs: number
}

/**
 * Coordinator and owners of an account's limit, cached. `members` and
 * `partitionOwners` are the values that they were computed from, compared by
 * reference.
 */
export type QuotaSources = {
  readonly members: readonly Member[]
  readonly partitionOwners: ReadonlyMap<number, HostName>
  readonly coordinator: HostName | undefined
  /**
   * Live hosts, without this host, that may own a fraction; in the order in
   * which the coordinator borrows from them.
   */
  readonly owners: readonly QuotaOwner[]
}

/** A host that owns a fraction of an account's limit. */
export type QuotaOwner = { readonly host: HostName, readonly fraction: number }

/** One account's limit on one host. */
export type AccountLimit = {
  readonly account: string
  /** Rate and burst of the whole account. */
  readonly limit: Quota
  readonly ownedFractions: readonly OwnedFraction[]
  readonly ceiling: Ceiling | undefined
  readonly lenders: ReadonlyMap<HostName, Lender>
  readonly borrowers: ReadonlyMap<string, Borrower>
  readonly level: number
  readonly atMs: number
  /** Quota available from `atMs` until `nextChangeMs`. */
  readonly available: Quota
  readonly nextChangeMs: number
  readonly demand: Demand
  /** Rate of tokens lent to other hosts for requests that waited there. */
  readonly lentDemand: Demand
  readonly waiting: readonly WaitingRequest[]
  /** Last time at which this host was short of tokens or a borrower requested some. */
  readonly lastShortageMs: number
  readonly sources: QuotaSources | undefined
  /** When this host last checked whether to request quota. */
  readonly checkedMs: number
  /** Time from which this host may delegate admissions again; see delegation.ts. */
  readonly delegatesFromMs: number
  /** Tokens that a borrower requested for waiting requests and did not receive. */
  readonly unmet: { readonly tokens: number, readonly atMs: number }
}

/** Tolerance for token counts; rounding errors stay far below it. */
export const tokenTolerance = 1e-6

/**
 * Creates the state of an account of which this host owns no quota yet.
 * @param account - the account's name
 * @param limit - rate and burst of the whole account
 * @param nowMs - the time
 * @returns the state: an empty bucket
 */
export function newAccount (account: string, limit: Quota, nowMs: number): AccountLimit {
  return {
    account,
    limit,
    ownedFractions: [],
    ceiling: undefined,
    lenders: new Map(),
    borrowers: new Map(),
    level: 0,
    atMs: nowMs,
    available: noQuota,
    nextChangeMs: Infinity,
    demand: noDemand,
    lentDemand: noDemand,
    waiting: [],
    lastShortageMs: -Infinity,
    sources: undefined,
    checkedMs: -Infinity,
    delegatesFromMs: -Infinity,
    unmet: { tokens: 0, atMs: -Infinity }
  }
}

/**
 * Computes the fraction of the limit that this host owns, lent or not.
 * @param state - the account
 * @param atMs - the time
 * @returns the fraction, from 0 to 1
 */
export function ownFraction (state: AccountLimit, atMs: number): number {
  const fraction = state.ownedFractions.reduce((sum, owned) => owned.fromMs <= atMs ? sum + owned.fraction : sum, 0)
  const { ceiling } = state
  return ceiling === undefined || ceiling.untilMs <= atMs ? fraction : Math.min(fraction, ceiling.fraction)
}

/**
 * Computes the quota that this host owns, lent or not.
 * @param state - the account
 * @param atMs - the time
 * @returns the quota
 */
export function ownQuota (state: AccountLimit, atMs: number): Quota {
  return scaleQuota(state.limit, ownFraction(state, atMs))
}

/**
 * Computes the quota that this host has borrowed.
 * @param state - the account
 * @param atMs - the time; loans that have expired by then are not counted
 * @returns the quota
 */
export function borrowedQuota (state: AccountLimit, atMs: number): Quota {
  let sum = noQuota
  for (const lender of state.lenders.values()) sum = addQuotas(sum, loanedQuota(lender.loans, atMs))
  return sum
}

/**
 * Computes the quota that this host has lent.
 * @param state - the account
 * @param atMs - the time
 * @param isCounted - selects the borrowers to count
 * @returns the quota
 */
export function lentQuota (state: AccountLimit, atMs: number, isCounted: (borrower: Borrower, key: string) => boolean): Quota {
  let sum = noQuota
  for (const [key, borrower] of state.borrowers) {
    if (isCounted(borrower, key)) sum = addQuotas(sum, loanedQuota(borrower.loans, atMs))
  }
  return sum
}

/**
 * Recomputes the available quota after loans or partitions changed. Tokens
 * above the capacity are lost.
 * @param state - the account, changed at its `atMs`
 * @returns the account with available quota, next change and level updated
 */
export function refreshed (state: AccountLimit): AccountLimit {
  const { atMs } = state
  const lenders = new Map([...state.lenders].map(([host, lender]) => [host, { ...lender, loans: unexpired(lender.loans, atMs) }]))
  const borrowers = new Map([...state.borrowers]
    .map(([key, borrower]): readonly [string, Borrower] => [key, { ...borrower, loans: unexpired(borrower.loans, atMs) }])
    .filter(([, borrower]) => borrower.loans.length > 0))
  const current = { ...state, lenders, borrowers }
  const total = addQuotas(ownQuota(current, atMs), borrowedQuota(current, atMs))
  const available = subtractQuota(total, lentQuota(current, atMs, () => true))
  return { ...current, available, nextChangeMs: nextChange(current), level: Math.min(state.level, available.capacity) }
}

/**
 * Advances an account to a given time: tokens accrue at the available rate,
 * loans expire.
 * @param state - the account
 * @param nowMs - the time; a time before `atMs` changes nothing
 * @returns the account at that time
 */
export function advanced (state: AccountLimit, nowMs: number): AccountLimit {
  let current = state
  while (current.nextChangeMs <= nowMs) current = refreshed(accrued(current, current.nextChangeMs))
  return accrued(current, nowMs)
}

/**
 * Gives up all loans of a lender, and the answer to a request that is on its way.
 * @param state - the account, advanced to now
 * @param host - the lender
 * @returns the account without the lender
 */
export function withoutLender (state: AccountLimit, host: HostName): AccountLimit {
  return refreshed({ ...state, lenders: new Map([...state.lenders].filter(([other]) => other !== host)) })
}

/**
 * Finds the time at which the last loan that this host has made expires.
 * @param state - the account
 * @param nowMs - the time
 * @returns the time; `nowMs` where nothing is lent
 */
export function lentExpiryMs (state: AccountLimit, nowMs: number): number {
  return Math.max(nowMs, ...[...state.borrowers.values()].flatMap(({ loans }) => loans.map(loan => loan.expiresMs)))
}

/**
 * Checks whether the bucket holds a token.
 * @param state - the account, advanced to now
 * @returns true if a request may be admitted
 */
export function hasToken (state: AccountLimit): boolean {
  return state.level >= 1 - tokenTolerance
}

/**
 * Removes one token.
 * @param state - the account, which has a token
 * @returns the account without that token
 */
export function withoutToken (state: AccountLimit): AccountLimit {
  return { ...state, level: Math.max(0, state.level - 1) }
}

function accrued (state: AccountLimit, toMs: number): AccountLimit {
  if (toMs <= state.atMs) return state
  const gained = state.available.ratePerS * (toMs - state.atMs) / 1000
  return { ...state, atMs: toMs, level: Math.min(state.available.capacity, state.level + gained) }
}

function unexpired (loans: readonly Loan[], atMs: number): readonly Loan[] {
  return loans.filter(loan => loan.expiresMs > atMs)
}

function nextChange (state: AccountLimit): number {
  let next = Infinity
  const consider = (atMs: number): void => {
    if (atMs > state.atMs && atMs < next) next = atMs
  }
  for (const owned of state.ownedFractions) consider(owned.fromMs)
  if (state.ceiling !== undefined) consider(state.ceiling.untilMs)
  for (const lender of state.lenders.values()) for (const loan of lender.loans) consider(loan.expiresMs)
  for (const borrower of state.borrowers.values()) for (const loan of borrower.loans) consider(loan.expiresMs)
  return next
}
