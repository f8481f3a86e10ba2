import assert from 'node:assert/strict'
import { test } from 'node:test'
import { hasSameServers, maxResponseGapMs, missingRetentionMs, noServers, serversStep, withDiscoveredServers, type ServersEvent, type ServersState } from '../../src/discovery/index.js'
import type { DiscoveredServer } from '../../src/model/index.js'

function serverOf (name: string, changes: Partial<DiscoveredServer> = {}): DiscoveredServer {
  return { name, database: 'ledger', ip: '127.0.0.1', port: 1, failureDomain: 'medina', slots: 5, state: 'active', ...changes }
}

function after (...events: readonly ServersEvent[]): ServersState {
  return events.reduce(serversStep, noServers)
}

function namesOf (state: ServersState): readonly string[] {
  return [...state.servers.keys()].sort()
}

const both: ServersEvent = { kind: 'listed', servers: [serverOf('a'), serverOf('b')], nowMs: 0 }

test('a list without changes changes nothing, and a missing entry does not count as a change of the servers', () => {
  const listed = after(both)
  const again = serversStep(listed, { kind: 'listed', servers: [serverOf('a'), serverOf('b')], nowMs: 500 })
  assert.equal(again.servers, listed.servers)
  const missing = serversStep(listed, { kind: 'listed', servers: [serverOf('a')], nowMs: 500 })
  assert.equal(hasSameServers(listed, missing), true)
  assert.equal(hasSameServers(listed, serversStep(listed, { kind: 'listed', servers: [serverOf('a'), serverOf('b', { state: 'leaving' })], nowMs: 500 })), false)
})

test('a missing entry is kept for the retention time and then dropped', () => {
  const missing = after(both, { kind: 'listed', servers: [serverOf('a')], nowMs: 1000 })
  assert.deepEqual(namesOf(missing), ['a', 'b'])
  assert.deepEqual(namesOf(serversStep(missing, { kind: 'listed', servers: [serverOf('a')], nowMs: 1000 + missingRetentionMs })), ['a'])
})

test('an entry that expired while the store was unavailable gets the whole retention time again', () => {
  const backMs = 1000 + maxResponseGapMs + 5000
  const lapsed = after(both, { kind: 'listed', servers: [serverOf('a')], nowMs: 1000 }, { kind: 'listed', servers: [serverOf('a')], nowMs: backMs })
  assert.deepEqual(namesOf(lapsed), ['a', 'b'])
  assert.deepEqual(namesOf(serversStep(lapsed, { kind: 'changed', servers: [serverOf('b')], removed: [], nowMs: backMs + 1500 })), ['a', 'b'])
})

test('no entry is dropped while the store does not respond', () => {
  const missing = after(both, { kind: 'listed', servers: [serverOf('a')], nowMs: 1000 })
  assert.deepEqual(namesOf(serversStep(missing, { kind: 'tick', nowMs: 1000 + maxResponseGapMs + missingRetentionMs })), ['a', 'b'])
})

test('a database gets the servers registered for it, with the connection bound of the manifest', () => {
  const state = after({ kind: 'listed', servers: [serverOf('b'), serverOf('a', { state: 'leaving' }), serverOf('x', { database: 'other' })], nowMs: 0 })
  const [database] = withDiscoveredServers([{ name: 'ledger', servers: [], maxConnections: 76, state: 'active' }], state)
  assert.deepEqual(database?.servers.map(server => [server.name, server.state, server.maxConnections]), [['a', 'leaving', 76], ['b', 'active', 76]])
})
