// What callers are told is true: an answered write is there once, one that was
// "not run" is not there, and one marked not repeatable never runs twice.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { onServer } from '../../standins/set/controls.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, told, type Told } from '../support/load.js'
import { callerOf, localSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

const callersEach = 3
const idsEach = 100_000

type Teller = {
  readonly told: ReadonlyMap<number, Told>
  readonly answered: () => number
  readonly stop: () => Promise<void>
}

/** A caller that inserts each id once and notes what it was told. */
function startTeller (set: LocalSet, proxy: LocalProxy, firstId: number): Teller {
  const outcomes = new Map<number, Told>()
  const state = { stopping: false, answered: 0, id: firstId }
  const work = async (caller: LocalCaller): Promise<void> => {
    while (!state.stopping) {
      state.id += 1
      const outcome = await told(caller.changed(`/* limpetmoor once deadline_ms=3000 */ INSERT INTO runs VALUES (${state.id})`))
      outcomes.set(state.id, outcome)
      if (outcome.kind === 'answered') state.answered += 1
      if (outcome.kind === 'lost') return
    }
  }
  const run = async (): Promise<void> => {
    while (!state.stopping) {
      const caller = await connectCaller(proxy.mysql, loginOf(set)).catch(() => undefined)
      if (caller !== undefined) await work(caller)
      caller?.close()
      await new Promise(resolve => { setTimeout(resolve, 20) })
    }
  }
  const ended = run()
  return {
    told: outcomes,
    answered: () => state.answered,
    stop: async () => {
      state.stopping = true
      await ended
    }
  }
}

test('every caller is told the truth while links and the primary fail', async t => {
  const set = await localSet(t, { faultyLinks: true })
  const links = set.links
  assert.ok(links !== undefined)
  // No key: a statement that runs twice leaves two rows.
  await (await callerOf(t, set, proxyAt(set, 0))).changed('CREATE TABLE runs (id BIGINT)')
  const tellers = set.proxies.flatMap((proxy, index) => Array.from({ length: callersEach }, (_, turn) =>
    startTeller(set, proxy, (index * callersEach + turn + 1) * idsEach)))
  const goOn = async (what: string): Promise<void> => {
    const before = tellers.map(each => each.answered())
    await until(`writes go on ${what}`, () => tellers.every((each, index) => each.answered() > (before[index] ?? 0) + 3), 40_000)
  }
  const primary = await primaryOf(set)
  const toPrimary = set.proxies.map(proxy => linkName(proxy.name, primary.name))
  const toPeers = set.proxies.flatMap(proxy => set.proxies.filter(other => other !== proxy).map(other => linkName(proxy.name, other.name)))
  await goOn('at first')
  for (const link of [...toPrimary, ...toPeers]) await links.set(link, { dropNextAnswer: 2 })
  await goOn('after lost answers')
  for (const link of toPeers) await links.set(link, { mode: 'cut' })
  for (const link of toPeers) await links.set(link, { mode: 'pass' })
  await goOn('after cut peer links')
  for (const link of [...toPrimary, ...toPeers]) await links.set(link, { mode: 'halfOpen' })
  await goOn('after connections went silent')
  primary.process.pause()
  await goOn('under a new primary')
  primary.process.resume()
  await goOn('after the old primary woke')
  await Promise.all(tellers.map(async each => { await each.stop() }))
  const rows = await onServer((await primaryOf(set)).address, 'SELECT id, COUNT(*) AS n FROM runs GROUP BY id')
  const found = new Map(rows.map(row => [Number(row['id']), Number(row['n'])]))
  for (const [id, outcome] of tellers.flatMap(each => [...each.told])) {
    const count = found.get(id) ?? 0
    switch (outcome.kind) {
      case 'answered':
        assert.equal(count, 1, `${id} was answered`)
        break
      case 'notRun':
      case 'refused':
        assert.equal(count, 0, `${id}: ${outcome.message}`)
        break
      case 'unknown':
      case 'lost':
        assert.ok(count <= 1, `${id} ran ${count} times: ${outcome.message}`)
    }
  }
})

test('a resend under its request id through another proxy runs nothing', async t => {
  const set = await localSet(t)
  await (await callerOf(t, set, proxyAt(set, 0))).changed('CREATE TABLE runs (id BIGINT)')
  for (const proxy of set.proxies) {
    const caller = await callerOf(t, set, proxy)
    for (const id of [1, 2]) await caller.changed(`/* limpetmoor request_id=r${id} */ INSERT INTO runs VALUES (${id})`)
  }
  const rows = await onServer((await primaryOf(set)).address, 'SELECT id FROM runs ORDER BY id')
  assert.deepEqual(rows, [{ id: 1 }, { id: 2 }])
})
