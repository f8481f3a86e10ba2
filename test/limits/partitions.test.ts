import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
  initialPartitions, planPartitions, applyPlan, isSameDivision, partitionFractions, partitionRange, partitionsDueAtMs, partitionsStep,
  type PartitionOwner, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable, type PartitionView
} from '../../src/limits/index.js'
import type { ListedHost } from '../../src/members/index.js'

const maxValueBytes = 1_000_000

function owner (host: string, incarnation = 'a'): PartitionOwner {
  return { host, incarnation }
}

function table (...hosts: ReadonlyArray<string | null>): PartitionTable {
  return { seats: hosts.map(host => host === null ? null : owner(host)) }
}

function view (host: string, sharingHosts: readonly string[], removed: readonly string[] = []): PartitionView {
  return { self: owner(host), sharingHosts, isRemoved: other => removed.includes(other) }
}

function listed (...hosts: readonly string[]): readonly ListedHost[] {
  return hosts.map(host => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: 1, state: 'live' }))
}

/** State of a host that has read a table in a fleet of the given hosts. */
function stateAfterRead (stored: PartitionTable, version: number, ...hosts: readonly string[]): PartitionsState {
  return run(initialPartitions(owner('h0')), [
    { kind: 'manifestApplied', partitionCount: Math.max(4, stored.seats.length), nowMs: 0 },
    { kind: 'hostsListed', hosts: listed(...hosts), nowMs: 0 },
    { kind: 'tick', nowMs: 1 },
    { kind: 'tableRead', table: stored, version, nowMs: 2 }
  ]).state
}

function run (start: PartitionsState, events: readonly PartitionsEvent[]): { readonly state: PartitionsState, readonly effects: readonly PartitionsEffect[] } {
  return events.reduce<{ readonly state: PartitionsState, readonly effects: readonly PartitionsEffect[] }>(({ state }, event) => partitionsStep(state, event), { state: start, effects: [] })
}

function ownedIn (effects: readonly PartitionsEffect[]): readonly number[] | undefined {
  return effects.flatMap(effect => effect.kind === 'partitionsChanged' ? [effect.owned] : [])[0]
}

test('hosts that plan one after the other distribute all partitions evenly', () => {
  const hosts = Array.from({ length: 18 }, (_, at) => `h${at}`)
  let stored: PartitionTable = { seats: Array.from({ length: 64 }, () => null) }
  for (const host of hosts) stored = applyPlan(stored, planPartitions(stored, view(host, hosts)), owner(host))
  for (const host of hosts) {
    const count = stored.seats.filter(other => other?.host === host).length
    assert.ok(count === 3 || count === 4, `${host} owns ${count}`)
    assert.deepEqual(planPartitions(stored, view(host, hosts)), { release: [], acquire: [], reclaim: [] })
  }
})

test('a host with too many partitions releases some, a host with too few acquires only unowned ones', () => {
  const stored = table('h0', 'h0', 'h0', 'h0', 'h0', 'h0', 'h0', null)
  assert.deepEqual(planPartitions(stored, view('h0', ['h0', 'h1'])), { release: [6], acquire: [], reclaim: [] })
  assert.deepEqual(planPartitions(stored, view('h1', ['h0', 'h1'])), { release: [], acquire: [7], reclaim: [] })
})

test('hosts that join a fleet move no partition of a host that has few more than its even count', () => {
  const hosts = Array.from({ length: 28 }, (_, at) => `h${String(at).padStart(2, '0')}`)
  let stored: PartitionTable = { seats: Array.from({ length: 64 }, () => null) }
  for (const host of hosts.slice(0, 15)) stored = applyPlan(stored, planPartitions(stored, view(host, hosts.slice(0, 15))), owner(host))
  for (const host of hosts) assert.deepEqual(planPartitions(stored, view(host, hosts)), { release: [], acquire: [], reclaim: [] }, host)
})

test('partitions of a removed host are acquired or reclaimed; a new incarnation acquires its own', () => {
  const stored = table('h9', 'h9', 'h9', 'h1')
  assert.deepEqual(planPartitions(stored, view('h0', ['h0', 'h1'], ['h9'])), { release: [], acquire: [0, 1], reclaim: [2] })
  const restarted = { ...view('h1', ['h1']), self: owner('h1', 'b') }
  assert.deepEqual(planPartitions(table('h1', null), restarted).acquire, [0, 1])
})

test('a released partition is not used before the table has a newer version', () => {
  const full = table('h0', 'h0', 'h0', 'h0', 'h0', 'h0', 'h0', 'h0')
  const alone = stateAfterRead(full, 7, 'h0')
  const shared = run(alone, [{ kind: 'hostsListed', hosts: listed('h0', 'h1'), nowMs: 10 }])
  assert.deepEqual(ownedIn(shared.effects), [0, 1, 2, 3, 4, 5])
  assert.ok(shared.effects.some(effect => effect.kind === 'writeTable' && effect.version === 7))
  // The other host is removed again at once; the write timed out but may still take effect.
  const again: readonly PartitionsEvent[] = [
    { kind: 'hostsListed', hosts: listed('h0'), nowMs: 20 },
    { kind: 'writeEnded', nowMs: 30 },
    { kind: 'tableRead', table: full, version: 7, nowMs: 40 }
  ]
  const uncertain = run(shared.state, again)
  assert.deepEqual(ownedIn(uncertain.effects), [0, 1, 2, 3, 4, 5])
  const certain = run(uncertain.state, [{ kind: 'writeEnded', nowMs: 50 }, { kind: 'tableRead', table: full, version: 8, nowMs: 60 }])
  assert.deepEqual(ownedIn(certain.effects), [0, 1, 2, 3, 4, 5, 6, 7])
})

test('a partition of another incarnation is not used', () => {
  const old: PartitionTable = { seats: [owner('h0', 'before'), owner('h0')] }
  assert.deepEqual(ownedIn(run(stateAfterRead(table(), 1, 'h0'), [{ kind: 'writeEnded', nowMs: 3 }, { kind: 'tableRead', table: old, version: 2, nowMs: 4 }]).effects), [1])
})

test('a partition that went to another host in between does not count as taken over from the previous process', () => {
  const before: PartitionTable = { seats: Array.from({ length: 8 }, () => owner('h0', 'before')) }
  const restarted = stateAfterRead(before, 1, 'h0')
  assert.equal(restarted.reacquired.size, 8)
  const mine = table(...Array.from({ length: 8 }, () => 'h0'))
  const shared = run(restarted, [{ kind: 'written', table: mine, version: 2, sentMs: 3 }, { kind: 'hostsListed', hosts: listed('h0', 'h1'), nowMs: 4 }])
  assert.deepEqual([...shared.state.reacquired], [0, 1, 2, 3, 4, 5])
  const released = table('h0', 'h0', 'h0', 'h0', 'h0', 'h0', null, null)
  const alone = run(shared.state, [{ kind: 'written', table: released, version: 3, sentMs: 5 }, { kind: 'hostsListed', hosts: listed('h0'), nowMs: 6 }])
  assert.ok(alone.effects.some(effect => effect.kind === 'writeTable'))
  assert.deepEqual([...alone.state.reacquired], [0, 1, 2, 3, 4, 5])
})

test('no partition is reclaimed because of an old host list after an outage', () => {
  const stored = table('h0', 'h1', 'h0', 'h1')
  const before = stateAfterRead(stored, 1, 'h0')
  const writes = (effects: readonly PartitionsEffect[]): number => effects.filter(effect => effect.kind === 'writeTable').length
  const reads: readonly PartitionsEvent[] = [{ kind: 'tick', nowMs: 3_600_000 }, { kind: 'tableRead', table: stored, version: 1, nowMs: 3_600_001 }]
  assert.equal(writes(run(before, reads).effects), 0)
  const absent = run(before, [{ kind: 'hostsListed', hosts: listed('h0'), nowMs: 3_600_000 }])
  assert.equal(writes(absent.effects), 1)
})

test('a stopping host releases all partitions', () => {
  const { effects } = run(stateAfterRead(table('h0', 'h0', 'h1', 'h1'), 1, 'h0', 'h1'), [{ kind: 'stopping', nowMs: 5 }])
  assert.deepEqual(ownedIn(effects), [])
  const written = effects.flatMap(effect => effect.kind === 'writeTable' ? [effect.value] : [])[0]
  assert.deepEqual(written?.seats.slice(0, 2), [null, null])
})

test('the fractions of all partitions sum to the whole limit', () => {
  for (const [partitionCount, ratePerS] of [[64, 10], [8192, 3], [8192, 900], [7001, 50_000]] as const) {
    const fractions = Array.from({ length: partitionCount }, (_, partition) => partitionFractions('mill', { ratePerS, partitionCount })(partition))
    const sum = fractions.reduce((a, b) => a + b, 0)
    assert.ok(Math.abs(sum - 1) < 1e-9, `${partitionCount} partitions: ${sum}`)
  }
  assert.equal(isSameDivision({ ratePerS: 100, partitionCount: 64 }, { ratePerS: 500, partitionCount: 64 }), true)
  assert.equal(isSameDivision({ ratePerS: 100, partitionCount: 64 }, { ratePerS: 100, partitionCount: 65 }), false)
})

for (const [count, partitionCount] of [[18, 64], [6700, 8192]] as const) {
  test(`a table stays below the store's limit with ${count} hosts`, () => {
    const hosts = Array.from({ length: count }, (_, at) => `proxy-host-with-a-long-name-${at}`)
    const range = partitionRange(hosts[0] as string, hosts, partitionCount)
    const longest: PartitionTable = { seats: Array.from({ length: range.size }, () => owner(hosts[count - 1] as string, 'x'.repeat(36))) }
    assert.ok(JSON.stringify(longest).length < maxValueBytes / 10)
    assert.ok(range.hosts.includes(hosts[0] as string))
  })
}

// Guards against rateExceeded: a host that read the table before it was listed left the
// partitions that others had released for it unowned for up to 60 s.
test('a host reads the table at once when it is listed, and again soon while it knows no owner', () => {
  const before = run(initialPartitions(owner('h1')), [
    { kind: 'manifestApplied', partitionCount: 4, nowMs: 0 },
    { kind: 'hostsListed', hosts: listed('h0'), nowMs: 0 },
    { kind: 'tick', nowMs: 1 },
    { kind: 'tableRead', table: table(null, null, null, null), version: 1, nowMs: 2 }
  ]).state
  // Without a known owner it does not wait for the long period, either.
  assert.ok(partitionsDueAtMs(before) <= 10_000)
  const informed = run(before, [{ kind: 'tick', nowMs: 6000 }, { kind: 'tableRead', table: table('h0', 'h0', 'h0', 'h0'), version: 2, nowMs: 6001 }, { kind: 'tick', nowMs: 12_000 }, { kind: 'tableRead', table: table('h0', 'h0', 'h0', 'h0'), version: 2, nowMs: 12_001 }]).state
  assert.ok(partitionsDueAtMs(informed) > 60_000)
  assert.equal(partitionsDueAtMs(run(informed, [{ kind: 'hostsListed', hosts: listed('h0', 'h1'), nowMs: 13_000 }]).state), 13_000)
})

// Guards against calls for quota: a host that got its partitions in pieces owned several of some accounts and none of others.
test('a host with as many partitions as there are divisions of an account owns one of each account', () => {
  const free = [0, 1, 8, 9, 16, 17, 24, 25, 32, 33, 34, 35, 36, 37, 38, 39]
  const stored: PartitionTable = { seats: Array.from({ length: 64 }, (_, at) => free.includes(at) ? null : owner('h1')) }
  const { acquire } = planPartitions(stored, view('h0', ['h0', 'h1', 'h2', 'h3', 'h4', 'h5']))
  assert.equal(new Set(acquire.map(partition => partition % 8)).size, 8)
})
