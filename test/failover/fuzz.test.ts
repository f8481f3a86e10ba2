import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { holdsPosition } from '../../standins/database/log.js'
import { Simulation } from './simulation.js'

type Fault =
  | { readonly kind: 'cut', readonly a: number, readonly b: number }
  | { readonly kind: 'isolate', readonly node: number }
  | { readonly kind: 'pause', readonly node: number }
  | { readonly kind: 'kill', readonly server: number }
  | { readonly kind: 'restartHome', readonly home: number }
  | { readonly kind: 'leave', readonly server: number }
  | { readonly kind: 'heal' }

type Step = { readonly fault: Fault, readonly forMs: number }

type Plan = { readonly sameRank: boolean, readonly seed: number, readonly steps: readonly Step[] }

const homeCount = 3
const betweenActionsMs = 15
const recoveryMs = 6000

function plans (servers: number): fc.Arbitrary<Plan> {
  const node = fc.nat(servers + homeCount - 1)
  const fault: fc.Arbitrary<Fault> = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('cut' as const), a: node, b: node }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('isolate' as const), node }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('pause' as const), node }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), server: fc.nat(servers - 1) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartHome' as const), home: fc.nat(homeCount - 1) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('leave' as const), server: fc.nat(servers) }) },
    { weight: 6, arbitrary: fc.constant({ kind: 'heal' as const }) }
  )
  const step = fc.record({ fault, forMs: fc.integer({ min: 20, max: 1500 }) })
  return fc.record({ sameRank: fc.boolean(), seed: fc.nat(1_000_000), steps: fc.array(step, { minLength: 4, maxLength: 14 }) })
}

function apply (world: Simulation, fault: Fault): void {
  const nodeAt = (index: number): string => world.nodes[index] ?? ''
  switch (fault.kind) {
    case 'cut': return world.cut(nodeAt(fault.a), nodeAt(fault.b))
    case 'isolate': return world.isolate(nodeAt(fault.node))
    case 'pause': return world.pause(nodeAt(fault.node))
    case 'kill': return world.kill(nodeAt(fault.server))
    case 'restartHome': return world.dispatchers[fault.home]?.restart()
    case 'leave': {
      for (const home of world.dispatchers) home.declareDecommissioning(world.serverNames[fault.server])
      return
    }
    case 'heal': return world.heal()
  }
}

/** Lets callers write and read through every home for a time. */
function work (world: Simulation, durationMs: number): void {
  for (let leftMs = durationMs; leftMs > 0; leftMs -= betweenActionsMs) {
    const home = world.dispatchers[Math.floor(world.draw() * world.dispatchers.length)]
    if (world.draw() < 0.6) home?.write()
    if (world.draw() < 0.4) home?.openSession()
    if (world.draw() < 0.4) home?.readWithStaleness([30, 150, 600][Math.floor(world.draw() * 3)] ?? 0)
    world.advance(Math.min(leftMs, betweenActionsMs))
  }
}

function play (servers: number, plan: Plan): Simulation {
  const world = new Simulation({ servers, dispatchers: homeCount, seed: plan.seed, sameRank: plan.sameRank })
  work(world, 1000)
  for (const step of plan.steps) {
    apply(world, step.fault)
    work(world, step.forMs)
  }
  world.heal()
  work(world, recoveryMs)
  return world
}

function checkRecovered (world: Simulation, plan: Plan): void {
  const left = plan.steps.map(step => step.fault).findLast(fault => fault.kind === 'leave')
  const leaving = left === undefined ? undefined : world.serverNames[left.server]
  for (const home of world.dispatchers) assert.ok(home.primary !== undefined && home.primary !== leaving, `${home.primary} leads at ${home.name}`)
  const before = world.oracle.acknowledged.length
  work(world, 500)
  assert.ok(world.oracle.acknowledged.length > before, 'no write is acknowledged after the faults have ended')
  world.advance(1000)
  for (const server of world.serverNames) {
    for (const { position } of world.oracle.acknowledged) {
      assert.ok(holdsPosition(world.ledger(server).log, position), `${server} never received (${position.term}, ${position.index})`)
    }
  }
}

for (const [servers, seed, numRuns] of [[3, 11, 40], [5, 12, 20]] as const) {
  test(`${servers} servers lose no acknowledged write, keep one primary a term and recover`, () => {
    fc.assert(fc.property(plans(servers), plan => { checkRecovered(play(servers, plan), plan) }), { seed, numRuns, endOnFailure: true })
  })
}

test('two homes that propose at once, each with a majority in reach, promote one server a term', () => {
  fc.assert(fc.property(fc.nat(1_000_000), seed => {
    const world = new Simulation({ servers: 3, dispatchers: 2, seed, sameRank: true })
    world.cut('h0', 's2')
    world.cut('h1', 's0')
    work(world, 1500)
    assert.ok(world.oracle.promotions > 0, 'nobody was promoted')
    world.heal()
    work(world, 1500)
    assert.ok(world.oracle.acknowledged.length > 0, 'no write is acknowledged')
  }), { seed: 13, numRuns: 60, endOnFailure: true })
})
