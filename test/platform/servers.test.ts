// Odd entries among the servers in the store, and lists that hold them.

import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { decodeServer } from '../../platform/servers.js'
import { platformStore } from '../../platform/store.js'
import { isStoreFault } from '../support/faults.js'
import type { ObjectStore } from '../../src/ports/index.js'

const validEntry = { Service: 'ledger-group', Addr: '10.1.0.9:8080', Zone: 'medina', Version: 'v1', Slots: 5, State: 'ready', ColdLeftMs: 0, DbRole: 'replica', Seq: 4 }

/** Nesting that overflows the stack where a value is traversed recursively. */
const maxDepth = 20_000
/** Nesting that this process can still write as JSON. */
const serializableDepth = 3000

function deepArray (depth: number): unknown {
  return JSON.parse('['.repeat(depth) + ']'.repeat(depth))
}

/** Starts a store that answers each path with a fixed body; a text is sent as it is. */
async function storeWith (t: TestContext, bodies: Readonly<Record<string, unknown>>): Promise<ObjectStore> {
  const server = createServer((request, response) => {
    const body = bodies[request.url ?? '']
    response.end(typeof body === 'string' ? body : JSON.stringify(body))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const store = platformStore({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, callTimeoutMs: 2000 })
  t.after(() => {
    store.close()
    server.close()
  })
  return store
}

function item (name: string, revision: unknown = 5): unknown {
  return { meta: { Name: name, Revision: revision }, spec: validEntry }
}

test('an entry of a server is decoded', () => {
  assert.deepEqual(decodeServer('i-a', validEntry), { name: 'i-a', database: 'ledger-group', ip: '10.1.0.9', port: 8080, failureDomain: 'medina', slots: 5, state: 'active' })
})

// Guards against a cold server that is used like a warm one: the time was decoded and dropped.
test('the time for which a server stays cold and the time of its start are decoded', () => {
  const { coldLeftMs, startId } = decodeServer('i-a', { ...validEntry, ColdLeftMs: 1500.5, born: 1_700_000_000_000 }) ?? {}
  assert.deepEqual([coldLeftMs, startId], [1500.5, '1700000000000'])
})

test('an entry with a field that is missing, out of range or of another type names no server', () => {
  const odd: ReadonlyArray<Readonly<Record<string, unknown>>> = [
    ...['99999', '0', '65536', '-1', '1e3', ' 80', ''].map(port => ({ Addr: `10.1.0.9:${port}` })),
    ...['999.2.3.4:80', '10.1.0:80', 'db.example:80', '10.1.0.9', '::1:80'].map(address => ({ Addr: address })),
    ...[0, -1, 1.5, 9e15, 1e300, '5', null].map(slots => ({ Slots: slots })),
    ...[1e300, -1, '4', undefined].map(sequence => ({ Seq: sequence })),
    ...['', 'two words', 'line\r\nQUERY', 7].map(service => ({ Service: service })),
    { State: 'gone' }, { DbRole: 'witness' }, { ColdLeftMs: -1 }, { Version: 3 }, { born: 1.5 }, { Zone: deepArray(maxDepth) }
  ]
  for (const change of odd) assert.equal(decodeServer('i-a', { ...validEntry, ...change }), undefined, Object.keys(change).join())
  for (const name of ['', 'i a', 'i-a\r\n', 'x'.repeat(300)]) assert.equal(decodeServer(name, validEntry), undefined, name)
})

test('no value makes the decoder throw, and each decoded address can be connected to', () => {
  const field = fc.oneof(fc.jsonValue({ maxDepth: 4 }), fc.stringMatching(/^\d{1,4}\.\d{1,4}\.\d{1,3}\.\d{1,3}:\d{1,6}$/), fc.double(), fc.constant(deepArray(maxDepth)))
  fc.assert(fc.property(fc.string(), fc.constantFrom(...Object.keys(validEntry)), field, (name, changed, value) => {
    const server = decodeServer(name, { ...validEntry, [changed]: value })
    if (server === undefined) return
    assert.ok(server.port >= 1 && server.port <= 65_535)
    assert.ok(server.ip.split('.').every(part => Number(part) <= 255))
    assert.ok(!/\s/.test(server.name + server.database))
  }))
})

test('a list goes on after a page on which no object can be decoded', async t => {
  const store = await storeWith(t, {
    '/objects/servers': { items: [item('a', 1e300), item('b', 'x')], More: true, AsOf: 9 },
    '/objects/servers?after=b': { items: [item('c'), { meta: deepArray(serializableDepth) }], AsOf: 9 }
  })
  assert.deepEqual((await store.listObjects('servers')).objects.map(({ name }) => name), ['c'])
})

test('a list goes on after an entry that is nested too deeply to be traversed', async t => {
  const deep = '['.repeat(maxDepth) + ']'.repeat(maxDepth)
  const items = `[{"meta":{"Name":"a","Revision":5},"spec":${deep}},{"meta":{"Name":"b","Revision":1e999},"spec":{}},${JSON.stringify(item('c'))}]`
  const store = await storeWith(t, { '/objects/servers': `{"items":${items},"AsOf":9}` })
  const { objects } = await store.listObjects('servers')
  assert.deepEqual(objects.flatMap(({ name, value }) => decodeServer(name, value)?.name ?? []), ['c'])
})

test('a list whose next page can\'t be found fails, so that no object counts as removed', async t => {
  const store = await storeWith(t, { '/objects/servers': { items: [{ meta: 5 }], More: true, AsOf: 9 } })
  await assert.rejects(store.listObjects('servers'), isStoreFault('malformed'))
})

test('an event that can\'t be decoded does not hide the other events', async t => {
  const store = await storeWith(t, {
    '/objects/servers?Watch=9&WaitMs=100': {
      events: [{ Object: item('a') }, 7, { Deleted: false, Object: item('b') }, { Deleted: true, Object: item('c') }, { Deleted: false, Object: item('d', 1e300) }, { Deleted: true }],
      AsOf: 12
    }
  })
  const changes = await store.watch('servers', 9, 100)
  assert.deepEqual([changes.objects.map(({ name }) => name), changes.removed, changes.revision], [['b'], ['c', 'd'], 12])
})
