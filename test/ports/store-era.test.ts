// The era of the store at its client.

import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { platformStore } from '../../platform/store.js'
import { currentEra, initialEra, maxEra, putObjectInEra, readObject, recordEra, StoreError, watchInEra, type ObjectStore, type StoreFault } from '../../src/ports/index.js'

const stated = fc.oneof(fc.constant(undefined), fc.nat(5).map(String), fc.string(), fc.double().map(String), fc.integer().map(String))

// Guards against a faulty answer that changes the era back, or to something that is none.
test('the era of a client only rises, to whole numbers that an answer states', () => {
  fc.assert(fc.property(fc.array(stated), answers => {
    let state = initialEra
    for (const answer of answers) {
      const next = recordEra(state, answer, state.era)
      assert.ok(next.state.era >= state.era && next.state.era <= maxEra && Number.isInteger(next.state.era))
      assert.equal(next.verdict, 'current')
      if (next.state.era !== state.era) assert.equal(String(Number(answer)), String(next.state.era))
      state = next.state
    }
  }))
})

test('an answer that was requested before the era rose and does not state the new one is outdated', () => {
  const raised = recordEra(initialEra, '2', 0).state
  assert.deepEqual(recordEra(raised, '1', 0), { state: raised, verdict: 'outdated' })
  assert.equal(recordEra(raised, undefined, 0).verdict, 'outdated')
  assert.deepEqual(recordEra(raised, '1', 2), { state: { era: 2, ignored: 1 }, verdict: 'current' })
})

/** A store whose answers carry the headers in turn, and then the last one. */
async function storeWith (t: TestContext, ...eras: ReadonlyArray<string | undefined>): Promise<{ readonly store: ObjectStore, readonly requests: () => number }> {
  let requests = 0
  const server = createServer((_request, response) => {
    const era = eras[Math.min(requests, eras.length - 1)]
    requests += 1
    response.writeHead(200, era === undefined ? {} : { 'store-era': era }).end(JSON.stringify({ meta: { Name: 'main', Revision: 7 }, spec: {}, events: [], AsOf: 7 }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const store = platformStore({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, callTimeoutMs: 1000 })
  t.after(() => {
    store.close()
    server.close()
  })
  return { store, requests: () => requests }
}

async function faultOf (call: Promise<unknown>): Promise<StoreFault['kind'] | undefined> {
  return await call.then(() => undefined, (error: unknown) => error instanceof StoreError ? error.fault.kind : assert.fail(String(error)))
}

test('without the header every answer is of era 0', async t => {
  const { store } = await storeWith(t, undefined)
  const { object, era } = await readObject(store, 'config', 'main')
  assert.deepEqual([object?.version, era, currentEra(store)], [7, 0, 0])
  assert.equal((await putObjectInEra(store, 'config', 'main', { version: 7, era }, {})).version, 7)
})

// Guards against a conditional write that matches a version which was assigned again.
test('a write based on a read of an earlier era is not sent, or counts as failed where its answer shows a higher one', async t => {
  const { store, requests } = await storeWith(t, '1', '2')
  const { era } = await readObject(store, 'config', 'main')
  assert.equal(await faultOf(putObjectInEra(store, 'config', 'main', { version: 7, era }, {})), 'eraChanged')
  assert.equal(await faultOf(putObjectInEra(store, 'config', 'main', { version: 7, era }, {})), 'eraChanged')
  assert.equal(requests(), 2)
})

// Guards against changes that are missed because the revisions were assigned again.
test('a watch from a revision of an earlier era ends with a new listing', async t => {
  const { store } = await storeWith(t, '1', '2')
  const { era } = await readObject(store, 'config', 'main')
  assert.equal(await faultOf(watchInEra(store, 'config', { revision: 7, era }, 10)), 'historyExpired')
})
