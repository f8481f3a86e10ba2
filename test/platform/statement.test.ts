import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { positionText, readCallerMessage, readPosition, readServerMessage } from '../../platform/lines.js'
import { controlFields, parseQuery, queryFields } from '../../platform/statement.js'
import { decodeConfiguration } from '../../platform/configuration.js'
import { decodeServer } from '../../platform/servers.js'

const word = fc.stringMatching(/^[a-z0-9]{1,12}$/)
const anyLine = fc.string({ maxLength: 60 }).map(text => text.replaceAll('\r\n', ''))

test('every line parses to a message, and a query keeps its text', () => {
  fc.assert(fc.property(anyLine, line => {
    assert.ok(readCallerMessage(line).kind.length > 0)
    assert.ok(readServerMessage(line).kind.length > 0)
  }))
  fc.assert(fc.property(word, anyLine, (id, text) => {
    assert.deepEqual(readCallerMessage(`QUERY ${id} ${text}`), { kind: 'query', id, text })
  }))
})

test('a statement is sent unchanged except for its minimum position and its prepared name', () => {
  fc.assert(fc.property(word, anyLine, (id, text) => {
    const statement = parseQuery(id, text)
    assert.deepEqual(queryFields({ ...statement, prepared: undefined, minPosition: undefined }), [text])
    assert.deepEqual(queryFields({ ...statement, prepared: undefined, minPosition: { term: 3, index: 7 } }), ['AFTER', '3.7', text])
  }))
  const prepared = { statement: { access: 'write', shape: 'q2c' }, argument: '1a4 some data' } as const
  assert.deepEqual(queryFields({ id: 'x', text: 'EXECUTE s1 1a4 some data', prepared, minPosition: undefined }), ['EXECUTE', 'wq2c', '1a4 some data'])
})

test('query texts are classified, and unknown ones are malformed', () => {
  const kinds = ['BEGIN', 'BEGIN READ', 'COMMIT', 'ROLLBACK', 'READ a', 'WRITE a b', 'SET a b', 'PREPARE s READ q', 'EXECUTE s a', 'DEALLOCATE s', 'AFTER 1.2 READ a', 'STATUS', 'PAUSE 3', 'READ', 'BEGIN NOW', '']
    .map(text => parseQuery('x', text).statementClass.kind)
  assert.deepEqual(kinds, ['begin', 'begin', 'commit', 'rollback', 'read', 'write', 'setValue', 'prepare', 'executePrepared', 'deallocate', 'malformed', 'malformed', 'malformed', 'malformed', 'malformed', 'malformed'])
})

test('BEGIN carries the minimum position', () => {
  assert.deepEqual(controlFields({ kind: 'begin', access: 'read', minPosition: { term: 2, index: 9 } }), ['AFTER', '2.9', 'BEGIN', 'READ'])
  assert.deepEqual(controlFields({ kind: 'begin', access: 'write', minPosition: { term: 0, index: 0 } }), ['BEGIN'])
})

test('positions are parsed and formatted', () => {
  assert.deepEqual(readPosition('3.1207'), { term: 3, index: 1207 })
  assert.equal(readPosition('-'), undefined)
  assert.equal(positionText(undefined), '-')
})

test('invalid registry entries of another writer are not decoded as servers', () => {
  const entry = { Service: 's', Addr: '10.0.0.1:80', Zone: 'z', Version: 'v1', Slots: 5, State: 'ready', ColdLeftMs: 0, DbRole: 'replica', Seq: 1 }
  assert.equal(decodeServer('i-1', entry)?.state, 'active')
  for (const broken of [undefined, 7, {}, { ...entry, State: 'sleeping' }, { ...entry, Slots: 'many' }, { ...entry, Addr: 'nowhere' }]) assert.equal(decodeServer('i-1', broken), undefined)
})

test('a decoded configuration holds digests instead of keys, and the staleness bound of each route', () => {
  const accepted = decodeConfiguration({
    Version: 7,
    Routes: [{ Host: 'lookup', Service: 's', Kind: 'bounded_staleness', MaxStalenessMs: 1500, TimeoutMs: 3000, LatencyGoalMs: 800, Priority: 2, Public: false }],
    Services: [{ Name: 's', MaxConns: 76 }],
    Tenants: [{ Name: 'bindery', ApiKeys: ['a-key'], RatePerS: 9, Burst: 9 }]
  })
  assert.equal(JSON.stringify(accepted).includes('a-key'), false)
  assert.deepEqual(accepted?.manifest.routes[0]?.policy?.freshness, { kind: 'age', maxAgeMs: 1500 })
  assert.equal(decodeConfiguration({ Version: 'seven' }), undefined)
})
