import assert from 'node:assert/strict'
import { test } from 'node:test'
import { hasSameServers, hasUnknownEnding, maxResponseGapMs, missingRetentionMs, noServers, serversStep, withDiscoveredServers, type ServersEvent, type ServersState } from '../../src/discovery/index.js'
import type { DiscoveredServer } from '../../src/model/index.js'

function serverOf (name: string, changes: Partial<DiscoveredServer> = {}): DiscoveredServer {
  return { name, database: 'ledger', ip: '127.0.0.1', port: 1, failureDomain: 'medina', slots: 5, state: 'active', ...changes }
}

function after (...events: readonly ServersEvent[]): ServersState {
  return events.reduce(serversStep, noServers)
}

/** A list that the store sent, which has no revision unless one is given. */
function listed (nowMs: number, servers: readonly DiscoveredServer[], revision?: number): ServersEvent {
  return { kind: 'listed', servers, version: { asOfMs: nowMs, revision }, endingSinceMs: new Map(), nowMs }
}

function namesOf (state: ServersState): readonly string[] {
  return [...state.servers.keys()].sort()
}

const both: ServersEvent = listed(0, [serverOf('a'), serverOf('b')])

test('a list without changes changes nothing; a missing or leaving entry is a change, as its server has a drain time from then on', () => {
  const first = after(both)
  const again = serversStep(first, listed(500, [serverOf('a'), serverOf('b')]))
  assert.equal(again.servers, first.servers)
  const missing = serversStep(first, listed(500, [serverOf('a')]))
  assert.equal(hasSameServers(first, missing), false)
  assert.equal(hasSameServers(missing, serversStep(missing, listed(800, [serverOf('a')]))), true)
  assert.equal(missing.servers.get('b')?.server, first.servers.get('b')?.server)
  assert.equal(hasSameServers(first, serversStep(first, listed(500, [serverOf('a'), serverOf('b', { state: 'leaving' })]))), false)
})

const leavingB = [serverOf('a'), serverOf('b', { state: 'leaving' })]

/** Times for which a state has noted that servers may be ending. */
function endingTimes (state: ServersState): ReadonlyArray<readonly [string, number | undefined]> {
  return [...state.servers].map(([name, each]) => [name, each.endingSinceMs])
}

test('a server leaves since it was last known to be active, or later where another host knows more', () => {
  const leaving = after(both, listed(900, [serverOf('a'), serverOf('b')]), listed(1400, leavingB), listed(5000, leavingB))
  assert.deepEqual(endingTimes(leaving), [['a', undefined], ['b', 900]])
  const reported = serversStep(leaving, { kind: 'listed', servers: leavingB, version: { asOfMs: 4000, revision: undefined }, endingSinceMs: new Map([['b', 1250], ['a', 1250]]), nowMs: 5100 })
  assert.deepEqual(endingTimes(reported), [['a', undefined], ['b', 1250]])
  assert.deepEqual(endingTimes(after(listed(100, leavingB))), [['a', undefined], ['b', -Infinity]])
  assert.deepEqual([hasUnknownEnding(reported), hasUnknownEnding(after(listed(100, leavingB)))], [false, true])
})

test('a missing server has a drain time from when its entry was last known, and after an outage of the store from its return', () => {
  const missing = after(both, listed(900, [serverOf('a'), serverOf('b')]), listed(1400, [serverOf('a')]))
  assert.deepEqual(endingTimes(missing), [['a', undefined], ['b', 900]])
  const backMs = 900 + maxResponseGapMs + 1
  assert.deepEqual(endingTimes(after(both, listed(900, [serverOf('a'), serverOf('b')]), listed(backMs, [serverOf('a')]))), [['a', undefined], ['b', backMs]])
  assert.deepEqual(endingTimes(serversStep(missing, listed(1500, [serverOf('a'), serverOf('b')]))), [['a', undefined], ['b', undefined]])
})

test('a list of a lower revision is ignored, whenever it was read', () => {
  const newer = after(listed(0, [serverOf('a'), serverOf('b')], 10), listed(500, leavingB, 12))
  const older = serversStep(newer, listed(700, [serverOf('a'), serverOf('b')], 11))
  assert.equal(older.servers.get('b')?.server.state, 'leaving')
  assert.equal(serversStep(newer, listed(400, [serverOf('a'), serverOf('b')], 13)).servers.get('b')?.server.state, 'active')
})

test('a missing entry is kept for the retention time and then dropped', () => {
  const missing = after(both, listed(1000, [serverOf('a')]))
  assert.deepEqual(namesOf(missing), ['a', 'b'])
  assert.deepEqual(namesOf(serversStep(missing, listed(1000 + missingRetentionMs, [serverOf('a')]))), ['a'])
})

test('an entry that expired while the store was unavailable gets the whole retention time again', () => {
  const backMs = 1000 + maxResponseGapMs + 5000
  const lapsed = after(both, listed(1000, [serverOf('a')]), listed(backMs, [serverOf('a')]))
  assert.deepEqual(namesOf(lapsed), ['a', 'b'])
  assert.deepEqual(namesOf(serversStep(lapsed, { kind: 'changed', servers: [serverOf('b')], removed: [], version: { asOfMs: backMs + 1500, revision: undefined }, nowMs: backMs + 1500 })), ['a', 'b'])
})

test('no entry is dropped while the store does not respond', () => {
  const missing = after(both, listed(1000, [serverOf('a')]))
  assert.deepEqual(namesOf(serversStep(missing, { kind: 'tick', nowMs: 1000 + maxResponseGapMs + missingRetentionMs })), ['a', 'b'])
})

test('a database gets the servers registered for it, with the connection bound of the manifest', () => {
  const state = after(listed(0, [serverOf('b'), serverOf('a'), serverOf('x', { database: 'other' })]), listed(400, [serverOf('b'), serverOf('a', { state: 'leaving' }), serverOf('x', { database: 'other' })]))
  const [database] = withDiscoveredServers([{ name: 'ledger', servers: [], maxConnections: 76, state: 'active' }], state, 7000)
  assert.deepEqual(database?.servers.map(server => [server.name, server.state, server.maxConnections]), [['a', 'leaving', 76], ['b', 'active', 76]])
  assert.deepEqual(database?.servers.map(({ newWorkUntilMs }) => newWorkUntilMs !== undefined && newWorkUntilMs < 7000), [true, false])
})
