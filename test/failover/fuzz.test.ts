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
  | { readonly kind: 'restartDispatcher', readonly dispatcher: number }
  | { readonly kind: 'decommission', readonly server: number }
  | { readonly kind: 'heal' }

type Step = { readonly fault: Fault, readonly forMs: number }

type Plan = { readonly sameRank: boolean, readonly seed: number, readonly steps: readonly Step[] }

const dispatcherCount = 3
const actionIntervalMs = 15
const recoveryMs = 6000

function plans (servers: number): fc.Arbitrary<Plan> {
  const node = fc.nat(servers + dispatcherCount - 1)
  const fault: fc.Arbitrary<Fault> = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('cut' as const), a: node, b: node }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('isolate' as const), node }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('pause' as const), node }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), server: fc.nat(servers - 1) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartDispatcher' as const), dispatcher: fc.nat(dispatcherCount - 1) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('decommission' as const), server: fc.nat(servers) }) },
    { weight: 6, arbitrary: fc.constant({ kind: 'heal' as const }) }
  )
  const step = fc.record({ fault, forMs: fc.integer({ min: 20, max: 1500 }) })
  return fc.record({ sameRank: fc.boolean(), seed: fc.nat(1_000_000), steps: fc.array(step, { minLength: 4, maxLength: 14 }) })
}

function applyFault (simulation: Simulation, fault: Fault): void {
  const nodeAt = (index: number): string => simulation.nodes[index] ?? ''
  switch (fault.kind) {
    case 'cut': return simulation.cut(nodeAt(fault.a), nodeAt(fault.b))
    case 'isolate': return simulation.isolate(nodeAt(fault.node))
    case 'pause': return simulation.pause(nodeAt(fault.node))
    case 'kill': return simulation.kill(nodeAt(fault.server))
    case 'restartDispatcher': return simulation.dispatchers[fault.dispatcher]?.restart()
    case 'decommission': {
      for (const dispatcher of simulation.dispatchers) dispatcher.declareDecommissioning(simulation.serverNames[fault.server])
      return
    }
    case 'heal': return simulation.heal()
  }
}

/** Writes and reads through random dispatchers for a while. */
function runWorkload (simulation: Simulation, durationMs: number): void {
  for (let leftMs = durationMs; leftMs > 0; leftMs -= actionIntervalMs) {
    const dispatcher = simulation.dispatchers[Math.floor(simulation.random() * simulation.dispatchers.length)]
    if (simulation.random() < 0.6) dispatcher?.write()
    if (simulation.random() < 0.4) dispatcher?.openSession()
    if (simulation.random() < 0.4) dispatcher?.readWithStaleness([30, 150, 600][Math.floor(simulation.random() * 3)] ?? 0)
    simulation.advance(Math.min(leftMs, actionIntervalMs))
  }
}

function runPlan (servers: number, plan: Plan): Simulation {
  const simulation = new Simulation({ servers, dispatchers: dispatcherCount, seed: plan.seed, sameRank: plan.sameRank })
  runWorkload(simulation, 1000)
  for (const step of plan.steps) {
    applyFault(simulation, step.fault)
    runWorkload(simulation, step.forMs)
  }
  simulation.heal()
  runWorkload(simulation, recoveryMs)
  return simulation
}

function checkRecovered (simulation: Simulation, plan: Plan): void {
  const last = plan.steps.map(step => step.fault).findLast(fault => fault.kind === 'decommission')
  const decommissioned = last === undefined ? undefined : simulation.serverNames[last.server]
  for (const dispatcher of simulation.dispatchers) assert.ok(dispatcher.primary !== undefined && dispatcher.primary !== decommissioned, `${dispatcher.primary} is primary at ${dispatcher.name}`)
  const countBefore = simulation.oracle.acknowledged.length
  runWorkload(simulation, 500)
  assert.ok(simulation.oracle.acknowledged.length > countBefore, 'no write is acknowledged after the faults have ended')
  simulation.advance(1000)
  for (const server of simulation.serverNames) {
    for (const { position } of simulation.oracle.acknowledged) {
      assert.ok(holdsPosition(simulation.ledger(server).log, position), `${server} never received (${position.term}, ${position.index})`)
    }
  }
}

for (const [servers, seed, numRuns] of [[3, 11, 40], [5, 12, 20]] as const) {
  test(`${servers} servers lose no acknowledged write, keep one primary per term and recover`, () => {
    fc.assert(fc.property(plans(servers), plan => { checkRecovered(runPlan(servers, plan), plan) }), { seed, numRuns, endOnFailure: true })
  })
}

test('two dispatchers that propose at once, each reaching a majority, promote one server per term', () => {
  fc.assert(fc.property(fc.nat(1_000_000), seed => {
    const simulation = new Simulation({ servers: 3, dispatchers: 2, seed, sameRank: true })
    simulation.cut('h0', 's2')
    simulation.cut('h1', 's0')
    runWorkload(simulation, 1500)
    assert.ok(simulation.oracle.promotions > 0, 'no server was promoted')
    simulation.heal()
    runWorkload(simulation, 1500)
    assert.ok(simulation.oracle.acknowledged.length > 0, 'no write is acknowledged')
  }), { seed: 13, numRuns: 60, endOnFailure: true })
})
