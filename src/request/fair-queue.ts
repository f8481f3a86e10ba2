// The queue in front of a server's slots: start-time fair queueing between
// client accounts. Each account has a tag, the service time that it has been
// charged divided by its weight. The account with the lowest tag goes next,
// and its tag is the virtual time. An account that comes back from idleness
// starts at the virtual time, so it brings no credit along.
//
// Nobody knows beforehand how long a statement takes. An account is charged
// its usual time at the start, what a statement takes beyond that while it
// runs, and the rest is corrected at the end.
//
// The queue is bounded as a whole and for each account. Where the whole is
// full, the account with the most waiting statements for its weight loses its
// last one; a flood is refused to the account that sends it.

import type { AccountName } from '../model/index.js'
import type { Transition } from '../pipe/index.js'

/** Settings of a fair queue. */
export type FairQueueSettings = {
  /** Statements that run at a time. */
  readonly slots: number
  /** Statements that wait at most, of all accounts together. */
  readonly maxWaiting: number
}

/** A statement that waits. */
export type QueuedStatement = {
  readonly id: string
  readonly deadlineAtMs: number
}

/** A statement that runs. */
export type RunningStatement = {
  readonly account: AccountName
  readonly startedAtMs: number
  readonly chargedMs: number
}

/** One account's place in the queue. */
export type QueueAccount = {
  readonly weight: number
  /** Service time charged so far, divided by the weight. */
  readonly startTagMs: number
  /** What a statement of the account usually takes. */
  readonly estimatedMs: number
  readonly waiting: readonly QueuedStatement[]
}

/** A fair queue. */
export type FairQueueState = {
  readonly settings: FairQueueSettings
  readonly virtualTimeMs: number
  readonly accounts: Readonly<Record<AccountName, QueueAccount>>
  readonly running: Readonly<Record<string, RunningStatement>>
  readonly waitingCount: number
}

/** What happens to a fair queue. Times are monotonic. */
export type FairQueueEvent =
  | { readonly kind: 'offered', readonly id: string, readonly account: AccountName, readonly weight: number, readonly deadlineAtMs: number, readonly nowMs: number }
  | { readonly kind: 'finished', readonly id: string, readonly tookMs: number, readonly nowMs: number }
  /** Whoever offered it wants it no more; one that runs goes on until `finished`. */
  | { readonly kind: 'cancelled', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the offered statement is told; a refused one has not run. */
export type FairQueueEffect =
  | { readonly kind: 'start', readonly id: string }
  | { readonly kind: 'refuse', readonly id: string, readonly reason: 'queueFull' | 'deadlinePassed' }

type Next = Transition<FairQueueState, FairQueueEffect>

/** Part of the whole queue that one account may fill. */
const accountShareOfQueue = 0.5
/** Service time that an unknown account is charged at first. */
const firstUsualMs = 1
/** Weight of the latest statement in an account's usual time. */
const usualSmoothing = 0.2

/**
 * An empty queue.
 * @param settings - slots and bounds
 * @returns the state
 */
export function initialFairQueue (settings: FairQueueSettings): FairQueueState {
  return { settings, virtualTimeMs: 0, accounts: {}, running: {}, waitingCount: 0 }
}

/**
 * The decision of the fair queue.
 * @param state - who waits and who runs
 * @param event - what happened
 * @returns the next state and who starts or is refused
 */
export function fairQueueStep (state: FairQueueState, event: FairQueueEvent): Next {
  const charged = chargeRunning(state, event.nowMs)
  switch (event.kind) {
    case 'offered': return fillSlots(offer(charged, event), event.nowMs)
    case 'finished': return fillSlots(quiet(finish(charged, event.id, event.tookMs)), event.nowMs)
    case 'cancelled': return fillSlots(quiet(cancel(charged, event.id)), event.nowMs)
    case 'tick': return fillSlots(dropOverdue(charged, event.nowMs), event.nowMs)
  }
}

function quiet (state: FairQueueState): Next {
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
    const beyondMs = nowMs - statement.startedAtMs - statement.chargedMs
    if (beyondMs <= 0) return charged
    const running = { ...charged.running, [id]: { ...statement, chargedMs: statement.chargedMs + beyondMs } }
    return charge({ ...charged, running }, statement.account, beyondMs)
  }, state)
}

function offer (state: FairQueueState, event: Extract<FairQueueEvent, { readonly kind: 'offered' }>): Next {
  const { id, account: name, weight, deadlineAtMs } = event
  if (event.nowMs >= deadlineAtMs) return { state, effects: [{ kind: 'refuse', id, reason: 'deadlinePassed' }] }
  const before = state.accounts[name] ?? { weight, startTagMs: state.virtualTimeMs, estimatedMs: firstUsualMs, waiting: [] }
  const perAccount = Math.ceil(state.settings.maxWaiting * accountShareOfQueue)
  if (before.waiting.length >= perAccount) return { state, effects: [{ kind: 'refuse', id, reason: 'queueFull' }] }
  const startTagMs = before.waiting.length === 0 ? Math.max(before.startTagMs, state.virtualTimeMs) : before.startTagMs
  const account = { ...before, weight, startTagMs: startTagMs, waiting: [...before.waiting, { id, deadlineAtMs }] }
  const longer = { ...withAccount(state, name, account), waitingCount: state.waitingCount + 1 }
  return longer.waitingCount > state.settings.maxWaiting ? pushOut(longer) : quiet(longer)
}

function pushOut (state: FairQueueState): Next {
  const crowd = ([, account]: readonly [AccountName, QueueAccount]): number => account.waiting.length / account.weight
  const crowded = Object.entries(state.accounts).reduce((most, entry) => crowd(entry) > crowd(most) ? entry : most)
  const [name, account] = crowded
  const last = account.waiting.at(-1)
  if (last === undefined) return quiet(state)
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
  const usualMs = account.estimatedMs + usualSmoothing * (tookMs - account.estimatedMs)
  return forgetIdle(withAccount(corrected, statement.account, { ...account, estimatedMs: usualMs }))
}

// An account without statements and without debt is as good as unknown.
function forgetIdle (state: FairQueueState): FairQueueState {
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
  }, quiet(state))
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
  if (first === undefined) return quiet(state)
  const shorter = { ...withAccount(state, name, { ...account, waiting: rest }), waitingCount: state.waitingCount - 1 }
  if (nowMs >= first.deadlineAtMs) return { state: shorter, effects: [{ kind: 'refuse', id: first.id, reason: 'deadlinePassed' }] }
  const running = { ...state.running, [first.id]: { account: name, startedAtMs: nowMs, chargedMs: account.estimatedMs } }
  const virtualMs = Math.max(state.virtualTimeMs, account.startTagMs)
  return {
    state: charge({ ...shorter, running, virtualTimeMs: virtualMs }, name, account.estimatedMs),
    effects: [{ kind: 'start', id: first.id }]
  }
}
