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

type ServedStatement = { readonly sent: readonly ExecuteRequest[], readonly delays: number, readonly served: RequestResult }

/** Runs one statement; each attempt returns the next of the given results. */
async function serve (session: SessionState, sql: string, results: readonly AttemptResult[]): Promise<ServedStatement> {
  const sent: ExecuteRequest[] = []
  let delays = 0
  const services: RequestServices = {
    nowMs: () => 0,
    sleep: async () => { delays += 1 },
    configuration: () => ({ manifest, confirmed: true }),
    admit: async () => undefined,
    admitOrDelegate: async () => ({ kind: 'admitted' }),
    dispatcherSupport: () => 'unsupported',
    onDelegationRefused: () => {},
    routing: database => ({ primary: { database, term: 2, primary: 's1' }, dispatchers: new Map([['s1', 'h1'], ['s2', 'h2']]), applied: new Map() }),
    execute: async (_dispatcher, request) => {
      sent.push(request)
      return results[sent.length - 1] ?? replyOf(rows)
    },
    onAppliedPosition: () => {},
    random: () => 0,
    encodeToken: JSON.stringify,
    decodeToken: JSON.parse,
    containsKey: () => false
  }
  const pipe = requestPipe(services, { self: 'h9', localFailureDomain: 'd1', defaultDeadlineMs: 1000, maxDeadlineMs: 1000, rules: mysqlSessionRules, strongReadsAt: 'anyServer' })
  const served = await runPipe(pipe, { session, statement: { caller: session.caller, route: session.route, ...parseSql(sql), receivedAtMs: 0 } })
  return { sent, delays, served }
}

const anonymous = openSessionState({ kind: 'anonymous' }, 'orders', undefined)

function sentTo (run: ServedStatement): readonly unknown[] {
  return run.sent.map(({ server, mode }) => [server, mode.kind === 'read' ? mode.freshness : mode.kind])
}

test('a session read without a token is a strong read whose minimum position is queried once', async () => {
  const run = await serve(anonymous, 'SELECT 1', [replyOf(notRun('behind', ''), position)])
  assert.deepEqual(sentTo(run), [['s2', { kind: 'newest' }], ['s1', { kind: 'floor', position }]])
  assert.deepEqual(run.served.outcome, rows)
})

test('a session read with a token covers its minimum position', async () => {
  const run = await serve(applyToken(anonymous, { orders: position }), 'SELECT 1', [])
  assert.deepEqual(sentTo(run), [['s2', { kind: 'floor', position }]])
})

test('a latest read is a strong read, with or without a token', async () => {
  const run = await serve(applyToken(anonymous, { orders: position }), '/* limpetmoor latest */ SELECT 1', [])
  assert.deepEqual(sentTo(run), [['s2', { kind: 'newest' }]])
})

test('a write raises the minimum position of its session', async () => {
  const run = await serve(anonymous, 'DELETE FROM t', [replyOf({ kind: 'answered', answer: { kind: 'done', affectedRows: 1, insertId: 0 }, position, servedBy: 'primary' })])
  assert.deepEqual(run.served.session.minPositions, { orders: position })
})

test('a schema change is refused inside a transaction, which it would commit', async () => {
  const transaction = { id: 't1', database: 'orders', server: 's1', dispatcher: 'h1', account: 'a', route: { name: 'orders', database: 'orders', access: { kind: 'open' } }, state: 'open' } as const
  const run = await serve({ ...anonymous, transaction }, 'CREATE TABLE u (a INT)', [])
  assert.equal(run.sent.length, 0)
  assert.equal(run.served.outcome.kind, 'notRun')
  assert.equal((await serve(anonymous, 'CREATE TABLE u (a INT)', [])).sent.length, 1)
})

test('a write whose connection was lost is not retried', async () => {
  const run = await serve(anonymous, 'DELETE FROM t', [{ kind: 'lost' }])
  assert.equal(run.sent.length, 1)
  assert.equal(run.served.outcome.kind, 'unknown')
})

test('a read whose connection was lost is retried on another server, unless it has the hint once', async () => {
  assert.equal((await serve(anonymous, 'SELECT 1', [{ kind: 'lost' }])).sent.length, 2)
  assert.equal((await serve(anonymous, '/* limpetmoor once */ SELECT 1', [{ kind: 'lost' }])).sent.length, 1)
})

// Guards against time lost at a server that has just refused the statement, while
// another one may serve it.
test('a read that a server refused goes to another one at once, never to the one just tried', async () => {
  for (const reason of ['serverBusy', 'noServer', 'behind'] as const) {
    const refused = replyOf(notRun(reason, ''))
    const run = await serve(anonymous, 'SELECT 1', [refused, refused, refused])
    assert.deepEqual(run.sent.map(({ server }) => server), ['s2', 's1', 's2', 's1'])
    assert.equal(run.delays, 2)
  }
  const write = await serve(anonymous, 'UPDATE t SET a = 1', [replyOf(notRun('serverBusy', ''))])
  assert.deepEqual([write.sent.map(({ server }) => server), write.delays], [['s1', 's1'], 1])
})
