import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { queryServer, serverStatus } from '../../standins/set/controls.js'
import { startLocalSet, type LocalServer, type LocalSet } from '../../standins/set/local-set.js'
import { connectClient } from '../support/standins.js'
import { until } from '../support/until.js'

async function serversOnly (t: TestContext, faultyLinks: boolean): Promise<LocalSet> {
  const set = await startLocalSet({ hosts: 0, faultyLinks, lagMs: 0 })
  t.after(async () => { await set.stop() })
  return set
}

function group (set: LocalSet): readonly [LocalServer, LocalServer, LocalServer] {
  return set.servers as unknown as readonly [LocalServer, LocalServer, LocalServer]
}

test('a primary that is paused during a failover commits nothing after it resumes', async t => {
  const [primary, second, third] = group(await serversOnly(t, false))
  const caller = await connectClient(t, primary.address)
  await caller.execute('CREATE TABLE tills (id BIGINT PRIMARY KEY)')
  await caller.execute('BEGIN')
  await caller.execute('INSERT INTO tills VALUES (1)')
  await until('received', async () => (await serverStatus(second.address)).received.index === 2)
  primary.process.pause()
  const commit = caller.errorOf('COMMIT')
  // Fence and commit are both queued in sockets of the paused server, which may
  // read them in either order.
  const fenced = queryServer(primary.address, "CALL ledger_fence(2, 'p')")
  for (const { address } of [second, third]) await queryServer(address, "CALL ledger_fence(2, 'p')")
  await queryServer(second.address, "CALL ledger_promote(2, 'p')")
  primary.process.resume()
  await Promise.all([commit, fenced])
  const [ip, port] = [second.address.ip, second.address.port]
  for (const { address } of [primary, third]) await queryServer(address, `CALL ledger_follow(2, 'p', '${ip}', ${port})`)
  await until('one log', async () => (await serverStatus(primary.address)).applied.term === 2)
  assert.deepEqual(await queryServer(primary.address, 'SELECT id FROM tills'), [])
  assert.equal(await caller.errorOf('INSERT INTO tills VALUES (2)'), 1290)
})

test('replication continues after a link becomes silent', async t => {
  const set = await serversOnly(t, true)
  const [primary, second] = group(set)
  await queryServer(primary.address, 'CREATE TABLE tills (id BIGINT PRIMARY KEY)')
  await until('received', async () => (await serverStatus(second.address)).received.index === 2)
  await set.links?.set(`${second.name}>${primary.name}`, { mode: 'halfOpen' })
  await queryServer(primary.address, 'INSERT INTO tills VALUES (1)')
  await until('received by a new connection', async () => (await serverStatus(second.address)).received.index === 3)
})

test('a set stops all its processes', async t => {
  const set = await startLocalSet({ hosts: 0, faultyLinks: true })
  await set.stop()
  for (const { process: started } of set.servers) assert.deepEqual(await started.exited, { code: 0, signal: null })
  assert.deepEqual(await set.platformProcess.exited, { code: 0, signal: null })
})
