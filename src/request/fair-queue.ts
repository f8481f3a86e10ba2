// The queue in front of a server's slots: start-time fair queueing (SFQ) between
// client accounts. Each account has a start tag, the service time charged to it
// divided by its weight. The account with the lowest tag is served next, and
// its tag becomes the virtual time. An account that returns from idleness
// starts at the virtual time, so idle time earns no credit.
//
// The service time of a statement is not known in advance. An account is
// charged its estimated time at the start and any excess while the statement
// runs; the difference is corrected at the end.
//
// The queue is bounded as a whole and for each account. When the whole queue is
// full, the account with the most waiting statements in relation to its weight
// loses its last one, so a flood is rejected at the account that causes it.

import type { AccountName } from '../model/index.js'
import type { Transition } from '../pipe/index.js'

/** Settings of a fair queue. */
export type FairQueueSettings = {
  /** Number of statements that run concurrently. */
  readonly slots: number
  /** Maximum number of waiting statements of all accounts together. */
  readonly maxWaiting: number
}

/** A waiting statement. */
export type QueuedStatement = {
  readonly id: string
  readonly deadlineAtMs: number
}

/** A running statement. */
export type RunningStatement = {
  readonly account: AccountName
  readonly startedAtMs: number
  readonly chargedMs: number
}

/** State of one account in the queue. */
export type QueueAccount = {
  readonly weight: number
  /** Start tag: service time charged so far, divided by the weight. */
  readonly startTagMs: number
  /** Moving average of the service time of the account's statements. */
  readonly estimatedMs: number
  readonly waiting: readonly QueuedStatement[]
}

/** State of a fair queue. */
export type FairQueueState = {
  readonly settings: FairQueueSettings
  readonly virtualTimeMs: number
  readonly accounts: Readonly<Record<AccountName, QueueAccount>>
  readonly running: Readonly<Record<string, RunningStatement>>
  readonly waitingCount: number
}

/** Events of a fair queue. Times are monotonic. */
export type FairQueueEvent =
  | { readonly kind: 'offered', readonly id: string, readonly account: AccountName, readonly weight: number, readonly deadlineAtMs: number, readonly nowMs: number }
  | { readonly kind: 'finished', readonly id: string, readonly tookMs: number, readonly nowMs: number }
  /**
   * The statement is no longer needed; one that already runs ends with
   * `finished`.
   */
  | { readonly kind: 'cancelled', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of a fair queue; a refused statement has not run. */
export type FairQueueEffect =
  | { readonly kind: 'start', readonly id: string }
  | { readonly kind: 'refuse', readonly id: string, readonly reason: 'queueFull' | 'deadlinePassed' }

type Next = Transition<FairQueueState, FairQueueEffect>

/** Maximum fraction of the whole queue that one account may fill. */
const maxAccountFraction = 0.5
/** Service time estimate for an account without finished statements. */
const initialEstimateMs = 1
/** Weight of the latest statement in the moving average of the service time. */
const estimateSmoothing = 0.2

/**
 * Creates an empty queue.
 * @param settings - slots and bounds
 * @returns the initial state
 */
export function initialFairQueue (settings: FairQueueSettings): FairQueueState {
  return { settings, virtualTimeMs: 0, accounts: {}, running: {}, waitingCount: 0 }
}

/**
 * Step function of the fair queue.
 * @param state - the current state
 * @param event - the event
 * @returns the next state, and the statements to start or to refuse
 */
export function fairQueueStep (state: FairQueueState, event: FairQueueEvent): Next {
  const charged = chargeRunning(state, event.nowMs)
  switch (event.kind) {
    case 'offered': return fillSlots(offer(charged, event), event.nowMs)
    case 'finished': return fillSlots(withoutEffects(finish(charged, event.id, event.tookMs)), event.nowMs)
    case 'cancelled': return fillSlots(withoutEffects(cancel(charged, event.id)), event.nowMs)
    case 'tick': return fillSlots(dropOverdue(charged, event.nowMs), event.nowMs)
  }
}

function withoutEffects (state: FairQueueState): Next {
  return { state, effects: [] }
}

function withAccount (state: FairQueueState, name: AccountName, account: QueueAccount): FairQueueState {
  return { ...state, accounts: { ...state.accounts, [name]: account } }
}

function charge (state: FairQueueState, name: AccountName, costMs: number): FairQueueState {
  const account = state.accounts[name]
  if (account === undefined) return state
  return withAccount(state, name, { ...account, startTagMs: account.startTagMs + costMs / account.weight })
}

function chargeRunning (state: FairQueueState, nowMs: number): FairQueueState {
  return Object.entries(state.running).reduce((charged, [id, statement]) => {
    const unchargedMs = nowMs - statement.startedAtMs - statement.chargedMs
    if (unchargedMs <= 0) return charged
    const running = { ...charged.running, [id]: { ...statement, chargedMs: statement.chargedMs + unchargedMs } }
    return charge({ ...charged, running }, statement.account, unchargedMs)
  }, state)
}

function offer (state: FairQueueState, event: Extract<FairQueueEvent, { readonly kind: 'offered' }>): Next {
  const { id, account: name, weight, deadlineAtMs } = event
  if (event.nowMs >= deadlineAtMs) return { state, effects: [{ kind: 'refuse', id, reason: 'deadlinePassed' }] }
  const before = state.accounts[name] ?? { weight, startTagMs: state.virtualTimeMs, estimatedMs: initialEstimateMs, waiting: [] }
  const perAccount = Math.ceil(state.settings.maxWaiting * maxAccountFraction)
  if (before.waiting.length >= perAccount) return { state, effects: [{ kind: 'refuse', id, reason: 'queueFull' }] }
  const startTagMs = before.waiting.length === 0 ? Math.max(before.startTagMs, state.virtualTimeMs) : before.startTagMs
  const account = { ...before, weight, startTagMs, waiting: [...before.waiting, { id, deadlineAtMs }] }
  const enqueued = { ...withAccount(state, name, account), waitingCount: state.waitingCount + 1 }
  return enqueued.waitingCount > state.settings.maxWaiting ? evictFromLongest(enqueued) : withoutEffects(enqueued)
}

function evictFromLongest (state: FairQueueState): Next {
  const backlog = ([, account]: readonly [AccountName, QueueAccount]): number => account.waiting.length / account.weight
  const longest = Object.entries(state.accounts).reduce((most, entry) => backlog(entry) > backlog(most) ? entry : most)
  const [name, account] = longest
  const last = account.waiting.at(-1)
  if (last === undefined) return withoutEffects(state)
  const shorter = withAccount(state, name, { ...account, waiting: account.waiting.slice(0, -1) })
  return {
    state: { ...shorter, waitingCount: state.waitingCount - 1 },
    effects: [{ kind: 'refuse', id: last.id, reason: 'queueFull' }]
  }
}

function finish (state: FairQueueState, id: string, tookMs: number): FairQueueState {
  const statement = state.running[id]
  if (statement === undefined) return state
  const { [id]: _, ...running } = state.running
  const corrected = charge({ ...state, running }, statement.account, tookMs - statement.chargedMs)
  const account = corrected.accounts[statement.account]
  if (account === undefined) return corrected
  const estimatedMs = account.estimatedMs + estimateSmoothing * (tookMs - account.estimatedMs)
  return dropIdleAccounts(withAccount(corrected, statement.account, { ...account, estimatedMs }))
}

// Drops accounts without statements whose start tag has been reached by the
// virtual time: an account without an entry starts at the virtual time anyway.
function dropIdleAccounts (state: FairQueueState): FairQueueState {
  const busy = new Set(Object.values(state.running).map(statement => statement.account))
  const kept = Object.entries(state.accounts).filter(([name, account]) =>
    account.waiting.length > 0 || busy.has(name) || account.startTagMs > state.virtualTimeMs)
  return { ...state, accounts: Object.fromEntries(kept) }
}

function cancel (state: FairQueueState, id: string): FairQueueState {
  const found = Object.entries(state.accounts).find(([, account]) => account.waiting.some(statement => statement.id === id))
  if (found === undefined) return state
  const [name, account] = found
  const waiting = account.waiting.filter(statement => statement.id !== id)
  return { ...withAccount(state, name, { ...account, waiting }), waitingCount: state.waitingCount - 1 }
}

function dropOverdue (state: FairQueueState, nowMs: number): Next {
  return Object.entries(state.accounts).reduce<Next>((done, [name, account]) => {
    const overdue = account.waiting.filter(statement => nowMs >= statement.deadlineAtMs)
    if (overdue.length === 0) return done
    const waiting = account.waiting.filter(statement => nowMs < statement.deadlineAtMs)
    const shorter = withAccount(done.state, name, { ...account, waiting })
    const refusals = overdue.map(({ id }) => ({ kind: 'refuse', id, reason: 'deadlinePassed' } as const))
    return {
      state: { ...shorter, waitingCount: done.state.waitingCount - overdue.length },
      effects: [...done.effects, ...refusals]
    }
  }, withoutEffects(state))
}

function fillSlots (before: Next, nowMs: number): Next {
  let { state, effects } = before
  while (Object.keys(state.running).length < state.settings.slots && state.waitingCount > 0) {
    const next = startNext(state, nowMs)
    state = next.state
    effects = [...effects, ...next.effects]
  }
  return { state, effects }
}

function startNext (state: FairQueueState, nowMs: number): Next {
  const waiting = Object.entries(state.accounts).filter(([, account]) => account.waiting.length > 0)
  const [name, account] = waiting.reduce((lowest, entry) => entry[1].startTagMs < lowest[1].startTagMs ? entry : lowest)
  const [first, ...rest] = account.waiting
  if (first === undefined) return withoutEffects(state)
  const shorter = { ...withAccount(state, name, { ...account, waiting: rest }), waitingCount: state.waitingCount - 1 }
  if (nowMs >= first.deadlineAtMs) return { state: shorter, effects: [{ kind: 'refuse', id: first.id, reason: 'deadlinePassed' }] }
  const running = { ...state.running, [first.id]: { account: name, startedAtMs: nowMs, chargedMs: account.estimatedMs } }
  const virtualTimeMs = Math.max(state.virtualTimeMs, account.startTagMs)
  return {
    state: charge({ ...shorter, running, virtualTimeMs }, name, account.estimatedMs),
    effects: [{ kind: 'start', id: first.id }]
  }
}
