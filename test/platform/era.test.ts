// Real processes while the store returns from a copy.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { tokensPerEra } from '../../src/leader/index.js'
import type { Fleet } from '../../standins/fleet/set.js'
import { defaultKey, openSession, outputTail, startServingFleet } from '../support/fleet.js'
import { until } from '../support/until.js'

const newKey = 'second-key-of-bindery'
/** Longer than a confirmation is valid in the fleet. */
const watchedMs = 4000

type Answer = 'served' | 'unauthorized' | 'refused'

async function ask (fleet: Fleet, at: number, key: string, text: string): Promise<Answer> {
  const caller = await openSession(fleet, at, 'orders', key).catch((error: unknown) => String(error))
  if (typeof caller === 'string') return caller.includes('UNAUTH') ? 'unauthorized' : 'refused'
  const answer = await caller.query(text).catch(() => undefined)
  caller.disconnect()
  if (answer?.code === 'UNAUTH') return 'unauthorized'
  return answer?.signature === undefined ? 'refused' : 'served'
}

async function untilAnswered (fleet: Fleet, at: number, key: string, expected: Answer): Promise<void> {
  await until(`${expected} at ${fleet.proxies[at]?.name ?? ''}`, async () => await ask(fleet, at, key, 'WRITE era x') === expected ? true : undefined)
    .catch(error => { throw new Error(`${String(error)}\n${outputTail(fleet, at)}`) })
}

async function crashPrimary (fleet: Fleet, key: string): Promise<number> {
  const ordered = fleet.promotions().length
  const primary = fleet.servers.find(server => server.node.role === 'primary')
  await primary?.crash()
  await until('a promotion', () => fleet.promotions().length > ordered ? true : undefined)
  await untilAnswered(fleet, 1, key, 'served')
  await primary?.start()
  return fleet.promotions().at(-1)?.token ?? 0
}

// Guards against a withdrawn key, a second leader and a lost registration after a restore, also on a host that starts then.
test('after a restore of the store withdrawn keys stay withdrawn, fencing tokens rise, and all hosts register and serve', async t => {
  const fleet = await startServingFleet(t)
  const before = await crashPrimary(fleet, defaultKey)
  const copiedAtMs = Date.now()
  await delay(500)
  fleet.configure({ keys: { bindery: [newKey] } })
  await Promise.all(fleet.proxies.map(async (_, at) => { await untilAnswered(fleet, at, defaultKey, 'unauthorized') }))
  const { name } = await fleet.addProxy()
  await until(`${name} is registered`, () => fleet.store.get('hosts', name) === undefined ? undefined : true)

  fleet.store.restoreCopy(Date.now() - copiedAtMs)
  assert.equal(fleet.store.get('hosts', name), undefined)
  await fleet.addProxy()
  const untilMs = Date.now() + watchedMs
  while (Date.now() < untilMs) {
    const answers = await Promise.all(fleet.proxies.map(async (_, at) => await ask(fleet, at, defaultKey, 'READ era')))
    assert.equal(answers.includes('served'), false, `${answers.join()}\n${outputTail(fleet, answers.indexOf('served'))}`)
  }
  await Promise.all(fleet.proxies.map(async (_, at) => { await untilAnswered(fleet, at, newKey, 'served') }))
  assert.ok(fleet.proxies.slice(0, 3).every(proxy => proxy.output().some(line => line.includes('storeRestored'))))

  const after = await crashPrimary(fleet, newKey)
  assert.ok(after > before && after > tokensPerEra, `token ${after} after ${before}`)
  for (const proxy of fleet.proxies) await until(`${proxy.name} is registered`, () => fleet.store.get('hosts', proxy.name) === undefined ? undefined : true)
  assert.notEqual(fleet.store.get('seats', 'table.1'), undefined)
  fleet.configure({ keys: { bindery: [newKey] } })
  await Promise.all(fleet.proxies.map(async (_, at) => { await untilAnswered(fleet, at, newKey, 'served') }))
})
