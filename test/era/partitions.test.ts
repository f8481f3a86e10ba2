// Quota partitions while the store returns from copies.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { confirmWithinMs, eraFleet, type FleetEvent } from '../support/era-fleet.js'

const hosts = ['a', 'b', 'c']
const endMs = 60_000
const away = (kind: 'storeLost' | 'peersLost' | 'paused' | 'leaving', maxMs: number) => fc.record({ kind: fc.constant(kind), host: fc.nat(hosts.length - 1), forMs: fc.nat(maxMs) })
const events = fc.array(fc.record({
  atMs: fc.integer({ min: 5000, max: 40_000 }),
  event: fc.oneof(
    fc.record({ kind: fc.constant('restore' as const), ageMs: fc.nat(20_000) }),
    away('storeLost', 20_000), away('storeLost', 20_000), away('peersLost', 8000), away('paused', 8000), away('leaving', 20_000), away('leaving', 20_000)
  )
}), { minLength: 2, maxLength: 12 })
const delays = fc.array(fc.oneof({ weight: 6, arbitrary: fc.nat(300) }, { weight: 1, arbitrary: fc.nat(6000) }), { minLength: 10, maxLength: 40 })

// Guards against a limit that is exceeded: a partition that moved before a restore is used by both its owners.
test('over restores, late writes, cut-off and paused hosts no partition has two users', () => {
  fc.assert(fc.property(events, delays, (occurrences, lateMs) => {
    let next = 0
    const fleet = eraFleet(hosts, () => lateMs[next++ % lateMs.length] ?? 0)
    while (fleet.now() < endMs) {
      for (const { atMs, event } of occurrences) if (Math.floor(atMs / 100) * 100 === fleet.now()) fleet.apply(event)
      fleet.pass()
      for (const partition of fleet.partitions) assert.ok(fleet.users(partition).length <= 1, `partition ${partition} at ${fleet.now()}: ${fleet.users(partition).join()}`)
    }
  }), { numRuns: 100 })
})

function played (untilMs: number, events: ReadonlyArray<readonly [number, FleetEvent]>): ReturnType<typeof eraFleet> {
  const fleet = eraFleet(hosts, () => 10)
  while (fleet.now() < untilMs) {
    for (const [atMs, event] of events) if (atMs === fleet.now()) fleet.apply(event)
    fleet.pass()
    for (const partition of fleet.partitions) assert.ok(fleet.users(partition).length <= 1, `partition ${partition} at ${fleet.now()}`)
  }
  return fleet
}

/** The first host leaves, its partitions move, and the store returns to the time before; the second host has lost the store. */
const moved: ReadonlyArray<readonly [number, FleetEvent]> = [
  [15_000, { kind: 'leaving', host: 0, forMs: 15_000 }],
  [29_800, { kind: 'storeLost', host: 1, forMs: 25_000 }],
  [30_000, { kind: 'restore', ageMs: 15_500 }]
]

const hidden: ReadonlyArray<readonly [string, readonly FleetEvent[]]> = [
  ['no host', []],
  ['all peers for less than the validity of a confirmation', [{ kind: 'peersLost', host: 1, forMs: 3500 }]],
  ['its own process', [{ kind: 'paused', host: 1, forMs: 3500 }]],
  ['a majority that lost the store, too', [{ kind: 'storeLost', host: 2, forMs: 25_000 }, { kind: 'peersLost', host: 0, forMs: 25_000 }]]
]

for (const [from, losses] of hidden) {
  // Guards against a second user: the host goes on using what it acquired in the time that is lost.
  test(`a host that lost the store stops using what the copy gives to another host in time, also where the new era is hidden by ${from}`, () => {
    const fleet = played(90_000, [...moved, ...losses.map((event): readonly [number, FleetEvent] => [29_900, event])])
    for (const partition of fleet.partitions) assert.equal(fleet.users(partition).length, 1, `partition ${partition}`)
  })
}

// Guards against refusals after each restore: partitions that did not move stay in use.
test('partitions that the copy leaves with their owner are used without a pause', () => {
  const fleet = played(15_000, [])
  fleet.apply({ kind: 'restore', ageMs: 100 })
  while (fleet.now() < 25_000) {
    fleet.pass()
    for (const partition of fleet.partitions) assert.equal(fleet.users(partition).length, 1, `partition ${partition} at ${fleet.now()}`)
  }
})

// Guards against quota that is lost for good, or for longer than PLATFORM.md says.
test('partitions that moved are used again once the era is settled', () => {
  const fleet = played(30_000 + 2 * confirmWithinMs + 6000, moved.filter(([, { kind }]) => kind !== 'storeLost'))
  for (const partition of fleet.partitions) assert.equal(fleet.users(partition).length, 1, `partition ${partition}`)
})
