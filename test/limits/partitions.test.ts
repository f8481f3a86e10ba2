import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
  initialPartitions, planSeats, plannedTable, sameDivision, partitionFraction, partitionRange, partitionsStep,
  type PartitionOwner, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable, type SeatView
} from '../../src/limits/index.js'
import type { ListedHost } from '../../src/members/index.js'

const maxValueBytes = 1_000_000

function holder (host: string, incarnation = 'a'): PartitionOwner {
  return { host, incarnation }
}

function table (...hosts: ReadonlyArray<string | null>): PartitionTable {
  return { seats: hosts.map(host => host === null ? null : holder(host)) }
}

function view (host: string, sharing: readonly string[], gone: readonly string[] = []): SeatView {
  return { self: holder(host), sharing, isGone: other => gone.includes(other) }
}

function listed (...hosts: readonly string[]): readonly ListedHost[] {
  return hosts.map(host => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: 1, state: 'live' }))
}

/** A host that has read a table of four seats in a fleet of the given hosts. */
function seated (stored: PartitionTable, version: number, ...hosts: readonly string[]): PartitionsState {
  return run(initialPartitions(holder('h0')), [
    { kind: 'manifestApplied', partitionCount: 4, nowMs: 0 },
    { kind: 'hostsListed', hosts: listed(...hosts), nowMs: 0 },
    { kind: 'tick', nowMs: 1 },
    { kind: 'tableRead', table: stored, version, nowMs: 2 }
  ]).state
}

function run (start: PartitionsState, events: readonly PartitionsEvent[]): { readonly state: PartitionsState, readonly effects: readonly PartitionsEffect[] } {
  return events.reduce<{ readonly state: PartitionsState, readonly effects: readonly PartitionsEffect[] }>(({ state }, event) => partitionsStep(state, event), { state: start, effects: [] })
}

function heldBy (effects: readonly PartitionsEffect[]): readonly number[] | undefined {
  return effects.flatMap(effect => effect.kind === 'seatsChanged' ? [effect.owned] : [])[0]
}

test('hosts that plan one after the other share all seats evenly', () => {
  const hosts = Array.from({ length: 18 }, (_, at) => `h${at}`)
  let stored: PartitionTable = { seats: Array.from({ length: 64 }, () => null) }
  for (const host of hosts) stored = plannedTable(stored, planSeats(stored, view(host, hosts)), holder(host))
  for (const host of hosts) {
    const count = stored.seats.filter(seat => seat?.host === host).length
    assert.ok(count === 3 || count === 4, `${host} holds ${count}`)
    assert.deepEqual(planSeats(stored, view(host, hosts)), { release: [], take: [], free: [] })
  }
})

test('a host with too many seats releases some, one with too few takes free ones only', () => {
  const stored = table('h0', 'h0', 'h0', null)
  assert.deepEqual(planSeats(stored, view('h0', ['h0', 'h1'])), { release: [2], take: [], free: [] })
  assert.deepEqual(planSeats(stored, view('h1', ['h0', 'h1'])), { release: [], take: [3], free: [] })
})

test('seats of a host that is gone are taken or freed; a new incarnation takes over its own', () => {
  const stored = table('h9', 'h9', 'h9', 'h1')
  assert.deepEqual(planSeats(stored, view('h0', ['h0', 'h1'], ['h9'])), { release: [], take: [0, 1], free: [2] })
  const restarted = { ...view('h1', ['h1']), self: holder('h1', 'b') }
  assert.deepEqual(planSeats(table('h1', null), restarted).take, [0, 1])
})

test('a released seat is not used before the table has a newer version', () => {
  const full = table('h0', 'h0', 'h0', 'h0')
  const alone = seated(full, 7, 'h0')
  const shared = run(alone, [{ kind: 'hostsListed', hosts: listed('h0', 'h1'), nowMs: 10 }])
  assert.deepEqual(heldBy(shared.effects), [0, 1])
  assert.ok(shared.effects.some(effect => effect.kind === 'writeTable' && effect.version === 7))
  // The other host goes at once; the write was given up but may still take effect.
  const again: readonly PartitionsEvent[] = [
    { kind: 'hostsListed', hosts: listed('h0'), nowMs: 20 },
    { kind: 'writeEnded', nowMs: 30 },
    { kind: 'tableRead', table: full, version: 7, nowMs: 40 }
  ]
  const unsure = run(shared.state, again)
  assert.deepEqual(heldBy(unsure.effects), [0, 1])
  const sure = run(unsure.state, [{ kind: 'writeEnded', nowMs: 50 }, { kind: 'tableRead', table: full, version: 8, nowMs: 60 }])
  assert.deepEqual(heldBy(sure.effects), [0, 1, 2, 3])
})

test('a seat of another incarnation is not used', () => {
  const old: PartitionTable = { seats: [holder('h0', 'before'), holder('h0')] }
  assert.deepEqual(heldBy(run(seated(table(), 1, 'h0'), [{ kind: 'writeEnded', nowMs: 3 }, { kind: 'tableRead', table: old, version: 2, nowMs: 4 }]).effects), [1])
})

test('an old host list frees no seat after an outage', () => {
  const stored = table('h0', 'h1', 'h0', 'h1')
  const before = seated(stored, 1, 'h0')
  const writes = (effects: readonly PartitionsEffect[]): number => effects.filter(effect => effect.kind === 'writeTable').length
  const reads: readonly PartitionsEvent[] = [{ kind: 'tick', nowMs: 3_600_000 }, { kind: 'tableRead', table: stored, version: 1, nowMs: 3_600_001 }]
  assert.equal(writes(run(before, reads).effects), 0)
  const absent = run(before, [{ kind: 'hostsListed', hosts: listed('h0'), nowMs: 3_600_000 }])
  assert.equal(writes(absent.effects), 1)
})

test('a stopping host gives up all seats', () => {
  const { effects } = run(seated(table('h0', 'h0', 'h1', 'h1'), 1, 'h0', 'h1'), [{ kind: 'stopping', nowMs: 5 }])
  assert.deepEqual(heldBy(effects), [])
  const written = effects.flatMap(effect => effect.kind === 'writeTable' ? [effect.value] : [])[0]
  assert.deepEqual(written?.seats.slice(0, 2), [null, null])
})

test('the parts of all seats make up the whole limit', () => {
  for (const [seats, ratePerS] of [[64, 10], [8192, 3], [8192, 900], [7001, 50_000]] as const) {
    const parts = Array.from({ length: seats }, (_, seat) => partitionFraction('mill', ratePerS, seat, seats))
    const sum = parts.reduce((a, b) => a + b, 0)
    assert.ok(Math.abs(sum - 1) < 1e-9, `${seats} seats: ${sum}`)
  }
  assert.equal(sameDivision({ ratePerS: 100, seats: 64 }, { ratePerS: 500, seats: 64 }), true)
  assert.equal(sameDivision({ ratePerS: 100, seats: 64 }, { ratePerS: 100, seats: 65 }), false)
})

for (const [count, seats] of [[18, 64], [6700, 8192]] as const) {
  test(`a table stays below the store's limit with ${count} hosts`, () => {
    const hosts = Array.from({ length: count }, (_, at) => `proxy-host-with-a-long-name-${at}`)
    const range = partitionRange(hosts[0] as string, hosts, seats)
    const longest: PartitionTable = { seats: Array.from({ length: range.size }, () => holder(hosts[count - 1] as string, 'x'.repeat(36))) }
    assert.ok(JSON.stringify(longest).length < maxValueBytes / 10)
    assert.ok(range.hosts.includes(hosts[0] as string))
  })
}
