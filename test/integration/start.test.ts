// Hosts that start while something is missing.

import assert from 'node:assert/strict'
import { appendFileSync } from 'node:fs'
import { test } from 'node:test'
import { callerOf, localSet, proxyAt, untilServing } from '../support/local-set.js'

test('a replaced host finds the fleet through its seeds while the store is out', async t => {
  const set = await localSet(t)
  const replaced = proxyAt(set, 2)
  await set.platform.faults({ down: true })
  await replaced.process.kill()
  appendFileSync(replaced.settingsFile, `\n[peers]\nseeds = ["${proxyAt(set, 0).peer.ip}:${proxyAt(set, 0).peer.port}"]\n`)
  const fresh = await set.startProxy(replaced)
  await untilServing(set, fresh)
  const caller = await callerOf(t, set, fresh)
  assert.equal(await caller.changed('INSERT INTO tills VALUES (1, "x", 1)'), 1)
})

test('a host that starts before the platform answers serves once it does', async t => {
  const set = await localSet(t)
  const late = proxyAt(set, 1)
  await set.platform.faults({ down: true })
  await late.process.kill()
  const fresh = await set.startProxy(late)
  await assert.rejects(callerOf(t, set, fresh), /unconfirmedConfiguration/)
  await set.platform.faults({ down: false })
  await untilServing(set, fresh)
})
