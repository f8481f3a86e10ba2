import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import fc from 'fast-check'
import { elapsedClock, sharedWakeAtMs, startAlarm, systemTimers, type Port, type SendResult, type Tick, type TimerService } from '../../src/pipe/index.js'
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

// Guards against SHORT: a task that was done within 20 ms still woke for the tick that it no longer needed.
test('an alarm that is no longer due goes back to the time that it replaced, or does not go off', () => {
  const timers = fakeTimers()
  const { alarm, times } = recordedAlarm(timers)
  alarm.update(500)
  alarm.update(200)
  timers.pass(100)
  alarm.update(350)
  alarm.update(600)
  timers.pass(1000)
  assert.deepEqual(times, [500])
  alarm.update(1010)
  alarm.update(Infinity)
  timers.pass(2000)
  assert.deepEqual(times, [500])
})

// Guards against ticks that never come while messages do.
test('an alarm whose time moves on with each update goes off at the first one', () => {
  const timers = fakeTimers()
  const { alarm, times } = recordedAlarm(timers)
  for (let nowMs = 0; nowMs < 1000; nowMs += 30) {
    timers.pass(nowMs)
    alarm.update(nowMs + 250)
    alarm.update(nowMs + 10)
    timers.pass(nowMs + 5)
    alarm.update(nowMs + 5 + 250)
  }
  assert.deepEqual(times.slice(0, 3), [250, 520, 790])
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

/** Ticks of periods and pauses on the clocks of this process, with the number of timers that went off. */
async function runTimers (durationMs: number, subscribe: (timers: TimerService, record: (name: string) => Port<Tick>) => void): Promise<{ readonly ticks: ReadonlyMap<string, readonly number[]>, readonly wakes: number }> {
  let wakes = 0
  const ticks = new Map<string, number[]>()
  const timers = systemTimers(() => { wakes += 1 })
  subscribe(timers, name => ({
    send: ({ nowMs }) => {
      ticks.set(name, [...ticks.get(name) ?? [], nowMs])
      return 'accepted'
    }
  }))
  await delay(durationMs)
  timers.stop()
  return { ticks, wakes }
}

// Guards against SHORT: each period of a host had a timer of its own, and each woke the process.
test('periods and long pauses share wakes, and no period is shorter than asked', async () => {
  const { ticks, wakes } = await runTimers(2050, (timers, record) => {
    for (const periodMs of [200, 300, 400, 500, 700, 1000]) timers.every(periodMs, record(String(periodMs)))
    timers.about(950, record('pause'))
  })
  for (const periodMs of [200, 300, 400, 500, 700, 1000]) {
    const count = ticks.get(String(periodMs))?.length ?? 0
    assert.ok(count >= Math.floor(2050 / periodMs) - 1 && count <= Math.floor(2050 / periodMs), `${count} ticks of ${periodMs} ms`)
  }
  assert.equal(ticks.get('pause')?.length, 1)
  assert.ok(wakes <= 21, `${wakes} timers`)
})

test('a shared wake is at most 100 ms early or late, and short delays are exact', () => {
  const timeMs = fc.integer({ min: 0, max: 1e8 }).map(tenths => tenths / 10)
  fc.assert(fc.property(timeMs, timeMs, (nowMs, delayMs) => {
    const [before, after] = [sharedWakeAtMs(nowMs, delayMs, 'before'), sharedWakeAtMs(nowMs, delayMs, 'after')]
    if (delayMs < 200) return assert.deepEqual([before, after], [undefined, undefined])
    const endMs = nowMs + delayMs
    assert.ok(before !== undefined && before > endMs - 100.001 && before <= endMs + 0.001)
    assert.ok(after !== undefined && after < endMs + 100.001 && after >= endMs - 0.001)
  }), { seed: 31 })
})

test('a subscription that ended does not tick, and the others of its wake do', async () => {
  const { ticks } = await runTimers(450, (timers, record) => {
    timers.atLeast(250, record('ended'))()
    timers.atLeast(250, record('kept'))
    timers.every(200, record('ended period'))()
  })
  assert.deepEqual([...ticks.keys()], ['kept'])
})
