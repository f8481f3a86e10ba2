// Keys on real processes: a withdrawn key stops working on open connections, and a
// key appears nowhere but on the caller's own connection.

import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { test, type TestContext } from 'node:test'
import { containsKey, keyRandomBytes, newKey } from '../../src/config/index.js'
import { connectCaller } from '../../standins/set/caller.js'
import { queryServer } from '../../standins/set/controls.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { applyManifest, platformUrl, withoutKeys } from '../support/configuration.js'
import { runCli } from '../support/cli.js'
import { statementOutcome, type StatementOutcome } from '../support/load.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { until } from '../support/until.js'

const withdrawn = 'mission'
const kept = 'atelier'

/**
 * Cuts the links of a host to the platform and to all other hosts, or restores
 * them.
 */
async function setIsolated (set: LocalSet, proxy: LocalProxy, mode: 'cut' | 'pass'): Promise<void> {
  const others = set.proxies.filter(each => each.name !== proxy.name).map(each => each.name)
  const names = [linkName(proxy.name, 'platform'), ...others.flatMap(other => [linkName(proxy.name, other), linkName(other, proxy.name)])]
  await Promise.all(names.map(async name => { await set.links?.set(name, { mode }) }))
}

function isRefused (outcome: StatementOutcome, reason: string): boolean {
  return outcome.kind === 'notRun' && outcome.message.startsWith(`not run (${reason}): `)
}

test('a withdrawn key stops working on open connections, also at an isolated host', async t => {
  const set = await startServingSet(t, { faultyLinks: true })
  const isolated = proxyAt(set, 2)
  const connected = [proxyAt(set, 0), proxyAt(set, 1)]
  const callers = await Promise.all(connected.map(async proxy => await openCaller(t, set, proxy, { account: withdrawn })))
  const keptCallers = await Promise.all(connected.map(async proxy => await openCaller(t, set, proxy, { account: kept })))
  const isolatedCaller = await openCaller(t, set, isolated, { account: withdrawn })
  for (const caller of [...callers, isolatedCaller]) assert.deepEqual(await statementOutcome(caller.rows('SELECT 1')), { kind: 'answered' })
  await setIsolated(set, isolated, 'cut')
  await applyManifest(t, set, withoutKeys(set.manifest, withdrawn))
  for (const caller of callers) {
    await until('the withdrawn key is refused', async () => isRefused(await statementOutcome(caller.rows('SELECT 1')), 'keyWithdrawn'))
  }
  await until('the isolated host refuses keyed work', async () => isRefused(await statementOutcome(isolatedCaller.rows('SELECT 1')), 'unconfirmedConfiguration'))
  for (const caller of keptCallers) assert.deepEqual(await statementOutcome(caller.rows('SELECT 1')), { kind: 'answered' })
  for (const proxy of connected) {
    assert.ok(isRefused(await statementOutcome(openCaller(t, set, proxy, { account: withdrawn })), 'badKey'))
  }
  await setIsolated(set, isolated, 'pass')
  await until('the host applies the withdrawal', async () => isRefused(await statementOutcome(isolatedCaller.rows('SELECT 1')), 'keyWithdrawn'))
  await until('the host serves other keys again', async () => (await statementOutcome((await openCaller(t, set, isolated, { account: kept })).rows('SELECT 1'))).kind === 'answered')
})

/** Sends keys in every place where a caller might put one by mistake. */
async function sendMisplacedKeys (t: TestContext, set: LocalSet, proxy: LocalProxy): Promise<readonly StatementOutcome[]> {
  const key = set.keys.get(kept) ?? ''
  const stray = newKey(randomBytes(keyRandomBytes))
  const caller = await openCaller(t, set, proxy)
  const login = { account: kept, key, route: set.options.databases[0] ?? '' }
  return [
    await statementOutcome(caller.rows(`SELECT '${key}'`)),
    await statementOutcome(caller.execute(`INSERT INTO tills VALUES (1, '${stray}', 1)`)),
    await statementOutcome(caller.rows(`/* limpetmoor request_id=${stray} */ SELECT 1`)),
    await statementOutcome(caller.rows(`SET @@limpetmoor_session = '${stray}'`)),
    await statementOutcome(connectCaller(proxy.mysql, { ...login, key: stray })),
    await statementOutcome(connectCaller(proxy.mysql, { ...login, account: key })),
    await statementOutcome(connectCaller(proxy.mysql, { ...login, route: key })),
    await statementOutcome(connectCaller(proxy.mysql, { ...login, token: stray }))
  ]
}

test('no key appears in any log, error, report, stored object or database session', async t => {
  const set = await startServingSet(t, { settings: { log: { level: 'debug' } } })
  const outcomes = (await Promise.all(set.proxies.map(async proxy => await sendMisplacedKeys(t, set, proxy)))).flat()
  const messages = outcomes.flatMap(outcome => outcome.kind === 'answered' ? [] : [outcome.message])
  assert.equal(messages.length, outcomes.length, `a misplaced key was accepted: ${JSON.stringify(outcomes)}`)
  const status = await runCli(['status', '--platform', platformUrl(set), '--json'])
  const outputs = [...set.proxies, ...set.servers].flatMap(each => each.process.output())
  const statements = (await Promise.all(set.servers.map(async server => await queryServer(server.address, 'CALL ledger_statements()')))).flat()
  const objects = await Promise.all([set.platform.read('manifest', 'current'), set.platform.read('seats', 'table'), ...set.options.failureDomains.map(async name => await set.platform.read('report', name))])
  const everything = [...messages, status.out, status.err, ...outputs, ...set.platformProcess.output(), ...statements, ...objects].map(each => JSON.stringify(each ?? ''))
  assert.ok(statements.length > 0 && outputs.length > 0)
  assert.deepEqual(everything.filter(containsKey), [])
  const digests = set.manifest.accounts.flatMap(account => account.keys.map(key => key.digest))
  const logged = [...messages, ...outputs, ...statements.map(row => JSON.stringify(row))]
  assert.deepEqual(logged.filter(line => digests.some(digest => line.includes(digest))), [])
})
