// The scheduler under more load than its server can serve.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrivalsOf, serveArrivals, type Demand, type Ended } from './server-model.js'

const settings = { slots: 4, maxWaiting: 1000, maxLaneWaitMs: 500 }
/** 4 slots of 10 ms serve 400 statements a second. */
const capacityPerS = 400
const base = { serviceMs: 10, goalMs: 200, timeoutMs: 1000 }

/** Eight accounts in two priorities, which together use the given fraction of the capacity. */
function demands (load: number, goalMs = base.goalMs): readonly Demand[] {
  return Array.from({ length: 8 }, (_, at) => ({ ...base, goalMs, account: `account-${at}`, priority: at % 2, perS: load * capacityPerS / 8 }))
}

function between (ended: readonly Ended[], fromMs: number, untilMs: number): readonly Ended[] {
  return ended.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs)
}

function inTimePerS (ended: readonly Ended[], fromMs: number, untilMs: number): number {
  return ended.filter(({ result, endedAtMs }) => result === 'inTime' && endedAtMs >= fromMs && endedAtMs < untilMs).length * 1000 / (untilMs - fromMs)
}

function burst (seed: number, goalMs?: number): readonly Ended[] {
  const usual = demands(0.7, goalMs)
  return serveArrivals(settings, [...arrivalsOf(usual, 0, 5000, seed), ...arrivalsOf(demands(3, goalMs), 5000, 15_000, seed + 1), ...arrivalsOf(usual, 15_000, 25_000, seed + 2)])
}

// Guards against goodput that collapses under overload, because statements are started
// that can no longer end in time, and against a backlog that outlasts the overload.
test('goodput stays at its plateau under three times the load, and is whole two seconds after', () => {
  // With the deadline as objective, statements start as late as they may.
  for (const [seed, goalMs] of [[1, base.goalMs], [2, base.goalMs], [3, base.timeoutMs]] as const) {
    const ended = burst(seed, goalMs)
    assert.ok(inTimePerS(ended, 6000, 15_000) >= 0.95 * capacityPerS, `${inTimePerS(ended, 6000, 15_000)} per s of ${capacityPerS}`)
    // Service times are exponential, so a few of the last started statements end late.
    assert.ok(ended.filter(({ result }) => result === 'late').length <= 0.01 * ended.length)
    assert.deepEqual(between(ended, 17_000, 25_000).filter(({ result }) => result !== 'inTime'), [])
  }
})

// Guards against refusals of urgent statements while others are served: the urgent half
// of the demand is 1.5 times what fits, so all that is served has to be urgent.
test('under overload the less urgent statements are refused, and most refusals are immediate', () => {
  const ended = between(burst(4), 7000, 15_000)
  const served = (priority: number): number => ended.filter(one => one.priority === priority && one.result === 'inTime').length
  assert.ok(served(1) <= 0.05 * served(0), `${served(0)} urgent, ${served(1)} others`)
  const refused = ended.filter(({ result }) => result !== 'inTime')
  const atOnce = refused.filter(one => one.endedAtMs - one.atMs < 1)
  assert.ok(atOnce.length >= 0.5 * refused.length, `${atOnce.length} of ${refused.length} at once`)
})

// Guards against the refusal of what is served without the estimate: a host with load
// below its capacity refuses nothing.
test('nothing is refused while the demand fits', () => {
  const ended = serveArrivals(settings, arrivalsOf(demands(0.8), 0, 20_000, 5))
  assert.deepEqual(ended.filter(({ result }) => result !== 'inTime'), [])
})

// Guards against an account that crowds out others with its own statements.
test('an account with five times its share does not take service from the others', () => {
  const noisy = demands(0.6).map((demand, at) => ({ ...demand, priority: 0, perS: demand.perS * (at === 0 ? 20 : 1) }))
  const ended = serveArrivals(settings, arrivalsOf(noisy, 0, 20_000, 6))
  const others = ended.filter(({ account }) => account !== 'account-0')
  const served = others.filter(({ result }) => result === 'inTime').length
  assert.ok(served >= 0.99 * others.length, `${served} of ${others.length}`)
})
