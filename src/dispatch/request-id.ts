// Request ids. A write that carries one is recorded in the same database
// transaction, under the account and the id; a second write with the same id
// finds the record and runs nothing, through whichever proxy it comes.

import type { AccountName, Answer } from '../model/index.js'
import type { ControlCall, QueryResult, SentStatement, ServerSession } from './server-session.js'

/** The table of records, made at its first use. */
export const requestTable = 'limpetmoor_requests'

const createTable = `CREATE TABLE IF NOT EXISTS ${requestTable} (account VARCHAR(64) NOT NULL, request_id VARCHAR(64) NOT NULL, affected_rows BIGINT NOT NULL, PRIMARY KEY (account, request_id))`
const begin: ControlCall = { kind: 'begin', access: 'write', minPosition: undefined }
const rollback: ControlCall = { kind: 'rollback' }
const duplicateErrorNumber = 1062
const noTableErrorNumber = 1146

/** A write with its request id. */
export type RequestRecord = {
  readonly account: AccountName
  readonly requestId: string
  readonly text: string
}

/** What became of a write with a request id. */
export type RecordedResult =
  | { readonly kind: 'ran', readonly answer: Answer }
  | { readonly kind: 'ranBefore', readonly answer: Answer }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  | { readonly kind: 'failed', readonly detail: string }
  | { readonly kind: 'lost' }
  | { readonly kind: 'notRun', readonly detail: string }

/** Whether the write has a transaction of its own or one that goes on. */
export type RecordScope = 'ownTransaction' | 'openTransaction'

/**
 * Runs a write and records its request id in the same transaction.
 * @param session - a session; in a transaction where the scope says so
 * @param record - the write; its text is empty for `openTransaction`
 * @param timeLeftMs - time left until the deadline
 * @param scope - whose transaction it is
 * @returns what became of it; after `lost` the session is closed
 */
export async function recordRequest (session: ServerSession, record: RequestRecord, timeLeftMs: () => number, scope: RecordScope = 'ownTransaction'): Promise<RecordedResult> {
  const inserted = await insertRecord(session, record, timeLeftMs, scope)
  switch (inserted.kind) {
    case 'lost': return { kind: 'notRun', detail: 'the connection was lost before the statement ran' }
    case 'refused': return inserted.errorNumber === duplicateErrorNumber ? await earlierAnswer(session, record, timeLeftMs) : await refusedAndRolledBack(session, inserted, timeLeftMs)
    case 'failed':
    case 'notRun': return await notRecorded(session, inserted, timeLeftMs)
    case 'answered': return scope === 'openTransaction' ? { kind: 'ran', answer: inserted.answer } : await runAndCommit(session, record, timeLeftMs)
  }
}

async function insertRecord (session: ServerSession, record: RequestRecord, timeLeftMs: () => number, scope: RecordScope): Promise<QueryResult> {
  const insert = `INSERT INTO ${requestTable} (account, request_id, affected_rows) VALUES (${literal(record.account)}, ${literal(record.requestId)}, 0)`
  const first = await beginAndRun(session, insert, timeLeftMs, scope)
  if (first.kind !== 'refused' || first.errorNumber !== noTableErrorNumber) return first
  const rolledBack = await session.control(rollback, timeLeftMs())
  if (rolledBack.kind !== 'answered') return rolledBack
  const made = await session.query(statementOf(createTable), timeLeftMs())
  if (made.kind !== 'answered') return made
  return await beginAndRun(session, insert, timeLeftMs, 'ownTransaction')
}

async function beginAndRun (session: ServerSession, sql: string, timeLeftMs: () => number, scope: RecordScope): Promise<QueryResult> {
  if (scope === 'ownTransaction') {
    const begun = await session.control(begin, timeLeftMs())
    if (begun.kind !== 'answered') return begun
  }
  return await session.query(statementOf(sql), timeLeftMs())
}

async function runAndCommit (session: ServerSession, record: RequestRecord, timeLeftMs: () => number): Promise<RecordedResult> {
  const ran = await session.query(statementOf(record.text), timeLeftMs())
  if (ran.kind !== 'answered') return await notRecorded(session, ran, timeLeftMs)
  const affectedRows = ran.answer.kind === 'done' ? ran.answer.affectedRows : 0
  const update = `UPDATE ${requestTable} SET affected_rows = ${affectedRows} WHERE account = ${literal(record.account)} AND request_id = ${literal(record.requestId)}`
  const updated = await session.query(statementOf(update), timeLeftMs())
  if (updated.kind !== 'answered') return await notRecorded(session, updated, timeLeftMs)
  const committed = await session.control({ kind: 'commit' }, timeLeftMs())
  if (committed.kind !== 'answered') return await notRecorded(session, committed, timeLeftMs)
  return { kind: 'ran', answer: ran.answer }
}

type Unanswered = Exclude<QueryResult, { readonly kind: 'answered' }>

async function notRecorded (session: ServerSession, result: Unanswered, timeLeftMs: () => number): Promise<RecordedResult> {
  if (result.kind === 'lost') return { kind: 'lost' }
  await session.control(rollback, timeLeftMs())
  return result
}

async function refusedAndRolledBack (session: ServerSession, refused: Extract<QueryResult, { readonly kind: 'refused' }>, timeLeftMs: () => number): Promise<RecordedResult> {
  await session.control(rollback, timeLeftMs())
  return refused
}

async function earlierAnswer (session: ServerSession, record: RequestRecord, timeLeftMs: () => number): Promise<RecordedResult> {
  await session.control(rollback, timeLeftMs())
  const found = await session.query(statementOf(`SELECT affected_rows FROM ${requestTable} WHERE account = ${literal(record.account)} AND request_id = ${literal(record.requestId)}`), timeLeftMs())
  if (found.kind !== 'answered' || found.answer.kind !== 'rows') return { kind: 'lost' }
  const affectedRows = Number(found.answer.rows[0]?.[0] ?? 0)
  return { kind: 'ranBefore', answer: { kind: 'done', affectedRows, insertId: 0 } }
}

// Account names and request ids hold no quote; the check keeps it that way.
function literal (value: string): string {
  if (/['\\]/.test(value)) throw new RangeError('a quote in a name')
  return `'${value}'`
}

function statementOf (text: string): SentStatement {
  return { id: undefined, text, prepared: undefined, minPosition: undefined }
}
