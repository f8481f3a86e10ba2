// Stateful fuzzing of the limits against two oracles: a single token bucket for
// the whole fleet, which checks the admissions, and the sum of the quota
// available on all hosts at any moment, which detects quota that two hosts hold
// at once even before too many requests are admitted. Where only some hosts own
// partitions, the others delegate admissions to dispatchers.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { advanced } from '../../src/limits/account.js'
import { accountOf } from '../../src/limits/accounts.js'
import type { QuotaLayout } from '../../src/limits/index.js'
import { addQuotas, noQuota } from '../../src/limits/quota.js'
import { accountsManifest, capExceeded, limitFleet, type Fleet, type Link } from '../support/limit-fleet.js'
import { partitionStore } from '../support/partition-store.js'

const hosts = 5
const accounts = [{ name: 'mill', ratePerS: 50, burst: 60 }, { name: 'inn', ratePerS: 20, burst: 8 }] as const
/** Maximum relative clock error; the oracle's rate is increased accordingly. */
const drift = 5e-3
const startMs = 12_000

const host = fc.nat({ max: hosts - 1 })
const action = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('burst' as const), host, account: fc.nat({ max: 1 }), count: fc.integer({ min: 1, max: 80 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('flow' as const), host, account: fc.nat({ max: 1 }), ratePerS: fc.integer({ min: 5, max: 200 }), forMs: fc.integer({ min: 200, max: 4000 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('delegated' as const), host, dispatcher: host, account: fc.nat({ max: 1 }), count: fc.integer({ min: 1, max: 80 }), gapMs: fc.constantFrom(0, 5, 50) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('cut' as const), host, peer: host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('network' as const), lossRate: fc.constantFrom(0, 0.1, 0.5), delayMs: fc.constantFrom(1, 40, 700) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pause' as const), host }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('resume' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), host }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('restart' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutOff' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('reconnect' as const), host }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('stop' as const), host }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('members' as const), host, live: fc.subarray([0, 1, 2, 3, 4], { minLength: 1 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('store' as const), isDown: fc.boolean(), lostFraction: fc.constantFrom(0, 0.5), lateFraction: fc.constantFrom(0, 0.5) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('wait' as const), forMs: fc.constantFrom(50, 500, 3000, 12_000) }) }
)
type Action = typeof action extends fc.Arbitrary<infer A> ? A : never

const sampleMs = 25

/**
 * Computes by which fraction the quota available on all hosts exceeds an
 * account's limit at this moment.
 */
function overAllocation (fleet: Fleet): number {
  return Math.max(...accounts.map(({ name, ratePerS, burst }) => {
    const sum = fleet.names.filter(fleet.isUp).map(host => {
      const { accounts: states, confirmation: { confirmedUntilMs } } = fleet.stateOf(host)
      const state = accountOf(states, name)
      const nowMs = fleet.clock(host)
      return state === undefined || nowMs >= confirmedUntilMs ? noQuota : advanced(state, nowMs).available
    }).reduce(addQuotas, noQuota)
    return Math.max(sum.ratePerS / ratePerS, sum.capacity / burst) - 1
  }))
}

type FuzzResult = { readonly excessTokens: number, readonly overAllocation: number }

/** Number of hosts that own partitions, and their layout. */
type FuzzFleet = { readonly capableHosts: number, readonly layout: QuotaLayout }

/** Performs the actions and returns the largest excess over the limits. */
function runActions (actions: readonly Action[], seed: number, { capableHosts, layout }: FuzzFleet): FuzzResult {
  const cuts = new Set<string>()
  let network: Link = { isCut: false, lossRate: 0, delayMs: 1 }
  const fleet = limitFleet({
    hosts,
    capableHosts,
    layout,
    seed,
    drift,
    manifest: accountsManifest(12, accounts),
    link: (from, to) => ({ ...network, isCut: cuts.has(`${from}/${to}`) }),
    assignsPartitions: false,
    isConfirmed: false
  })
  const store = partitionStore(fleet, { partitionCount: 12, confirmationMs: 5000, listLagMs: 3000 })
  let maxOverAllocation = 0
  const sample = (): void => {
    maxOverAllocation = Math.max(maxOverAllocation, overAllocation(fleet))
    fleet.at(fleet.now() + sampleMs, sample)
  }
  sample()
  const down = new Set<string>()
  const paused = new Set<string>()
  const nameOf = (at: number): string => `h${at}`
  const perform = (next: Action): void => {
    switch (next.kind) {
      case 'burst': {
        for (let count = 0; count < next.count; count += 1) fleet.request(nameOf(next.host), accounts[next.account]?.name ?? 'mill')
        return
      }
      case 'flow': {
        const gapMs = 1000 / next.ratePerS
        for (let inMs = 0; inMs < next.forMs; inMs += gapMs) fleet.at(fleet.now() + inMs, () => fleet.request(nameOf(next.host), accounts[next.account]?.name ?? 'mill'))
        return
      }
      case 'delegated': {
        for (let count = 0; count < next.count; count += 1) fleet.at(fleet.now() + count * next.gapMs, () => fleet.requestVia(nameOf(next.host), nameOf(next.dispatcher), accounts[next.account]?.name ?? 'mill'))
        return
      }
      case 'cut': {
        const link = `${nameOf(next.host)}/${nameOf(next.peer)}`
        if (!cuts.delete(link)) cuts.add(link)
        return
      }
      case 'network': { network = { isCut: false, lossRate: next.lossRate, delayMs: next.delayMs }; return }
      case 'pause': {
        if (down.has(nameOf(next.host)) || paused.has(nameOf(next.host))) return
        paused.add(nameOf(next.host))
        return store.pause(nameOf(next.host))
      }
      case 'resume': {
        if (paused.delete(nameOf(next.host))) store.resume(nameOf(next.host))
        return
      }
      case 'kill': {
        if (down.has(nameOf(next.host))) return
        down.add(nameOf(next.host))
        paused.delete(nameOf(next.host))
        return store.kill(nameOf(next.host))
      }
      case 'restart': {
        if (down.delete(nameOf(next.host))) store.restart(nameOf(next.host))
        return
      }
      case 'cutOff': return store.cutOff(nameOf(next.host))
      case 'reconnect': return store.reconnect(nameOf(next.host))
      case 'stop': return store.stop(nameOf(next.host))
      case 'members': return fleet.setMembers(nameOf(next.host), next.live.map(nameOf))
      case 'store': return store.setFaults(next)
      case 'wait': return fleet.run(fleet.now() + next.forMs)
    }
  }
  fleet.run(startMs)
  for (const next of actions) {
    perform(next)
    fleet.run(fleet.now() + 20)
  }
  for (const name of paused) store.resume(name)
  fleet.run(fleet.now() + 6000)
  const excess = accounts.map(({ name, ratePerS, burst }) => capExceeded(fleet.results, name, ratePerS * (1 + 2 * drift), burst))
  return { excessTokens: Math.max(...excess), overAllocation: maxOverAllocation }
}

for (const [seed, capableHosts, layout] of [[11, hosts, 'spread'], [12, hosts, 'spread'], [13, hosts, 'spread'], [14, 2, 'spread'], [15, 3, 'spread'], [16, hosts, 'concentrated'], [17, 3, 'concentrated']] as const) {
  test(`no account exceeds burst + rate * window under any fault (seed ${seed}, partitions ${layout} on ${capableHosts} hosts)`, () => {
    fc.assert(fc.property(fc.array(action, { minLength: 10, maxLength: 60, size: 'max' }), fc.integer(), (actions, simulationSeed) => {
      const result = runActions(actions, simulationSeed, { capableHosts, layout })
      assert.ok(result.excessTokens < 1e-3, `${result.excessTokens} tokens above the limit`)
      assert.ok(result.overAllocation < 1e-6, `${result.overAllocation} of a limit allocated twice`)
    }), { seed, numRuns: 60, endOnFailure: true })
  })
}
