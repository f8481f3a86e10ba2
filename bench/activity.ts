// Prints what a host does at rest and at a small load, with the deployed periods:
// processor time, wakes, and timers and calls by kind. The counts repeat well; the
// processor time depends on the machine and on what else runs there.

import { setTimeout as delay } from 'node:timers/promises'
import { activityOf, outputLengths, runLoad, type HostActivity } from '../standins/fleet/activity.js'
import { defaultFleetOptions, startFleet, type Fleet } from '../standins/fleet/set.js'

const hosts = 6
const statementsPerS = 10
/** What a start leaves to do is done by then. */
const settleMs = 10_000
const observedMs = 26_000
const maxListed = 12

const accounts = Array.from({ length: 8 }, (_, at) => `account-${at}`)

async function observe (fleet: Fleet, work: () => Promise<void>): Promise<HostActivity> {
  const from = outputLengths(fleet)
  await work()
  return activityOf(fleet, from)
}

function print (title: string, activity: HostActivity): void {
  const { cpuMsPerS, wakesPerS, statementsPerS: served, countsPerS } = activity
  console.log(`${title}, a host and second: ${cpuMsPerS.toFixed(1)} ms of processor time, ${wakesPerS.toFixed(1)} wakes, ${served.toFixed(2)} statements`)
  const counts = [...countsPerS].sort(([, a], [, b]) => b - a).slice(0, maxListed)
  for (const [name, perS] of counts) console.log(`  ${perS.toFixed(2).padStart(8)} ${name}${served === 0 ? '' : `, ${(perS / served).toFixed(2)} a statement`}`)
}

const keys = Object.fromEntries(accounts.map(name => [name, [`key-of-${name}`]]))
const fleet = await startFleet({ hosts, pace: 'deployed', configuration: { ...defaultFleetOptions.configuration, keys, ratePerS: 40, burst: 40 } })
try {
  await delay(settleMs)
  print('at rest', await observe(fleet, async () => { await delay(observedMs) }))
  print('at work', await observe(fleet, async () => { await runLoad(fleet, { statementsPerS, keys: Object.values(keys).flat() }, observedMs) }))
} finally {
  await fleet.stop()
}
