import assert from 'node:assert/strict'
import { test } from 'node:test'
import { exampleKey, MapExecutor, serveOne } from '../../docs/examples/embed-request-pipe.js'
import { config, request } from '../../src/index.js'
import { parseSql } from '../../src/wire/sql/index.js'

test('the example embeds the request pipe without a socket', async () => {
  const executor = new MapExecutor(new Map([['SELECT name FROM job', 'folio 12']]))
  const caller = { kind: 'account', account: 'bindery', keyId: config.keyIdentity(exampleKey) } as const
  const opened = request.openSessionState('session-1', caller, 'orders', undefined)
  const read = await serveOne(opened, parseSql('SELECT name FROM job'), executor, 0)
  assert.equal(read.outcome.kind, 'answered')
  const written = await serveOne(read.session, parseSql('INSERT INTO job VALUES (1)'), executor, 1)
  assert.deepEqual(written.session.minPositions, { orders: { term: 1, index: 1 } })
  const refused = await serveOne(written.session, parseSql('SET @a = 1'), executor, 2)
  assert.equal(refused.outcome.kind, 'notRun')
})
