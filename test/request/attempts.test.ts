// Attempts of the execution filter that are not worth making.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { notRun, type ExecuteRequest, type Manifest, type Outcome, type PeerParams, type RouteDeclaration, type ServerLoad } from '../../src/model/index.js'
import { runPipe } from '../../src/pipe/index.js'
import { initialRetryBudget, mysqlSessionRules, openSessionState, PresenceSignal, requestPipe, takeRetry, withFirstAttempt, type AttemptResult, type RequestBounds, type RequestServices, type SessionState } from '../../src/request/index.js'
import { parseSql } from '../../src/wire/sql/index.js'

const manifest: Manifest = {
  accounts: [],
  databases: [{ name: 'orders', state: 'active', servers: [{ name: 's1', ip: '127.0.0.1', port: 1, failureDomain: 'd1', slots: 5, maxConnections: 75, state: 'active' }] }],
  routes: [{ name: 'orders', database: 'orders', access: { kind: 'open' }, policy: { freshness: { kind: 'newest' }, timeoutMs: 1000, goalMs: 200, priority: 3 } }],
  anonymous: { ratePerS: 1, burst: 1 },
  seats: 1
}
const rows: Outcome = { kind: 'answered', answer: { kind: 'rows', columns: [], rows: [] }, position: undefined, servedBy: 'primary' }
const busy = notRun('serverBusy', 'the server is busy')

function replyOf (outcome: Outcome, serviceMs: number): AttemptResult {
  const serverLoad: ServerLoad = { expectedWaitMs: 0, serviceMs, waiting: 0, slots: 5 }
  return { kind: 'replied', reply: { outcome, transaction: undefined, primary: { database: 'orders', term: 1, primary: 's1' }, newest: undefined, applied: undefined, serverLoad } }
}

/** A host whose attempts take a fixed time and get the given results. */
type Entry = { readonly read: (sql?: string, session?: SessionState) => Promise<Outcome>, readonly sent: readonly ExecuteRequest[], readonly cancelled: ReadonlyArray<PeerParams<'cancel'>>, readonly presence: PresenceSignal, readonly nowMs: () => number }

function startEntry (results: readonly AttemptResult[], attemptMs: number, duringAttempt: (presence: PresenceSignal) => void = () => {}, bounds: Partial<RequestBounds> = {}, changed: Partial<RequestServices> = {}): Entry {
  const sent: ExecuteRequest[] = []
  const cancelled: PeerParams<'cancel'>[] = []
  const presence = new PresenceSignal()
  let nowMs = 0
  const services: RequestServices = {
    nowMs: () => nowMs,
    sleep: async delayMs => { nowMs += delayMs },
    configuration: () => ({ manifest, confirmed: true }),
    admit: async () => undefined,
    admitOrDelegate: async () => ({ kind: 'admitted' }),
    dispatcherSupport: () => 'unsupported',
    onDelegationRefused: () => {},
    routing: database => ({ primary: { database, term: 1, primary: 's1' }, dispatchers: new Map([['s1', 'h1']]), applied: new Map() }),
    execute: async (_dispatcher, request) => {
      sent.push(request)
      nowMs += attemptMs
      duringAttempt(presence)
      return results[Math.min(sent.length, results.length) - 1] ?? replyOf(rows, 1)
    },
    cancel: (_dispatcher, call) => { cancelled.push(call) },
    onAppliedPosition: () => {},
    random: () => 0.5,
    encodeToken: JSON.stringify,
    decodeToken: JSON.parse,
    containsKey: () => false,
    ...changed
  }
  const pipe = requestPipe(services, { self: 'h9', localFailureDomain: 'd1', defaultDeadlineMs: 1000, maxDeadlineMs: 1000, rules: mysqlSessionRules, strongReadsAt: 'anyServer', ...bounds })
  const read = async (sql = 'SELECT 1', session = openSessionState('session-1', { kind: 'anonymous' }, 'orders', undefined)): Promise<Outcome> => (await runPipe(pipe, { session, presence, statement: { caller: session.caller, route: session.route, ...parseSql(sql), receivedAtMs: nowMs } })).outcome
  return { read, sent, cancelled, presence, nowMs: () => nowMs }
}

function reasonOf (outcome: Outcome): string {
  return outcome.kind === 'notRun' || outcome.kind === 'unknown' ? outcome.reason : outcome.kind
}

// Guards against servers that order by arrival because the entry host did not say how
// urgent a statement is, and against two statements with one name.
test('a statement carries priority, time left to the objective and a name of its own', async () => {
  const entry = startEntry([replyOf(rows, 1)], 5)
  await entry.read()
  await entry.read()
  assert.deepEqual(entry.sent.map(({ priority, goalLeftMs }) => [priority, goalLeftMs]), [[3, 200], [3, 200]])
  assert.notEqual(entry.sent[0]?.callId, entry.sent[1]?.callId)
})

// Guards against retries that use a server and can't be answered in time.
test('no further attempt is made that is not expected to end by the deadline', async () => {
  const entry = startEntry([replyOf(busy, 700)], 400)
  assert.equal(reasonOf(await entry.read()), 'serverBusy')
  assert.equal(entry.sent.length, 2)
  assert.ok(entry.nowMs() < 1000)
})

// Guards against work for a caller that has closed its connection.
test('a caller that leaves has its waiting statement cancelled and gets no further attempt', async () => {
  let leaves = false
  const entry = startEntry([replyOf(busy, 1)], 5, presence => { if (leaves) presence.leave() })
  const first = startEntry([replyOf(rows, 1)], 5, presence => { presence.leave() })
  await first.read()
  assert.deepEqual(first.cancelled, [], 'the dispatcher is not known to understand cancel')
  await entry.read('/* limpetmoor deadline_ms=1 */ SELECT 1')
  leaves = true
  const sentBefore = entry.sent.length
  const outcome = await entry.read()
  assert.equal(outcome.kind, 'notRun')
  assert.equal(entry.sent.length, sentBefore + 1)
  assert.deepEqual(entry.cancelled.map(({ callId }) => callId), [entry.sent.at(-1)?.callId])
})

// Guards against retries that add to the load that made the first attempts fail.
test('retries are at most the fraction of the first attempts, and a statement without one is answered at once', async () => {
  const entry = startEntry([replyOf(busy, 0)], 1, undefined, { retryBudget: { fraction: 0.2, minPerS: 1e-9 } })
  const firstAttempts = 500
  const reasons = new Set<string>()
  for (let at = 0; at < firstAttempts; at += 1) reasons.add(reasonOf(await entry.read()))
  const retries = entry.sent.length - firstAttempts
  assert.ok(retries <= 100 + 0.2 * firstAttempts, `${retries} retries`)
  assert.ok(retries >= 0.2 * firstAttempts, `${retries} retries`)
  assert.deepEqual([...reasons], ['serverBusy'])
})

// Guards against writes that are refused during a failover because all of them retry.
test('a statement that waits for a new primary goes on waiting without budget', async () => {
  const entry = startEntry([replyOf(notRun('noPrimary', 'no primary'), 0)], 1, undefined, { retryBudget: { fraction: 1e-9, minPerS: 1e-9 } })
  for (let at = 0; at < 50; at += 1) await entry.read()
  const startedAtMs = entry.nowMs()
  assert.equal(reasonOf(await entry.read()), 'noPrimary')
  assert.ok(entry.nowMs() - startedAtMs > 800, `answered after ${entry.nowMs() - startedAtMs} ms`)
  assert.ok(entry.sent.length <= 51 + 100, `${entry.sent.length} sent`)
})

test('a budget holds in any order of first attempts and retries', () => {
  fc.assert(fc.property(fc.array(fc.record({ isRetry: fc.boolean(), passMs: fc.nat(200) }), { maxLength: 500 }), steps => {
    const settings = { fraction: 0.2, minPerS: 10 }
    let budget = initialRetryBudget(settings, 0)
    let nowMs = 0
    let [first, granted] = [0, 0]
    for (const { isRetry, passMs } of steps) {
      nowMs += passMs
      if (isRetry) {
        const grant = takeRetry(budget, nowMs)
        budget = grant.budget
        granted += grant.isGranted ? 1 : 0
      } else {
        budget = withFirstAttempt(budget)
        first += 1
      }
      assert.ok(granted <= 100 + first * settings.fraction + nowMs / 1000 * settings.minPerS + 1e-6)
    }
  }), { seed: 5, numRuns: 300 })
})

// Guards against statements of open transactions, which hold locks, that an overloaded
// host refuses, and against work for a statement that is refused.
test('an overloaded host refuses new statements at once, but none of a transaction', async () => {
  let isOverloaded = false
  const entry = startEntry([replyOf(rows, 1)], 1, undefined, {}, { sheds: () => isOverloaded })
  const session = openSessionState('session-1', { kind: 'anonymous' }, 'orders', undefined)
  const open: SessionState = { ...session, transaction: { id: 't1', database: 'orders', server: 's1', dispatcher: 'h1', account: 'a', callerSession: 'session-1', route: manifest.routes[0] as RouteDeclaration, state: 'open' } }
  isOverloaded = true
  assert.deepEqual([reasonOf(await entry.read()), reasonOf(await entry.read('BEGIN')), entry.sent.length], ['overloaded', 'overloaded', 0])
  assert.deepEqual([reasonOf(await entry.read('SELECT 1', open)), reasonOf(await entry.read('COMMIT', open)), entry.sent.length], ['answered', 'answered', 2])
})
