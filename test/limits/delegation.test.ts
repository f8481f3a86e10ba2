import assert from 'node:assert/strict'
import { test } from 'node:test'
import { accountOf } from '../../src/limits/accounts.js'
import { confirmedUntil, initialLimits, limitsStep, type AdmissionMode, type LimitsEvent, type LimitsState } from '../../src/limits/index.js'
import { delegationPauseMs } from '../../src/limits/settings.js'
import type { Member } from '../../src/members/index.js'
import { accountsManifest, limitFleet, randomFrom } from '../support/limit-fleet.js'

/** State of h0, which owns no partition, or one, and is not the account's coordinator. */
function delegatingHost (owned: readonly number[], owners: ReadonlyMap<number, string>): LimitsState {
  const others = ['h1', 'h2'].map((host, at): Member => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: at, capacityCores: 1 }))
  return after(initialLimits('h0', 0), [
    { kind: 'confirmationChanged', confirmation: confirmedUntil(100_000), nowMs: 0 },
    { kind: 'membersChanged', live: others, nowMs: 0 },
    { kind: 'manifestApplied', manifest: accountsManifest(8, [{ name: 'mill', ratePerS: 40, burst: 40 }]), nowMs: 0 },
    { kind: 'partitionsChanged', owned, reacquired: new Set(), owners, tableReadSentMs: 0, nowMs: 0 }
  ])
}

function after (state: LimitsState, events: readonly LimitsEvent[]): LimitsState {
  return events.reduce((current, event) => limitsStep(current, event).state, state)
}

function effectsOf (state: LimitsState, mode: AdmissionMode, nowMs: number): readonly string[] {
  return limitsStep(state, { kind: 'admit', account: 'mill', id: 'r', deadlineMs: Infinity, mode, nowMs }).effects.map(({ kind }) => kind)
}

const ownedByOthers = new Map([[0, 'h1'], [1, 'h2']])

// Guards against SHORT: a host without partitions borrowed a token for nearly each statement.
test('a host without partitions delegates; it borrows for the account after a refusal, and then delegates again', () => {
  const state = delegatingHost([], ownedByOthers)
  assert.deepEqual(effectsOf(state, 'delegable', 1), ['delegated'])
  assert.deepEqual(effectsOf(state, 'local', 1), ['borrow'])
  const refused = after(state, [{ kind: 'delegationRefused', account: 'mill', nowMs: 1 }])
  assert.deepEqual(effectsOf(refused, 'delegable', 2), ['borrow'])
  assert.deepEqual(effectsOf(refused, 'delegable', 1 + delegationPauseMs), ['delegated'])
})

test('a host that delegates has no demand, so that it borrows no tokens ahead', () => {
  const admit = (nowMs: number): LimitsEvent => ({ kind: 'admit', account: 'mill', id: 'r', deadlineMs: Infinity, mode: 'delegable', nowMs })
  const state = after(delegatingHost([], ownedByOthers), Array.from({ length: 50 }, (_, at) => admit(10 * at)))
  assert.equal(accountOf(state.accounts, 'mill')?.demand.ratePerS, 0)
  assert.deepEqual(limitsStep(state, { kind: 'tick', nowMs: 600 }).effects, [])
})

// Guards against a change of small fleets in which all hosts own partitions.
test('a host that owns a partition, does not know the owners, or is not confirmed delegates nothing', () => {
  assert.deepEqual(effectsOf(delegatingHost([0], new Map([[0, 'h0'], [1, 'h1']])), 'delegable', 1), ['borrow'])
  assert.deepEqual(effectsOf(delegatingHost([], new Map()), 'delegable', 1), ['borrow'])
  assert.deepEqual(effectsOf(delegatingHost([], ownedByOthers), 'delegable', 100_000), ['refused'])
})

test('a host without a confirmation refuses a delegated statement for that reason', () => {
  const { effects } = limitsStep(delegatingHost([], ownedByOthers), { kind: 'admit', account: 'mill', id: 'r', deadlineMs: Infinity, mode: 'delegated', nowMs: 100_000 })
  assert.deepEqual(effects.map(effect => effect.kind === 'refused' ? effect.cause : effect.kind), ['unconfirmed'])
})

// Guards against SHORT: statements of hosts without partitions cost calls for quota.
test('in a fleet of which few hosts own partitions, a statement takes at most 0.1 calls for quota at 40% of the rates', () => {
  const accounts = Array.from({ length: 8 }, (_, at) => ({ name: `account-${at}`, ratePerS: 40, burst: 40 }))
  const fleet = limitFleet({ hosts: 28, capableHosts: 6, seed: 1, manifest: accountsManifest(64, accounts) })
  const random = randomFrom(3)
  const pick = (count: number): number => Math.floor(count * random())
  for (let atMs = 6000; atMs < 66_000; atMs -= Math.log(1 - random()) * 1000 / 128) {
    const [entry, dispatcher, account] = [`h${pick(28)}`, `h${pick(6)}`, `account-${pick(8)}`]
    fleet.at(atMs, () => { fleet.requestVia(entry, dispatcher, account) })
  }
  fleet.run(67_000)
  assert.ok(fleet.counts.messages / 2 <= 0.1 * fleet.counts.requests, `${fleet.counts.messages / 2} calls for ${fleet.counts.requests} statements`)
  assert.equal(fleet.results.filter(({ isAdmitted }) => !isAdmitted).length, 0)
})

// Guards against late refusals: a delegated request has spent a hop before it waits.
test('a delegated request above the rate is refused at least as soon as a borrowing one', () => {
  const refusalMs = (isDelegated: boolean): number => {
    const fleet = limitFleet({ hosts: 6, capableHosts: 2, seed: 1, manifest: accountsManifest(16, [{ name: 'mill', ratePerS: 1, burst: 1 }]) })
    for (let at = 0; at < 20; at += 1) {
      fleet.at(10_000 + 1200 * at, () => { for (let count = 0; count < 8; count += 1) isDelegated ? fleet.requestVia('h5', 'h0', 'mill') : fleet.request('h5', 'mill') })
    }
    fleet.run(40_000)
    const waits = fleet.results.filter(({ isAdmitted }) => !isAdmitted).map(({ atMs, requestedMs }) => atMs - requestedMs)
    return waits.reduce((sum, waitMs) => sum + waitMs, 0) / waits.length
  }
  assert.ok(refusalMs(true) <= refusalMs(false), `${refusalMs(true)} ms, borrowing ${refusalMs(false)} ms`)
})
