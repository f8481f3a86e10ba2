// Request ids make writes idempotent. A write that carries an id is recorded in
// the same database transaction, under the account and the id. A second write
// with the same id, through any proxy, finds the record and runs nothing. It
// returns the recorded number of affected rows, without insert id or result
// rows. A second transaction with the same id is refused as a duplicate key. The
// proxy never deletes records.

import type { AccountName, Answer } from '../model/index.js'
import type { ControlCall, QueryResult, SentStatement, ServerSession } from './server-session.js'

/** Table of the recorded request ids, created at its first use. */
export const requestTable = 'limpetmoor_requests'

const createTable = `CREATE TABLE IF NOT EXISTS ${requestTable} (account VARCHAR(64) NOT NULL, request_id VARCHAR(64) NOT NULL, affected_rows BIGINT NOT NULL, PRIMARY KEY (account, request_id))`
const begin: ControlCall = { kind: 'begin', access: 'write', minPosition: undefined }
const rollback: ControlCall = { kind: 'rollback' }
const duplicateErrorNumber = 1062
const missingTableErrorNumber = 1146

/** A write with its request id. */
export type RequestRecord = {
  readonly account: AccountName
  readonly requestId: string
  readonly text: string
}

/** Result of a write with a request id. */
export type RecordedResult =
  | { readonly kind: 'ran', readonly answer: Answer }
  /** A record of the same id exists; the write did not run again. */
  | { readonly kind: 'ranBefore', readonly answer: Answer }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  | { readonly kind: 'failed', readonly detail: string }
  /**
   * No answer from the server, so the write may have run; or a record exists but
   * could not be read.
   */
  | { readonly kind: 'lost' }
  | { readonly kind: 'notRun', readonly detail: string }

/** Whether the record is committed with its write, or belongs to a transaction that stays open. */
export type RecordScope = 'ownTransaction' | 'openTransaction'

/**
 * Runs a write and records its request id in the same transaction.
 * @param session - a session; within a transaction for scope `openTransaction`
 * @param record - the write; its text is empty for `openTransaction`
 * @param timeLeftMs - time left until the deadline
 * @param scope - the transaction of the record
 * @returns the result; after `lost` the session may be closed
 */
export async function runWithRequestId (session: ServerSession, record: RequestRecord, timeLeftMs: () => number, scope: RecordScope = 'ownTransaction'): Promise<RecordedResult> {
  const inserted = await insertRecord(session, record, timeLeftMs, scope)
  switch (inserted.kind) {
    case 'lost': return { kind: 'notRun', detail: 'the connection was lost before the statement ran' }
    case 'refused': return inserted.errorNumber === duplicateErrorNumber ? await recordedAnswer(session, record, timeLeftMs) : await rollbackAndRefuse(session, inserted, timeLeftMs)
    case 'failed':
    case 'notRun': return await rollbackAndReturn(session, inserted, timeLeftMs)
    case 'answered': return scope === 'openTransaction' ? { kind: 'ran', answer: inserted.answer } : await runAndCommit(session, record, timeLeftMs)
  }
}

async function insertRecord (session: ServerSession, record: RequestRecord, timeLeftMs: () => number, scope: RecordScope): Promise<QueryResult> {
  const insert = `INSERT INTO ${requestTable} (account, request_id, affected_rows) VALUES (${quotedLiteral(record.account)}, ${quotedLiteral(record.requestId)}, 0)`
  const first = await beginAndQuery(session, insert, timeLeftMs, scope)
  if (first.kind !== 'refused' || first.errorNumber !== missingTableErrorNumber) return first
  const rolledBack = await session.control(rollback, timeLeftMs())
  if (rolledBack.kind !== 'answered') return rolledBack
  const created = await session.query(unpreparedStatement(createTable), timeLeftMs())
  if (created.kind !== 'answered') return created
  // The rollback also ended a transaction of scope `openTransaction`, so a new one
  // is begun in both scopes; in that scope it stays open.
  return await beginAndQuery(session, insert, timeLeftMs, 'ownTransaction')
}

async function beginAndQuery (session: ServerSession, sql: string, timeLeftMs: () => number, scope: RecordScope): Promise<QueryResult> {
  if (scope === 'ownTransaction') {
    const begun = await session.control(begin, timeLeftMs())
    if (begun.kind !== 'answered') return begun
  }
  return await session.query(unpreparedStatement(sql), timeLeftMs())
}

async function runAndCommit (session: ServerSession, record: RequestRecord, timeLeftMs: () => number): Promise<RecordedResult> {
  const ran = await session.query(unpreparedStatement(record.text), timeLeftMs())
  if (ran.kind !== 'answered') return await rollbackAndReturn(session, ran, timeLeftMs)
  const affectedRows = ran.answer.kind === 'done' ? ran.answer.affectedRows : 0
  const update = `UPDATE ${requestTable} SET affected_rows = ${affectedRows} WHERE account = ${quotedLiteral(record.account)} AND request_id = ${quotedLiteral(record.requestId)}`
  const updated = await session.query(unpreparedStatement(update), timeLeftMs())
  if (updated.kind !== 'answered') return await rollbackAndReturn(session, updated, timeLeftMs)
  const committed = await session.control({ kind: 'commit' }, timeLeftMs())
  if (committed.kind !== 'answered') return await rollbackAndReturn(session, committed, timeLeftMs)
  return { kind: 'ran', answer: ran.answer }
}

type Unanswered = Exclude<QueryResult, { readonly kind: 'answered' }>

async function rollbackAndReturn (session: ServerSession, result: Unanswered, timeLeftMs: () => number): Promise<RecordedResult> {
  if (result.kind === 'lost') return { kind: 'lost' }
  await session.control(rollback, timeLeftMs())
  return result
}

async function rollbackAndRefuse (session: ServerSession, refused: Extract<QueryResult, { readonly kind: 'refused' }>, timeLeftMs: () => number): Promise<RecordedResult> {
  await session.control(rollback, timeLeftMs())
  return refused
}

async function recordedAnswer (session: ServerSession, record: RequestRecord, timeLeftMs: () => number): Promise<RecordedResult> {
  await session.control(rollback, timeLeftMs())
  const found = await session.query(unpreparedStatement(`SELECT affected_rows FROM ${requestTable} WHERE account = ${quotedLiteral(record.account)} AND request_id = ${quotedLiteral(record.requestId)}`), timeLeftMs())
  if (found.kind !== 'answered' || found.answer.kind !== 'rows') return { kind: 'lost' }
  const affectedRows = Number(found.answer.rows[0]?.[0] ?? 0)
  return { kind: 'ranBefore', answer: { kind: 'done', affectedRows, insertId: 0 } }
}

// Account names and request ids contain no quotes or backslashes; the check
// enforces this.
function quotedLiteral (value: string): string {
  if (/['\\]/.test(value)) throw new RangeError('an account name or request id contains a quote or backslash')
  return `'${value}'`
}

function unpreparedStatement (text: string): SentStatement {
  return { id: undefined, text, prepared: undefined, minPosition: undefined }
}
