// Whole answers to the right caller, while links delay, hold and lose bytes.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, told } from '../support/load.js'
import { localSet } from '../support/local-set.js'
import { until } from '../support/until.js'

const callerCount = 12
const padLength = 3000
const reconnectDelayMs = 20
/** Answers by other ways while some links hold theirs. */
const answersWhileHeld = 30

type Asking = {
  /** Answers that were whole and the caller's own. */
  readonly right: () => number
  /** Anything else that was answered. */
  readonly wrong: () => readonly unknown[]
  readonly stop: () => Promise<void>
}

/** A caller that asks for a text of its own, over and over, and checks the answer. */
function startAsking (set: LocalSet, proxy: LocalProxy, name: string): Asking {
  const wrong: unknown[] = []
  const state = { stopping: false, right: 0, sequence: 0 }
  const ask = async (caller: LocalCaller, sequence: number): Promise<void> => {
    const mine = `${name}-${sequence}-${String.fromCharCode(97 + sequence % 26).repeat(padLength)}`
    const rows = await caller.rows(`SELECT '${mine}' AS mine, ${sequence} AS sequence`)
    if (rows.length === 1 && rows[0]?.['mine'] === mine && rows[0]['sequence'] === sequence) state.right += 1
    else wrong.push(rows)
  }
  const askUntilLost = async (caller: LocalCaller): Promise<void> => {
    while (!state.stopping) {
      state.sequence += 1
      const outcome = await told(ask(caller, state.sequence))
      if (outcome.kind === 'refused') wrong.push(outcome)
      if (outcome.kind === 'lost') return
    }
  }
  const run = async (): Promise<void> => {
    while (!state.stopping) {
      const caller = await connectCaller(proxy.mysql, loginOf(set)).catch(() => undefined)
      if (caller !== undefined) await askUntilLost(caller)
      caller?.close()
      await new Promise(resolve => { setTimeout(resolve, reconnectDelayMs) })
    }
  }
  const ended = run()
  return {
    right: () => state.right,
    wrong: () => wrong,
    stop: async () => {
      state.stopping = true
      await ended
    }
  }
}

test('every answer is whole and the caller\'s own under delays, held and half-open links', async t => {
  const set = await localSet(t, { faultyLinks: true, settings: { limits: { default_deadline_ms: 2000 } } })
  const links = set.links
  assert.ok(links !== undefined)
  const asking = Array.from({ length: callerCount }, (_, index) => startAsking(set, set.proxies[index % set.proxies.length] as LocalProxy, `c${index}`))
  const answered = (): number => asking.reduce((sum, each) => sum + each.right(), 0)
  const goesOn = async (what: string): Promise<void> => {
    const before = asking.map(each => each.right())
    await until(`answers go on ${what}`, () => asking.every((each, index) => each.right() > (before[index] ?? 0) + 3))
  }
  await goesOn('without faults')
  const toServers = set.proxies.flatMap(proxy => set.servers.map(server => linkName(proxy.name, server.name)))
  const toPeers = set.proxies.flatMap(proxy => set.proxies.filter(other => other !== proxy).map(other => linkName(proxy.name, other.name)))
  for (const [index, link] of [...toServers, ...toPeers].entries()) await links.set(link, { delayMs: (index % 5) * 8 })
  await goesOn('under unequal delays')
  for (const link of toServers) {
    await links.set(link, { mode: 'halfOpen' })
  }
  await goesOn('after server connections went silent')
  for (const link of toPeers) await links.set(link, { mode: 'halfOpen' })
  await goesOn('after peer connections went silent')
  for (const link of toServers.slice(0, 3)) await links.set(link, { mode: 'hold' })
  const atHold = answered()
  await until('others are answered while some links hold', () => answered() > atHold + answersWhileHeld)
  for (const link of toServers.slice(0, 3)) await links.set(link, { mode: 'pass' })
  await goesOn('after held answers arrived late')
  await Promise.all(asking.map(async each => { await each.stop() }))
  assert.deepEqual(asking.flatMap(each => each.wrong()), [])
  assert.ok(answered() > 0)
})
