// Planned stop by SIGTERM under load: no running statement, transaction or write is
// lost.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { queryServer } from '../../standins/set/controls.js'
import { loginOf, startWriter, statementOutcome } from '../support/load.js'
import { tolerantControlSettings, openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

test('a planned stop answers running statements, lets open transactions finish and exits with 0', async t => {
  const set = await startServingSet(t, { settings: { control: tolerantControlSettings } })
  const stopping = proxyAt(set, 0)
  const transaction = await openCaller(t, set, stopping)
  await transaction.execute('BEGIN')
  await transaction.execute('INSERT INTO tills VALUES (1, "first", 1)')
  const callers = await Promise.all(Array.from({ length: 6 }, async () => await openCaller(t, set, stopping)))
  const running = callers.map(async (caller, index) => (await caller.rows(`SELECT ${index} AS n /* service_ms=500 */`))[0]?.['n'])
  await until('the slow reads run', async () => {
    const seen = await Promise.all(set.servers.map(async server => await queryServer(server.address, 'CALL ledger_statements()')))
    return seen.flat().filter(row => String(row['statement']).includes('service_ms=500')).length === callers.length
  })
  const stopped = stopping.process.stop()
  assert.deepEqual(await Promise.all(running), [0, 1, 2, 3, 4, 5])
  assert.equal(await transaction.execute('INSERT INTO tills VALUES (2, "second", 1)'), 1)
  await transaction.execute('COMMIT')
  assert.deepEqual(await stopped, { code: 0, signal: null })
  const rows = await (await openCaller(t, set, proxyAt(set, 1))).rows('SELECT id FROM tills ORDER BY id')
  assert.deepEqual(rows, [{ id: 1 }, { id: 2 }])
})

test('a planned stop under load neither loses nor repeats a write', async t => {
  const set = await startServingSet(t, { settings: { control: tolerantControlSettings } })
  const stopping = proxyAt(set, 0)
  const writers = Array.from({ length: 9 }, (_, index) => {
    const proxies = [...set.proxies.slice(index % 3), ...set.proxies.slice(0, index % 3)]
    return startWriter({ set, login: loginOf(set), proxies, firstId: (index + 1) * 100_000 })
  })
  const written = (): number => writers.reduce((sum, writer) => sum + writer.writes.length, 0)
  await until('writes flow', () => written() > 100)
  assert.deepEqual(await stopping.process.stop(), { code: 0, signal: null })
  const atStop = written()
  await until('writes continue without the host', () => written() > atStop + 100)
  await Promise.all(writers.map(async writer => { await writer.stop() }))
  const writes = writers.flatMap(writer => writer.writes)
  const outcomes = writes.flatMap(write => write.attempts.map(attempt => attempt.outcome))
  assert.deepEqual(outcomes.filter(each => each.kind === 'unknown' || each.kind === 'refused'), [])
  const rows = await queryServer((await primaryOf(set)).address, 'SELECT id FROM tills ORDER BY id')
  assert.deepEqual(rows.map(row => row['id']), writes.map(write => write.id).sort((a, b) => a - b))
})

test('a stopping host refuses new logins', async t => {
  const set = await startServingSet(t, { settings: { control: tolerantControlSettings } })
  const stopping = proxyAt(set, 0)
  const transaction = await openCaller(t, set, stopping)
  await transaction.execute('BEGIN')
  await transaction.execute('INSERT INTO tills VALUES (1, "first", 1)')
  const idle = await openCaller(t, set, stopping)
  const stopped = stopping.process.stop()
  await until('the idle connection is closed', async () => (await statementOutcome(idle.rows('SELECT 1'))).kind !== 'answered')
  assert.notEqual((await statementOutcome(openCaller(t, set, stopping))).kind, 'answered')
  await transaction.execute('ROLLBACK')
  assert.deepEqual(await stopped, { code: 0, signal: null })
})
