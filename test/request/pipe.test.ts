import assert from 'node:assert/strict'
import { test } from 'node:test'
import { runPipe } from '../../src/pipe/index.js'
import { notRun, type ExecuteReply, type ExecuteRequest, type Manifest, type Outcome, type Position } from '../../src/model/index.js'
import { parseSql } from '../../src/wire/sql/index.js'
import { openSessionState, requestPipe, mysqlSessionRules, applyToken, type AttemptResult, type RequestServices, type RequestResult, type SessionState } from '../../src/request/index.js'

const position: Position = { term: 2, index: 7 }
const rows: Outcome = { kind: 'answered', answer: { kind: 'rows', columns: [], rows: [] }, position: undefined, servedBy: 'replica' }

const manifest: Manifest = {
  accounts: [],
  databases: [{
    name: 'orders',
    state: 'active',
    servers: ['s1', 's2'].map((name, i) => ({ name, ip: '127.0.0.1', port: 1 + i, failureDomain: `d${i}`, slots: 5, maxConnections: 75, state: 'active' }))
  }],
  routes: [{ name: 'orders', database: 'orders', access: { kind: 'open' } }],
  anonymous: { ratePerS: 1, burst: 1 },
  seats: 1
}

function replyOf (outcome: Outcome, newest: Position | undefined = undefined): AttemptResult {
  const reply: ExecuteReply = { outcome, transaction: undefined, primary: { database: 'orders', term: 2, primary: 's1' }, newest, applied: undefined }
  return { kind: 'replied', reply }
}

type Asked = { readonly sent: readonly ExecuteRequest[], readonly served: RequestResult }

/** Runs one statement; each attempt gets the next of the given answers. */
async function serve (session: SessionState, sql: string, answers: readonly AttemptResult[]): Promise<Asked> {
  const sent: ExecuteRequest[] = []
  const services: RequestServices = {
    nowMs: () => 0,
    sleep: async () => {},
    configuration: () => ({ manifest, confirmed: true }),
    admit: async () => undefined,
    routing: database => ({ primary: { database, term: 2, primary: 's1' }, dispatchers: new Map([['s1', 'h1'], ['s2', 'h2']]), applied: new Map() }),
    execute: async (_home, request) => {
      sent.push(request)
      return answers[sent.length - 1] ?? replyOf(rows)
    },
    sawApplied: () => {},
    random: () => 0,
    encodeToken: JSON.stringify,
    decodeToken: JSON.parse,
    holdsKey: () => false
  }
  const pipe = requestPipe(services, { self: 'h9', localFailureDomain: 'd1', defaultDeadlineMs: 1000, maxDeadlineMs: 1000, rules: mysqlSessionRules, strongReadsAt: 'anyServer' })
  const served = await runPipe(pipe, { session, statement: { caller: session.caller, route: session.route, ...parseSql(sql), receivedAtMs: 0 } })
  return { sent, served }
}

const anybody = openSessionState({ kind: 'anonymous' }, 'orders', undefined)

function pathOf (asked: Asked): readonly unknown[] {
  return asked.sent.map(({ server, mode }) => [server, mode.kind === 'read' ? mode.freshness : mode.kind])
}

test('a session read without a token covers the newest state, and is asked for it once', async () => {
  const asked = await serve(anybody, 'SELECT 1', [replyOf(notRun('behind', ''), position)])
  assert.deepEqual(pathOf(asked), [['s2', { kind: 'newest' }], ['s1', { kind: 'floor', position }]])
  assert.deepEqual(asked.served.outcome, rows)
})

test('a session read with a token covers its floor', async () => {
  const asked = await serve(applyToken(anybody, { orders: position }), 'SELECT 1', [])
  assert.deepEqual(pathOf(asked), [['s2', { kind: 'floor', position }]])
})

test('a latest read covers the newest state, token or not', async () => {
  const asked = await serve(applyToken(anybody, { orders: position }), '/* limpetmoor latest */ SELECT 1', [])
  assert.deepEqual(pathOf(asked), [['s2', { kind: 'newest' }]])
})

test('a write raises the floor of its session', async () => {
  const asked = await serve(anybody, 'DELETE FROM t', [replyOf({ kind: 'answered', answer: { kind: 'done', affectedRows: 1, insertId: 0 }, position, servedBy: 'primary' })])
  assert.deepEqual(asked.served.session.minPositions, { orders: position })
})

test('a change of the schema is refused inside a transaction, which it would commit', async () => {
  const transaction = { id: 't1', database: 'orders', server: 's1', dispatcher: 'h1', account: 'a', route: { name: 'orders', database: 'orders', access: { kind: 'open' } }, lost: false } as const
  const asked = await serve({ ...anybody, transaction }, 'CREATE TABLE u (a INT)', [])
  assert.equal(asked.sent.length, 0)
  assert.equal(asked.served.outcome.kind, 'notRun')
  assert.equal((await serve(anybody, 'CREATE TABLE u (a INT)', [])).sent.length, 1)
})

test('a write whose connection was lost is not sent again', async () => {
  const asked = await serve(anybody, 'DELETE FROM t', [{ kind: 'lost' }])
  assert.equal(asked.sent.length, 1)
  assert.equal(asked.served.outcome.kind, 'unknown')
})

test('a read whose connection was lost goes to another server, unless it is marked once', async () => {
  assert.equal((await serve(anybody, 'SELECT 1', [{ kind: 'lost' }])).sent.length, 2)
  assert.equal((await serve(anybody, '/* limpetmoor once */ SELECT 1', [{ kind: 'lost' }])).sent.length, 1)
})
