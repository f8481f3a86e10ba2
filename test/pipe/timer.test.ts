import assert from 'node:assert/strict'
import { test } from 'node:test'
import { elapsedClock, startAlarm, type SendResult, type TimerService } from '../../src/pipe/index.js'
import { fakeTimers } from '../support/timers.js'

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

/** An alarm, and the times at which it went off. */
function recordedAlarm (timers: TimerService, results: readonly SendResult[] = []): { readonly alarm: ReturnType<typeof startAlarm>, readonly times: readonly number[] } {
  const times: number[] = []
  const alarm = startAlarm(timers, { send: ({ nowMs }) => { times.push(nowMs); return results[times.length - 1] ?? 'accepted' } })
  return { alarm, times }
}

test('an alarm goes off once, at the earliest time that was set', () => {
  const timers = fakeTimers()
  const { alarm, times } = recordedAlarm(timers)
  alarm.set(500)
  alarm.set(200)
  alarm.set(300)
  alarm.set(Infinity)
  timers.pass(1000)
  assert.deepEqual(times, [200])
})

test('an alarm for a time that has passed goes off soon, and a stopped one never', () => {
  const timers = fakeTimers()
  const { alarm, times } = recordedAlarm(timers)
  timers.pass(100)
  alarm.set(-Infinity)
  timers.pass(110)
  assert.deepEqual(times, [101])
  alarm.set(120)
  alarm.stop()
  timers.pass(200)
  assert.deepEqual(times, [101])
})

test('a tick that a full mailbox rejected comes again', () => {
  const timers = fakeTimers()
  const { alarm, times } = recordedAlarm(timers, ['full', 'full'])
  alarm.set(10)
  timers.pass(1000)
  assert.equal(times.length, 3)
})
