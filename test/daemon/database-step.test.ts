import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { databaseDueAtMs, databaseStep, initialState, waitingAnswers, type DatabaseState } from '../../src/daemon/database-step.js'
import type { DatabaseDeclaration } from '../../src/model/index.js'
import { uniqueIds } from '../../src/pipe/index.js'
import { fence, newLedger, promote } from '../../standins/database/ledger.js'

function processContext (): DaemonContext {
  return {
    settings: { host: { name: 'h1' }, control: { probeTimeoutMs: 100 } },
    ports: { promotionMethod: { kind: 'byLeader' }, driver: { statusDelivery: 'polled' } },
    incarnation: 'a',
    uniqueId: uniqueIds('a')
  } as unknown as DaemonContext
}

/** The state of a database before any status was received. */
function stateOf (names: readonly string[] = ['s1'], context = processContext()): DatabaseState {
  const servers = names.map(name => ({ name, ip: '127.0.0.1', port: 1, failureDomain: 'a', slots: 1, maxConnections: 20, state: 'active' } as const))
  const database: DatabaseDeclaration = { name: 'orders', state: 'active', servers }
  return initialState(context, database)
}

test('a write and a read that wait when the task of their database ends are answered', () => {
  const reply = (): void => {}
  const written = databaseStep(stateOf(), { kind: 'awaitQuorum', position: { term: 1, index: 4 }, deadlineAtMs: 1000, nowMs: 0, reply }).state
  const read = databaseStep(written, { kind: 'quorumMinPosition', targetServer: undefined, nowMs: 0, reply }).state
  assert.deepEqual(waitingAnswers(read), [{ kind: 'answerQuorumWait', reply, hasQuorum: false }, { kind: 'answerMinPosition', reply, minPosition: undefined }])
})

/** A strong read on the primary s1 of three servers, whose round queries s2 and skips s3 at first. */
function strongReadAt (nowMs: number): { readonly state: DatabaseState, readonly queried: readonly unknown[] } {
  const position = { term: 1, index: 4 }
  const status = { server: 's1', role: 'primary', fencedTerm: 1, proposer: '', received: position, applied: position, term: 1 } as const
  const known = databaseStep(stateOf(['s1', 's2', 's3']), { kind: 'status', status, sentAtMs: nowMs, nowMs }).state
  const { state, effects } = databaseStep(known, { kind: 'quorumMinPosition', targetServer: 's1', nowMs, reply: () => {} })
  return { state, queried: effects }
}

// Guards against reads that wait for one slow server, and against a query or a wake that none needs.
test('a server that a round skipped is queried after 10 ms, unless the round is done', () => {
  const { state, queried } = strongReadAt(100)
  assert.deepEqual(queried, [{ kind: 'queryRound', round: 1, targetServer: 's1', servers: ['s2'] }])
  assert.equal(databaseDueAtMs(state, 100), 110)
  const late = databaseStep(state, { kind: 'tick', nowMs: 110, random: 0.5 })
  assert.deepEqual(late.effects.filter(({ kind }) => kind === 'queryRound'), [{ kind: 'queryRound', round: 1, targetServer: undefined, servers: ['s3'] }])
  assert.ok(databaseDueAtMs(late.state, 110) > 120)
  const answered = databaseStep(state, { kind: 'minPosition', event: { kind: 'roundAnswered', round: 1, server: 's2', received: { term: 1, index: 4 }, nowMs: 105 } })
  const done = databaseStep(answered.state, { kind: 'minPosition', event: { kind: 'roundAnswered', round: 1, server: 's1', received: { term: 1, index: 4 }, nowMs: 105 } })
  assert.ok(databaseDueAtMs(done.state, 105) > 120)
  assert.deepEqual(databaseStep(done.state, { kind: 'tick', nowMs: 110, random: 0.5 }).effects.filter(({ kind }) => kind === 'queryRound'), [])
})

// Guards against two primaries of one term: a task that is made anew forgets which terms were proposed, and servers took its fences for repeated ones.
test('a task of a database that is made anew cannot continue the fence of the one before', () => {
  const context = processContext()
  const [before, after] = [stateOf(['s1'], context), stateOf(['s1'], context)]
  const fenced = fence(newLedger('s1'), 2, before.failover.proposer)
  assert.equal(fenced.accepted, true)
  assert.equal(fence(fenced.ledger, 2, after.failover.proposer).accepted, false)
  assert.equal(promote(fenced.ledger, 2, after.failover.proposer).accepted, false)
})
