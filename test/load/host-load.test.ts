// Load of a host's processor, on a model of an event loop: work waits in a backlog, and a
// tick runs when what was due before it is done.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { seededRandom } from '../../bench/seeded-random.js'
import { emptyMix, hostLoadStep, initialHostLoad, isCheckDue, isShed, samplePeriodMs, withStatement, type HostLoadState, type PriorityMix } from '../../src/load/index.js'

const settings = { cpuShare: 1 }
/** Processor time of a statement and of a refusal; 100 statements a second fit. */
const cost = { statementMs: 10, refusalMs: 0.5 }
const fitsPerS = 100
const timeoutMs = 1000

type Phase = { readonly untilMs: number, readonly perS: number }
/** A statement that a host accepted, when its caller would get the answer. */
type Served = { readonly atMs: number, readonly priority: number, readonly isInTime: boolean }
type Run = { readonly served: readonly Served[], readonly states: ReadonlyArray<{ readonly atMs: number, readonly state: HostLoadState }> }

type Arrival = { readonly atMs: number, readonly priority: number }

/** Arrivals of both priorities, half each. */
function arrivalsOf (phases: readonly Phase[]): readonly Arrival[] {
  const random = seededRandom(9, 100_000)
  const arrivals: Arrival[] = []
  let atMs = 0
  for (const { untilMs, perS } of phases) {
    for (; atMs < untilMs; atMs += -Math.log(1 - random()) * 1000 / perS) arrivals.push({ atMs, priority: random() < 0.5 ? 0 : 2 })
  }
  return arrivals
}

// In each turn the loop runs the tick if it is due, then all that had arrived by then.
function runHost (phases: readonly Phase[], sheds = true): Run {
  const random = seededRandom(10, 100_000)
  const served: Served[] = []
  const states: { readonly atMs: number, readonly state: HostLoadState }[] = []
  let state = initialHostLoad(settings, { nowMs: 0, cpuMs: 0 })
  let mix: PriorityMix = emptyMix
  let [nowMs, cpuMs, tickDueAtMs, next] = [0, 0, samplePeriodMs, 0]
  const arrivals = arrivalsOf(phases)
  const sample = (kind: 'tick' | 'check'): void => {
    state = hostLoadStep(state, { kind, nowMs, cpuMs })
    states.push({ atMs: nowMs, state })
  }
  const serve = ({ atMs, priority }: Arrival): void => {
    if (isCheckDue(state, nowMs)) sample('check')
    mix = withStatement(mix, priority, nowMs)
    const isRefused = sheds && state.shedFraction > 0 && isShed(mix, priority, state.shedFraction, random())
    const costMs = isRefused ? cost.refusalMs : cost.statementMs
    nowMs += costMs
    cpuMs += costMs
    if (!isRefused) served.push({ atMs, priority, isInTime: nowMs - atMs <= timeoutMs })
  }
  while (next < arrivals.length) {
    nowMs = Math.max(nowMs, Math.min(tickDueAtMs, arrivals[next]?.atMs ?? Infinity))
    if (nowMs >= tickDueAtMs) {
      sample('tick')
      tickDueAtMs = Math.max(tickDueAtMs + samplePeriodMs, nowMs)
    }
    const turnAtMs = nowMs
    for (let arrival = arrivals[next]; arrival !== undefined && arrival.atMs <= turnAtMs; arrival = arrivals[next]) {
      next += 1
      serve(arrival)
    }
  }
  return { served, states }
}

const burst: readonly Phase[] = [{ untilMs: 5000, perS: 70 }, { untilMs: 20_000, perS: 300 }, { untilMs: 30_000, perS: 70 }]

function inTime (run: Run, fromMs: number, untilMs: number): readonly Served[] {
  return run.served.filter(({ atMs, isInTime }) => isInTime && atMs >= fromMs && atMs < untilMs)
}

// Guards against the collapse of a small host: without refusals the backlog of its event
// loop outlasts the burst, and all that it serves is late.
test('an overloaded host keeps its goodput and is normal two seconds after', () => {
  const run = runHost(burst)
  assert.ok(inTime(run, 7000, 20_000).length >= 0.75 * fitsPerS * 13, `${inTime(run, 7000, 20_000).length / 13} per s`)
  assert.deepEqual(run.served.filter(({ atMs, isInTime }) => atMs >= 7000 && !isInTime), [])
  const later = run.states.filter(({ atMs }) => atMs >= 22_000)
  assert.deepEqual(later.filter(({ state }) => state.shedFraction > 0), [])
  assert.ok(inTime(runHost(burst, false), 7000, 30_000).length < 100, 'the model collapses without refusals')
})

test('an overloaded host serves the urgent statements first', () => {
  const served = inTime(runHost(burst), 8000, 20_000)
  const urgent = served.filter(({ priority }) => priority === 0).length
  assert.ok(urgent >= 0.9 * served.length, `${urgent} of ${served.length}`)
})

// Guards against refusals on hosts that serve their load.
test('a host with 80 % of its processor in use refuses nothing', () => {
  const run = runHost([{ untilMs: 30_000, perS: 80 }])
  assert.deepEqual(run.states.filter(({ state }) => state.shedFraction > 0), [])
})

/** Loads after ticks at the given times, with the given part of the time in between used. */
function loadsAt (ticks: readonly number[], usedFraction: number): readonly string[] {
  let state = initialHostLoad(settings, { nowMs: 0, cpuMs: 0 })
  return ticks.map(nowMs => {
    state = hostLoadStep(state, { kind: 'tick', nowMs, cpuMs: nowMs * usedFraction })
    return state.load
  })
}

// Guards against refusals after one long computation, which is no load.
test('one long turn of the event loop does not make a host overloaded', () => {
  const loads = loadsAt([300, 600, 900, 1200, 1500, 1800, 2100, 20_000, 20_400, 20_700, 21_000], 0.55)
  assert.ok(!loads.includes('overloaded'), loads.join(' '))
  assert.equal(loads.at(-1), 'normal')
})

// Guards against refusals that help nobody: hosts on a machine that others keep busy
// refused nearly all statements although their own processes used little time.
test('lateness without processor time of its own makes a host busy, with it overloaded', () => {
  const late = [1000, 2000, 3000, 4000]
  assert.equal(loadsAt(late, 0.2).at(-1), 'busy')
  assert.equal(loadsAt(late, 0.7).at(-1), 'overloaded')
})

// Guards against a state that changes with each sample near a bound.
test('a state is left below lower bounds than it is entered at', () => {
  const loadAfter = (cpuFractions: readonly number[]): string => {
    let state = initialHostLoad(settings, { nowMs: 0, cpuMs: 0 })
    let cpuMs = 0
    cpuFractions.forEach((fraction, at) => {
      cpuMs += fraction * samplePeriodMs
      state = hostLoadStep(state, { kind: 'tick', nowMs: (at + 1) * samplePeriodMs, cpuMs })
    })
    return state.load
  }
  const repeated = (fraction: number): readonly number[] => Array.from({ length: 12 }, () => fraction)
  assert.equal(loadAfter(repeated(0.75)), 'normal')
  assert.equal(loadAfter(repeated(0.9)), 'busy')
  assert.equal(loadAfter([...repeated(0.9), ...repeated(0.75)]), 'busy')
  assert.equal(loadAfter([...repeated(0.9), ...repeated(0.5)]), 'normal')
})

// Guards against refusals of urgent statements while less urgent ones are accepted.
test('the refused fraction is made up of the least urgent priorities', () => {
  const counts = fc.array(fc.record({ priority: fc.nat(4), count: fc.integer({ min: 1, max: 20 }) }), { minLength: 1, maxLength: 5 })
  fc.assert(fc.property(counts, fc.double({ min: 0, max: 0.95, noNaN: true }), fc.double({ min: 0, max: 0.999, noNaN: true }), (list, shedFraction, random) => {
    let mix = emptyMix
    for (const { priority, count } of list) for (let at = 0; at < count; at += 1) mix = withStatement(mix, priority, 0)
    const refused = mix.counts.filter(({ priority }) => isShed(mix, priority, shedFraction, random))
    const accepted = mix.counts.filter(({ priority }) => !isShed(mix, priority, shedFraction, random))
    for (const one of refused) assert.ok(accepted.every(other => other.priority < one.priority))
    const total = mix.counts.reduce((sum, { count }) => sum + count, 0)
    const certain = mix.counts.filter(({ priority }) => isShed(mix, priority, shedFraction, 0.999999)).reduce((sum, { count }) => sum + count, 0)
    assert.ok(certain <= shedFraction * total + 1e-6)
  }), { seed: 13, numRuns: 300 })
})
