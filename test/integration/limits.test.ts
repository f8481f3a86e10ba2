// Rate and burst of one account over all hosts, on real processes with faults. The
// oracle counts only the outcomes that callers received.

import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { LocalCaller } from '../../standins/set/caller.js'
import { connectCaller } from '../../standins/set/caller.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, statementOutcome } from '../support/load.js'
import { startServingSet, proxyAt, untilServing } from '../support/local-set.js'
import { until } from '../support/until.js'

const limited = { name: 'mission', ratePerS: 40, burst: 40, weight: 1 }
const unlimited = { name: 'atelier', ratePerS: 10_000, burst: 10_000, weight: 1 }
const hosts = 4

type Call = { readonly proxy: string, readonly startedAtMs: number, readonly endedAtMs: number, readonly kind: 'answered' | 'overRate' | 'other' }

type Callers = {
  readonly calls: readonly Call[]
  readonly stop: () => Promise<void>
}

async function limitedSet (t: TestContext): Promise<LocalSet> {
  return await startServingSet(t, { hosts, seats: 16, accounts: [unlimited, limited], faultyLinks: true })
}

/**
 * Starts callers of the limited account; each sends a read, waits and sends the
 * next.
 */
function startCallers (t: TestContext, set: LocalSet, proxies: readonly LocalProxy[], pauseMs: number): Callers {
  const calls: Call[] = []
  const state = { stopping: false }
  const one = async (proxy: LocalProxy): Promise<void> => {
    let caller: LocalCaller | undefined
    while (!state.stopping) {
      const startedAtMs = performance.now()
      try {
        caller ??= await connectCaller(proxy.mysql, loginOf(set, limited.name))
      } catch {
        await pause(pauseMs)
        continue
      }
      const outcome = await statementOutcome(caller.rows('SELECT 1'))
      const isOver = outcome.kind === 'notRun' && outcome.message.includes('rateExceeded')
      calls.push({ proxy: proxy.name, startedAtMs, endedAtMs: performance.now(), kind: outcome.kind === 'answered' ? 'answered' : isOver ? 'overRate' : 'other' })
      if (outcome.kind === 'lost') {
        caller.close()
        caller = undefined
      }
      await pause(pauseMs)
    }
    caller?.close()
  }
  const ended = Promise.all(proxies.map(one))
  const stop = async (): Promise<void> => {
    state.stopping = true
    await ended
  }
  t.after(() => { state.stopping = true })
  return { calls, stop }
}

async function pause (forMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, forMs) })
}

/**
 * Maximum of answers minus (burst + rate * window), over all windows that
 * contain the calls entirely.
 */
function maxExcess (calls: readonly Call[]): number {
  const answered = calls.filter(({ kind }) => kind === 'answered').sort((a, b) => a.endedAtMs - b.endedAtMs)
  let worst = -Infinity
  for (const { startedAtMs } of answered) {
    let inside = 0
    for (const call of answered) {
      if (call.startedAtMs < startedAtMs) continue
      inside += 1
      worst = Math.max(worst, inside - limited.burst - limited.ratePerS * (call.endedAtMs - startedAtMs) / 1000)
    }
  }
  return worst
}

function answeredAt (callers: Callers, proxies: ReadonlyArray<LocalProxy | undefined>): number {
  return callers.calls.filter(({ kind, proxy }) => kind === 'answered' && proxies.some(each => each?.name === proxy)).length
}

async function untilMoreAnswered (callers: Callers, proxies: readonly LocalProxy[], more: number): Promise<void> {
  const before = answeredAt(callers, proxies)
  await until(`${more} more answers`, () => answeredAt(callers, proxies) >= before + more)
}

async function setIsolated (set: LocalSet, one: LocalProxy, all: readonly LocalProxy[], isIsolated: boolean): Promise<void> {
  for (const other of all.filter(({ name }) => name !== one.name)) {
    for (const link of [linkName(one.name, other.name), linkName(other.name, one.name)]) await set.links?.set(link, { mode: isIsolated ? 'silent' : 'pass' })
  }
}

test('an account gets no more than its rate and burst over all hosts under faults', async t => {
  const set = await limitedSet(t)
  const { proxies } = set
  const flood = startCallers(t, set, [...proxies, ...proxies, ...proxies], 5)
  await untilMoreAnswered(flood, proxies, 100)
  await setIsolated(set, proxyAt(set, 0), proxies, true)
  await untilMoreAnswered(flood, proxies, 100)
  await setIsolated(set, proxyAt(set, 0), proxies, false)
  proxyAt(set, 1).process.pause()
  await untilMoreAnswered(flood, proxies, 100)
  proxyAt(set, 1).process.resume()
  await untilMoreAnswered(flood, proxies, 50)
  await set.platform.faults({ down: true })
  await untilMoreAnswered(flood, proxies, 50)
  await proxyAt(set, 2).process.kill()
  await untilMoreAnswered(flood, proxies, 50)
  await set.platform.faults({ down: false })
  const restarted = await set.startProxy(proxyAt(set, 2))
  await untilServing(set, restarted)
  await untilMoreAnswered(flood, proxies, 100)
  await flood.stop()
  assert.ok(flood.calls.some(({ kind }) => kind === 'overRate'))
  const over = maxExcess(flood.calls)
  assert.ok(over <= 0, `${over} answers above the limit`)
})

test('demand within the rate at one host is served during a store outage', async t => {
  const set = await limitedSet(t)
  const only = proxyAt(set, 3)
  // About 20 requests a second, twice the host's own quota.
  const callers = startCallers(t, set, [only], 50)
  const requiredInARow = 60
  const untilServedInARow = async (): Promise<void> => {
    const from = callers.calls.length
    await until(`${requiredInARow} answers in a row`, () => {
      const last = callers.calls.slice(from).slice(-requiredInARow)
      return last.length === requiredInARow && last.every(({ kind }) => kind === 'answered')
    })
  }
  await untilServedInARow()
  await set.platform.faults({ down: true })
  await untilServedInARow()
  await set.platform.faults({ down: false })
  await callers.stop()
  assert.ok(maxExcess(callers.calls) <= 0)
})
