// Order, starvation and fairness of the scheduler for any mix of statements.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { initialScheduler, schedulerStep, type OfferedStatement, type SchedulerEvent } from '../../src/schedule/index.js'

type Started = { readonly id: string, readonly atMs: number }

/** Serves statements that all arrive at 0 on one slot, and lists when each starts. */
function serveAll (statements: readonly OfferedStatement[], tookMs: (id: string) => number, maxLaneWaitMs: number): readonly Started[] {
  let state = initialScheduler({ slots: 1, maxWaiting: 10_000, maxLaneWaitMs })
  let nowMs = 0
  const started: Started[] = []
  const step = (event: SchedulerEvent): void => {
    const next = schedulerStep(state, event)
    state = next.state
    for (const effect of next.effects) {
      assert.equal(effect.kind, 'start')
      started.push({ id: effect.id, atMs: nowMs })
    }
  }
  for (const statement of statements) step({ ...statement, kind: 'offered', nowMs })
  for (let at = 0; at < started.length; at += 1) {
    const id = started[at]?.id ?? ''
    nowMs += tookMs(id)
    step({ kind: 'finished', id, tookMs: tookMs(id), nowMs })
  }
  return started
}

const statement = fc.record({ account: fc.constantFrom('a', 'b', 'c'), priority: fc.nat(3), inTransaction: fc.boolean(), goalAtMs: fc.option(fc.integer({ min: 100_000, max: 200_000 }), { nil: undefined }) })
const statements = fc.array(statement, { minLength: 2, maxLength: 60 }).map(list => list.map((one, at): OfferedStatement => ({ ...one, id: `s${at}`, weight: 1, deadlineAtMs: 1e7 })))

// Guards against a less urgent statement that starts before a more urgent one.
test('statements start by transaction, then priority; in an account by objective', () => {
  fc.assert(fc.property(statements, list => {
    const byId = new Map(list.map(one => [one.id, one]))
    const order = serveAll(list, () => 1, 1e6).slice(1).flatMap(({ id }) => byId.get(id) ?? [])
    assert.equal(order.length, list.length - 1)
    const rank = (one: OfferedStatement): number => one.inTransaction === true ? -1 : one.priority ?? 0
    for (let at = 1; at < order.length; at += 1) {
      const before = order[at - 1] as OfferedStatement
      const after = order[at] as OfferedStatement
      assert.ok(rank(before) <= rank(after), `${before.id} before ${after.id}`)
      const goal = (one: OfferedStatement): number => one.goalAtMs ?? one.deadlineAtMs
      if (before.account === after.account && rank(before) === rank(after)) assert.ok(goal(before) <= goal(after), `${before.id} before ${after.id}`)
    }
  }), { seed: 17, numRuns: 200 })
})

// Guards against starvation of a class while more urgent ones keep the slot busy.
test('each class gets a slot at least once within the bound and a turn of the other classes', () => {
  fc.assert(fc.property(statements, list => {
    const [tookMs, boundMs, classes] = [10, 50, 5]
    const started = serveAll(list, () => tookMs, boundMs)
    const byId = new Map(list.map(one => [one.id, one]))
    for (const priority of [0, 1, 2, 3]) {
      const times = started.filter(({ id }) => byId.get(id)?.priority === priority && byId.get(id)?.inTransaction === false).map(({ atMs }) => atMs)
      times.forEach((atMs, at) => { assert.ok(atMs - (times[at - 1] ?? 0) <= boundMs + classes * tookMs, `priority ${priority} waited ${atMs - (times[at - 1] ?? 0)} ms`) })
    }
  }), { seed: 19, numRuns: 200 })
})

// Guards against an account that gets more service time than its weight gives it.
test('accounts with waiting statements get service time in proportion to their weights', () => {
  const account = fc.record({ weight: fc.integer({ min: 1, max: 8 }), tookMs: fc.integer({ min: 1, max: 20 }) })
  fc.assert(fc.property(fc.array(account, { minLength: 2, maxLength: 5 }), accounts => {
    const count = 60
    const list = accounts.flatMap(({ weight }, at) => Array.from({ length: count }, (_, next): OfferedStatement => ({ id: `${at}/${next}`, account: `a${at}`, weight, priority: 1, deadlineAtMs: 1e9 })))
    const indexOf = (id: string): number => Number(id.split('/')[0])
    const tookMs = (id: string): number => accounts[indexOf(id)]?.tookMs ?? 0
    const servedMs = accounts.map(() => 0)
    const counts = accounts.map(() => 0)
    for (const { id } of serveAll(list, tookMs, 1e9)) {
      const at = indexOf(id)
      servedMs[at] = (servedMs[at] ?? 0) + tookMs(id)
      counts[at] = (counts[at] ?? 0) + 1
      // Once an account has no more statements, the others share its part.
      if (counts[at] === count) break
      const shares = accounts.map(({ weight }, other) => (servedMs[other] ?? 0) / weight)
      const slackMs = 2 * Math.max(...accounts.map(one => one.tookMs / one.weight))
      assert.ok(Math.max(...shares) - Math.min(...shares) <= slackMs, `${shares.join(' ')}, slack ${slackMs}`)
    }
  }), { seed: 23, numRuns: 40 })
})
