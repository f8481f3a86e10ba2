import assert from 'node:assert/strict'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { StoreError, type StoreFault } from '../../src/ports/index.js'
import { platformClient, type PlatformClient } from '../../src/wire/platform-client.js'

type Fixture = { readonly client: PlatformClient, readonly calls: readonly string[] }

async function withPlatform (listener: RequestListener, use: (fixture: Fixture) => Promise<void>): Promise<void> {
  const calls: string[] = []
  const server = createServer((request, response) => {
    calls.push(`${request.method ?? ''} ${request.url ?? ''}`)
    listener(request, response)
  })
  const port = await listening(server)
  // The URL has another port, so that only the redirection leads to the server.
  const client = platformClient({ url: 'http://127.0.0.1:1', callTimeoutMs: 300, redirect: ({ ip }) => ({ ip, port }) })
  try {
    await use({ client, calls })
  } finally {
    client.close()
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
}

async function listening (server: Server): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

function answering (status: number, body: unknown): RequestListener {
  return (_request, response) => { response.writeHead(status).end(typeof body === 'string' ? body : JSON.stringify(body)) }
}

async function faultOf (call: Promise<unknown>): Promise<StoreFault> {
  const error = await call.then(() => assert.fail('the call did not fail'), (failure: unknown) => failure)
  assert.ok(error instanceof StoreError, String(error))
  return error.fault
}

test('calls encode kind, name, version and timeouts as the protocol defines', async () => {
  await withPlatform(answering(200, { version: 4, revision: 9, objects: [], hosts: [] }), async ({ client, calls }) => {
    assert.deepEqual(await client.putObject('seats', 'table', 3, { a: 1 }), { version: 4, revision: 9 })
    assert.deepEqual(await client.watch('manifest', 8, 50), { revision: 9, objects: [], removed: [] })
    await client.deleteObject('seats', 'table', 3)
    assert.deepEqual(await client.hosts(), [])
    assert.deepEqual(calls, ['PUT /v1/objects/seats/table?version=3', 'GET /v1/watch/manifest?since=8&timeoutMs=50', 'DELETE /v1/objects/seats/table?version=3', 'GET /v1/hosts'])
  })
})

test('a missing object is not an error', async () => {
  await withPlatform(answering(404, {}), async ({ client }) => {
    assert.equal(await client.getObject('seats', 'table'), undefined)
  })
})

test('each cause of failure has its own kind', async () => {
  await withPlatform(answering(409, { version: 7 }), async ({ client }) => {
    assert.deepEqual(await faultOf(client.putObject('seats', 'table', 3, 1)), { kind: 'conflict', version: 7 })
  })
  await withPlatform(answering(503, {}), async ({ client }) => {
    assert.deepEqual(await faultOf(client.listObjects('seats')), { kind: 'refused', status: 503 })
  })
  await withPlatform(answering(200, 'no json'), async ({ client }) => {
    assert.deepEqual(await faultOf(client.listObjects('seats')), { kind: 'malformed' })
  })
  await withPlatform((request, response) => response.destroy(), async ({ client }) => {
    assert.deepEqual(await faultOf(client.listObjects('seats')), { kind: 'unreachable' })
  })
})

test('when keep-alive connections become unresponsive, one call times out and the next uses a new connection', async () => {
  const unresponsive = new Set<unknown>()
  await withPlatform((request, response) => {
    if (unresponsive.has(request.socket)) return
    unresponsive.add(request.socket)
    answering(200, { revision: 1, objects: [] })(request, response)
  }, async ({ client }) => {
    await Promise.all([client.listObjects('seats'), client.listObjects('seats')])
    assert.deepEqual(await faultOf(client.listObjects('seats')), { kind: 'overdue', timeoutMs: 300 })
    await client.listObjects('seats')
  })
})

test('a call whose body is incomplete times out', async () => {
  await withPlatform((_request, response) => { response.writeHead(200).write('{') }, async ({ client }) => {
    assert.deepEqual(await faultOf(client.listObjects('seats')), { kind: 'overdue', timeoutMs: 300 })
  })
})
