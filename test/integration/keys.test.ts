// Keys: access of accounts to routes, the time until a withdrawn key stops working,
// and that no key reaches a database.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Manifest } from '../../src/model/index.js'
import { connectCaller, errorNumber } from '../../standins/set/caller.js'
import { acceptManifest, queryServer } from '../../standins/set/controls.js'
import { loginOf, statementOutcome } from '../support/load.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { until } from '../support/until.js'

const withdrawnWithinMs = 8000

function withoutKeys (manifest: Manifest, account: string): Manifest {
  return { ...manifest, accounts: manifest.accounts.map(each => each.name === account ? { ...each, keys: [] } : each) }
}

function withAccess (manifest: Manifest, route: string, accounts: readonly string[]): Manifest {
  return { ...manifest, routes: manifest.routes.map(each => each.name === route ? { ...each, access: { kind: 'accounts', accounts } } : each) }
}

test('a withdrawn key stops working on open connections of every proxy, other keys keep working', async t => {
  const set = await startServingSet(t)
  const open = await Promise.all(set.proxies.map(async proxy => await openCaller(t, set, proxy)))
  const other = await openCaller(t, set, proxyAt(set, 0), loginOf(set, 'mission'))
  for (const caller of open) assert.equal((await statementOutcome(caller.rows('SELECT 1'))).kind, 'answered')
  await acceptManifest(set.platform, withoutKeys(set.manifest, 'atelier'))
  for (const caller of open) {
    await until('the key is refused', async () => (await statementOutcome(caller.rows('SELECT 1'))).kind !== 'answered', withdrawnWithinMs)
    assert.notEqual((await statementOutcome(caller.execute("INSERT INTO tills VALUES (1, 'x', 1)"))).kind, 'answered')
  }
  for (const proxy of set.proxies) assert.equal(await errorNumber(connectCaller(proxy.mysql, loginOf(set))), 1045)
  assert.equal((await statementOutcome(other.rows('SELECT id FROM tills'))).kind, 'answered')
  assert.deepEqual(await other.rows('SELECT id FROM tills'), [])
})

test('a request runs only for the account whose key came with it', async t => {
  const set = await startServingSet(t)
  const proxy = proxyAt(set, 1)
  await acceptManifest(set.platform, withAccess(set.manifest, 'ledger', ['mission']))
  await until('the new access is in force', async () => await errorNumber(connectCaller(proxy.mysql, loginOf(set)).then(async caller => await caller.rows('SELECT 1'))) === 1044)
  const mission = loginOf(set, 'mission')
  assert.equal(await errorNumber(connectCaller(proxy.mysql, { ...mission, key: set.keys.get('atelier') ?? '' })), 1045)
  assert.equal(await errorNumber(connectCaller(proxy.mysql, { ...mission, key: '' })), 1045)
  assert.equal((await statementOutcome(openCaller(t, set, proxy, mission).then(async caller => await caller.rows('SELECT 1')))).kind, 'answered')
  const anyone = { account: 'stranger', key: '', route: 'ledger-open' }
  assert.equal((await statementOutcome(openCaller(t, set, proxy, anyone).then(async caller => await caller.rows('SELECT 1')))).kind, 'answered')
  assert.equal(await errorNumber(connectCaller(proxy.mysql, { ...mission, route: 'nowhere' }).then(async caller => await caller.rows('SELECT 1'))), 1049)
})

test('no database receives a key, not even one that a caller writes into a statement', async t => {
  const set = await startServingSet(t)
  const key = set.keys.get('atelier') ?? ''
  for (const proxy of set.proxies) {
    const caller = await openCaller(t, set, proxy)
    await caller.rows('SELECT 1')
    await caller.execute(`INSERT INTO tills VALUES (${proxy.mysql.port}, 'x', 1)`)
    assert.equal((await statementOutcome(caller.rows(`SELECT '${key}'`))).kind, 'notRun')
  }
  for (const server of set.servers) {
    const seen = JSON.stringify([await queryServer(server.address, 'CALL ledger_sessions()'), await queryServer(server.address, 'CALL ledger_statements()')])
    for (const each of set.keys.values()) assert.ok(!seen.includes(each), `${server.name} received a key`)
    assert.ok(!seen.includes('lmk_'))
    assert.ok(seen.includes('INSERT INTO tills') || seen.includes('SELECT 1') || seen.includes('service'))
  }
})
