import assert from 'node:assert/strict'
import { test } from 'node:test'
import { exampleManifest, MapExecutor, serveOne } from '../../docs/examples/embed-request-pipe.js'
import { request } from '../../src/index.js'

test('the example embeds the request pipe without a socket', async () => {
  const executor = new MapExecutor(new Map([['SELECT name FROM job', 'folio 12']]))
  const keyId = exampleManifest.accounts[0]?.keys[0]?.id ?? ''
  const opened = request.openSessionState({ kind: 'account', account: 'bindery', keyId }, 'orders', undefined)
  const read = await serveOne(opened, 'SELECT name FROM job', executor, 0)
  assert.equal(read.outcome.kind, 'answered')
  const written = await serveOne(read.session, 'INSERT INTO job VALUES (1)', executor, 1)
  assert.deepEqual(written.session.floors, { orders: { term: 1, index: 1 } })
  const refused = await serveOne(written.session, 'SET @a = 1', executor, 2)
  assert.equal(refused.outcome.kind, 'notRun')
})
