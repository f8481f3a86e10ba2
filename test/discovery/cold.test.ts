import assert from 'node:assert/strict'
import { test } from 'node:test'
import { noServers, serversStep, withDiscoveredServers, type ServersEvent } from '../../src/discovery/index.js'
import type { DatabaseDeclaration, DiscoveredServer } from '../../src/model/index.js'

function serverOf (changes: Partial<DiscoveredServer> = {}): DiscoveredServer {
  return { name: 'a', database: 'ledger', ip: '127.0.0.1', port: 1, failureDomain: 'medina', slots: 5, state: 'active', ...changes }
}

function listed (nowMs: number, changes: Partial<DiscoveredServer>, coldUntilMs?: ReadonlyMap<string, number>): ServersEvent {
  return { kind: 'listed', servers: [serverOf(changes)], version: { asOfMs: nowMs, revision: undefined }, endingSinceMs: new Map(), ...(coldUntilMs === undefined ? {} : { coldUntilMs }), nowMs }
}

function rewritten (nowMs: number, changes: Partial<DiscoveredServer>): ServersEvent {
  return { kind: 'changed', servers: [serverOf(changes)], removed: [], version: { asOfMs: nowMs, revision: undefined }, nowMs }
}

const bounded: DatabaseDeclaration = { name: 'ledger', servers: [], maxConnections: 60, state: 'active', coldS: 10, coldPerS: 4 }

function coldUntil (events: readonly ServersEvent[], database = bounded): number | undefined {
  return withDiscoveredServers([database], events.reduce(serversStep, noServers), 7000)[0]?.servers[0]?.coldUntilMs
}

// Guards against a cold time that each read of the same entry extends, and one that a new start does not extend.
test('a server is cold from the first read of its entry, and anew only after another start', () => {
  const first = listed(1000, { coldLeftMs: 8000, startId: '1' })
  assert.equal(coldUntil([first, listed(3000, { coldLeftMs: 8000, startId: '1' })]), 9000)
  assert.equal(coldUntil([first, rewritten(3000, { coldLeftMs: 6500, startId: '1' })]), 9000)
  assert.equal(coldUntil([first, rewritten(3000, { startId: '1' })]), 3000)
  assert.equal(coldUntil([first, rewritten(6000, { coldLeftMs: 8000, startId: '2' })]), 14_000)
  assert.equal(coldUntil([listed(1000, { coldLeftMs: 8000 }), rewritten(6000, { coldLeftMs: 8000 })]), 14_000)
})

test('the times that another host reports count, with small differences left out', () => {
  const reported = (nowMs: number, untilMs: number): ServersEvent => listed(nowMs, {}, new Map([['a', untilMs]]))
  assert.equal(coldUntil([reported(1000, 9000), reported(2000, 9400)]), 9000)
  assert.equal(coldUntil([reported(1000, 9000), reported(2000, 19_000)]), 19_000)
  assert.equal(coldUntil([reported(1000, 9000), listed(2000, {}, new Map())]), 9000)
})

test('a server that was leaving is cold when it is active again; a database without a bound has no cold servers', () => {
  const returned = [listed(0, {}), listed(1000, { state: 'leaving' }), listed(2000, {})]
  assert.equal(coldUntil(returned), 12_000)
  assert.equal(coldUntil(returned, { ...bounded, coldPerS: 0 }), undefined)
})
