import assert from 'node:assert/strict'
import { test } from 'node:test'
import { elapsedClock } from '../../src/pipe/index.js'

/** A clock over readings that the test sets. */
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

test('the time of a suspension counts although the steady clock stood still', () => {
  const clock = clockOver()
  clock.pass(10, 4010)
  assert.equal(clock.read(), 4010)
})

test('a time of day that is set back changes nothing', () => {
  const clock = clockOver()
  clock.pass(50, -2000)
  assert.equal(clock.read(), 50)
  clock.pass(50, 50)
  assert.equal(clock.read(), 100)
})
