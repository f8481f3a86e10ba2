import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Position } from '../../src/model/index.js'
import { defaultMinPositionSettings, minPositionStep, initialMinPosition, type MinPositionEffect, type MinPositionEvent } from '../../src/request/min-position.js'

function run (...events: readonly MinPositionEvent[]): readonly MinPositionEffect[] {
  let state = initialMinPosition(['a', 'b', 'c'], { ...defaultMinPositionSettings, maxWaiting: 2 })
  return events.flatMap(event => {
    const next = minPositionStep(state, event)
    state = next.state
    return next.effects
  })
}

function requested (id: string): MinPositionEvent {
  return { kind: 'requested', id, nowMs: 0 }
}

function answered (round: number, server: string, received: Position): MinPositionEvent {
  return { kind: 'roundAnswered', round, server, received, nowMs: 1 }
}

const low = { term: 1, index: 9 }
const high = { term: 2, index: 3 }

test('the minimum position is the highest position of a majority', () => {
  const effects = run(requested('s'), answered(1, 'a', high), answered(1, 'a', low), answered(1, 'a', high), answered(1, 'b', low))
  assert.deepEqual(effects, [{ kind: 'startRound', round: 1 }, { kind: 'minPosition', id: 's', position: high }])
})

test('a read that comes in during a round waits for the next one', () => {
  const effects = run(requested('s'), requested('late'), answered(1, 'a', low), answered(1, 'b', low), answered(1, 'c', low), answered(2, 'a', low), answered(2, 'b', high))
  assert.deepEqual(effects, [
    { kind: 'startRound', round: 1 },
    { kind: 'minPosition', id: 's', position: low },
    { kind: 'startRound', round: 2 },
    { kind: 'minPosition', id: 'late', position: high }
  ])
})

test('a round without a majority of responses gives no minimum position', () => {
  const failed = (server: string): MinPositionEvent => ({ kind: 'roundFailed', round: 1, server, nowMs: 2 })
  assert.deepEqual(run(requested('s'), failed('a'), failed('a'), failed('b')).slice(1), [{ kind: 'noMinPosition', id: 's' }])
  const overdue = [requested('s'), answered(1, 'a', low), { kind: 'tick', nowMs: 300 }] as const
  assert.deepEqual(run(...overdue).slice(1), [{ kind: 'noMinPosition', id: 's' }])
})

test('the number of waiting reads is bounded', () => {
  assert.deepEqual(run(requested('s'), requested('x'), requested('y'), requested('z')).slice(1), [{ kind: 'noMinPosition', id: 'z' }])
})
