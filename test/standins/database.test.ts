import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Address } from '../../src/model/index.js'
import { queryServer, serverStatus, serviceLogin } from '../../standins/set/controls.js'
import { connectClient, databaseGroup, errorNumber } from '../support/standins.js'
import { until } from '../support/until.js'

const createTills = 'CREATE TABLE IF NOT EXISTS tills (id BIGINT PRIMARY KEY, note VARCHAR(80) NOT NULL) ENGINE=InnoDB'
const countTills = 'SELECT COUNT(*) AS n FROM tills'

async function count (address: Address): Promise<number> {
  return Number((await queryServer(address, countTills))[0]?.['n'])
}

async function fenceAndPromote (term: number, fenced: readonly Address[], promoted: Address): Promise<void> {
  for (const address of fenced) {
    assert.equal((await queryServer(address, `CALL ledger_fence(${term}, 'p')`))[0]?.['accepted'], 1)
  }
  assert.equal((await queryServer(promoted, `CALL ledger_promote(${term}, 'p')`))[0]?.['accepted'], 1)
}

function followCall (term: number, source: Address): string {
  return `CALL ledger_follow(${term}, 'p', '${source.ip}', ${source.port})`
}

test('a write is received by replicas at once and applied after their lag', async t => {
  const [primary, replica] = await databaseGroup(t)
  const caller = await connectClient(t, primary)
  await caller.execute(createTills)
  await until('the table is applied', async () => (await serverStatus(replica)).applied.index === 2)
  await queryServer(replica, "CALL ledger_tune('lag_ms', 600000)")
  assert.equal(await caller.execute('INSERT INTO tills VALUES (?, ?)', [1, 'o\'né "x" \\']), 1)
  const position = await caller.position()
  await until('received', async () => (await serverStatus(replica)).received.index === position.index)
  assert.equal(await count(replica), 0)
  assert.equal((await serverStatus(replica)).applied.index, position.index - 1)
  assert.deepEqual(await caller.rows('SELECT note FROM tills'), [{ note: 'o\'né "x" \\' }])
})

test('a replica rejects writes, and errors have the numbers of MySQL', async t => {
  const [primary, replica] = await databaseGroup(t)
  const [writer, reader] = [await connectClient(t, primary), await connectClient(t, replica)]
  await writer.execute(createTills)
  await writer.execute('INSERT INTO tills VALUES (1, "a")')
  assert.equal(await writer.errorOf('INSERT INTO tills VALUES (1, "b")'), 1062)
  assert.equal(await reader.errorOf('INSERT INTO tills VALUES (2, "b")'), 1290)
  assert.equal(await writer.errorOf('SELECT * FROM missing_table'), 1146)
  assert.equal(await writer.execute('INSERT INTO tills VALUES (1, "c") ON CONFLICT (id) DO UPDATE SET note = excluded.note'), 1)
  assert.deepEqual(await writer.rows('SELECT id, note FROM tills'), [{ id: 1, note: 'c' }])
})

test('other sessions see all writes of a commit at once and none of a rollback', async t => {
  const [primary] = await databaseGroup(t)
  const [one, two] = [await connectClient(t, primary), await connectClient(t, primary)]
  await one.execute(createTills)
  await one.execute('BEGIN')
  await one.execute('INSERT INTO tills VALUES (1, "a")')
  await one.execute('INSERT INTO tills VALUES (2, "b")')
  assert.equal(await count(primary), 0)
  const waiting = two.execute('INSERT INTO tills VALUES (3, "c")')
  await one.execute('COMMIT')
  await waiting
  assert.equal(await count(primary), 3)
  await one.execute('START TRANSACTION')
  await one.execute('DELETE FROM tills')
  await one.execute('ROLLBACK')
  assert.equal(await count(primary), 3)
  assert.equal((await serverStatus(primary)).received.index, 4)
})

test('a transaction is rolled back when its connection closes', async t => {
  const [primary] = await databaseGroup(t)
  const [one, two] = [await connectClient(t, primary), await connectClient(t, primary)]
  await one.execute(createTills)
  await one.execute('BEGIN')
  await one.execute('INSERT INTO tills VALUES (1, "a")')
  one.connection.destroy()
  await two.execute('INSERT INTO tills VALUES (1, "b")')
  assert.deepEqual(await two.rows('SELECT note FROM tills'), [{ note: 'b' }])
})

test('a killed session ends and its transaction is rolled back', async t => {
  const [primary] = await databaseGroup(t)
  const [killed, other] = [await connectClient(t, primary), await connectClient(t, primary)]
  await killed.execute(createTills)
  await killed.execute('BEGIN')
  await killed.execute('INSERT INTO tills VALUES (1, "a")')
  await other.execute(`KILL ${killed.connection.threadId}`)
  await other.execute('INSERT INTO tills VALUES (1, "b")')
  assert.notEqual(await killed.errorOf('COMMIT'), 0)
  assert.deepEqual(await other.rows('SELECT note FROM tills'), [{ note: 'b' }])
  assert.equal(await other.errorOf('KILL 999999'), 1094)
})

test('a fenced primary commits nothing more, open transactions are rolled back', async t => {
  const [primary, second, third] = await databaseGroup(t)
  const [caller, other] = [await connectClient(t, primary), await connectClient(t, primary)]
  await caller.execute(createTills)
  await caller.execute('BEGIN')
  await caller.execute('INSERT INTO tills VALUES (1, "a")')
  const waiting = other.errorOf('INSERT INTO tills VALUES (2, "b")')
  await until('received', async () => (await serverStatus(second)).received.index === 2)
  await fenceAndPromote(2, [primary, second, third], second)
  assert.equal(await waiting, 1290)
  assert.equal(await caller.errorOf('INSERT INTO tills VALUES (3, "c")'), 1290)
  assert.equal(await caller.errorOf('COMMIT'), 1290)
  assert.equal(await caller.errorOf(countTills), 0)
  assert.equal(await count(primary), 0)
  assert.deepEqual((await serverStatus(second)).received, { term: 2, index: 3 })
})

test('a replaced primary drops entries that the new log lacks', async t => {
  const [primary, second, third] = await databaseGroup(t)
  const caller = await connectClient(t, primary)
  await caller.execute(createTills)
  await caller.execute('INSERT INTO tills VALUES (1, "kept")')
  await until('received', async () => (await serverStatus(second)).received.index === 3 && (await serverStatus(third)).received.index === 3)
  // The other servers are fenced first, so they receive no further write of the
  // primary.
  await fenceAndPromote(2, [second, third], second)
  await caller.execute('INSERT INTO tills VALUES (2, "lost")')
  const reader = await connectClient(t, primary)
  await reader.execute('START TRANSACTION READ ONLY')
  assert.equal((await reader.rows('SELECT id FROM tills')).length, 2)
  const writer = await connectClient(t, second)
  await writer.execute('INSERT INTO tills VALUES (3, "new")')
  for (const address of [primary, third]) await queryServer(address, followCall(2, second))
  for (const address of [primary, third]) {
    await until('the new log is applied', async () => (await serverStatus(address)).applied.index === 5)
    assert.deepEqual(await queryServer(address, 'SELECT note FROM tills ORDER BY id'), [{ note: 'kept' }, { note: 'new' }])
  }
  assert.equal((await reader.rows('SELECT id FROM tills')).length, 2, 'an open snapshot stays as it was')
})

test('statements beyond the slots wait for a free slot', async t => {
  const [primary] = await databaseGroup(t, { server: { slots: 2 } })
  const callers = await Promise.all(Array.from({ length: 4 }, async () => await connectClient(t, primary)))
  const order: string[] = []
  const run = async (index: number, text: string): Promise<void> => {
    await callers[index]?.rows(text)
    order.push(text)
  }
  const slow = [150, 600].map(async (serviceMs, index) => { await run(index, `SELECT ${index} /* service_ms=${serviceMs} */`) })
  await until('the slow statements have arrived', async () => (await queryServer(primary, 'CALL ledger_statements()')).length === 2)
  await Promise.all([...slow, run(2, 'SELECT 2'), run(3, 'SELECT 3')])
  assert.match(order[0] ?? '', /^SELECT 0/)
})

test('the connection cap holds and does not count replicas', async t => {
  const [primary, replica] = await databaseGroup(t, { server: { maxConnections: 2 } })
  const first = await connectClient(t, primary)
  await connectClient(t, primary)
  assert.equal(await errorNumber(connectClient(t, primary)), 1040)
  await first.execute(createTills)
  await until('replication continues', async () => (await serverStatus(replica)).applied.index === 2)
})

test('only the service login is accepted, and a server lists logins and statements', async t => {
  const [primary] = await databaseGroup(t)
  assert.equal(await errorNumber(connectClient(t, primary, { user: 'atelier', password: 'key' })), 1045)
  assert.equal(await errorNumber(connectClient(t, primary, { ...serviceLogin, password: 'key' })), 1045)
  const caller = await connectClient(t, primary, { ...serviceLogin, database: 'ledger' })
  await caller.rows('SELECT 42')
  const sessions = await caller.rows('CALL ledger_sessions()')
  const logins = sessions.filter(row => !String(row['attributes']).includes('ledger_replica'))
  assert.deepEqual(logins.map(row => [row['user'], row['schema_name'], row['accepted']]), [['atelier', '', 0], ['service', '', 0], ['service', 'ledger', 1]])
  assert.deepEqual(await caller.rows('CALL ledger_statements()'), [{ statement: 'SELECT 42' }])
})

test('a reset rolls back, and prepared statements are rejected', async t => {
  const [primary] = await databaseGroup(t)
  const caller = await connectClient(t, primary)
  await caller.execute(createTills)
  await caller.execute('BEGIN')
  await caller.execute('INSERT INTO tills VALUES (1, "a")')
  await caller.connection.reset()
  await caller.connection.ping()
  assert.equal(await count(primary), 0)
  assert.equal(await errorNumber(caller.connection.execute('SELECT 1')), 1235)
  assert.equal(await caller.errorOf('SET NAMES utf8mb4'), 0)
})

test('a wait is answered as soon as the status differs', async t => {
  const [primary] = await databaseGroup(t)
  const [waiter, writer] = [await connectClient(t, primary), await connectClient(t, primary)]
  const waiting = waiter.rows('CALL ledger_wait(1, 1, 1, 1, 1, 60000)')
  await writer.execute(createTills)
  assert.equal((await waiting)[0]?.['received_index'], 2)
  assert.equal((await waiter.rows('CALL ledger_wait(1, 2, 1, 2, 1, 5)'))[0]?.['received_index'], 2)
})
