// Compares queueing disciplines for the slots of a server under the same seeded
// demand: eight accounts, one of which sends five times its rate.
// Run: node dist/bench/fair-queue.js

import type { AccountName } from '../src/model/index.js'
import { schedulerStep, initialScheduler } from '../src/schedule/index.js'
import { deficitRoundRobin, fifo, type Discipline } from './queue-disciplines.js'
import { seededRandom, type Random } from './seeded-random.js'
import { percentile } from './statistics.js'

type StatementDemand = {
  readonly account: AccountName
  readonly atMs: number
  readonly serviceMs: number
}

/** Demand of one account. */
type Sender = {
  readonly account: AccountName
  readonly meanIntervalMs: number
  readonly meanServiceMs: number
  /** Fraction of each second into which the whole demand is compressed. */
  readonly activeFraction: number
}

type Scenario = {
  readonly name: string
  readonly senders: readonly Sender[]
}

type Wait = {
  readonly account: AccountName
  readonly waitMs: number
}

type Running = {
  readonly id: string
  readonly endsAtMs: number
  readonly tookMs: number
}

type Served = {
  readonly offered: number
  readonly served: number
  readonly waitsMs: readonly number[]
}

const accountCount = 8
const slots = 5
const maxWaiting = 512
const maxLaneWaitMs = 500
const durationMs = 20_000
const deadlineMs = 1000
const seeds = [1, 2, 3]
/** Mean service time of a statement; each account uses 9 % of the slots' time. */
const meanServiceMs = 2
const meanIntervalMs = meanServiceMs / (slots * 0.09)
const noisyFactor = 5
const noisyAccount = 'account-0'
/** Upper bound of the random numbers that one scenario uses. */
const maxRandomValues = 300_000

function exponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random())
}

function senders (changed: Partial<Sender>): readonly Sender[] {
  return Array.from({ length: accountCount }, (_, index) => {
    const base = { account: `account-${index}`, meanIntervalMs, meanServiceMs, activeFraction: 1 }
    return index === 0 ? { ...base, ...changed } : base
  })
}

const scenarios: readonly Scenario[] = [
  { name: 'no noisy account', senders: senders({}) },
  { name: '5 x the statements', senders: senders({ meanIntervalMs: meanIntervalMs / noisyFactor }) },
  { name: '5 x the time of each statement', senders: senders({ meanServiceMs: meanServiceMs * noisyFactor }) },
  { name: '5 x the statements, all in a fifth of each second', senders: senders({ meanIntervalMs: meanIntervalMs / noisyFactor, activeFraction: 0.2 }) }
]

function demandsOf (scenario: Scenario, seed: number): readonly StatementDemand[] {
  const random = seededRandom(seed, maxRandomValues)
  const demands = scenario.senders.flatMap(sender => {
    const list: StatementDemand[] = []
    for (let sentMs = exponential(random, sender.meanIntervalMs); sentMs < durationMs; sentMs += exponential(random, sender.meanIntervalMs)) {
      const second = Math.floor(sentMs / 1000) * 1000
      list.push({ account: sender.account, atMs: second + (sentMs - second) * sender.activeFraction, serviceMs: exponential(random, sender.meanServiceMs) })
    }
    return list
  })
  return demands.sort((a, b) => a.atMs - b.atMs)
}

function simulate<S> (discipline: Discipline<S>, demands: readonly StatementDemand[]): ReadonlyMap<AccountName, Served> {
  let state = discipline.initial({ slots, maxWaiting, maxLaneWaitMs })
  const byAccount = new Map<AccountName, Served>()
  let running: readonly Running[] = []
  const update = (account: AccountName, next: (before: Served) => Served): void => {
    byAccount.set(account, next(byAccount.get(account) ?? { offered: 0, served: 0, waitsMs: [] }))
  }
  const waits: Wait[] = []
  const step = (event: Parameters<Discipline<S>['step']>[1]): void => {
    const next = discipline.step(state, event)
    state = next.state
    for (const effect of next.effects) {
      const demand = demands[Number(effect.id)]
      if (effect.kind !== 'start' || demand === undefined) continue
      const started = { id: effect.id, endsAtMs: event.nowMs + demand.serviceMs, tookMs: demand.serviceMs }
      running = [...running, started].sort((a, b) => a.endsAtMs - b.endsAtMs)
      update(demand.account, before => ({ ...before, served: before.served + 1 }))
      waits.push({ account: demand.account, waitMs: event.nowMs - demand.atMs })
    }
  }
  const finishUntil = (untilMs: number): void => {
    for (let first = running[0]; first !== undefined && first.endsAtMs <= untilMs; first = running[0]) {
      running = running.slice(1)
      step({ kind: 'finished', id: first.id, tookMs: first.tookMs, nowMs: first.endsAtMs })
    }
  }
  demands.forEach((demand, index) => {
    finishUntil(demand.atMs)
    update(demand.account, before => ({ ...before, offered: before.offered + 1 }))
    step({ kind: 'offered', id: String(index), account: demand.account, weight: 1, deadlineAtMs: demand.atMs + deadlineMs, nowMs: demand.atMs })
  })
  finishUntil(Infinity)
  const waitsOf = (name: AccountName): readonly number[] => waits.filter(wait => wait.account === name).map(wait => wait.waitMs)
  return new Map([...byAccount].map(([account, served]) => [account, { ...served, waitsMs: waitsOf(account) }]))
}

type Result = {
  readonly worstServedFraction: number
  readonly rejected: number
  readonly p99Ms: number
  readonly noisyServedFraction: number
}

function resultOf (served: ReadonlyMap<AccountName, Served>): Result {
  const others = [...served].filter(([account]) => account !== noisyAccount).map(([, one]) => one)
  const noisy = served.get(noisyAccount)
  return {
    worstServedFraction: Math.min(...others.map(one => one.served / one.offered)),
    rejected: others.reduce((sum, one) => sum + one.offered - one.served, 0),
    p99Ms: percentile(others.flatMap(one => one.waitsMs), 99),
    noisyServedFraction: noisy === undefined ? 0 : noisy.served / noisy.offered
  }
}

function report<S> (name: string, scenario: Scenario, discipline: Discipline<S>): void {
  const results = seeds.map(seed => resultOf(simulate(discipline, demandsOf(scenario, seed))))
  const mean = (pick: (result: Result) => number): number => results.reduce((sum, result) => sum + pick(result), 0) / results.length
  const worst = Math.min(...results.map(result => result.worstServedFraction))
  console.log(`| ${scenario.name} | ${name} | ${(worst * 100).toFixed(1)} % | ${mean(result => result.rejected).toFixed(0)} | ${mean(result => result.p99Ms).toFixed(1)} | ${(mean(result => result.noisyServedFraction) * 100).toFixed(1)} % |`)
}

console.log('| demand | discipline | worst-served account, fraction served | rejected of others | p99 wait of others, ms | fraction served of the noisy account |')
console.log('| --- | --- | --- | --- | --- | --- |')
for (const scenario of scenarios) {
  report('first in, first out', scenario, fifo)
  report('deficit round robin', scenario, deficitRoundRobin)
  report('start-time fair queueing', scenario, { initial: initialScheduler, step: schedulerStep })
}
