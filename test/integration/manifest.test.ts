// Changes of the manifest on a running fleet, also while the store is down.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Manifest } from '../../src/model/index.js'
import { acceptManifest, queryServer, type PlatformControl } from '../../standins/set/controls.js'
import type { LocalProxy, LocalSet } from '../../standins/set/local-set.js'
import { connectCaller, errorNumber } from '../../standins/set/caller.js'
import type { Json } from '../../standins/platform/state.js'
import { loginOf, statementOutcome } from '../support/load.js'
import { tolerantControlSettings, openCaller, startServingSet, proxyAt } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

const unknownRouteError = 1049
/** Age of its confirmation above which a proxy refuses keyed work. */
const confirmWithinMs = 4000

function withRoute (manifest: Manifest, name: string): Manifest {
  const first = manifest.routes[0]
  assert.ok(first !== undefined)
  return { ...manifest, routes: [...manifest.routes, { ...first, name }] }
}

async function hasRoute (set: LocalSet, proxy: LocalProxy, route: string): Promise<boolean> {
  return await errorNumber(connectCaller(proxy.mysql, { ...loginOf(set), route }).then(async caller => {
    await caller.rows('SELECT 1').finally(() => { caller.close() })
  })) !== unknownRouteError
}

async function untilInForceEverywhere (set: LocalSet, route: string, proxies = set.proxies): Promise<void> {
  for (const proxy of proxies) await until(`${proxy.name} has route ${route}`, async () => await hasRoute(set, proxy, route), 8000)
}

async function storeGeneration (platform: PlatformControl, generation: number, manifest: unknown): Promise<void> {
  await platform.write('manifest', 'current', { generation, manifest: manifest as Json })
}

test('an accepted manifest is in force everywhere, also where watches are unresponsive', async t => {
  const set = await startServingSet(t)
  await acceptManifest(set.platform, withRoute(set.manifest, 'second'))
  await untilInForceEverywhere(set, 'second')
  await set.platform.faults({ silentWatches: true })
  await acceptManifest(set.platform, withRoute(set.manifest, 'third'))
  await untilInForceEverywhere(set, 'third')
})

test('a lower generation or an invalid manifest changes nothing', async t => {
  const set = await startServingSet(t)
  await acceptManifest(set.platform, withRoute(set.manifest, 'second'))
  await untilInForceEverywhere(set, 'second')
  await storeGeneration(set.platform, 1, set.manifest)
  await storeGeneration(set.platform, 9, { ...set.manifest, seats: 'many' })
  // A later valid manifest shows that the store was read in between.
  await storeGeneration(set.platform, 10, withRoute(withRoute(set.manifest, 'second'), 'third'))
  const seen = set.proxies.map(async proxy => {
    let kept = true
    await until(`${proxy.name} has route third`, async () => {
      kept &&= await hasRoute(set, proxy, 'second')
      return await hasRoute(set, proxy, 'third')
    })
    return kept
  })
  assert.deepEqual(await Promise.all(seen), [true, true, true])
})

test('a host that starts while the store is down gets the configuration from its peers', async t => {
  const set = await startServingSet(t)
  await proxyAt(set, 2).process.kill()
  await set.platform.faults({ down: true })
  const again = await set.startProxy(proxyAt(set, 2))
  await until('the host serves', async () =>
    (await statementOutcome(openCaller(t, set, again).then(async caller => await caller.rows('SELECT 1')))).kind === 'answered')
})

test('statements continue while the store is down', async t => {
  const set = await startServingSet(t, { settings: { control: { ...tolerantControlSettings, confirm_within_ms: confirmWithinMs } } })
  const callers = await Promise.all(set.proxies.map(async proxy => await openCaller(t, set, proxy)))
  await set.platform.faults({ down: true })
  const outcomes: unknown[] = []
  const untilMs = performance.now() + 2 * confirmWithinMs
  for (let id = 1; performance.now() < untilMs; id += callers.length) {
    for (const [index, caller] of callers.entries()) {
      const outcome = await statementOutcome(caller.execute(`INSERT INTO tills VALUES (${id + index}, 'x', 1)`))
      if (outcome.kind !== 'answered') outcomes.push(outcome)
    }
  }
  assert.deepEqual(outcomes, [])
})

test('a server that is leaving gets no new work after a few seconds', async t => {
  const set = await startServingSet(t)
  const primary = await primaryOf(set)
  const leaving = set.servers.find(server => server !== primary)
  assert.ok(leaving !== undefined)
  const databases = set.manifest.databases.map(database => ({
    ...database,
    servers: database.servers.map(server => server.name === leaving.name ? { ...server, state: 'leaving' as const } : server)
  }))
  await acceptManifest(set.platform, { ...set.manifest, databases })
  await untilUnused(set, leaving.address)
})

test('a database that is leaving refuses new work as not run', async t => {
  const set = await startServingSet(t)
  const caller = await openCaller(t, set, proxyAt(set, 0))
  const databases = set.manifest.databases.map(database => ({ ...database, state: 'leaving' as const }))
  await acceptManifest(set.platform, { ...set.manifest, databases })
  const refused = await until('the database refuses', async () => {
    const outcome = await statementOutcome(caller.rows('SELECT 1'))
    return outcome.kind === 'answered' ? undefined : outcome
  }, 8000)
  assert.equal(refused.kind, 'notRun')
})

/** Waits until no proxy sends a statement to the server although all keep reading. */
async function untilUnused (set: LocalSet, address: LocalProxy['mysql']): Promise<void> {
  const callers = await Promise.all(set.proxies.map(async proxy => await connectCaller(proxy.mysql, loginOf(set))))
  const seen = async (): Promise<number> => (await queryServer(address, 'CALL ledger_statements()')).length
  await until('the server gets no statement', async () => {
    const before = await seen()
    for (let round = 0; round < 30; round++) {
      for (const caller of callers) await caller.rows(`/* limpetmoor max_age_ms=60000 */ SELECT ${round}`)
    }
    return await seen() === before
  })
  for (const caller of callers) caller.close()
}
