import assert from 'node:assert/strict'
import { test } from 'node:test'
import { requestedServiceMs, statementKind, toSqlite } from '../../standins/database/dialect.js'

test('MySQL literals become SQLite literals with the same content', () => {
  const cases: ReadonlyArray<readonly [string, string]> = [
    ["SELECT 'it\\'s'", "SELECT 'it''s'"],
    ["SELECT 'it''s'", "SELECT 'it''s'"],
    ['SELECT "it\'s ""x"""', "SELECT 'it''s \"x\"'"],
    ["SELECT 'a\\nb\\\\c'", "SELECT 'a\nb\\c'"],
    ["SELECT 'ENGINE=x FOR UPDATE' FOR UPDATE", "SELECT 'ENGINE=x FOR UPDATE' "],
    ['SELECT `FOR UPDATE` /* FOR UPDATE */', 'SELECT `FOR UPDATE` /* FOR UPDATE */'],
    ['INSERT IGNORE INTO t VALUES (1)', 'INSERT OR IGNORE INTO t VALUES (1)'],
    ['CREATE TABLE t (id BIGINT NOT NULL PRIMARY KEY AUTO_INCREMENT) ENGINE=InnoDB', 'CREATE TABLE t (id INTEGER PRIMARY KEY AUTOINCREMENT) ']
  ]
  for (const [mysql, sqlite] of cases) assert.equal(toSqlite(mysql), sqlite)
})

test('statements are classified regardless of comments', () => {
  const cases: ReadonlyArray<readonly [string, string]> = [
    ['/* hint */ select 1', 'read'],
    ['(SELECT 1)', 'read'],
    ['WITH x AS (SELECT 1) SELECT * FROM x', 'write'],
    ["INSERT INTO t VALUES ('SELECT')", 'write'],
    ['-- c\nBEGIN', 'begin'],
    ['start transaction read only', 'begin'],
    ['COMMIT;', 'commit'],
    ['ROLLBACK', 'rollback'],
    ['ROLLBACK TO x', 'unsupported'],
    ['PRAGMA journal_mode', 'unsupported'],
    ['SET NAMES utf8mb4', 'set']
  ]
  for (const [text, kind] of cases) assert.equal(statementKind(text).kind, kind, text)
  assert.deepEqual(statementKind("CALL Ledger_Fence(3, 'it''s')"), { kind: 'call', name: 'ledger_fence', args: [3, "it's"] })
  assert.deepEqual([requestedServiceMs('SELECT 1 /* service_ms=70 */'), requestedServiceMs('SELECT 1')], [70, undefined])
})
