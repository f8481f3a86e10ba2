import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { entriesOf, initialScheduler, schedulerStep, sizeOf, type SchedulerEffect, type SchedulerEvent, type SchedulerState } from '../../src/schedule/index.js'

const bounds = { maxLaneWaitMs: 500 }

type RunResult = { readonly state: SchedulerState, readonly effects: readonly SchedulerEffect[] }

function run (state: SchedulerState, events: readonly SchedulerEvent[]): RunResult {
  return events.reduce<RunResult>((before, event) => {
    const next = schedulerStep(before.state, event)
    return { state: next.state, effects: [...before.effects, ...next.effects] }
  }, { state, effects: [] })
}

function offered (id: string, account: string, changes: { readonly weight?: number, readonly deadlineAtMs?: number, readonly nowMs?: number } = {}): SchedulerEvent {
  return { kind: 'offered', id, account, weight: 1, deadlineAtMs: 1e9, nowMs: 0, ...changes }
}

function offeredTimes (count: number, account: string, weight = 1): readonly SchedulerEvent[] {
  return Array.from({ length: count }, (_, index) => offered(`${account}${index}`, account, { weight }))
}

function describe (effects: readonly SchedulerEffect[]): readonly string[] {
  return effects.map(effect => effect.kind === 'start' ? `start ${effect.id}` : `${effect.reason} ${effect.id}`)
}

/**
 * Serves one statement after the other and counts the service time of each
 * account.
 */
function serve (state: SchedulerState, first: string, count: number, tookMs: (account: string) => number): ReadonlyMap<string, number> {
  const served = new Map<string, number>()
  let running = first
  let nowMs = 0
  for (let round = 0; round < count; round += 1) {
    const account = running.charAt(0)
    nowMs += tookMs(account)
    served.set(account, (served.get(account) ?? 0) + tookMs(account))
    const next = schedulerStep(state, { kind: 'finished', id: running, tookMs: tookMs(account), nowMs })
    state = next.state
    running = next.effects.find(effect => effect.kind === 'start')?.id ?? ''
  }
  return served
}

test('service time, not the number of statements, is divided by weight', () => {
  const filled = run(initialScheduler({ ...bounds, slots: 1, maxWaiting: 1000 }), [...offeredTimes(300, 'a'), ...offeredTimes(300, 'b', 3)])
  const served = serve(filled.state, 'a0', 200, account => account === 'a' ? 10 : 2)
  const ratio = (served.get('b') ?? 0) / (served.get('a') ?? 1)
  assert.ok(ratio > 2.5 && ratio < 3.5, `ratio ${ratio}`)
})

test('a running statement is charged for the time it has used', () => {
  const queue = initialScheduler({ ...bounds, slots: 2, maxWaiting: 10 })
  const started = run(queue, [offered('a0', 'a'), offered('b0', 'b'), offered('a1', 'a'), offered('b1', 'b')])
  const next = run(started.state, [offered('b2', 'b', { nowMs: 1 }), { kind: 'finished', id: 'b0', tookMs: 5, nowMs: 500 }])
  assert.deepEqual(describe(next.effects), ['start b1'])
})

test('an idle account earns no credit', () => {
  const busy = run(initialScheduler({ ...bounds, slots: 1, maxWaiting: 1000 }), [offered('b0', 'b'), ...offeredTimes(400, 'a'), { kind: 'finished', id: 'b0', tookMs: 1, nowMs: 0 }])
  let state = busy.state
  for (let index = 0; index < 100; index += 1) state = schedulerStep(state, { kind: 'finished', id: `a${index}`, tookMs: 10, nowMs: index * 10 + 10 }).state
  const back = run(state, offeredTimes(100, 'b').map(event => ({ ...event, nowMs: 1000 })))
  const served = serve(back.state, 'a100', 50, () => 10)
  assert.ok((served.get('a') ?? 0) >= 200, `account a was served ${served.get('a')} of 500 ms`)
})

test('an account with a flood of statements cannot fill the queue for others', () => {
  const flooded = run(initialScheduler({ ...bounds, slots: 1, maxWaiting: 8 }), offeredTimes(20, 'a'))
  assert.equal(sizeOf(flooded.state.waiting), 4)
  const others = run(flooded.state, [...offeredTimes(3, 'b'), ...offeredTimes(3, 'c')])
  assert.deepEqual(describe(others.effects), ['queueFull a4', 'queueFull a3'])
})

test('a statement past its deadline is not started', () => {
  const waiting = run(initialScheduler({ ...bounds, slots: 1, maxWaiting: 8 }), [offered('a0', 'a'), offered('a1', 'a', { deadlineAtMs: 50 }), offered('a2', 'a', { deadlineAtMs: 60 })])
  const late = run(waiting.state, [{ kind: 'finished', id: 'a0', tookMs: 50, nowMs: 50 }])
  assert.deepEqual(describe(late.effects), ['deadlinePassed a1', 'start a2'])
  assert.deepEqual(describe(run(waiting.state, [{ kind: 'tick', nowMs: 70 }]).effects), ['deadlinePassed a1', 'deadlinePassed a2'])
})

test('a cancelled statement is not started', () => {
  const waiting = run(initialScheduler({ ...bounds, slots: 1, maxWaiting: 8 }), [...offeredTimes(3, 'a'), { kind: 'cancelled', id: 'a1', nowMs: 1 }])
  const next = run(waiting.state, [{ kind: 'finished', id: 'a0', tookMs: 2, nowMs: 2 }])
  assert.deepEqual(describe(next.effects), ['start a2'])
})

type Action =
  | { readonly kind: 'offer', readonly account: string, readonly weight: number, readonly waitMs: number }
  | { readonly kind: 'finish', readonly which: number }
  | { readonly kind: 'cancel', readonly which: number }
  | { readonly kind: 'pass', readonly ms: number }

const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('offer' as const), account: fc.constantFrom('a', 'b', 'c'), weight: fc.integer({ min: 1, max: 4 }), waitMs: fc.integer({ min: 0, max: 80 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('finish' as const), which: fc.nat(4) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), which: fc.nat(50) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(30) }) }
)

test('each statement gets one result, slots are full while statements wait, bounds hold', () => {
  fc.assert(fc.property(fc.array(action, { maxLength: 200 }), actions => {
    let state = initialScheduler({ ...bounds, slots: 2, maxWaiting: 6 })
    let nowMs = 0
    const results = new Map<string, string>()
    const offeredIds: string[] = []
    const step = (event: SchedulerEvent): void => {
      const next = schedulerStep(state, event)
      state = next.state
      for (const effect of next.effects) {
        assert.ok(!results.has(effect.id), `${effect.id} got two results`)
        results.set(effect.id, effect.kind)
      }
      const waitingCount = sizeOf(state.waiting)
      const waiting = state.classes.flatMap(({ accounts }) => entriesOf(accounts)).flatMap(([, account]) => [...entriesOf(account.waiting.onTime), ...entriesOf(account.waiting.late)])
      assert.equal(waiting.length, waitingCount)
      assert.ok(waitingCount <= 6)
      const runningCount = sizeOf(state.running)
      assert.ok(runningCount === 2 || (runningCount < 2 && waitingCount === 0))
    }
    for (const action of actions) {
      switch (action.kind) {
        case 'offer': {
          const id = `s${offeredIds.length}`
          offeredIds.push(id)
          step({ kind: 'offered', id, account: action.account, weight: action.weight, deadlineAtMs: nowMs + action.waitMs, nowMs })
          break
        }
        case 'finish': {
          const entry = entriesOf(state.running)[action.which]
          if (entry !== undefined) step({ kind: 'finished', id: entry[0], tookMs: nowMs - entry[1].startedAtMs, nowMs })
          break
        }
        case 'cancel': {
          step({ kind: 'cancelled', id: `s${action.which}`, nowMs })
          break
        }
        case 'pass': {
          nowMs += action.ms
          step({ kind: 'tick', nowMs })
          break
        }
      }
    }
    const waiting = new Set(entriesOf(state.waiting).map(([id]) => id))
    const cancelled = new Set(actions.flatMap(action => action.kind === 'cancel' ? [`s${action.which}`] : []))
    for (const id of offeredIds) assert.ok(results.has(id) !== waiting.has(id) || cancelled.has(id), id)
  }), { seed: 7, numRuns: 300 })
})
