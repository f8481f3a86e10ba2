// Properties of the scheduler under any order of events.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { emptyMap, entriesOf, firstOf, countBelow, initialScheduler, schedulerStep, sizeOf, valueOf, withEntry, withoutEntry, type OrderedMap, type SchedulerEffect, type SchedulerEvent, type SchedulerState } from '../../src/schedule/index.js'

type Action =
  | { readonly kind: 'offer', readonly account: string, readonly weight: number, readonly priority: number | undefined, readonly goalMs: number | undefined, readonly waitMs: number, readonly inTransaction: boolean }
  | { readonly kind: 'finish', readonly which: number }
  | { readonly kind: 'cancel', readonly which: number }
  | { readonly kind: 'slots', readonly slots: number }
  | { readonly kind: 'pass', readonly ms: number }

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('offer' as const),
      account: fc.constantFrom('a', 'b', 'c'),
      weight: fc.integer({ min: 1, max: 4 }),
      priority: fc.option(fc.nat(2), { nil: undefined }),
      goalMs: fc.option(fc.integer({ min: -20, max: 60 }), { nil: undefined }),
      waitMs: fc.integer({ min: 0, max: 200 }),
      inTransaction: fc.boolean()
    })
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('finish' as const), which: fc.nat(4) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), which: fc.nat(80) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('slots' as const), slots: fc.nat(4) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(30) }) }
)

/** A run of the scheduler with what it has answered so far. */
type Run = { readonly state: SchedulerState, readonly nowMs: number, readonly deadlines: ReadonlyMap<string, number>, readonly results: ReadonlyMap<string, string> }

function eventOf ({ state, nowMs, deadlines }: Run, action: Action): SchedulerEvent {
  switch (action.kind) {
    case 'offer': {
      const { account, weight, priority, goalMs, waitMs, inTransaction } = action
      return { kind: 'offered', id: `s${deadlines.size}`, account, weight, priority, goalAtMs: goalMs === undefined ? undefined : nowMs + goalMs, inTransaction, deadlineAtMs: nowMs + waitMs, nowMs }
    }
    case 'finish': {
      const running = entriesOf(state.running)[action.which]?.[1]
      return running === undefined ? { kind: 'tick', nowMs } : { kind: 'finished', id: running.id, tookMs: nowMs - running.startedAtMs, nowMs }
    }
    case 'cancel': return { kind: 'cancelled', id: `s${action.which}`, nowMs }
    case 'slots': return { kind: 'slotsChanged', slots: action.slots, nowMs }
    case 'pass': return { kind: 'tick', nowMs }
  }
}

function advance (before: Run, action: Action): Run {
  const nowMs = before.nowMs + (action.kind === 'pass' ? action.ms : 0)
  const event = eventOf({ ...before, nowMs }, action)
  const { state, effects } = schedulerStep(before.state, event)
  const deadlines = event.kind === 'offered' ? new Map(before.deadlines).set(event.id, event.deadlineAtMs) : before.deadlines
  const results = new Map(before.results)
  for (const effect of effects) {
    assert.ok(!results.has(effect.id), `${effect.id} got two results`)
    assert.ok(isTrue(effect, state, nowMs, deadlines.get(effect.id) ?? 0), `${effect.kind} ${effect.id}`)
    results.set(effect.id, effect.kind)
  }
  return { state, nowMs, deadlines, results }
}

// A statement starts before its deadline only; one before its deadline is refused only
// while all slots are in use.
function isTrue (effect: SchedulerEffect, state: SchedulerState, nowMs: number, deadlineAtMs: number): boolean {
  switch (effect.kind) {
    case 'start': return nowMs < deadlineAtMs
    case 'refuse': return nowMs >= deadlineAtMs || sizeOf(state.running) >= state.slots
  }
}

function checkIndices (state: SchedulerState): void {
  const waiting = entriesOf(state.waiting).map(([id]) => id).sort()
  const queued = state.classes.flatMap(({ accounts }) => entriesOf(accounts)).flatMap(([, account]) => [...entriesOf(account.waiting.onTime), ...entriesOf(account.waiting.late)].map(([, id]) => id)).sort()
  assert.deepEqual(queued, waiting)
  assert.deepEqual(entriesOf(state.byStartBy).map(([, id]) => id).sort(), waiting)
  assert.equal(state.classes.reduce((sum, { waitingCount }) => sum + waitingCount, 0), waiting.length)
  assert.equal(sizeOf(state.byChargedUntil), sizeOf(state.running))
  for (const { lanes, accounts } of state.classes) {
    for (const kind of ['onTime', 'late'] as const) {
      const filled = entriesOf(accounts).filter(([, account]) => sizeOf(account.waiting[kind]) > 0).map(([name]) => name)
      assert.deepEqual(entriesOf(lanes[kind].accounts).map(([, name]) => name).sort(), filled)
    }
  }
}

// Guards against statements that get no answer or two, refusals while slots are free,
// idle slots while statements wait, and indices that disagree.
test('each statement gets one true result, whatever the order of events', () => {
  fc.assert(fc.property(fc.array(action, { maxLength: 200 }), actions => {
    let run: Run = { state: initialScheduler({ slots: 2, maxWaiting: 8, maxLaneWaitMs: 50 }), nowMs: 0, deadlines: new Map(), results: new Map() }
    for (const one of actions) {
      run = advance(run, one)
      checkIndices(run.state)
      assert.ok(sizeOf(run.state.waiting) <= 8)
      assert.ok(sizeOf(run.state.waiting) === 0 || sizeOf(run.state.running) >= run.state.slots)
    }
    const cancelled = new Set(actions.flatMap(one => one.kind === 'cancel' ? [`s${one.which}`] : []))
    for (const id of run.deadlines.keys()) assert.ok(run.results.has(id) !== (valueOf(run.state.waiting, id) !== undefined) || cancelled.has(id), id)
  }), { seed: 11, numRuns: 500 })
})

function offered (id: string, changes: Partial<Extract<SchedulerEvent, { readonly kind: 'offered' }>> = {}): SchedulerEvent {
  return { kind: 'offered', id, account: 'a', weight: 1, priority: 1, deadlineAtMs: 1e6, nowMs: 0, ...changes }
}

/** Ids in the order of their start, with one slot and statements of the given time. */
function startOrder (events: readonly SchedulerEvent[], tookMs = 10, maxLaneWaitMs = 1e6): readonly string[] {
  let state = initialScheduler({ slots: 1, maxWaiting: 100, maxLaneWaitMs })
  const started: string[] = []
  const step = (event: SchedulerEvent): void => {
    const next = schedulerStep(state, event)
    state = next.state
    for (const effect of next.effects) if (effect.kind === 'start') started.push(effect.id)
  }
  events.forEach(step)
  for (let at = 0; at < started.length; at += 1) step({ kind: 'finished', id: started[at] ?? '', tookMs, nowMs: (at + 1) * tookMs })
  return started
}

// Guards against an order by arrival where the routes state how urgent they are.
test('open transactions go first, then priorities, then the time left to the objective', () => {
  const order = startOrder([
    offered('running'),
    offered('later', { priority: 2 }),
    offered('lateGoal', { goalAtMs: 500 }),
    offered('earlyGoal', { goalAtMs: 300 }),
    offered('urgent', { priority: 0 }),
    offered('commit', { priority: 2, inTransaction: true })
  ])
  assert.deepEqual(order, ['running', 'commit', 'urgent', 'earlyGoal', 'lateGoal', 'later'])
})

// Guards against time spent on statements that have missed their objective while others
// could still meet theirs.
test('a statement that can no longer meet its objective runs after those that can', () => {
  assert.deepEqual(startOrder([offered('running'), offered('late', { goalAtMs: 5 }), offered('onTime', { account: 'b', goalAtMs: 100 })]), ['running', 'onTime', 'late'])
})

// Guards against starvation: 40 urgent statements of 10 ms keep the slot busy.
test('a class that has waited for the bound gets the next slot', () => {
  const urgent = Array.from({ length: 40 }, (_, at) => offered(`u${at}`, { priority: 0 }))
  const order = startOrder([...urgent, offered('other', { priority: 2 })], 10, 100)
  assert.equal(order.indexOf('other'), 10)
})

// Guards against a statement of an earlier version of the proxy that is served after all
// others, where the routes have one priority.
test('a statement without a priority joins the class of most statements', () => {
  const order = startOrder([offered('running', { priority: 7 }), offered('a1', { priority: 7, deadlineAtMs: 900 }), offered('old', { priority: undefined, deadlineAtMs: 800 })])
  assert.deepEqual(order, ['running', 'old', 'a1'])
})

// Guards against a statement that is refused on an estimate from few statements.
test('nothing is refused on the estimate before enough statements have finished', () => {
  let state = initialScheduler({ slots: 1, maxWaiting: 1000, maxLaneWaitMs: 500 })
  const refused = Array.from({ length: 100 }, (_, at) => offered(`s${at}`, { deadlineAtMs: 20 })).flatMap(event => {
    const next = schedulerStep(state, event)
    state = next.state
    return next.effects.filter(({ kind }) => kind === 'refuse')
  })
  assert.deepEqual(refused, [])
})

// Guards against a refusal on the estimate while slots are free: the process was paused,
// so the statement is past the time by which it should start, but not past its deadline.
test('a statement that waits alone starts once a slot is free before its deadline', () => {
  const warm = Array.from({ length: 20 }, (_, at): readonly SchedulerEvent[] => [offered(`w${at}`), { kind: 'finished', id: `w${at}`, tookMs: 10, nowMs: 0 }]).flat()
  const events: readonly SchedulerEvent[] = [...warm, offered('running'), offered('waiting', { deadlineAtMs: 100 }), { kind: 'finished', id: 'running', tookMs: 95, nowMs: 95 }]
  let state = initialScheduler({ slots: 1, maxWaiting: 10, maxLaneWaitMs: 500 })
  const effects = events.flatMap(event => {
    const next = schedulerStep(state, event)
    state = next.state
    return next.effects
  })
  assert.deepEqual(effects.at(-1), { kind: 'start', id: 'waiting' })
})

// Guards against an unbalanced or wrong order of the map behind all queues.
test('the ordered map agrees with a sorted list, and stays shallow', () => {
  const change = fc.record({ key: fc.nat(60), isRemoved: fc.boolean() })
  fc.assert(fc.property(fc.array(change, { maxLength: 300 }), changes => {
    let map: OrderedMap<number, string> = emptyMap((a, b) => a - b)
    const model = new Map<number, string>()
    for (const { key, isRemoved } of changes) {
      map = isRemoved ? withoutEntry(map, key) : withEntry(map, key, `v${key}`)
      if (isRemoved) model.delete(key)
      else model.set(key, `v${key}`)
    }
    const expected = [...model].sort(([a], [b]) => a - b)
    assert.deepEqual(entriesOf(map), expected)
    assert.equal(firstOf(map)?.key, expected[0]?.[0])
    assert.equal(countBelow(map, 30), expected.filter(([key]) => key < 30).length)
    assert.ok(depth(map.root) <= 2.5 * Math.log2(sizeOf(map) + 1) + 1)
  }), { seed: 3, numRuns: 300 })
})

type Tree = OrderedMap<number, string>['root']

function depth (tree: Tree): number {
  return tree === undefined ? 0 : 1 + Math.max(depth(tree.left), depth(tree.right))
}
