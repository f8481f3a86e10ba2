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
