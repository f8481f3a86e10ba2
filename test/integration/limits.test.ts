// Rates over the whole fleet.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { loginOf, told } from '../support/load.js'
import { callerOf, localSet } from '../support/local-set.js'
import { until } from '../support/until.js'

const ratePerS = 40
const burst = 40
const callersEach = 3
const answeredAtLeast = 120
const millisecondsPerSecond = 1000

const accounts = [
  { name: 'small', ratePerS, burst, weight: 1 },
  { name: 'large', ratePerS: 10_000, burst: 10_000, weight: 1 }
]

test('an account gets no more than its rate and burst over all hosts, and its refusals are true', async t => {
  const set = await localSet(t, { accounts: [accounts[1] as typeof accounts[0], accounts[0] as typeof accounts[0]], seats: 3 })
  const callers = await Promise.all(set.proxies.flatMap(proxy => Array.from({ length: callersEach }, async () => await callerOf(t, set, proxy, loginOf(set, 'small')))))
  const state = { stopping: false, answered: 0, refused: 0, other: [] as readonly unknown[] }
  const startedAtMs = performance.now()
  const loops = callers.map(async caller => {
    while (!state.stopping) {
      const outcome = await told(caller.rows('SELECT 1'))
      if (outcome.kind === 'answered') state.answered += 1
      else if (outcome.kind === 'notRun' && outcome.message.includes('rateExceeded')) state.refused += 1
      else state.other = [...state.other, outcome]
    }
  })
  await until('enough answers', () => state.answered >= answeredAtLeast)
  const elapsedS = (performance.now() - startedAtMs) / millisecondsPerSecond
  const { answered } = state
  state.stopping = true
  await Promise.all(loops)
  assert.ok(answered <= burst + ratePerS * elapsedS + 1, `${answered} answers in ${elapsedS} s`)
  assert.ok(state.refused > 0)
  assert.deepEqual(state.other, [])
})
