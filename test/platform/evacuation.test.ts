// Evacuation of failure domains, with real processes.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { openSession, startServingFleet, untilServed } from '../support/fleet.js'
import { until } from '../support/until.js'

const evacuateMs = 5000
const bounds = { drainMs: 7000, graceMs: 4000, evacuateMs }
const statementSpacingMs = 50
const zones = ['medina', 'plateau', 'hlm'] as const

// Guards against an evacuated primary that is used on after the bound although a server elsewhere can be promoted, and against a domain that stays unused after the end.
test('an evacuated primary is replaced from another domain, its server gets nothing new after the bound, and serves again after the end', async t => {
  const fleet = await startServingFleet(t, { bounds })
  const [primary] = fleet.servers
  assert.ok(primary !== undefined)
  fleet.store.put('evacuations', 'nowhere', { odd: true })
  fleet.store.put('evacuations', 'medina', 'odd value')
  const atBound = delay(evacuateMs).then(() => primary.runs.length)
  const promoted = await until('a promotion elsewhere', async () => fleet.promotions()[0])
  assert.notEqual(promoted.server, primary.id)
  await atBound
  await Promise.all(fleet.proxies.map(async (_, at) => await untilServed(fleet, at, 'WRITE after the bound')))
  const reader = await openSession(fleet, 1, 'notes')
  for (let count = 0; count < 10; count += 1) {
    assert.notEqual((await reader.query('READ one')).signature, undefined)
    await delay(statementSpacingMs)
  }
  assert.equal(primary.runs.length, await atBound)
  assert.ok(fleet.proxies.every(proxy => proxy.output().filter(line => line.includes('"evacuationIgnored"')).length === 1))
  fleet.store.remove('evacuations', 'medina')
  await until('a statement in the domain again', async () => {
    await untilServed(fleet, 0, 'READ again', 'lookup')
    return primary.runs.length > await atBound ? true : undefined
  })
})

// Guards against statements that wait or run where everything is evacuated, and against a stop of the service where only the store is down.
test('where all domains are evacuated, everything is refused at once after the bound, also while the store is down', async t => {
  const fleet = await startServingFleet(t, { bounds })
  for (const zone of zones) fleet.store.put('evacuations', zone, {})
  await until('all hosts know', async () => fleet.proxies.every(proxy => zones.every(zone => proxy.output().some(line => line.includes('"evacuationBegun"') && line.includes(zone)))) ? true : undefined)
  fleet.store.injectFaults({ refuseAll: true })
  await delay(evacuateMs)
  const runs = fleet.servers.map(server => server.runs.length)
  const answers = await Promise.all(fleet.proxies.map(async (_, at) => await (await openSession(fleet, at)).query('WRITE never 1')))
  assert.deepEqual([...new Set(answers.map(({ code }) => code))], ['BUSY'])
  assert.deepEqual(fleet.servers.map(server => server.runs.length), runs)
  fleet.store.injectFaults({})
  for (const zone of zones) fleet.store.remove('evacuations', zone)
  await untilServed(fleet, 0, 'WRITE served again')
})

/** Longer than the period of listings. */
const restoredWatchMs = 12_000
/** The end of a request that was written again does not wait for the restoration time. */
const promptEndMs = 5000

// Guards against an evacuation that ends without a word because the store returned from a copy without its request.
test('a domain whose request the restored store lacks stays evacuated, and an end by the operator is followed at once', async t => {
  const fleet = await startServingFleet(t, { bounds })
  const [server] = fleet.servers
  assert.ok(server !== undefined)
  const knowing = (event: string): boolean => fleet.proxies.every(proxy => proxy.output().some(line => line.includes(event)))
  const copiedAtMs = Date.now()
  await delay(500)
  fleet.store.put('evacuations', 'medina', {})
  const atBound = delay(evacuateMs)
  await until('all hosts know', async () => knowing('"evacuationBegun"') ? true : undefined)
  fleet.store.restoreCopy(Date.now() - copiedAtMs)
  assert.equal(fleet.store.get('evacuations', 'medina'), undefined)
  await atBound
  const runs = server.runs.length
  await Promise.all(fleet.proxies.map(async (_, at) => await untilServed(fleet, at, 'WRITE after the restore')))
  const reader = await openSession(fleet, 1, 'notes')
  const untilMs = Date.now() + restoredWatchMs
  while (Date.now() < untilMs) {
    await reader.query('READ one')
    await delay(statementSpacingMs)
  }
  assert.ok(fleet.proxies.some(proxy => proxy.output().some(line => line.includes('"storeRestored"'))))
  assert.equal(server.runs.length, runs)
  assert.ok(!fleet.proxies.some(proxy => proxy.output().some(line => line.includes('"evacuationEnded"'))))
  fleet.store.put('evacuations', 'medina', {})
  await delay(restoredWatchMs / 4)
  fleet.store.remove('evacuations', 'medina')
  await until('a host ends the evacuation', async () => fleet.proxies.some(proxy => proxy.output().some(line => line.includes('"evacuationEnded"'))) ? true : undefined, promptEndMs)
})
