import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { databaseStep, initialState, waitingAnswers, type DatabaseState } from '../../src/daemon/database-step.js'
import type { DatabaseDeclaration } from '../../src/model/index.js'

/** The state of a database with one server, before any status was received. */
function stateOf (): DatabaseState {
  const context = {
    settings: { host: { name: 'h1' }, control: { probeTimeoutMs: 100 } },
    ports: { promotionMethod: { kind: 'byLeader' }, driver: { statusDelivery: 'polled' } },
    incarnation: 'a'
  } as unknown as DaemonContext
  const server = { name: 's1', ip: '127.0.0.1', port: 1, failureDomain: 'a', slots: 1, maxConnections: 20, state: 'active' } as const
  const database: DatabaseDeclaration = { name: 'orders', state: 'active', servers: [server] }
  return initialState(context, database)
}

test('a write and a read that wait when the task of their database ends are answered', () => {
  const reply = (): void => {}
  const written = databaseStep(stateOf(), { kind: 'awaitQuorum', position: { term: 1, index: 4 }, deadlineAtMs: 1000, nowMs: 0, reply }).state
  const read = databaseStep(written, { kind: 'quorumMinPosition', targetServer: undefined, nowMs: 0, reply }).state
  assert.deepEqual(waitingAnswers(read), [{ kind: 'answerQuorumWait', reply, hasQuorum: false }, { kind: 'answerMinPosition', reply, minPosition: undefined }])
})
