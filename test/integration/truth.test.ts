// Reported outcomes are true: an answered write is stored once, a write reported as
// "not run" is not stored, and one marked not repeatable never runs twice.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { queryServer } from '../../standins/set/controls.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, statementOutcome, type StatementOutcome } from '../support/load.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

const callersPerProxy = 3
const idsPerCaller = 100_000

type WriteLoop = {
  readonly outcomes: ReadonlyMap<number, StatementOutcome>
  readonly answered: () => number
  readonly stop: () => Promise<void>
}

/** Starts a caller that inserts each id once and records the outcome. */
function startWriteLoop (set: LocalSet, proxy: LocalProxy, firstId: number): WriteLoop {
  const outcomes = new Map<number, StatementOutcome>()
  const state = { stopping: false, answered: 0, id: firstId }
  const work = async (caller: LocalCaller): Promise<void> => {
    while (!state.stopping) {
      state.id += 1
      const outcome = await statementOutcome(caller.execute(`/* limpetmoor once deadline_ms=3000 */ INSERT INTO runs VALUES (${state.id})`))
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
    outcomes,
    answered: () => state.answered,
    stop: async () => {
      state.stopping = true
      await ended
    }
  }
}

test('every reported outcome is true while links and the primary fail', async t => {
  const set = await startServingSet(t, { faultyLinks: true })
  const links = set.links
  assert.ok(links !== undefined)
  // Without a primary key, a statement that runs twice leaves two rows.
  await (await openCaller(t, set, proxyAt(set, 0))).execute('CREATE TABLE runs (id BIGINT)')
  const loops = set.proxies.flatMap((proxy, index) => Array.from({ length: callersPerProxy }, (_, turn) =>
    startWriteLoop(set, proxy, (index * callersPerProxy + turn + 1) * idsPerCaller)))
  const untilProgress = async (what: string): Promise<void> => {
    const before = loops.map(each => each.answered())
    await until(`writes continue ${what}`, () => loops.every((each, index) => each.answered() > (before[index] ?? 0) + 3), 40_000)
  }
  const primary = await primaryOf(set)
  const toPrimary = set.proxies.map(proxy => linkName(proxy.name, primary.name))
  const toPeers = set.proxies.flatMap(proxy => set.proxies.filter(other => other !== proxy).map(other => linkName(proxy.name, other.name)))
  await untilProgress('at first')
  for (const link of [...toPrimary, ...toPeers]) await links.set(link, { dropNextAnswer: 2 })
  await untilProgress('after lost answers')
  for (const link of toPeers) await links.set(link, { mode: 'cut' })
  for (const link of toPeers) await links.set(link, { mode: 'pass' })
  await untilProgress('after cut peer links')
  for (const link of [...toPrimary, ...toPeers]) await links.set(link, { mode: 'halfOpen' })
  await untilProgress('after connections became unresponsive')
  primary.process.pause()
  await untilProgress('under a new primary')
  primary.process.resume()
  await untilProgress('after the old primary resumed')
  await Promise.all(loops.map(async each => { await each.stop() }))
  const rows = await queryServer((await primaryOf(set)).address, 'SELECT id, COUNT(*) AS n FROM runs GROUP BY id')
  const found = new Map(rows.map(row => [Number(row['id']), Number(row['n'])]))
  for (const [id, outcome] of loops.flatMap(each => [...each.outcomes])) {
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

test('a resend under its request id through another proxy runs no statement', async t => {
  const set = await startServingSet(t)
  await (await openCaller(t, set, proxyAt(set, 0))).execute('CREATE TABLE runs (id BIGINT)')
  for (const proxy of set.proxies) {
    const caller = await openCaller(t, set, proxy)
    for (const id of [1, 2]) await caller.execute(`/* limpetmoor request_id=r${id} */ INSERT INTO runs VALUES (${id})`)
  }
  const rows = await queryServer((await primaryOf(set)).address, 'SELECT id FROM runs ORDER BY id')
  assert.deepEqual(rows, [{ id: 1 }, { id: 2 }])
})
