// What hosts do at rest and for each statement, counted on real processes.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { activityOf, outputLengths, runLoad, type HostActivity } from '../../standins/fleet/activity.js'
import { defaultFleetOptions, type Fleet, type FleetOptions } from '../../standins/fleet/set.js'
import { startServingFleet } from '../support/fleet.js'

const maxWakesPerS = 20
const maxQuotaCallsPerStatement = 0.1
/** Two reporting periods of 5 s, and the one in which the observation begins. */
const observedMs = 16_000
/** Libraries that are not needed to serve are loaded within this time of the start. */
const settleMs = 6000
const statementsPerS = 10

const accounts = Array.from({ length: 8 }, (_, at) => `account-${at}`)

/** Hosts with the deployed periods; each account has a small share of the load. */
const options: Partial<FleetOptions> = {
  hosts: 6,
  pace: 'deployed',
  configuration: { ...defaultFleetOptions.configuration, keys: { bindery: ['key-of-bindery'], ...Object.fromEntries(accounts.map(name => [name, [`key-of-${name}`]])) }, ratePerS: 40, burst: 40 }
}

/** Only the first host of each zone is capable, so the others own no quota partition. */
const unequalOptions: Partial<FleetOptions> = { ...options, cpuShares: [1, 1, 1, 0.25, 0.25, 0.25] }

async function observe (fleet: Fleet, work: () => Promise<void>): Promise<HostActivity> {
  await delay(settleMs)
  const from = outputLengths(fleet)
  await work()
  return activityOf(fleet, from)
}

function textOf ({ countsPerS }: HostActivity): string {
  return [...countsPerS].sort(([, a], [, b]) => b - a).map(([name, perS]) => `${name} ${perS.toFixed(2)}`).join(', ')
}

// Guards against SHORT: hosts used their processors up with timers and calls while nothing was asked of them.
test('a host at rest wakes at most 20 times a second', async t => {
  const fleet = await startServingFleet(t, options)
  const rest = await observe(fleet, async () => { await delay(observedMs) })
  assert.ok(rest.wakesPerS <= maxWakesPerS, `${rest.wakesPerS.toFixed(1)} wakes a second: ${textOf(rest)}`)
})

// Guards against SHORT: nearly each statement of an account with a small share of a host's load borrowed its token.
test('a statement takes at most 0.1 calls for quota', async t => {
  const fleet = await startServingFleet(t, options)
  const work = await observe(fleet, async () => { await runLoad(fleet, { statementsPerS, keys: accounts.map(name => `key-of-${name}`) }, observedMs) })
  const calls = (work.countsPerS.get('peerCall borrow') ?? 0) / work.statementsPerS
  assert.ok(calls <= maxQuotaCallsPerStatement, `${calls.toFixed(2)} calls a statement: ${textOf(work)}`)
})

// Guards against SHORT: hosts without quota partitions borrowed a token for nearly each statement.
test('a statement takes at most 0.1 calls for quota in a fleet of unequal hosts', async t => {
  const fleet = await startServingFleet(t, unequalOptions)
  const work = await observe(fleet, async () => { await runLoad(fleet, { statementsPerS, keys: accounts.map(name => `key-of-${name}`) }, observedMs) })
  const calls = (work.countsPerS.get('peerCall borrow') ?? 0) / work.statementsPerS
  assert.ok(calls <= maxQuotaCallsPerStatement, `${calls.toFixed(2)} calls a statement: ${textOf(work)}`)
})
