import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { Port } from '../../src/pipe/index.js'
import { emptyPlatform, stepPlatform, type PlatformAnswer, type PlatformEffect, type PlatformMessage, type PlatformState } from '../../standins/platform/state.js'
import { platformFixture } from '../support/standins.js'
import { until } from '../support/until.js'

const hosts = [{ host: 'p1', failureDomain: 'medina', ip: '127.0.0.1', port: 1, state: 'live' }] as const
const ignoredPort: Port<PlatformAnswer> = { send: () => 'accepted' }

/** Status of each answer that a message causes, `lost` for a closed connection. */
function answers (effects: readonly PlatformEffect[]): ReadonlyArray<number | 'lost'> {
  return effects.flatMap(effect => effect.kind === 'answer' ? [effect.answer.kind === 'lost' ? 'lost' : effect.answer.status] : [])
}

function putMessage (name: string, version: number, value: number): PlatformMessage {
  return { kind: 'put', objectKind: 'seats', name, version, value, port: ignoredPort }
}

async function put (url: string, version: number, value: unknown): Promise<{ readonly status: number, readonly version: number }> {
  const response = await fetch(`${url}/v1/objects/manifest/current?version=${version}`, { method: 'PUT', body: JSON.stringify(value) })
  return { status: response.status, version: (await response.json() as { readonly version: number }).version }
}

test('an update takes effect only on the version that it specifies', async t => {
  const { url, control } = await platformFixture(t)
  assert.deepEqual(await put(url, 0, 'a'), { status: 200, version: 1 })
  assert.deepEqual(await put(url, 0, 'b'), { status: 409, version: 1 })
  assert.deepEqual(await put(url, 1, 'c'), { status: 200, version: 2 })
  assert.deepEqual(await control.read('manifest', 'current'), { kind: 'manifest', name: 'current', version: 2, value: 'c' })
  assert.equal((await fetch(`${url}/v1/objects/manifest/other`)).status, 404)
})

test('an update whose answer is lost has taken effect', async t => {
  const { url, control } = await platformFixture(t)
  await control.faults({ dropAnswers: 1 })
  await assert.rejects(put(url, 0, 'a'))
  assert.equal((await control.read('manifest', 'current'))?.value, 'a')
  assert.deepEqual(await put(url, 1, 'b'), { status: 200, version: 2 })
})

test('a watch is answered when its kind changes, or empty at its timeout', async t => {
  const { url } = await platformFixture(t)
  const watch = async (since: number, timeoutMs: number): Promise<unknown> =>
    await (await fetch(`${url}/v1/watch/manifest?since=${since}&timeoutMs=${timeoutMs}`)).json()
  const waiting = watch(0, 60_000)
  await put(url, 0, 'a')
  assert.deepEqual(await waiting, { revision: 1, objects: [{ kind: 'manifest', name: 'current', version: 1, value: 'a' }] })
  assert.deepEqual(await watch(1, 20), { revision: 1, objects: [] })
})

test('a platform that is down closes connections and counts the calls', async t => {
  const { url, control } = await platformFixture(t)
  const waiting = fetch(`${url}/v1/watch/manifest?since=0&timeoutMs=60000`)
  await until('the watch waits', async () => (await control.calls())['watch manifest'] === 1)
  await control.faults({ down: true })
  await assert.rejects(waiting)
  await assert.rejects(put(url, 0, 'a'))
  await control.faults({})
  assert.equal(await control.read('manifest', 'current'), undefined)
  assert.deepEqual(await control.calls(), { 'watch manifest': 1, 'put manifest': 1, 'get manifest': 1 })
})

test('a changed host list appears after its lag', async t => {
  const { url, control } = await platformFixture(t)
  const listed = async (): Promise<unknown> => await (await fetch(`${url}/v1/hosts`)).json()
  await control.hosts(hosts, 600_000)
  assert.deepEqual(await listed(), { hosts: [] })
  await control.hosts(hosts, 5)
  await until('the hosts are listed', async () => JSON.stringify(await listed()) === JSON.stringify({ hosts }))
})

test('silent watches are never answered, including those already waiting', () => {
  const watch: PlatformMessage = { kind: 'watch', objectKind: 'seats', since: 0, timeoutMs: 5, port: ignoredPort }
  const faults = { down: false, delayMs: 0, dropAnswers: 0, silentWatches: true }
  const script: readonly PlatformMessage[] = [
    watch, { kind: 'setFaults', faults, port: ignoredPort }, watch, { kind: 'watchTimedOut', id: 1 }, { kind: 'watchTimedOut', id: 2 }, putMessage('a', 0, 1)
  ]
  const run = script.reduce((done, message) => {
    const next = stepPlatform(done.state, message)
    return { state: next.state, statuses: [...done.statuses, answers(next.effects)] }
  }, { state: emptyPlatform, statuses: [] as ReadonlyArray<ReadonlyArray<number | 'lost'>> })
  assert.deepEqual(run.statuses, [[], [200], [], [], [], [200]])
})

test('concurrent conditional updates match a plain map, including lost answers', () => {
  const call = fc.record({ name: fc.constantFrom('a', 'b'), version: fc.nat({ max: 6 }), value: fc.nat(), lost: fc.boolean() })
  fc.assert(fc.property(fc.array(call, { maxLength: 60 }), calls => {
    const oracle = new Map<string, { readonly version: number, readonly value: number }>()
    let state: PlatformState = emptyPlatform
    for (const { name, version, value, lost } of calls) {
      state = { ...state, faults: { ...state.faults, dropAnswers: lost ? 1 : 0 } }
      const next = stepPlatform(state, putMessage(name, version, value))
      const isCurrent = (oracle.get(name)?.version ?? 0) === version
      if (isCurrent) oracle.set(name, { version: version + 1, value })
      assert.deepEqual(answers(next.effects), [isCurrent ? (lost ? 'lost' : 200) : 409])
      state = next.state
    }
    const stored = [...state.objects.values()].map(({ name, version, value }) => [name, { version, value }] as const)
    assert.deepEqual(new Map(stored), oracle)
  }), { seed: 20_261_204, numRuns: 300 })
})
