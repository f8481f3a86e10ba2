// Start of a host while a dependency is unavailable.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { openCaller, startServingSet, proxyAt, untilServing } from '../support/local-set.js'

test('a host without seeds that starts while the platform is down serves once the platform answers', async t => {
  const set = await startServingSet(t, { settings: { peers: { seeds: [] } } })
  const late = proxyAt(set, 1)
  await set.platform.faults({ down: true })
  await late.process.kill()
  const restarted = await set.startProxy(late)
  await assert.rejects(openCaller(t, set, restarted), /unconfirmedConfiguration/)
  await set.platform.faults({ down: false })
  await untilServing(set, restarted)
})
