// Queueing disciplines for comparison with the fair queue, with the same events
// and effects: first in, first out, and deficit round robin.

import type { AccountName } from '../src/model/index.js'
import type { Transition } from '../src/pipe/index.js'
import type { SchedulerEffect, SchedulerEvent, SchedulerSettings } from '../src/schedule/index.js'

type Offered = Extract<SchedulerEvent, { readonly kind: 'offered' }>

/** A discipline as a step function with its initial state. */
export type Discipline<S> = {
  readonly initial: (settings: SchedulerSettings) => S
  readonly step: (state: S, event: SchedulerEvent) => Transition<S, SchedulerEffect>
}

export type FifoState = {
  readonly settings: SchedulerSettings
  readonly waiting: readonly Offered[]
  readonly running: number
}

export const fifo: Discipline<FifoState> = {
  initial: settings => ({ settings, waiting: [], running: 0 }),
  step (state, event) {
    switch (event.kind) {
      case 'offered': return state.waiting.length >= state.settings.maxWaiting
        ? { state, effects: [{ kind: 'refuse', id: event.id, reason: 'queueFull', expectedWaitMs: 0 }] }
        : startFifo({ ...state, waiting: [...state.waiting, event] }, event.nowMs)
      case 'finished': return startFifo({ ...state, running: state.running - 1 }, event.nowMs)
      case 'cancelled':
      case 'slotsChanged':
      case 'tick': return { state, effects: [] }
    }
  }
}

function startFifo (state: FifoState, nowMs: number): Transition<FifoState, SchedulerEffect> {
  const effects: SchedulerEffect[] = []
  let { running, waiting } = state
  while (running < state.settings.slots && waiting.length > 0) {
    const [first, ...rest] = waiting
    waiting = rest
    if (first === undefined) break
    const isExpired = nowMs >= first.deadlineAtMs
    if (!isExpired) running += 1
    effects.push(isExpired ? { kind: 'refuse', id: first.id, reason: 'deadlinePassed', expectedWaitMs: 0 } : { kind: 'start', id: first.id })
  }
  return { state: { ...state, running, waiting }, effects }
}

type RoundRobinAccount = {
  readonly name: AccountName
  readonly weight: number
  /** Remaining service time of the account in this round. */
  readonly deficitMs: number
  readonly waiting: readonly Offered[]
}

export type RoundRobinState = {
  readonly settings: SchedulerSettings
  /** In round-robin order; the first account is served. */
  readonly accounts: readonly RoundRobinAccount[]
  readonly running: Readonly<Record<string, AccountName>>
}

/** Service time of one round for an account of weight 1. */
const quantumMs = 5

/** Charges the service time of a statement when it has ended. */
export const deficitRoundRobin: Discipline<RoundRobinState> = {
  initial: settings => ({ settings, accounts: [], running: {} }),
  step (state, event) {
    switch (event.kind) {
      case 'offered': return enqueueRoundRobin(state, event)
      case 'finished': {
        const { [event.id]: name, ...running } = state.running
        const accounts = state.accounts.map(account =>
          account.name === name ? { ...account, deficitMs: account.deficitMs - event.tookMs } : account)
        return startRoundRobin({ ...state, running, accounts }, event.nowMs)
      }
      case 'cancelled':
      case 'slotsChanged':
      case 'tick': return { state, effects: [] }
    }
  }
}

function enqueueRoundRobin (state: RoundRobinState, event: Offered): Transition<RoundRobinState, SchedulerEffect> {
  const existing = state.accounts.find(account => account.name === event.account)
  const before = existing ?? { name: event.account, weight: event.weight, deficitMs: 0, waiting: [] }
  const total = state.accounts.reduce((sum, account) => sum + account.waiting.length, 0)
  if (before.waiting.length >= state.settings.maxWaiting / 2) return { state, effects: [{ kind: 'refuse', id: event.id, reason: 'queueFull', expectedWaitMs: 0 }] }
  const after = { ...before, waiting: [...before.waiting, event] }
  const accounts = existing === undefined ? [...state.accounts, after] : state.accounts.map(account => account === existing ? after : account)
  const enqueued = { ...state, accounts }
  if (total < state.settings.maxWaiting) return startRoundRobin(enqueued, event.nowMs)
  const longest = accounts.reduce((most, account) => account.waiting.length > most.waiting.length ? account : most)
  const shortened = accounts.map(account => account === longest ? { ...account, waiting: account.waiting.slice(0, -1) } : account)
  return { state: { ...enqueued, accounts: shortened }, effects: [{ kind: 'refuse', id: longest.waiting.at(-1)?.id ?? '', reason: 'queueFull', expectedWaitMs: 0 }] }
}

function startRoundRobin (state: RoundRobinState, nowMs: number): Transition<RoundRobinState, SchedulerEffect> {
  const effects: SchedulerEffect[] = []
  const running = { ...state.running }
  let accounts = state.accounts
  while (Object.keys(running).length < state.settings.slots && accounts.some(account => account.waiting.length > 0)) {
    const [current, ...others] = accounts
    if (current === undefined) break
    const [first, ...waiting] = current.waiting
    if (first === undefined) {
      accounts = [...others, { ...current, deficitMs: Math.min(0, current.deficitMs + quantumMs * current.weight) }]
    } else if (current.deficitMs <= 0) {
      accounts = [...others, { ...current, deficitMs: current.deficitMs + quantumMs * current.weight }]
    } else if (nowMs >= first.deadlineAtMs) {
      accounts = [{ ...current, waiting }, ...others]
      effects.push({ kind: 'refuse', id: first.id, reason: 'deadlinePassed', expectedWaitMs: 0 })
    } else {
      accounts = [{ ...current, waiting }, ...others]
      running[first.id] = current.name
      effects.push({ kind: 'start', id: first.id })
    }
  }
  return { state: { ...state, accounts, running }, effects }
}
