// Calls over HTTP, against a server that answers each of them.

import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import { JsonHttpClient } from '../../src/wire/json-http.js'

const dayMs = 86_400_000

/** A client of a server that answers each call with 200; both end with the test. */
async function startClient (t: TestContext): Promise<JsonHttpClient> {
  const server = createServer((_request, response) => { response.end('{}') })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const client = new JsonHttpClient({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, callTimeoutMs: 1000 })
  t.after(() => {
    client.close()
    server.closeAllConnections()
    server.close()
  })
  return client
}

// Guards against SHORT: a watch whose duration was a quotient threw before it was sent, each time.
test('a call is sent whatever its timeout and waiting time are, whole milliseconds or not', async t => {
  const client = await startClient(t)
  const durationMs = fc.double({ min: 1000, max: dayMs, noNaN: true })
  await fc.assert(fc.asyncProperty(durationMs, durationMs, async (timeoutMs, waitMs) => {
    const { status } = await client.send({ method: 'GET', path: '/', timeoutMs, waitMs })
    assert.equal(status, 200)
  }), { seed: 31, numRuns: 50 })
})
