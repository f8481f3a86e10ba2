// Limits: one host's part in keeping every account within its rate and burst.
//
// Weighed in docs/DESIGN.md: shares that are lent, a leased keeper, an even
// split. Each host owns a share of every limit by its seats. Requests are
// admitted from what is here, without a message. A host that is short asks
// the account's home for a loan; the home collects what other owners do not
// need and lends it on. Loans end by themselves, the borrower's before the
// lender's, so no host ever has to learn that another is gone. A request that
// finds no token waits a little for a loan before it is refused.
//
// The time of an event has to be taken when the event is handled, not when it
// was put into a mailbox: a host may have been paused in between.

import { anonymousAccount, type AccountName, type BorrowRequest, type HostName, type Manifest, type Quota, type QuotaGrant } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import { quotaCoordinator, type Member } from '../members/index.js'
import { advanced, hasToken, newAccount, ownFraction, refreshed, withoutToken, type AccountLimit, type Owner, type OwnPart, type Placement, type WaitingRequest } from './account.js'
import { accountOf, allAccounts, noAccounts, withAccount, type Accounts } from './accounts.js'
import { askHome, collect, mayBringTokens, missingTokens, takeAnswer, type Asking } from './borrowing.js'
import { demandRate, withRequests } from './demand.js'
import { lend } from './lending.js'
import { isShort, neededFraction } from './quota-target.js'
import { firstOwner, sameDivision, partitionFraction } from './partitions.js'
import { collectIdleMs, divisionSettleMs, leastWaitMs, maxWaiting, maxWaitMs, seatQuietMs } from './settings.js'

/** Owners are not known yet and the fleet is small: everybody is asked. */
const smallFleet = 32
/** An account with less demand than this needs no tick. */
const idleDemandPerS = 0.1
/** Bounds of the time after which a refused caller is told to come back. */
const retryMs: { readonly least: number, readonly most: number } = { least: 10, most: 5000 }

/** What a host knows of all limits. */
export type LimitsState = {
  readonly self: HostName
  /** When this process started; the one before it on this host had ended by then. */
  readonly startedAtMs: number
  readonly accounts: Accounts
  /** Accounts that need ticks. */
  readonly active: ReadonlySet<AccountName>
  /** Seats among which each limit is divided; 0: no manifest yet. */
  readonly seats: number
  /** Own seats, and from when on each may be used. */
  readonly held: ReadonlyMap<number, number>
  readonly holders: ReadonlyMap<number, HostName>
  readonly members: readonly Member[]
  /** Nothing is admitted or lent from this time on unless it is put off. */
  readonly confirmedUntilMs: number
  /** Whether a confirmation holds or has lapsed unnoticed. */
  readonly wasConfirmed: boolean
  /** Last time that the confirmation was found to have lapsed. A table of seats that was read before is void: others may hold the seats now. */
  readonly lapsedMs: number
  readonly sequence: number
}

/** What happens to the limits. */
export type LimitsEvent =
  | { readonly kind: 'manifestApplied', readonly manifest: Manifest, readonly nowMs: number }
  | { readonly kind: 'seatsChanged', readonly owned: readonly number[], readonly reacquired: ReadonlySet<number>, readonly owners: ReadonlyMap<number, HostName>, readonly tableReadSentMs: number, readonly nowMs: number }
  | { readonly kind: 'membersChanged', readonly live: readonly Member[], readonly nowMs: number }
  | { readonly kind: 'confirmationChanged', readonly confirmedUntilMs: number, readonly nowMs: number }
  | { readonly kind: 'admit', readonly account: AccountName, readonly id: string, readonly deadlineMs: number, readonly nowMs: number }
  | { readonly kind: 'borrowRequested', readonly callId: string, readonly from: HostName, readonly incarnation: string, readonly request: BorrowRequest, readonly nowMs: number }
  /** The answer of a lender; no grant also where the call failed. */
  | { readonly kind: 'borrowAnswered', readonly from: HostName, readonly account: AccountName, readonly sequence: number, readonly grant: QuotaGrant | undefined, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the limits want done. */
export type LimitsEffect =
  | { readonly kind: 'admitted', readonly id: string }
  | { readonly kind: 'refused', readonly id: string, readonly retryAfterMs: number }
  | { readonly kind: 'borrow', readonly to: HostName, readonly request: BorrowRequest }
  /** The answer to `borrowRequested`. */
  | { readonly kind: 'lend', readonly callId: string, readonly grant: QuotaGrant | undefined }

type Next = Transition<LimitsState, LimitsEffect>

/**
 * The limits of a host that has just started: it admits nothing yet.
 * @param self - the host
 * @param startedAtMs - when its process started
 * @returns the state
 */
export function initialLimits (self: HostName, startedAtMs: number): LimitsState {
  return {
    self,
    startedAtMs,
    accounts: noAccounts,
    active: new Set(),
    seats: 0,
    held: new Map(),
    holders: new Map(),
    members: [],
    confirmedUntilMs: -Infinity,
    wasConfirmed: false,
    lapsedMs: -Infinity,
    sequence: 0
  }
}

/**
 * Takes in one event.
 * @param state - what is known
 * @param event - what happened
 * @returns what is known then, and what to do
 */
export function limitsStep (state: LimitsState, event: LimitsEvent): Next {
  switch (event.kind) {
    case 'manifestApplied': return manifestApplied(state, event.manifest, event.nowMs)
    case 'seatsChanged': {
      const held = event.tableReadSentMs < state.lapsedMs ? [] : event.owned
      return { state: seatsChanged(state, { held, regained: event.reacquired }, event.owners, event.nowMs), effects: [] }
    }
    case 'membersChanged': return { state: { ...state, members: event.live }, effects: [] }
    case 'confirmationChanged': return { state: confirmationChanged(state, event.confirmedUntilMs, event.nowMs), effects: [] }
    case 'admit': return admit(state, event.account, waitingRequest(event.id, event.deadlineMs, event.nowMs), event.nowMs)
    case 'borrowRequested': return borrowRequested(state, event)
    case 'borrowAnswered': return borrowAnswered(state, event)
    case 'tick': return tick(state, event.nowMs)
  }
}

function limitsOf (manifest: Manifest): ReadonlyMap<AccountName, Quota> {
  const limits = new Map(manifest.accounts.map(({ name, ratePerS, burst }): readonly [AccountName, Quota] => [name, { ratePerS, capacity: burst }]))
  return limits.set(anonymousAccount, { ratePerS: manifest.anonymous.ratePerS, capacity: manifest.anonymous.burst })
}

function manifestApplied (state: LimitsState, manifest: Manifest, nowMs: number): Next {
  const limits = limitsOf(manifest)
  let accounts = noAccounts
  for (const [account, limit] of limits) accounts = withAccount(accounts, changedAccount(state, account, limit, manifest.seats, nowMs))
  const dropped = allAccounts(state.accounts).filter(({ account }) => !limits.has(account))
  const effects = dropped.flatMap(account => account.waiting.map(({ id }) => refusal(account, id)))
  const active = new Set([...state.active].filter(account => limits.has(account)))
  return { state: { ...state, accounts, active, seats: manifest.seats }, effects }
}

// After a change of the division some hosts still divide the old way. Until
// they are sure to know, nobody uses more than its part was in both.
function changedAccount (state: LimitsState, account: AccountName, limit: Quota, seats: number, nowMs: number): AccountLimit {
  const known = accountOf(state.accounts, account)
  const own = ownParts(state.held, account, limit.ratePerS, seats)
  const before = known === undefined ? newAccount(account, limit, nowMs) : advanced(known, nowMs)
  const isFirst = state.seats === 0
  const isSame = known !== undefined && sameDivision({ ratePerS: known.limit.ratePerS, seats: state.seats }, { ratePerS: limit.ratePerS, seats })
  const ceiling = isFirst || isSame ? before.ceiling : { fraction: ownFraction(before, nowMs), untilMs: nowMs + divisionSettleMs }
  return refreshed({ ...before, limit, own, ceiling })
}

function ownParts (held: ReadonlyMap<number, number>, account: AccountName, ratePerS: number, seats: number): readonly OwnPart[] {
  const byTime = new Map<number, number>()
  for (const [seat, fromMs] of held) {
    const fraction = partitionFraction(account, ratePerS, seat, seats)
    if (fraction > 0) byTime.set(fromMs, (byTime.get(fromMs) ?? 0) + fraction)
  }
  return [...byTime].map(([fromMs, fraction]) => ({ fromMs, fraction }))
}

type SeatChange = { readonly held: readonly number[], readonly regained: ReadonlySet<number> }

function seatsChanged (state: LimitsState, { held: seats, regained }: SeatChange, holders: ReadonlyMap<number, HostName>, nowMs: number): LimitsState {
  const isSame = seats.length === state.held.size && seats.every(seat => state.held.has(seat))
  if (isSame) return { ...state, holders }
  const quietSinceMs = (seat: number): number => regained.has(seat) && state.lapsedMs === -Infinity ? state.startedAtMs : nowMs
  const held = new Map(seats.map(seat => [seat, state.held.get(seat) ?? Math.max(nowMs, quietSinceMs(seat) + seatQuietMs)]))
  let accounts = state.accounts
  for (const account of allAccounts(state.accounts)) {
    const own = ownParts(held, account.account, account.limit.ratePerS, state.seats)
    accounts = withAccount(accounts, refreshed({ ...advanced(account, nowMs), own }))
  }
  return { ...state, held, holders, accounts }
}

function confirmationChanged (state: LimitsState, confirmedUntilMs: number, nowMs: number): LimitsState {
  const wasConfirmed = state.wasConfirmed || confirmedUntilMs > nowMs
  const isLapsed = state.wasConfirmed && (nowMs >= state.confirmedUntilMs || confirmedUntilMs <= nowMs)
  if (!isLapsed) return { ...state, confirmedUntilMs, wasConfirmed }
  const lapsed = { ...state, confirmedUntilMs, wasConfirmed: confirmedUntilMs > nowMs, lapsedMs: nowMs }
  return seatsChanged(lapsed, { held: [], regained: new Set() }, state.holders, nowMs)
}

function refusal (account: AccountLimit, id: string): LimitsEffect {
  const ratePerS = Math.max(account.usable.ratePerS, account.limit.ratePerS / 2)
  const missing = account.waiting.length + 1 - account.level
  const retryAfterMs = Math.min(retryMs.most, Math.max(retryMs.least, Math.ceil(missing * 1000 / ratePerS)))
  return { kind: 'refused', id, retryAfterMs }
}

function admit (state: LimitsState, name: AccountName, request: WaitingRequest, nowMs: number): Next {
  const known = accountOf(state.accounts, name)
  if (known === undefined || nowMs >= state.confirmedUntilMs) return { state, effects: [{ kind: 'refused', id: request.id, retryAfterMs: retryMs.most }] }
  const current = advanced(known, nowMs)
  const asked = { ...current, demand: withRequests(current.demand, nowMs) }
  if (asked.waiting.length === 0 && hasToken(asked)) {
    const next = { ...state, accounts: withAccount(state.accounts, withoutToken(asked)) }
    return { state: activated(next, name), effects: [{ kind: 'admitted', id: request.id }] }
  }
  if (asked.waiting.length >= maxWaiting) {
    return { state: { ...state, accounts: withAccount(state.accounts, asked) }, effects: [refusal(asked, request.id)] }
  }
  return serve(activated(state, name), { ...asked, waiting: [...asked.waiting, request] }, nowMs)
}

function waitingRequest (id: string, deadlineMs: number, nowMs: number): WaitingRequest {
  return { id, leastMs: Math.min(deadlineMs, nowMs + leastWaitMs), untilMs: Math.min(deadlineMs, nowMs + maxWaitMs) }
}

// A lender that is slow to answer may still have tokens; one that answered has none.
function isHopeless (account: AccountLimit, request: WaitingRequest, nowMs: number): boolean {
  return request.leastMs <= nowMs && !mayBringTokens(account, nowMs)
}

function activated (state: LimitsState, account: AccountName): LimitsState {
  return state.active.has(account) ? state : { ...state, active: new Set(state.active).add(account) }
}

// Admits those that have waited while there are tokens, refuses those whose time is over, and asks for more where needed.
function serve (state: LimitsState, account: AccountLimit, nowMs: number): Next {
  const isConfirmed = nowMs < state.confirmedUntilMs
  const effects: LimitsEffect[] = []
  const waiting: WaitingRequest[] = []
  let current = account
  for (const request of account.waiting) {
    if (request.untilMs <= nowMs || !isConfirmed) {
      effects.push(refusal(current, request.id))
    } else if (hasToken(current)) {
      effects.push({ kind: 'admitted', id: request.id })
      current = withoutToken(current)
    } else if (isHopeless(current, request, nowMs)) {
      effects.push(refusal(current, request.id))
    } else {
      waiting.push(request)
    }
  }
  const served = account.waiting.length === 0 ? current : { ...current, waiting }
  if (!isConfirmed) return { state: { ...state, accounts: withAccount(state.accounts, served) }, effects }
  const asked = askForMore(state, served, nowMs)
  return { state: asked.state, effects: [...effects, ...asked.effects] }
}

function askForMore (state: LimitsState, account: AccountLimit, nowMs: number): Next {
  const { placed, placement } = placedAccount(state, account)
  const { home } = placement
  if (home !== undefined && home !== state.self) return sendAll(state, [to => askHome(to.account, home, to.sequence, nowMs)], placed)
  return collectAll(state, isShort(placed, nowMs) ? { ...placed, shortMs: nowMs } : placed, nowMs)
}

function collectAll (state: LimitsState, account: AccountLimit, nowMs: number): Next {
  const { placed, placement } = placedAccount(state, account)
  if (nowMs - placed.shortMs >= collectIdleMs) return sendAll(state, [], placed)
  const owners = missingTokens(placed, nowMs) > 0 ? placement.owners : enoughOwners(placed, placement.owners, nowMs)
  return sendAll(state, owners.map(({ host }) => to => collect(to.account, host, to.sequence, nowMs)), placed)
}

// Loans from the others run out; where they are needed after all, a request waits for them.
function enoughOwners (account: AccountLimit, owners: readonly Owner[], nowMs: number): readonly Owner[] {
  const needed = neededFraction(account, nowMs)
  let fraction = ownFraction(account, nowMs)
  let count = 0
  while (count < owners.length && fraction < needed) fraction += owners[count++]?.fraction ?? 0
  return owners.slice(0, count)
}

function placedAccount (state: LimitsState, account: AccountLimit): { readonly placed: AccountLimit, readonly placement: Placement } {
  const { members, holders } = state
  const known = account.placement
  if (known?.members === members && known.holders === holders) return { placed: account, placement: known }
  const home = known?.members === members ? known.home : quotaCoordinator(account.account, members)
  const placement = { members, holders, home, owners: ownersOf(state, account) }
  return { placed: { ...account, placement }, placement }
}

// The order differs by account, so that no host lends first to all.
function ownersOf (state: LimitsState, { account, limit }: AccountLimit): readonly Owner[] {
  const fractions = new Map<HostName, number>()
  for (const [seat, host] of state.holders) {
    fractions.set(host, (fractions.get(host) ?? 0) + partitionFraction(account, limit.ratePerS, seat, state.seats))
  }
  const usualFraction = fractions.size === 0 ? 1 / state.members.length : 0
  const owners = state.members.flatMap(({ host }) => host === state.self ? [] : [{ host, fraction: fractions.get(host) ?? usualFraction }])
  const first = firstOwner(account, owners.length)
  const inOrder = [...owners.slice(first), ...owners.slice(0, first)]
  return fractions.size === 0 && owners.length < smallFleet ? inOrder : inOrder.filter(({ fraction }) => fraction > 0)
}

type AskStep = (to: { readonly account: AccountLimit, readonly sequence: number }) => Asking

function sendAll (state: LimitsState, steps: readonly AskStep[], account: AccountLimit): Next {
  const effects: LimitsEffect[] = []
  let current = account
  let sequence = state.sequence
  for (const step of steps) {
    const asking = step({ account: current, sequence: sequence + 1 })
    current = asking.state
    sequence += asking.requests.length
    for (const { to, request } of asking.requests) effects.push({ kind: 'borrow', to, request })
  }
  return { state: { ...state, sequence, accounts: withAccount(state.accounts, current) }, effects }
}

function borrowRequested (state: LimitsState, event: Extract<LimitsEvent, { readonly kind: 'borrowRequested' }>): Next {
  const { callId, request, nowMs } = event
  const account = accountOf(state.accounts, request.account)
  if (account === undefined || nowMs >= state.confirmedUntilMs) return { state, effects: [{ kind: 'lend', callId, grant: undefined }] }
  const lending = lend(account, `${event.from}/${event.incarnation}`, request, nowMs)
  const answer: LimitsEffect = { kind: 'lend', callId, grant: lending.grant }
  // Who is asked for a loan to use acts as the account's home, whatever its own view says.
  if (request.purpose === 'collect') return { state: { ...state, accounts: withAccount(state.accounts, lending.state) }, effects: [answer] }
  const missing = request.isUrgent ? request.wantTokens - (lending.grant?.tokens ?? 0) : 0
  const unmet = missing > 0 ? { tokens: missing, atMs: nowMs } : lending.state.unmet
  const lentDemand = request.isUrgent ? withRequests(lending.state.lentDemand, nowMs, lending.grant?.tokens ?? 0) : lending.state.lentDemand
  const collecting = collectAll(activated(state, request.account), { ...lending.state, shortMs: nowMs, unmet, lentDemand }, nowMs)
  return { state: collecting.state, effects: [answer, ...collecting.effects] }
}

function borrowAnswered (state: LimitsState, event: Extract<LimitsEvent, { readonly kind: 'borrowAnswered' }>): Next {
  const account = accountOf(state.accounts, event.account)
  if (account === undefined) return { state, effects: [] }
  return serve(state, takeAnswer(account, event.from, event.sequence, event.grant, event.nowMs), event.nowMs)
}

function tick (state: LimitsState, nowMs: number): Next {
  const effects: LimitsEffect[] = []
  let current = state
  for (const name of state.active) {
    const account = accountOf(current.accounts, name)
    if (account === undefined) continue
    const served = serve(current, advanced(account, nowMs), nowMs)
    effects.push(...served.effects)
    current = served.state
  }
  return { state: { ...current, active: stillActive(current, nowMs) }, effects }
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
    nowMs - account.shortMs >= collectIdleMs &&
    demandRate(account.demand, nowMs) < idleDemandPerS &&
    [...account.lenders.values()].every(({ loans }) => loans.length === 0)
}
