// Configuration on real processes: each generation comes into force on every host
// and no host returns to an older one, while operators write concurrently, answers
// get lost, watches become unresponsive and hosts are replaced.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { applyManifest, GenerationMonitor, latestReports, withAnonymousRate } from '../support/configuration.js'
import { statementOutcome } from '../support/load.js'
import { openCaller, startServingSet, proxyAt, fastControlSettings } from '../support/local-set.js'
import { until } from '../support/until.js'
import type { LocalSet } from '../../standins/set/local-set.js'

async function untilInForce (set: LocalSet, watch: GenerationMonitor, generation: number): Promise<void> {
  await until(`generation ${generation} is in force everywhere`, async () => {
    const seen = await watch.poll(set)
    return set.proxies.every(proxy => seen.get(proxy.name) === generation)
  })
}

test('with concurrent operators and lost answers, one generation is in force everywhere and none reverts', async t => {
  const set = await startServingSet(t)
  const watch = new GenerationMonitor()
  await untilInForce(set, watch, 1)
  const rates = [11, 12, 13, 14, 15, 16]
  await set.platform.faults({ dropAnswers: 4 })
  const applied = Promise.all(rates.map(async rate => await applyManifest(t, set, withAnonymousRate(set.manifest, rate))))
  const last = 1 + rates.length
  await untilInForce(set, watch, last)
  assert.deepEqual([...await applied].sort((a, b) => a - b), [2, 3, 4, 5, 6, 7])
  assert.deepEqual(watch.reverted, [])
})

test('an unresponsive watch only delays a generation', async t => {
  const set = await startServingSet(t)
  const watch = new GenerationMonitor()
  await set.platform.faults({ silentWatches: true })
  const generation = await applyManifest(t, set, withAnonymousRate(set.manifest, 9))
  await untilInForce(set, watch, generation)
})

test('a replaced host applies the generation in force and reverts no other host', async t => {
  const set = await startServingSet(t)
  const watch = new GenerationMonitor()
  await untilInForce(set, watch, await applyManifest(t, set, withAnonymousRate(set.manifest, 9)))
  const replaced = proxyAt(set, 1)
  const before = (await latestReports(set)).find(report => report.host === replaced.name)?.incarnation
  await replaced.process.kill()
  await set.startProxy(replaced)
  // A process listens before it has a configuration and refuses logins until then.
  await until('the new process serves', async () => {
    const caller = await openCaller(t, set, replaced).catch(() => undefined)
    return caller !== undefined && (await statementOutcome(caller.rows('SELECT 1'))).kind === 'answered'
  })
  await until('the new process reports', async () => {
    const report = (await latestReports(set)).find(each => each.host === replaced.name)
    return report?.incarnation !== before && report?.generation === 2
  })
  await untilInForce(set, watch, await applyManifest(t, set, withAnonymousRate(set.manifest, 8)))
  assert.deepEqual(watch.reverted, [])
})

test('an invalid manifest in the store is refused as a whole, and reports and status show the errors', async t => {
  const set = await startServingSet(t)
  await set.platform.write('manifest', 'current', { generation: 2, manifest: { ...set.manifest, seats: 0 } as never })
  await until('all hosts report the errors', async () => {
    const reports = await latestReports(set)
    return reports.length === set.proxies.length && reports.every(report => report.rejectedManifest?.generation === 2)
  })
  const [report] = await latestReports(set)
  assert.equal(report?.generation, 1)
  assert.deepEqual(report?.rejectedManifest?.errors, ['seats: found 0, allowed: a whole number from 1 to 100000'])
  assert.deepEqual(await (await openCaller(t, set, proxyAt(set, 0))).rows('SELECT 1 AS n'), [{ n: 1 }])
})

test('while the store is down, every host continues keyed work on the confirmation of a majority', async t => {
  const set = await startServingSet(t)
  const callers = await Promise.all(set.proxies.map(async proxy => await openCaller(t, set, proxy)))
  await set.platform.faults({ down: true })
  // Longer than a confirmation by the store is valid.
  const endAtMs = performance.now() + fastControlSettings.confirm_within_ms * 2
  while (performance.now() < endAtMs) {
    for (const caller of callers) assert.deepEqual(await statementOutcome(caller.rows('SELECT 1')), { kind: 'answered' })
  }
  for (const proxy of set.proxies) assert.deepEqual(await statementOutcome((await openCaller(t, set, proxy)).rows('SELECT 1')), { kind: 'answered' })
})
