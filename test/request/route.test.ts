import assert from 'node:assert/strict'
import { test } from 'node:test'
import { notRun, unknownOutcome, type DatabaseDeclaration, type ExecuteReply, type Outcome, type Position, type PrimaryView, type ServerDeclaration } from '../../src/model/index.js'
import { chooseRoute, decideRetry, deadlineOutcome, type ObservedPosition, type Route, type RouteRequest, type RoutingView } from '../../src/request/index.js'
import { noEstimate, recordLoad } from '../../src/routing/index.js'

function server (name: string, failureDomain: string, state: 'active' | 'leaving' = 'active'): ServerDeclaration {
  return { name, ip: '127.0.0.1', port: 1, failureDomain, slots: 5, maxConnections: 75, state }
}

function database (...servers: readonly ServerDeclaration[]): DatabaseDeclaration {
  return { name: 'orders', servers, state: 'active' }
}

const three = database(server('s1', 'a'), server('s2', 'b'), server('s3', 'c'))

function viewOf (change: Partial<RoutingView> = {}): RoutingView {
  return {
    primary: { database: 'orders', term: 3, primary: 's1' },
    dispatchers: new Map([['s1', 'h1'], ['s2', 'h2'], ['s3', 'h3']]),
    applied: new Map(),
    ...change
  }
}

function readFrom (change: Partial<RouteRequest> = {}): RouteRequest {
  return {
    database: three,
    statementClass: { kind: 'read', level: { kind: 'session' } },
    consistency: { kind: 'floor', position: { term: 3, index: 10 } },
    requestId: undefined,
    localFailureDomain: 'b',
    strongReadsAt: 'anyServer',
    avoid: new Set(),
    tieBreaker: 0,
    draws: { other: 0, move: 0, share: 0 },
    nowMs: 1000,
    ...change
  }
}

function observed (index: number, observedAtMs: number): ObservedPosition {
  return { applied: { term: 3, index }, observedAtMs }
}

function targetOf (route: Route): string {
  return route.kind === 'send' ? `${route.server}@${route.dispatcher}` : `no ${route.missing}`
}

test('a read goes to the replica in the local failure domain', () => {
  assert.equal(targetOf(chooseRoute(readFrom(), viewOf())), 's2@h2')
})

test('a replica that was recently observed below the minimum position is skipped', () => {
  const applied = new Map([['s2', observed(9, 990)]])
  assert.equal(targetOf(chooseRoute(readFrom(), viewOf({ applied }))), 's3@h3')
  const both = new Map([['s2', observed(9, 990)], ['s3', observed(9, 990)]])
  assert.equal(targetOf(chooseRoute(readFrom(), viewOf({ applied: both }))), 's1@h1')
})

test('an old observed position is ignored', () => {
  const applied = new Map([['s2', observed(9, 100)]])
  assert.equal(targetOf(chooseRoute(readFrom(), viewOf({ applied }))), 's2@h2')
})

test('a replica that is being decommissioned gets no reads', () => {
  const leaving = database(server('s1', 'a'), server('s2', 'b', 'leaving'), server('s3', 'c'))
  assert.equal(targetOf(chooseRoute(readFrom({ database: leaving }), viewOf())), 's3@h3')
})

test('a write goes to the primary, or to any dispatcher if no primary is known', () => {
  const write = readFrom({ statementClass: { kind: 'write' }, requestId: 'r1' })
  assert.deepEqual(chooseRoute(write, viewOf()), { kind: 'send', server: 's1', dispatcher: 'h1', mode: { kind: 'write', requestId: 'r1' } })
  const unknown: PrimaryView = { database: 'orders', term: 0, primary: undefined }
  assert.equal(targetOf(chooseRoute(write, viewOf({ primary: unknown }))), 's1@h1')
  assert.equal(targetOf(chooseRoute(write, viewOf({ primary: unknown, dispatchers: new Map() }))), 'no primary')
})

function replied (outcome: Outcome): { readonly kind: 'replied', readonly reply: ExecuteReply } {
  return { kind: 'replied', reply: { outcome, transaction: undefined, primary: { database: 'orders', term: 3, primary: 's1' }, newest: undefined, applied: undefined } }
}

const position: Position = { term: 3, index: 4 }
const done: Outcome = { kind: 'answered', answer: { kind: 'done', affectedRows: 1, insertId: 0 }, position, servedBy: 'primary' }

test('a statement that may have run is retried only if it may run twice', () => {
  for (const attempt of [{ kind: 'lost' } as const, replied(unknownOutcome('connectionLost', ''))]) {
    assert.equal(decideRetry(attempt, 'no').kind, 'answer')
    assert.deepEqual(decideRetry(attempt, 'yes'), { kind: 'retry', avoidServer: true, mayHaveRun: true, reason: 'noServer' })
  }
})

test('a statement that did not run is retried even if it must not run twice', () => {
  assert.equal(decideRetry({ kind: 'unsent' }, 'no').kind, 'retry')
  assert.equal(decideRetry(replied(notRun('wrongHome', '')), 'no').kind, 'retry')
  assert.equal(decideRetry(replied(notRun('behind', '')), 'no').kind, 'retry')
})

test('an answer and a refusal end the attempts', () => {
  assert.deepEqual(decideRetry(replied(done), 'no'), { kind: 'answer', outcome: done })
  assert.equal(decideRetry(replied(notRun('queueFull', '')), 'yes').kind, 'answer')
})

test('after a lost attempt the deadline outcome is never "not run"', () => {
  assert.equal(deadlineOutcome('noServer', true).kind, 'unknown')
  assert.equal(deadlineOutcome('noServer', false).kind, 'notRun')
})

// Guards against reads that pile up at one server while another one is idle, and
// against writes that follow them.
test('reads leave a loaded replica for any server that may serve them, writes stay', () => {
  const estimates = new Map([['s2', recordLoad(noEstimate, { expectedWaitMs: 2000 }, 990)]])
  const toOther = (other: number): string => targetOf(chooseRoute(readFrom({ draws: { other, move: 0, share: 0 } }), viewOf({ estimates })))
  assert.deepEqual([toOther(0), toOther(0.9)], ['s1@h1', 's3@h3'])
  const lagging = viewOf({ estimates, applied: new Map([['s3', observed(9, 990)]]) })
  assert.equal(targetOf(chooseRoute(readFrom({ draws: { other: 0.9, move: 0, share: 0 } }), lagging)), 's1@h1')
  const loadedPrimary = viewOf({ estimates: new Map([['s1', recordLoad(noEstimate, { expectedWaitMs: 2000 }, 990)]]) })
  const strong = readFrom({ consistency: { kind: 'newest' }, strongReadsAt: 'primary' })
  for (const request of [readFrom({ statementClass: { kind: 'write' } }), strong]) assert.equal(targetOf(chooseRoute(request, loadedPrimary)), 's1@h1')
})

// Guards against a retry at a primary that has just refused the read, and against a
// database whose replicas all lag.
test('a read refused by the primary tries a replica that lagged before it tries the primary again', () => {
  const applied = new Map([['s2', observed(9, 990)], ['s3', observed(9, 990)]])
  const after = (...tried: readonly string[]): string => targetOf(chooseRoute(readFrom({ avoid: new Set(tried) }), viewOf({ applied })))
  assert.deepEqual([after(), after('s1'), after('s1', 's2'), after('s1', 's2', 's3')], ['s1@h1', 's2@h2', 's3@h3', 's1@h1'])
})
