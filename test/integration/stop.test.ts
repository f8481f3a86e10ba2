// A planned stop by SIGTERM under load.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { onServer } from '../../standins/set/controls.js'
import { loginOf, startWriter, told } from '../support/load.js'
import { calmControl, callerOf, localSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

test('a planned stop answers what runs, ends open transactions and exits with 0', async t => {
  const set = await localSet(t, { settings: { control: calmControl } })
  const leaving = proxyAt(set, 0)
  const transaction = await callerOf(t, set, leaving)
  await transaction.changed('BEGIN')
  await transaction.changed('INSERT INTO tills VALUES (1, "first", 1)')
  const callers = await Promise.all(Array.from({ length: 6 }, async () => await callerOf(t, set, leaving)))
  const running = callers.map(async (caller, index) => (await caller.rows(`SELECT ${index} AS n /* service_ms=500 */`))[0]?.['n'])
  await until('the slow reads run', async () => {
    const seen = await Promise.all(set.servers.map(async server => await onServer(server.address, 'CALL ledger_statements()')))
    return seen.flat().filter(row => String(row['statement']).includes('service_ms=500')).length === callers.length
  })
  const stopped = leaving.process.stop()
  assert.deepEqual(await Promise.all(running), [0, 1, 2, 3, 4, 5])
  assert.equal(await transaction.changed('INSERT INTO tills VALUES (2, "second", 1)'), 1)
  await transaction.changed('COMMIT')
  assert.deepEqual(await stopped, { code: 0, signal: null })
  const rows = await (await callerOf(t, set, proxyAt(set, 1))).rows('SELECT id FROM tills ORDER BY id')
  assert.deepEqual(rows, [{ id: 1 }, { id: 2 }])
})

test('a planned stop under load loses and doubles no write', async t => {
  const set = await localSet(t, { settings: { control: calmControl } })
  const leaving = proxyAt(set, 0)
  const writers = Array.from({ length: 9 }, (_, index) => {
    const proxies = [...set.proxies.slice(index % 3), ...set.proxies.slice(0, index % 3)]
    return startWriter({ set, login: loginOf(set), proxies, firstId: (index + 1) * 100_000 })
  })
  const written = (): number => writers.reduce((sum, writer) => sum + writer.writes.length, 0)
  await until('writes flow', () => written() > 100)
  assert.deepEqual(await leaving.process.stop(), { code: 0, signal: null })
  const atStop = written()
  await until('writes go on without it', () => written() > atStop + 100)
  await Promise.all(writers.map(async writer => { await writer.stop() }))
  const writes = writers.flatMap(writer => writer.writes)
  const toldOf = writes.flatMap(write => write.attempts.map(attempt => attempt.told))
  assert.deepEqual(toldOf.filter(each => each.kind === 'unknown' || each.kind === 'refused'), [])
  const rows = await onServer((await primaryOf(set)).address, 'SELECT id FROM tills ORDER BY id')
  assert.deepEqual(rows.map(row => row['id']), writes.map(write => write.id).sort((a, b) => a - b))
})

test('a stopping host lets nobody in', async t => {
  const set = await localSet(t, { settings: { control: calmControl } })
  const leaving = proxyAt(set, 0)
  const transaction = await callerOf(t, set, leaving)
  await transaction.changed('BEGIN')
  await transaction.changed('INSERT INTO tills VALUES (1, "first", 1)')
  const idle = await callerOf(t, set, leaving)
  const stopped = leaving.process.stop()
  await until('the idle caller is let go', async () => (await told(idle.rows('SELECT 1'))).kind !== 'answered')
  assert.notEqual((await told(callerOf(t, set, leaving))).kind, 'answered')
  await transaction.changed('ROLLBACK')
  assert.deepEqual(await stopped, { code: 0, signal: null })
})
