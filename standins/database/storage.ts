// The data of one server: SQLite in a temporary folder that is removed when the
// server stops. A session that writes or opens a transaction has its own
// connection; reads outside transactions share one. No call blocks on a lock,
// since the server lets only one session write at a time.

import Database from 'better-sqlite3'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { toSqlite } from './dialect.js'
import type { LogEntry } from './log.js'
import { errorReply, type BeginMode, type SqlReply, type SqlValue } from './server-state.js'

type SessionDatabase = {
  /** Number of rebuilds of the data before the connection was opened. */
  readonly generation: number
  readonly database: Database.Database
}

/** MySQL error numbers by SQLite error code. */
const errorNumbers: ReadonlyMap<string, number> = new Map([
  ['SQLITE_CONSTRAINT_UNIQUE', 1062],
  ['SQLITE_CONSTRAINT_PRIMARYKEY', 1062],
  ['SQLITE_CONSTRAINT_ROWID', 1062],
  ['SQLITE_CONSTRAINT_NOTNULL', 1048],
  ['SQLITE_CONSTRAINT_CHECK', 3819],
  ['SQLITE_CONSTRAINT_FOREIGNKEY', 1452],
  ['SQLITE_BUSY', 1205],
  ['SQLITE_BUSY_SNAPSHOT', 1213]
])

const errorTexts: ReadonlyArray<readonly [RegExp, number]> = [
  [/no such table/, 1146],
  [/no such column/, 1054],
  [/already exists/, 1050],
  [/syntax error|incomplete input|unrecognized token/, 1064]
]

/** The data of one server. */
export class SqlStorage {
  readonly #folder: string
  readonly #sessions = new Map<number, SessionDatabase>()
  /** Number of rebuilds of the data; each rebuild writes to a new file. */
  #generation = 0
  #shared: Database.Database

  constructor (server: string) {
    this.#folder = mkdtempSync(join(tmpdir(), `limpetmoor-${server}-`))
    this.#shared = this.#connect()
  }

  /** Runs one statement, on the connection of the session or on the shared one. */
  execute (session: number, text: string, begin: BeginMode, ownConnection: boolean): SqlReply {
    const database = ownConnection ? this.#connectionOf(session) : this.#shared
    try {
      if (begin !== 'none') database.exec(begin === 'write' ? 'BEGIN IMMEDIATE' : 'BEGIN')
      return runStatement(database, text)
    } catch (error) {
      return sqlError(error)
    }
  }

  inTransaction (session: number): boolean {
    return this.#sessions.get(session)?.database.inTransaction ?? false
  }

  commit (session: number): void {
    this.#sessions.get(session)?.database.exec('COMMIT')
  }

  rollback (session: number): void {
    if (this.inTransaction(session)) this.#sessions.get(session)?.database.exec('ROLLBACK')
  }

  /** Closes the connection of a session; its open transaction is rolled back. */
  closeSession (session: number): void {
    this.#sessions.get(session)?.database.close()
    this.#sessions.delete(session)
  }

  /** Applies log entries in one transaction. */
  apply (entries: readonly LogEntry[]): void {
    replay(this.#shared, entries)
  }

  /**
   * Rebuilds the data from the log. New reads use the result at once; open
   * snapshots stay unchanged.
   */
  rebuild (entries: readonly LogEntry[]): void {
    const old = this.#shared
    this.#generation += 1
    this.#shared = this.#connect()
    replay(this.#shared, entries)
    old.close()
  }

  close (): void {
    for (const { database } of this.#sessions.values()) database.close()
    this.#shared.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  // After a rebuild, a session reconnects to the new data once its transaction
  // on the old data has ended.
  #connectionOf (session: number): Database.Database {
    const existing = this.#sessions.get(session)
    if (existing !== undefined && (existing.generation === this.#generation || existing.database.inTransaction)) return existing.database
    existing?.database.close()
    const database = this.#connect()
    this.#sessions.set(session, { generation: this.#generation, database })
    return database
  }

  #connect (): Database.Database {
    const database = new Database(join(this.#folder, `data-${this.#generation}.db`), { timeout: 0 })
    database.pragma('journal_mode = WAL')
    database.pragma('synchronous = OFF')
    return database
  }
}

function replay (database: Database.Database, entries: readonly LogEntry[]): void {
  database.exec('BEGIN IMMEDIATE')
  for (const entry of entries) {
    for (const text of entry.statements) runStatement(database, text)
  }
  database.exec('COMMIT')
}

function runStatement (database: Database.Database, text: string): SqlReply {
  const statement = database.prepare(toSqlite(text)).safeIntegers(true)
  if (statement.reader) {
    const rows = statement.raw(true).all() as ReadonlyArray<readonly SqlValue[]>
    return { kind: 'rows', columns: statement.columns().map(column => column.name), rows }
  }
  const result = statement.run()
  return { kind: 'done', affectedRows: result.changes, insertId: Number(result.lastInsertRowid) }
}

function sqlError (error: unknown): SqlReply {
  if (!(error instanceof Error)) return errorReply(1105, String(error))
  const code = error instanceof Database.SqliteError ? errorNumbers.get(error.code) : undefined
  const byText = errorTexts.find(([pattern]) => pattern.test(error.message))?.[1]
  return errorReply(code ?? byText ?? 1105, error.message)
}
