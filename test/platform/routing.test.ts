import assert from 'node:assert/strict'
import { test } from 'node:test'
import { startFleet, type Fleet, type FleetProxy } from '../../standins/fleet/set.js'
import { openSession, startServingFleet, untilServed } from '../support/fleet.js'
import { until } from '../support/until.js'

function hasEvent (proxy: FleetProxy, name: string, text: string): boolean {
  return proxy.output().some(line => line.includes(`"name":"${name}"`) && line.includes(text))
}

async function untilPlaced (fleet: Fleet, placement: string): Promise<void> {
  await until(`placement ${placement} on all hosts`, async () => fleet.proxies.every(proxy => hasEvent(proxy, 'placementChanged', `"placement":"${placement}"`)) || undefined)
}

// Guards against reads that a replica keeps refusing while others would serve them.
test('a replica that refuses its reads is ejected, and the reads are served by others', async t => {
  const fleet = await startServingFleet(t)
  const at = fleet.servers.findIndex(({ node }) => node.role === 'replica')
  const replica = fleet.servers[at]
  assert.ok(replica !== undefined)
  await untilServed(fleet, at, 'READ start', 'lookup')
  replica.setBehaviour({ errors: Array.from({ length: 50 }, () => 'BUSY') })
  const caller = await openSession(fleet, at, 'lookup')
  for (let sent = 0; sent < 20; sent += 1) assert.notEqual((await caller.query('READ start')).signature, undefined)
  assert.ok(hasEvent(fleet.proxies[at] as FleetProxy, 'serverEjected', `"server":"${replica.id}"`))
})

async function untilAnyServes (fleet: Fleet, text: string): Promise<void> {
  await Promise.any(fleet.proxies.map(async (_, at) => await untilServed(fleet, at, text)))
}

// Guards against hosts of two versions that place dispatchers differently for good.
// One host that serves is enough: on this fleet a host sometimes refuses with
// rateExceeded for 20 s after its start, also on the version before this test.
test('unlike hosts place dispatchers by capacity once all of them support it', async t => {
  const fleet = await startFleet({ hosts: 6, cpuShares: [0.9, 0.9, 0.9, 0.2, 0.2, 0.2] })
  t.after(async () => { await fleet.stop() })
  await untilPlaced(fleet, 'weighted')
  await untilAnyServes(fleet, 'WRITE folio placed')
  fleet.store.put('hosts', 'entry-old', { failureDomain: 'medina', ip: '127.0.0.1', port: 1, capacityCores: 0.2, state: 'live', incarnation: 'old' })
  await untilPlaced(fleet, 'unweighted')
  await untilAnyServes(fleet, 'WRITE folio upgraded')
})
