// Writes that must not run twice, while answers get lost. The tests compare the rows
// in the database with the outcome that each caller received.

import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { queryServer } from '../../standins/set/controls.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, statementOutcome, type StatementOutcome } from '../support/load.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

const callerCount = 6
/** Number of losses on each link while the callers write. */
const lossesPerLink = 6
const maxResends = 400

type Insert = { readonly id: number, readonly outcome: StatementOutcome }

async function createHitTable (t: TestContext, set: LocalSet): Promise<void> {
  const caller = await openCaller(t, set, proxyAt(set, 0))
  await caller.execute('CREATE TABLE IF NOT EXISTS hits (id BIGINT, note VARCHAR(20))')
}

/** Number of rows of each id. */
async function hitCounts (set: LocalSet): Promise<ReadonlyMap<number, number>> {
  const rows = await queryServer((await primaryOf(set)).address, 'SELECT id, COUNT(*) AS times FROM hits GROUP BY id')
  return new Map(rows.map(row => [Number(row['id']), Number(row['times'])]))
}

async function reconnect (set: LocalSet, proxy: LocalProxy): Promise<LocalCaller> {
  return await until(`a login at ${proxy.name}`, async () => await connectCaller(proxy.mysql, loginOf(set)).catch(() => undefined))
}

/** Inserts ids in sequence; each is sent once, whatever its outcome. */
async function insertOnce (set: LocalSet, proxy: LocalProxy, firstId: number, stopped: () => boolean): Promise<readonly Insert[]> {
  const hits: Insert[] = []
  let caller = await reconnect(set, proxy)
  for (let id = firstId; !stopped(); id++) {
    const outcome = await statementOutcome(caller.execute(`/* limpetmoor once */ INSERT INTO hits (id, note) VALUES (${id}, 'x')`))
    hits.push({ id, outcome })
    if (outcome.kind === 'lost') caller = await reconnect(set, proxy)
  }
  caller.close()
  return hits
}

/**
 * Inserts ids under a request id; each is resent through the next proxy until
 * it is answered.
 */
async function insertUntilAnswered (set: LocalSet, firstId: number, stopped: () => boolean): Promise<readonly number[]> {
  const ids: number[] = []
  for (let id = firstId; !stopped(); id++) {
    for (let resend = 0; ; resend++) {
      assert.ok(resend < maxResends, `id ${id} was never answered`)
      const caller = await reconnect(set, proxyAt(set, (id + resend) % set.proxies.length))
      const outcome = await statementOutcome(caller.execute(`/* limpetmoor request_id=hit-${id} */ INSERT INTO hits (id, note) VALUES (${id}, 'x')`))
      caller.close()
      if (outcome.kind === 'answered') break
    }
    ids.push(id)
  }
  return ids
}

/** Drops answers on every link between proxies and from proxies to servers. */
async function loseAnswers (set: LocalSet): Promise<void> {
  const { links } = set
  assert.ok(links !== undefined)
  const targets = [...set.servers.map(server => server.name), ...set.proxies.map(proxy => proxy.name)]
  const names = set.proxies.flatMap(proxy => targets.filter(target => target !== proxy.name).map(target => linkName(proxy.name, target)))
  for (let loss = 0; loss < lossesPerLink; loss++) {
    for (const name of names) await links.set(name, { dropNextAnswer: 1 })
    for (const name of names) await links.set(name, { mode: 'cut' })
    for (const name of names) await links.set(name, { mode: 'pass', dropNextAnswer: 2 })
    await new Promise(resolve => { setTimeout(resolve, betweenLossesMs) })
  }
  for (const name of names) await links.set(name, { mode: 'pass', dropNextAnswer: 0 })
}

/** Time between two losses; no assertion depends on it. */
const betweenLossesMs = 300

/** Whether the number of rows contradicts the outcome that the caller received. */
function contradicts (outcome: StatementOutcome, times: number): boolean {
  switch (outcome.kind) {
    case 'answered': return times !== 1
    case 'notRun':
    case 'refused': return times !== 0
    case 'unknown':
    case 'lost': return times > 1
  }
}

function assertConsistent (hits: readonly Insert[], counts: ReadonlyMap<number, number>): void {
  const results = hits.map(hit => ({ ...hit, times: counts.get(hit.id) ?? 0 }))
  assert.deepEqual(results.filter(hit => contradicts(hit.outcome, hit.times)), [])
}

test('a request marked not repeatable runs at most once, and "not run" is true, while answers get lost', async t => {
  const set = await startServingSet(t, { faultyLinks: true, settings: { limits: { default_deadline_ms: 2000 } } })
  await createHitTable(t, set)
  const state = { stopped: false }
  const callers = Array.from({ length: callerCount }, async (_, index) =>
    await insertOnce(set, proxyAt(set, index % set.proxies.length), (index + 1) * 1_000_000, () => state.stopped))
  await loseAnswers(set)
  state.stopped = true
  const hits = (await Promise.all(callers)).flat()
  const kinds = new Set(hits.map(hit => hit.outcome.kind))
  assert.ok(kinds.has('answered') && kinds.has('unknown'), `expected answered and unknown outcomes, found ${[...kinds].join(', ')}`)
  assertConsistent(hits, await hitCounts(set))
})

test('a write with a request id that is resent through other proxies runs exactly once', async t => {
  const set = await startServingSet(t, { faultyLinks: true, settings: { limits: { default_deadline_ms: 2000 } } })
  await createHitTable(t, set)
  const state = { stopped: false }
  const callers = Array.from({ length: callerCount }, async (_, index) =>
    await insertUntilAnswered(set, (index + 1) * 1_000_000, () => state.stopped))
  await loseAnswers(set)
  const primary = await primaryOf(set)
  await primary.process.kill()
  await until('another primary', async () => (await primaryOf(set)).name !== primary.name)
  state.stopped = true
  const ids = (await Promise.all(callers)).flat()
  const counts = await hitCounts(set)
  assert.ok(ids.length > callerCount)
  assert.deepEqual(ids.filter(id => counts.get(id) !== 1).map(id => ({ id, times: counts.get(id) ?? 0 })), [])
})

test('a transaction of a killed proxy leaves no row', async t => {
  const set = await startServingSet(t)
  await createHitTable(t, set)
  const dying = proxyAt(set, 1)
  const caller = await openCaller(t, set, dying)
  await caller.execute('BEGIN')
  await caller.execute('INSERT INTO hits (id, note) VALUES (1, \'x\')')
  await dying.process.kill()
  assert.equal((await statementOutcome(caller.execute('COMMIT'))).kind, 'lost')
  const other = await openCaller(t, set, proxyAt(set, 2))
  await until('a write is served elsewhere', async () => (await statementOutcome(other.execute('INSERT INTO hits (id, note) VALUES (2, \'x\')'))).kind === 'answered')
  const counts = await hitCounts(set)
  assert.equal(counts.get(1), undefined)
  assert.ok((counts.get(2) ?? 0) >= 1)
})
