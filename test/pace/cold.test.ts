import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { coldAllowance, coldBoundOf, coldWaitMs, coldWindowMs, initialColdStarts, isSoleDispatcher, recordColdStarts, soleAfterMembers, soleFromStart, type ColdBound, type ColdStarts } from '../../src/pace/index.js'

const secondMs = 1000

test('the bound follows from configuration and settings, and is halved for a host that may not be alone', () => {
  const input = { database: { coldS: 10, coldPerS: 4 }, server: { coldUntilMs: 5000 }, settings: { coldExcess: 1.5, coldSlack: 3 }, isAlone: true, nowMs: 100 }
  assert.deepEqual(coldBoundOf(input), { whole: 9, current: 9 })
  assert.deepEqual(coldBoundOf({ ...input, isAlone: false }), { whole: 9, current: 4 })
  assert.deepEqual(coldBoundOf({ ...input, nowMs: 5000 }), { whole: 9, current: undefined })
  assert.equal(coldBoundOf({ ...input, settings: {} }), undefined)
  assert.equal(coldBoundOf({ ...input, database: { coldS: 10, coldPerS: 0 } }), undefined)
})

/** A dispatcher that starts what it may whenever statements arrive. */
function offer (starts: ColdStarts, count: number, bound: ColdBound, nowMs: number): { readonly starts: ColdStarts, readonly started: number } {
  const started = Math.min(count, coldAllowance(starts, bound, nowMs))
  return { starts: recordColdStarts(starts, started, bound, nowMs), started }
}

function mostInASecond (times: readonly number[]): number {
  return Math.max(0, ...times.map(fromMs => times.filter(atMs => atMs >= fromMs && atMs < fromMs + secondMs).length))
}

const arrivals = fc.array(fc.record({ afterMs: fc.nat(400), count: fc.integer({ min: 1, max: 12 }), host: fc.constantFrom(0, 1) }), { maxLength: 60 })

// Guards against a limit that holds for whole seconds only, and against two dispatchers that together exceed the bound.
test('in any second a cold server gets at most its bound, also from two dispatchers, and also around a takeover', () => {
  fc.assert(fc.property(arrivals, fc.nat(20), fc.nat(5000), (offers, whole, takeoverMs) => {
    let hosts: readonly [ColdStarts, ColdStarts] = [initialColdStarts(0), initialColdStarts(takeoverMs)]
    let times: readonly number[] = []
    let nowMs = 0
    for (const { afterMs, count, host } of offers) {
      nowMs += afterMs
      if (host === 1 && nowMs < takeoverMs) continue
      const bound = { whole, current: nowMs < takeoverMs ? whole : Math.floor(whole / 2) }
      const { starts, started } = offer(hosts[host], count, bound, nowMs)
      hosts = host === 0 ? [starts, hosts[1]] : [hosts[0], starts]
      times = [...times, ...Array.from({ length: started }, () => nowMs)]
    }
    assert.ok(mostInASecond(times) <= whole)
  }), { seed: 35, numRuns: 500 })
})

test('a server that becomes cold has its starts of the last second counted, and a wait ends when the next start is allowed', () => {
  const warm = { whole: 4, current: undefined }
  const cold = { whole: 4, current: 4 }
  const used = recordColdStarts(initialColdStarts(0), 3, warm, 2000)
  assert.equal(coldAllowance(used, cold, 2100), 1)
  assert.deepEqual([0, 1, 4, 5].map(waiting => coldWaitMs(used, cold, waiting, 2100)), [0, coldWindowMs - 100, coldWindowMs, 2 * coldWindowMs - 100])
  assert.equal(coldWaitMs(used, { whole: 1, current: 0 }, 0, 2100), Infinity)
})

test('a host is sure to be alone only some time after the last change, and while all members respond', () => {
  const [a, b] = [{ host: 'a' }, { host: 'b' }]
  const both = soleAfterMembers(soleFromStart, [a, b], new Set(), 1000)
  assert.deepEqual([isSoleDispatcher(soleFromStart, 90_000), isSoleDispatcher(both, 5000), isSoleDispatcher(both, 11_000)], [false, false, true])
  assert.equal(soleAfterMembers(both, [b, a], new Set(), 20_000), both)
  assert.equal(isSoleDispatcher(soleAfterMembers(both, [a], new Set(['b']), 20_000), 90_000), false)
})
