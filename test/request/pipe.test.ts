import assert from 'node:assert/strict'
import { test } from 'node:test'
import { runPipe } from '../../src/pipe/index.js'
import { notRun, type ExecuteReply, type ExecuteRequest, type Manifest, type Outcome, type Position } from '../../src/model/index.js'
import { parseSql } from '../../src/wire/sql/index.js'
import { openSessionState, requestPipe, mysqlSessionRules, applyToken, type AttemptResult, type RequestServices, type RequestResult, type SessionRules, type SessionState } from '../../src/request/index.js'

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

/** `tokens`: number taken on this host; `refusals`: refusals by dispatchers that were recorded. */
type ServedStatement = { readonly sent: readonly ExecuteRequest[], readonly delays: number, readonly served: RequestResult, readonly tokens: number, readonly refusals: number }

/** Runs one statement; each attempt returns the next of the given results. */
async function serve (session: SessionState, sql: string, results: readonly AttemptResult[], changes: Partial<RequestServices> = {}, rules: SessionRules = mysqlSessionRules): Promise<ServedStatement> {
  const counts = { tokens: 0, refusals: 0 }
  const sent: ExecuteRequest[] = []
  let delays = 0
  const services: RequestServices = {
    nowMs: () => 0,
    sleep: async () => { delays += 1 },
    configuration: () => ({ manifest, confirmed: true }),
    admit: async () => {
      counts.tokens += 1
      return undefined
    },
    admitOrDelegate: async () => ({ kind: 'admitted' }),
    dispatcherSupport: () => 'unsupported',
    onDelegationRefused: () => { counts.refusals += 1 },
    routing: database => ({ primary: { database, term: 2, primary: 's1' }, dispatchers: new Map([['s1', 'h1'], ['s2', 'h2']]), applied: new Map() }),
    execute: async (_dispatcher, request) => {
      sent.push(request)
      return results[sent.length - 1] ?? replyOf(rows)
    },
    onAppliedPosition: () => {},
    random: () => 0,
    encodeToken: JSON.stringify,
    decodeToken: JSON.parse,
    containsKey: () => false,
    ...changes
  }
  const pipe = requestPipe(services, { self: 'h9', localFailureDomain: 'd1', defaultDeadlineMs: 1000, maxDeadlineMs: 1000, rules, strongReadsAt: 'anyServer' })
  const served = await runPipe(pipe, { session, statement: { caller: session.caller, route: session.route, ...parseSql(sql), receivedAtMs: 0 } })
  return { sent, delays, served, ...counts }
}

const anonymous = openSessionState('session-1', { kind: 'anonymous' }, 'orders', undefined)

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
  const transaction = { id: 't1', database: 'orders', server: 's1', dispatcher: 'h1', account: 'a', callerSession: 'session-1', route: { name: 'orders', database: 'orders', access: { kind: 'open' } }, state: 'open' } as const
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

/** A host without partitions and tokens, and dispatchers that take tokens for it. */
const delegating: Partial<RequestServices> = { admitOrDelegate: async () => ({ kind: 'delegated' }), dispatcherSupport: () => 'supported' }

function replyWith (outcome: Outcome, tookToken: boolean | undefined): AttemptResult {
  const result = replyOf(outcome)
  return result.kind === 'replied' ? { kind: 'replied', reply: { ...result.reply, tookToken } } : result
}

function tokensOf ({ sent, tokens }: ServedStatement): unknown {
  return { sent: sent.map(({ takesToken }) => takesToken), here: tokens }
}

// Guards against two tokens for one statement, and against statements without one.
for (const [name, results, expected] of [
  ['a server that is busy after the token was taken', [replyWith(notRun('serverBusy', ''), true)], { sent: [true, undefined], here: 0 }],
  ['a lost attempt', [{ kind: 'lost' }], { sent: [true, undefined], here: 0 }],
  ['a host that is not the dispatcher', [replyWith(notRun('wrongHome', ''), false), replyWith(rows, true)], { sent: [true, true], here: 0 }],
  ['a stopping host', [replyWith(notRun('stopping', ''), false), replyWith(rows, true)], { sent: [true, true], here: 0 }],
  ['an attempt that was not sent', [{ kind: 'unsent' }, replyWith(rows, true)], { sent: [true, true], here: 0 }],
  ['a dispatcher without a confirmed configuration', [replyWith(notRun('unconfirmedConfiguration', ''), false)], { sent: [true, false], here: 1 }],
  ['a host that was restarted in an earlier version', [replyWith(notRun('behind', ''), undefined)], { sent: [true, undefined], here: 1 }]
] as const satisfies ReadonlyArray<readonly [string, readonly AttemptResult[], unknown]>) {
  test(`a delegated read takes one token in all after ${name}`, async () => {
    const run = await serve(anonymous, 'SELECT 1', results, delegating)
    assert.deepEqual(run.served.outcome, rows)
    assert.deepEqual(tokensOf(run), expected)
  })
}

test('a delegated write whose connection was lost is neither sent nor charged again', async () => {
  const run = await serve(anonymous, 'DELETE FROM t', [{ kind: 'lost' }], delegating)
  assert.equal(run.served.outcome.kind, 'unknown')
  assert.deepEqual(tokensOf(run), { sent: [true], here: 0 })
})

// Guards against QUOTA in a rolling upgrade.
test('a host borrows for a dispatcher of an earlier version, and refuses without a token', async () => {
  for (const support of ['unsupported', 'unknown'] as const) {
    assert.deepEqual(tokensOf(await serve(anonymous, 'SELECT 1', [], { ...delegating, dispatcherSupport: () => support })), { sent: [false], here: 1 })
  }
  const refused = await serve(anonymous, 'SELECT 1', [], { ...delegating, dispatcherSupport: () => 'unsupported', admit: async () => notRun('rateExceeded', '') })
  assert.deepEqual([refused.sent.length, refused.served.outcome], [0, notRun('rateExceeded', '')])
})

// Guards against work at dispatchers for an account above its rate.
test('a refusal by the dispatcher is answered at once and recorded', async () => {
  const run = await serve(anonymous, 'SELECT 1', [replyWith(notRun('rateExceeded', ''), false)], delegating)
  assert.deepEqual([run.served.outcome, run.sent.length, run.refusals], [notRun('rateExceeded', ''), 1, 1])
})

// Guards against a token for each statement of a transaction that takes one in all, and for COMMIT.
for (const [rateUnit, expected] of [['operation', [true, undefined, undefined]], ['statement', [true, true, undefined]]] as const) {
  test(`a delegated transaction takes its tokens by ${rateUnit}`, async () => {
    const rules: SessionRules = { ...mysqlSessionRules, rateUnit }
    const begun = replyWith({ kind: 'answered', answer: { kind: 'done', affectedRows: 0, insertId: 0 }, position: undefined, servedBy: 'primary' }, true)
    const opened: AttemptResult = begun.kind === 'replied' ? { kind: 'replied', reply: { ...begun.reply, transaction: 't1' } } : begun
    const begin = await serve(anonymous, 'BEGIN', [opened], delegating, rules)
    const write = await serve(begin.served.session, 'DELETE FROM t', [begun], delegating, rules)
    const commit = await serve(write.served.session, 'COMMIT', [begun], delegating, rules)
    assert.deepEqual([begin, write, commit].flatMap(({ sent }) => sent.map(({ takesToken }) => takesToken)), expected)
  })
}

test('a statement that is refused for the rate leaves its transaction open', async () => {
  const transaction = { id: 't1', database: 'orders', server: 's1', dispatcher: 'h1', account: 'a', callerSession: 'session-1', route: { name: 'orders', database: 'orders', access: { kind: 'open' } }, state: 'open' } as const
  const run = await serve({ ...anonymous, transaction }, 'DELETE FROM t', [replyWith(notRun('rateExceeded', ''), false)], delegating)
  assert.deepEqual([run.served.outcome, run.served.session.transaction], [notRun('rateExceeded', ''), transaction])
})
