import assert from 'node:assert/strict'
import { test } from 'node:test'
import { noHints, type Hints } from '../../../src/model/index.js'
import { classify, parseHints } from '../../../src/wire/sql/index.js'

function kindOf (sql: string, hints: Partial<Hints> = {}): string {
  return classify(sql, { ...noHints, ...hints }).kind
}

test('only a plain SELECT is a read', () => {
  const reads = [
    'SELECT 1',
    'select a, `b c` from t where x = \'FOR UPDATE\' and y in (1, 2);',
    '/* limpetmoor max_age_ms=5 */ SELECT COUNT(*) FROM t -- FOR UPDATE\n',
    'SELECT COALESCE(SUM(x), 0) FROM t WHERE name LIKE "a\\"b%"'
  ]
  for (const sql of reads) assert.equal(kindOf(sql), 'read', sql)
})

test('whatever may write, lock or call unknown code is a write', () => {
  const writes = [
    'SELECT * FROM t FOR UPDATE',
    'SELECT * FROM t LOCK IN SHARE MODE',
    'SELECT a INTO OUTFILE \'x\' FROM t',
    'SELECT nextval(s)',
    'SELECT `nextval`(s)',
    'SELECT @a := 1',
    'SELECT /*!40001 SQL_NO_CACHE */ 1',
    'SELECT \'never ends',
    'WITH x AS (SELECT 1) DELETE FROM t',
    '(SELECT 1)',
    'INSERT INTO t VALUES (1)',
    'CALL anything()'
  ]
  for (const sql of writes) assert.equal(kindOf(sql), 'write', sql)
})

test('what would change a shared session or run twice in one text is refused', () => {
  const refused = ['', ';', 'SET @a = 1', 'SET autocommit = 0', 'USE other', 'SELECT 1; DELETE FROM t', 'LOCK TABLES t READ', 'CREATE TEMPORARY TABLE t (a INT)', 'CALL ledger_fence(9, \'x\')', 'COMMIT AND CHAIN']
  for (const sql of refused) assert.equal(kindOf(sql), 'unsupported', sql)
})

test('changes of the schema are told apart from other writes', () => {
  for (const sql of ['CREATE TABLE t (a INT)', 'alter table t add b INT', 'DROP TABLE t', 'TRUNCATE t']) assert.equal(kindOf(sql), 'define', sql)
})

test('drivers may set what holds anyway', () => {
  assert.equal(kindOf('SET NAMES utf8mb4'), 'setDefault')
  assert.equal(kindOf('SET autocommit=1'), 'setDefault')
})

test('the session token is read and set by the proxy', () => {
  assert.equal(kindOf('SELECT @@limpetmoor_session'), 'readToken')
  assert.deepEqual(classify('SET @@limpetmoor_session = \'abc\'', noHints), { kind: 'setToken', token: 'abc' })
})

test('transactions are recognised', () => {
  assert.deepEqual(['BEGIN', 'start transaction read only', 'COMMIT', 'rollback'].map(sql => kindOf(sql)), ['begin', 'begin', 'commit', 'rollback'])
  assert.equal(kindOf('ROLLBACK TO SAVEPOINT a'), 'write')
})

test('hints set the level of a read', () => {
  assert.deepEqual(classify('SELECT 1', { ...noHints, maxAgeMs: 50 }), { kind: 'read', level: { kind: 'age', maxAgeMs: 50 } })
  assert.deepEqual(classify('SELECT 1', { ...noHints, latest: true }), { kind: 'read', level: { kind: 'latest' } })
})

test('hints are read from the leading comment', () => {
  assert.deepEqual(parseHints('/* limpetmoor max_age_ms=20 request_id=a-1 once deadline_ms=5 */ SELECT 1'), {
    kind: 'hints',
    hints: { ...noHints, maxAgeMs: 20, requestId: 'a-1', once: true, deadlineMs: 5 }
  })
  assert.deepEqual(parseHints('/* other */ SELECT 1'), { kind: 'hints', hints: noHints })
})

test('a malformed hint is an error, never ignored', () => {
  for (const hint of ['max_age_ms', 'max_age_ms=-1', 'max_age_ms=1.5', 'once=yes', 'request_id=', 'request_id=a\'b', 'unheard_of']) {
    assert.equal(parseHints(`/* limpetmoor ${hint} */ SELECT 1`).kind, 'malformed', hint)
  }
})
