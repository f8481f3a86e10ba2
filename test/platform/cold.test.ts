// Cold servers and their configuration, with real processes.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { decodeConfiguration } from '../../platform/configuration.js'
import { defaultFleetOptions } from '../../standins/fleet/set.js'
import { openSession, startServingFleet } from '../support/fleet.js'
import { until } from '../support/until.js'

const coldMs = 30_000
const countedMs = 4000
const boundPerS = 8
/** Windows of the limit that overlap the counted time, one more for each end. */
const windows = Math.ceil(countedMs / 1000) + 2

// Guards against a cold server that gets its whole share of the load.
test('a server that registers as cold gets at most its bound, and the others serve the rest', async t => {
  const { configuration, bounds } = defaultFleetOptions
  const fleet = await startServingFleet(t, { configuration: { ...configuration, cold: { forS: 30, perS: 4 } }, bounds: { ...bounds, cold: { excess: 1.5, slack: 2 } } })
  const [, replica] = fleet.servers
  assert.ok(replica !== undefined)
  fleet.register(replica, 'ready', coldMs)
  await until('its limit is in force', async () => {
    const caller = await openSession(fleet, 1, 'lookup')
    await caller.query('READ one')
    caller.disconnect()
    return fleet.proxies.some(proxy => proxy.output().some(line => line.includes('"coldLimitChanged"'))) ? true : undefined
  })
  const callers = await Promise.all([0, 1, 2, 0, 1, 2].map(async at => await openSession(fleet, at, 'lookup')))
  const before = replica.runs.length
  const untilMs = performance.now() + countedMs
  const answered = await Promise.all(callers.map(async caller => {
    let count = 0
    while (performance.now() < untilMs) {
      count += (await caller.query('READ one')).signature === undefined ? 0 : 1
      await delay(5)
    }
    return count
  }))
  const cold = replica.runs.length - before
  assert.ok(cold > 0 && cold <= windows * boundPerS, `${cold} statements`)
  assert.ok(answered.reduce((sum, count) => sum + count, 0) > cold)
})

// Guards against a configuration that is refused as a whole, or a bound that is in force, because of an odd value.
test('odd values of the bound count as none, and the rest of the configuration is used', () => {
  const decode = (fields: object): unknown => decodeConfiguration({ Version: 1, Routes: [], Services: [{ Name: 'ledger', MaxConns: 60, ...fields }], Tenants: [] })?.manifest.databases
  const plain = { name: 'ledger', servers: [], state: 'active', maxConnections: 60 }
  assert.deepEqual(decode({ ColdS: 20, ColdPerS: 3.5 }), [{ ...plain, coldS: 20, coldPerS: 3.5 }])
  for (const odd of [-1, 1e300, '4', null]) assert.deepEqual(decode({ ColdS: odd, ColdPerS: odd }), [plain])
})
