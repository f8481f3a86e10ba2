import assert from 'node:assert/strict'
import { test } from 'node:test'
import { elapsedClock } from '../../src/pipe/index.js'

/** An elapsed clock over a steady clock and a wall clock that the test advances. */
function clockOver (): { readonly read: () => number, readonly pass: (steadyMs: number, timeOfDayMs: number) => void } {
  let steady = 0
  let timeOfDay = 1_000_000
  const read = elapsedClock(() => steady, () => timeOfDay)
  return {
    read,
    pass (steadyMs, timeOfDayMs) {
      steady += steadyMs
      timeOfDay += timeOfDayMs
    }
  }
}

test('elapsed time includes a suspension in which the steady clock stops', () => {
  const clock = clockOver()
  clock.pass(10, 4010)
  assert.equal(clock.read(), 4010)
})

test('setting the wall clock back has no effect', () => {
  const clock = clockOver()
  clock.pass(50, -2000)
  assert.equal(clock.read(), 50)
  clock.pass(50, 50)
  assert.equal(clock.read(), 100)
})
