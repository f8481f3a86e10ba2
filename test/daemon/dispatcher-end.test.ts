import assert from 'node:assert/strict'
import { test } from 'node:test'
import { endCauseOf } from '../../src/daemon/dispatcher-end.js'
import type { DatabaseDeclaration, ServerDeclaration } from '../../src/model/index.js'

const server: ServerDeclaration = { name: 's1', ip: '127.0.0.1', port: 3306, failureDomain: 'a', slots: 5, maxConnections: 75, state: 'active' }

function databaseOf (...servers: readonly ServerDeclaration[]): DatabaseDeclaration {
  return { name: 'orders', state: 'active', servers }
}

// Guards against sessions and permits of another server, or of another limit, that go on being used.
test('a dispatcher ends with its server, its address, its slots or its connection limit, and with nothing else', () => {
  const causeOf = (change: Partial<ServerDeclaration>): unknown => endCauseOf(databaseOf(server), databaseOf({ ...server, ...change }), 's1')
  const changes: ReadonlyArray<Partial<ServerDeclaration>> = [{ ip: '127.0.0.2' }, { port: 3307 }, { slots: 4 }, { maxConnections: 74 }]
  assert.deepEqual(changes.map(causeOf), changes.map(() => 'serverChanged'))
  assert.deepEqual([causeOf({}), causeOf({ state: 'leaving' }), causeOf({ failureDomain: 'b' }), causeOf({ newWorkUntilMs: 5 })], [undefined, undefined, undefined, undefined])
  assert.equal(endCauseOf(databaseOf(server), databaseOf(), 's1'), 'serverGone')
})
