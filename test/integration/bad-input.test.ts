// Invalid input: each case gets a clear error, the process keeps running, and the
// sessions of other callers are unaffected.

import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test, type TestContext } from 'node:test'
import { createConnection } from 'mysql2/promise'
import { connectCaller, errorNumber } from '../../standins/set/caller.js'
import type { LocalProxy, LocalSet } from '../../standins/set/local-set.js'
import { loginOf } from '../support/load.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'

const maxStatementBytes = 2000
const badKeyError = 1045
const unknownRouteError = 1049
const unsupportedError = 1235
const tooLongError = 1153
const otherError = 1105

async function oneHostSet (t: TestContext): Promise<LocalSet> {
  return await startServingSet(t, { hosts: 1, failureDomains: ['medina', 'plateau', 'hlm'], settings: { limits: { max_statement_bytes: maxStatementBytes } } })
}

/**
 * Sends raw bytes to a proxy after its greeting and waits until the proxy ends
 * the connection or answers.
 */
async function sendRaw (proxy: LocalProxy, bytes: Buffer): Promise<void> {
  await new Promise<void>(resolve => {
    const socket = connect(proxy.mysql.port, proxy.mysql.ip)
    socket.once('data', () => {
      socket.once('data', () => { socket.destroy() })
      socket.end(bytes)
    })
    socket.on('error', () => {})
    socket.on('close', () => { resolve() })
  })
}

test('invalid input gets a clear error and leaves other callers unaffected', async t => {
  const set = await oneHostSet(t)
  const proxy = proxyAt(set, 0)
  const other = await openCaller(t, set, proxy)
  await other.execute('BEGIN')
  await other.execute('INSERT INTO tills VALUES (1, \'kept\', 1)')
  const caller = await openCaller(t, set, proxy)
  assert.equal(await errorNumber(connectCaller(proxy.mysql, { ...loginOf(set), key: 'wrong' })), badKeyError)
  assert.equal(await errorNumber(connectCaller(proxy.mysql, { ...loginOf(set), account: 'nobody' })), badKeyError)
  assert.equal(await errorNumber(connectCaller(proxy.mysql, { ...loginOf(set), route: 'nowhere' })), unknownRouteError)
  assert.equal(await errorNumber(caller.rows('/* limpetmoor max_age_ms=soon */ SELECT 1')), otherError)
  assert.equal(await errorNumber(caller.rows(`SELECT '${'x'.repeat(maxStatementBytes)}'`)), tooLongError)
  assert.equal(await errorNumber(caller.rows('SELECT 1; SELECT 2')), unsupportedError)
  assert.equal(await errorNumber(caller.rows('SELECT nonsense FROM nowhere')) > 0, true)
  for (const bytes of [Buffer.from('GET / HTTP/1.1\r\n\r\n'), Buffer.alloc(64, 0xff), Buffer.from([3, 0, 0, 1, 0, 0, 0])]) await sendRaw(proxy, bytes)
  assert.deepEqual(await caller.rows('SELECT 1 AS one'), [{ one: 1 }])
  await other.execute('COMMIT')
  assert.deepEqual(await other.rows('SELECT proxy FROM tills WHERE id = 1'), [{ proxy: 'kept' }])
})

test('a prepared statement is refused at once and the connection stays usable', async t => {
  const set = await oneHostSet(t)
  const { account, key, route } = loginOf(set)
  const { ip: host, port } = proxyAt(set, 0).mysql
  const connection = await createConnection({ host, port, user: account, password: key, database: route })
  t.after(() => { connection.destroy() })
  assert.equal(await errorNumber(connection.execute('SELECT ?', [1])), unsupportedError)
  const [rows] = await connection.query('SELECT 1 AS one')
  assert.deepEqual(rows, [{ one: 1 }])
})

test('a port in use ends the process with a clear error', async t => {
  const set = await oneHostSet(t)
  await assert.rejects(set.startProxy(proxyAt(set, 0)), /cannot listen on 127\.0\.0\.1:\d+/)
  assert.deepEqual(await (await openCaller(t, set, proxyAt(set, 0))).rows('SELECT 1 AS one'), [{ one: 1 }])
})
