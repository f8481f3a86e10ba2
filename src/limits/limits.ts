// Rate limits of all accounts on one host: keeps every account within its rate
// and burst across the fleet.
//
// Each host owns quota of the limits through its partitions, and admits requests
// from the quota available locally, without a message. A host that is short of
// tokens requests a loan from the account's coordinator. The coordinator borrows
// the quota that other owners do not need and re-lends it. Loans expire without a
// message, first at the borrower and then at the lender, so no host needs to
// detect the failure of another. A request that finds no token waits a short time
// for a loan before it is rejected. A host without partitions of the account delegates
// the admission to the dispatcher instead (delegation.ts).
//
// docs/DESIGN.md compares this design, lent quota, with two others. A leased
// keeper, one host that holds the whole limit under a lease, is out of service
// from its failure until the lease expires, and in a store outage. An even split
// rejects requests within the limit where the demand is uneven.
//
// The time of an event must be taken when the event is handled, not when it is
// put into a mailbox, because the host may have been paused in between.

import { anonymousAccount, type AccountName, type BorrowRequest, type HostName, type Manifest, type Quota, type QuotaGrant } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import type { Member } from '../members/index.js'
import { advanced, hasToken, ownFraction, withoutToken, type AccountLimit, type QuotaOwner, type QuotaSources, type WaitingRequest } from './account.js'
import { accountOf, allAccounts, noAccounts, withAccount, type Accounts } from './accounts.js'
import { requestFromCoordinator, borrowFromOwner, canReceiveTokens, missingTokens, applyAnswer, type BorrowResult } from './borrowing.js'
import { demandRate, withRequests } from './demand.js'
import { delegates, delegationRefused, waitingRequest, type AdmissionMode } from './delegation.js'
import { lend } from './lending.js'
import { isShort, neededFraction } from './quota-target.js'
import type { QuotaLayout } from './division.js'
import { coordinatorOf, quotaOwners } from './owners.js'
import { confirmationChanged, loansCleared, partitionsChanged, resetLoans } from './ownership.js'
import { redivided } from './redivision.js'
import { aggregationIdleMs, idleTickMs, limitsTickMs, maxWaitingRequests } from './settings.js'

/** An account with less demand requires no ticks. */
const idleDemandPerS = 0.1
/** Bounds of the retry delay that is returned with a rejection. */
const retryMs: { readonly min: number, readonly max: number } = { min: 10, max: 5000 }

/** Times until which the manifest is confirmed and this host in contact with the fleet. */
export type Confirmation = {
  /**
   * The store or a majority of hosts reported no newer manifest. Nothing is admitted
   * or lent afterwards, because limits and keys may have changed.
   */
  readonly confirmedUntilMs: number
  /**
   * The store or a majority of hosts responded. The own partitions are not used
   * afterwards, because they may have other owners.
   */
  readonly contactUntilMs: number
}

/**
 * Makes the confirmation of a host that knows of no newer manifest.
 * @param untilMs - time until which the manifest is confirmed and the host in contact
 * @returns the confirmation
 */
export function confirmedUntil (untilMs: number): Confirmation {
  return { confirmedUntilMs: untilMs, contactUntilMs: untilMs }
}

/** State of all limits on a host. */
export type LimitsState = {
  readonly self: HostName
  /** Start time of this process; the previous process on this host had ended by then. */
  readonly startedAtMs: number
  readonly accounts: Accounts
  /** Accounts that require ticks. */
  readonly active: ReadonlySet<AccountName>
  /** Number of partitions that each limit is divided into; 0 before the first manifest. */
  readonly partitionCount: number
  readonly layout: QuotaLayout
  /** Whether the layout has been selected from a list of the hosts. */
  readonly isLayoutKnown: boolean
  /** Own partitions, with the time from which each may be used. */
  readonly usableFromMs: ReadonlyMap<number, number>
  readonly partitionOwners: ReadonlyMap<number, HostName>
  readonly members: readonly Member[]
  readonly confirmation: Confirmation
  /** Whether this host is in contact, or the end of its contact has not been handled yet. */
  readonly wasInContact: boolean
  /**
   * Last time at which the end of the contact was handled. A partition table
   * read before is discarded, because the partitions may have other owners by
   * now.
   */
  readonly expiredMs: number
  /**
   * Time from which no host uses a loan of the previous process on this host;
   * Infinity while that is not known.
   */
  readonly loansClearMs: number
  /** Time from which no host has used the own partitions of the previous process; Infinity while not known. */
  readonly unusedFromMs: number
  /** When this host last gave up loans of a lender, by lender. */
  readonly resetMs: ReadonlyMap<HostName, number>
  /** Own partitions that the previous process on this host owned. */
  readonly reacquired: ReadonlySet<number>
  readonly sequence: number
}

/** Events of the limits. */
export type LimitsEvent =
  | { readonly kind: 'manifestApplied', readonly manifest: Manifest, readonly nowMs: number }
  | { readonly kind: 'partitionsChanged', readonly owned: readonly number[], readonly reacquired: ReadonlySet<number>, readonly owners: ReadonlyMap<number, HostName>, readonly tableReadSentMs: number, readonly isSettled?: boolean, readonly nowMs: number }
  /** The hosts of the platform's list support this layout of the quota partitions. */
  | { readonly kind: 'layoutChanged', readonly layout: QuotaLayout, readonly nowMs: number }
  | { readonly kind: 'membersChanged', readonly live: readonly Member[], readonly nowMs: number }
  | { readonly kind: 'confirmationChanged', readonly confirmation: Confirmation, readonly nowMs: number }
  | { readonly kind: 'admit', readonly account: AccountName, readonly id: string, readonly deadlineMs: number, readonly mode: AdmissionMode, readonly nowMs: number }
  /** A dispatcher has refused a delegated statement for its rate. */
  | { readonly kind: 'delegationRefused', readonly account: AccountName, readonly nowMs: number }
  | { readonly kind: 'borrowRequested', readonly callId: string, readonly from: HostName, readonly incarnation: string, readonly request: BorrowRequest, readonly nowMs: number }
  /** Answer of a lender; without a grant also if the call failed. */
  | { readonly kind: 'borrowAnswered', readonly from: HostName, readonly account: AccountName, readonly sequence: number, readonly grant: QuotaGrant | undefined, readonly nowMs: number }
  /** Every listed host has given up the loans of the previous process on this host. */
  | { readonly kind: 'loansCleared', readonly clearMs: number, readonly unusedFromMs: number, readonly nowMs: number }
  /** A host has restarted and asks this one to give up the loans of its previous process. */
  | { readonly kind: 'resetLoans', readonly callId: string, readonly lender: HostName, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of the limits. */
export type LimitsEffect =
  | { readonly kind: 'admitted', readonly id: string }
  /** `unconfirmed`: not because of the rate; this host cannot decide. */
  | { readonly kind: 'refused', readonly id: string, readonly retryAfterMs: number, readonly cause: 'noToken' | 'unconfirmed' }
  /** No token was taken; the dispatcher is to take it. */
  | { readonly kind: 'delegated', readonly id: string }
  | { readonly kind: 'borrow', readonly to: HostName, readonly request: BorrowRequest }
  /** Answer to `borrowRequested`. */
  | { readonly kind: 'lend', readonly callId: string, readonly grant: QuotaGrant | undefined }
  /** Answer to `resetLoans`; see `LoanReset`. */
  | { readonly kind: 'loansReset', readonly callId: string, readonly clearInMs: number, readonly unusedMs: number }

type Next = Transition<LimitsState, LimitsEffect>

/**
 * Creates the limits of a host that has just started and admits nothing yet.
 * @param self - the host
 * @param startedAtMs - start time of its process
 * @returns the state
 */
export function initialLimits (self: HostName, startedAtMs: number): LimitsState {
  return {
    self,
    startedAtMs,
    accounts: noAccounts,
    active: new Set(),
    partitionCount: 0,
    layout: 'spread',
    isLayoutKnown: false,
    usableFromMs: new Map(),
    partitionOwners: new Map(),
    members: [],
    confirmation: { confirmedUntilMs: -Infinity, contactUntilMs: -Infinity },
    wasInContact: false,
    expiredMs: -Infinity,
    loansClearMs: Infinity,
    unusedFromMs: Infinity,
    resetMs: new Map(),
    reacquired: new Set(),
    sequence: 0
  }
}

/**
 * Handles one event.
 * @param state - the state
 * @param event - the event
 * @returns the new state and the effects
 */
export function limitsStep (state: LimitsState, event: LimitsEvent): Next {
  switch (event.kind) {
    case 'manifestApplied': return manifestApplied(state, event.manifest, event.nowMs)
    case 'partitionsChanged': {
      const known = event.tableReadSentMs < state.expiredMs ? [] : event.owned
      // Until the store's era is settled, another host may use the partitions that are not in use here.
      const owned = event.isSettled === false ? known.filter(partition => state.usableFromMs.has(partition)) : known
      return { state: partitionsChanged(state, { owned, reacquired: event.reacquired }, event.owners, event.nowMs), effects: [] }
    }
    case 'layoutChanged': return { state: layoutChanged(state, event.layout, event.nowMs), effects: [] }
    case 'membersChanged': return { state: { ...state, members: event.live }, effects: [] }
    case 'confirmationChanged': return { state: confirmationChanged(state, event.confirmation, event.nowMs), effects: [] }
    case 'admit': return admit(state, event)
    case 'delegationRefused': return { state: delegationRefused(state, event.account, event.nowMs), effects: [] }
    case 'borrowRequested': return borrowRequested(state, event)
    case 'borrowAnswered': return borrowAnswered(state, event)
    case 'loansCleared': return { state: loansCleared(state, event), effects: [] }
    case 'resetLoans': return resetLoans(state, event.callId, event.lender, event.nowMs)
    case 'tick': return tick(state, event.nowMs)
  }
}

function limitsOf (manifest: Manifest): ReadonlyMap<AccountName, Quota> {
  const limits = new Map(manifest.accounts.map(({ name, ratePerS, burst }): readonly [AccountName, Quota] => [name, { ratePerS, capacity: burst }]))
  return limits.set(anonymousAccount, { ratePerS: manifest.anonymous.ratePerS, capacity: manifest.anonymous.burst })
}

function manifestApplied (state: LimitsState, manifest: Manifest, nowMs: number): Next {
  const limits = limitsOf(manifest)
  const after = { ...state, partitionCount: manifest.seats }
  const accounts = redivided({ before: state, after, isFirst: state.partitionCount === 0 }, limits, nowMs)
  const dropped = allAccounts(state.accounts).filter(({ account }) => !limits.has(account))
  const effects = dropped.flatMap(account => account.waiting.map(({ id }) => refusal(account, id)))
  const active = new Set([...state.active].filter(account => limits.has(account)))
  return { state: { ...after, accounts, active }, effects }
}

function layoutChanged (state: LimitsState, layout: QuotaLayout, nowMs: number): LimitsState {
  if (state.isLayoutKnown && state.layout === layout) return state
  const after = { ...state, layout, isLayoutKnown: true }
  const limits = new Map(allAccounts(state.accounts).map(({ account, limit }) => [account, limit]))
  return { ...after, accounts: redivided({ before: state, after, isFirst: !state.isLayoutKnown }, limits, nowMs) }
}

function refusal (account: AccountLimit, id: string, cause: 'noToken' | 'unconfirmed' = 'noToken'): LimitsEffect {
  const ratePerS = Math.max(account.available.ratePerS, account.limit.ratePerS / 2)
  const missing = account.waiting.length + 1 - account.level
  const retryAfterMs = Math.min(retryMs.max, Math.max(retryMs.min, Math.ceil(missing * 1000 / ratePerS)))
  return { kind: 'refused', id, retryAfterMs, cause }
}

function admit (state: LimitsState, event: Extract<LimitsEvent, { readonly kind: 'admit' }>): Next {
  const { account: name, mode, nowMs } = event
  const request = waitingRequest(event)
  const known = accountOf(state.accounts, name)
  if (known === undefined || nowMs >= state.confirmation.confirmedUntilMs) return { state, effects: [{ kind: 'refused', id: request.id, retryAfterMs: retryMs.max, cause: 'unconfirmed' }] }
  const current = mode === 'delegable' ? withSources(state, advanced(known, nowMs)).located : advanced(known, nowMs)
  const isDelegated = mode === 'delegable' && delegates(state, current, nowMs)
  const requested = isDelegated ? current : { ...current, demand: withRequests(current.demand, nowMs) }
  if (requested.waiting.length === 0 && hasToken(requested)) {
    const next = { ...state, accounts: withAccount(state.accounts, withoutToken(requested)) }
    return { state: activated(next, name), effects: [{ kind: 'admitted', id: request.id }] }
  }
  if (isDelegated) return { state: { ...state, accounts: withAccount(state.accounts, requested) }, effects: [{ kind: 'delegated', id: request.id }] }
  if (requested.waiting.length >= maxWaitingRequests) {
    return { state: { ...state, accounts: withAccount(state.accounts, requested) }, effects: [refusal(requested, request.id)] }
  }
  return serveWaiting(activated(state, name), { ...requested, waiting: [...requested.waiting, request] }, nowMs)
}

// A lender that has not answered yet may have tokens. One that answered has none,
// except shortly after its first empty answer, while it aggregates quota.
function cannotObtainToken (account: AccountLimit, request: WaitingRequest, nowMs: number): boolean {
  return request.minWaitUntilMs <= nowMs && !canReceiveTokens(account, nowMs)
}

function activated (state: LimitsState, account: AccountName): LimitsState {
  return state.active.has(account) ? state : { ...state, active: new Set(state.active).add(account) }
}

// Admits waiting requests while there are tokens, rejects those whose time is
// over, and requests quota if needed.
function serveWaiting (state: LimitsState, account: AccountLimit, nowMs: number): Next {
  const isConfirmed = nowMs < state.confirmation.confirmedUntilMs
  const effects: LimitsEffect[] = []
  const waiting: WaitingRequest[] = []
  let current = account
  for (const request of account.waiting) {
    if (request.maxWaitUntilMs <= nowMs || !isConfirmed) {
      effects.push(refusal(current, request.id, isConfirmed ? 'noToken' : 'unconfirmed'))
    } else if (hasToken(current)) {
      effects.push({ kind: 'admitted', id: request.id })
      current = withoutToken(current)
    } else if (cannotObtainToken(current, request, nowMs)) {
      effects.push(refusal(current, request.id))
    } else {
      waiting.push(request)
    }
  }
  const served = account.waiting.length === 0 ? current : { ...current, waiting }
  if (!isConfirmed) return { state: { ...state, accounts: withAccount(state.accounts, served) }, effects }
  const requested = requestQuota(state, { ...served, checkedMs: nowMs }, nowMs)
  return { state: requested.state, effects: [...effects, ...requested.effects] }
}

function requestQuota (state: LimitsState, account: AccountLimit, nowMs: number): Next {
  const { located, sources } = withSources(state, account)
  const { coordinator } = sources
  if (coordinator !== undefined && coordinator !== state.self) return sendAll(state, [to => requestFromCoordinator(to.account, coordinator, to.sequence, nowMs)], located)
  return aggregateQuota(state, isShort(located, nowMs) ? { ...located, lastShortageMs: nowMs } : located, nowMs)
}

function aggregateQuota (state: LimitsState, account: AccountLimit, nowMs: number): Next {
  const { located, sources } = withSources(state, account)
  if (nowMs - located.lastShortageMs >= aggregationIdleMs) return sendAll(state, [], located)
  const owners = missingTokens(located, nowMs) > 0 ? sources.owners : sufficientOwners(located, sources.owners, nowMs)
  return sendAll(state, owners.map(({ host }) => to => borrowFromOwner(to.account, host, to.sequence, nowMs)), located)
}

// Returns the first owners whose fractions, together with the own one, reach the
// needed fraction. Loans from the other owners are not renewed and expire; if
// they are needed again, a request waits for them.
function sufficientOwners (account: AccountLimit, owners: readonly QuotaOwner[], nowMs: number): readonly QuotaOwner[] {
  const needed = neededFraction(account, nowMs)
  let fraction = ownFraction(account, nowMs)
  let count = 0
  while (count < owners.length && fraction < needed) fraction += owners[count++]?.fraction ?? 0
  return owners.slice(0, count)
}

function withSources (state: LimitsState, account: AccountLimit): { readonly located: AccountLimit, readonly sources: QuotaSources } {
  const { members, partitionOwners } = state
  const known = account.sources
  if (known?.members === members && known.partitionOwners === partitionOwners) return { located: account, sources: known }
  const sources = { members, partitionOwners, coordinator: coordinatorOf(state, account), owners: quotaOwners(state, account) }
  return { located: { ...account, sources }, sources }
}

type RequestStep = (to: { readonly account: AccountLimit, readonly sequence: number }) => BorrowResult

function sendAll (state: LimitsState, steps: readonly RequestStep[], account: AccountLimit): Next {
  const effects: LimitsEffect[] = []
  let current = account
  let sequence = state.sequence
  for (const step of steps) {
    const result = step({ account: current, sequence: sequence + 1 })
    current = result.state
    sequence += result.requests.length
    for (const { to, request } of result.requests) effects.push({ kind: 'borrow', to, request })
  }
  return { state: { ...state, sequence, accounts: withAccount(state.accounts, current) }, effects }
}

function borrowRequested (state: LimitsState, event: Extract<LimitsEvent, { readonly kind: 'borrowRequested' }>): Next {
  const { callId, request, nowMs } = event
  const account = accountOf(state.accounts, request.account)
  if (account === undefined || nowMs >= state.confirmation.confirmedUntilMs) return { state, effects: [{ kind: 'lend', callId, grant: undefined }] }
  const lent = lend(account, `${event.from}/${event.incarnation}`, request, nowMs)
  const answer: LimitsEffect = { kind: 'lend', callId, grant: lent.grant }
  // A host that receives a request with purpose `use` acts as the account's
  // coordinator, whatever its own membership view is.
  if (request.purpose === 'collect') return { state: { ...state, accounts: withAccount(state.accounts, lent.state) }, effects: [answer] }
  const missing = request.isUrgent ? request.wantTokens - (lent.grant?.tokens ?? 0) : 0
  const unmet = missing > 0 ? { tokens: missing, atMs: nowMs } : lent.state.unmet
  const lentDemand = request.isUrgent ? withRequests(lent.state.lentDemand, nowMs, lent.grant?.tokens ?? 0) : lent.state.lentDemand
  const aggregated = aggregateQuota(activated(state, request.account), { ...lent.state, lastShortageMs: nowMs, unmet, lentDemand }, nowMs)
  return { state: aggregated.state, effects: [answer, ...aggregated.effects] }
}

function borrowAnswered (state: LimitsState, event: Extract<LimitsEvent, { readonly kind: 'borrowAnswered' }>): Next {
  const account = accountOf(state.accounts, event.account)
  if (account === undefined) return { state, effects: [] }
  return serveWaiting(state, applyAnswer(account, event.from, event.sequence, event.grant, event.nowMs), event.nowMs)
}

function tick (state: LimitsState, nowMs: number): Next {
  const effects: LimitsEffect[] = []
  let current = state
  for (const name of state.active) {
    const account = accountOf(current.accounts, name)
    if (account === undefined || !isCheckDue(account, nowMs)) continue
    const served = serveWaiting(current, advanced(account, nowMs), nowMs)
    effects.push(...served.effects)
    current = served.state
  }
  return { state: { ...current, active: stillActive(current, nowMs) }, effects }
}

// Requests of one account that wait make the ticks frequent; the others keep their
// period.
function isCheckDue (account: AccountLimit, nowMs: number): boolean {
  return account.waiting.length > 0 || nowMs - account.checkedMs >= idleTickMs
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the state
 * @param nowMs - the time
 * @returns monotonic time; Infinity while no account is in use
 */
export function limitsDueAtMs (state: LimitsState, nowMs: number): number {
  const isWaiting = [...state.active].some(name => (accountOf(state.accounts, name)?.waiting.length ?? 0) > 0)
  if (isWaiting) return nowMs + limitsTickMs
  return state.active.size > 0 ? nowMs + idleTickMs : Infinity
}

function stillActive (state: LimitsState, nowMs: number): ReadonlySet<AccountName> {
  const idle = [...state.active].filter(name => {
    const account = accountOf(state.accounts, name)
    return account === undefined || isIdle(account, nowMs)
  })
  if (idle.length === 0) return state.active
  return new Set([...state.active].filter(name => !idle.includes(name)))
}

function isIdle (account: AccountLimit, nowMs: number): boolean {
  return account.waiting.length === 0 &&
    nowMs - account.lastShortageMs >= aggregationIdleMs &&
    demandRate(account.demand, nowMs) < idleDemandPerS &&
    [...account.lenders.values()].every(({ loans }) => loans.length === 0)
}
