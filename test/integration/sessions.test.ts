// Read-your-writes through several proxies while replicas lag, and bounded-staleness
// reads.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { queryServer, serverStatus } from '../../standins/set/controls.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

/**
 * Longer than any statement waits, so that only the primary reaches a new
 * minimum position.
 */
const stoppedLagMs = 3_600_000
const rounds = 12

test('a session reads its own writes through every proxy, with a token or without', async t => {
  const set = await startServingSet(t, { lagMs: 150 })
  for (let round = 0; round < rounds; round++) {
    const writer = await openCaller(t, set, proxyAt(set, round % 3))
    await writer.execute(`INSERT INTO tills VALUES (${round}, 'x', ${round})`)
    assert.equal((await writer.rows(`SELECT id FROM tills WHERE id = ${round}`)).length, 1, 'in the same session')
    const token = await writer.token()
    const reader = await openCaller(t, set, proxyAt(set, (round + 1) % 3), { token })
    assert.equal((await reader.rows(`SELECT id FROM tills WHERE id = ${round}`)).length, 1, 'with the token')
    const stranger = await openCaller(t, set, proxyAt(set, (round + 2) % 3))
    assert.equal((await stranger.rows(`SELECT id FROM tills WHERE id = ${round}`)).length, 1, 'in a session that opened later')
  }
})

test('a bounded-staleness read may come from a lagging replica, a session or strong read may not', async t => {
  const set = await startServingSet(t)
  const writer = await openCaller(t, set, proxyAt(set, 0))
  await writer.execute("INSERT INTO tills VALUES (1, 'x', 1)")
  const primary = await primaryOf(set)
  const replicas = set.servers.filter(server => server !== primary)
  for (const replica of replicas) {
    await until('applied', async () => (await queryServer(replica.address, 'SELECT id FROM tills')).length === 1)
    await queryServer(replica.address, `CALL ledger_tune('lag_ms', ${stoppedLagMs})`)
  }
  const reader = await openCaller(t, set, proxyAt(set, 1))
  await reader.rows('SELECT 1')
  await writer.execute("INSERT INTO tills VALUES (2, 'x', 1)")
  await until('received', async () => (await serverStatus((replicas[0] ?? primary).address)).received.index === (await serverStatus(primary.address)).received.index)
  const newSession = await openCaller(t, set, proxyAt(set, 2))
  assert.equal((await newSession.rows('SELECT id FROM tills')).length, 2)
  assert.equal((await reader.rows('/* limpetmoor latest */ SELECT id FROM tills')).length, 2)
})

test('the session token can be set, and a malformed one is refused', async t => {
  const set = await startServingSet(t)
  const writer = await openCaller(t, set, proxyAt(set, 0))
  await writer.execute("INSERT INTO tills VALUES (1, 'x', 1)")
  const token = await writer.token()
  const reader = await openCaller(t, set, proxyAt(set, 1))
  await reader.rows(`SET @@limpetmoor_session = '${token}'`)
  assert.equal((await reader.rows('SELECT id FROM tills')).length, 1)
  await assert.rejects(reader.rows("SET @@limpetmoor_session = 'nonsense'"), /not run/)
})
