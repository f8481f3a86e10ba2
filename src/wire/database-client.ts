// Client of database servers. This module alone uses the client side of mysql2
// and implements the ledger calls. A call that times out or fails on the
// connection closes the session, so that a late response cannot be taken for
// that of another statement. Errors state whether the statement may have
// reached the server.

import mysql, { type Connection, type FieldPacket, type QueryError, type ResultSetHeader } from 'mysql2'
import type { Address, Answer, Cell, Column, Position, ServerName, ServerStatus } from '../model/index.js'
import { emptyContext, type ControlCall, type QueryResult } from '../dispatch/index.js'
import { wholeMs, withTimeout, type TimerService } from '../pipe/index.js'
import { WireError, type DatabaseSession, type LedgerResponse, type LedgerCalls } from '../ports/index.js'

/** Credentials with which the proxy logs in to database servers. */
export type DatabaseLogin = {
  readonly user: string
  readonly password: string
}

/** System error codes after which no connection to the server exists. */
const connectionRefusedCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENETUNREACH', 'EHOSTUNREACH', 'ECONNRESET'])

/**
 * Opens a session.
 * @param address - address of the server
 * @param login - the proxy's credentials
 * @param timers - the timer service
 * @param timeoutMs - timeout of connecting and login
 * @returns the session; throws a `WireError`
 */
export async function openSession (address: Address, login: DatabaseLogin, timers: TimerService, timeoutMs: number): Promise<DatabaseSession> {
  const connection = mysql.createConnection({
    host: address.ip,
    port: address.port,
    user: login.user,
    password: login.password,
    connectTimeout: timeoutMs,
    rowsAsArray: true,
    charset: 'utf8mb4',
    typeCast: field => field.buffer()?.toString('latin1') ?? null
  })
  const session = sessionFor(connection, timers)
  const connecting = new Promise<void>((resolve, reject) => {
    connection.connect(error => { if (error === null) resolve(); else reject(error) })
  })
  const result = await withTimeout(timers, timeoutMs, connecting).catch(error => {
    session.close()
    throw loginError(address, error as QueryError)
  })
  if (result.kind === 'done') return session
  session.close()
  throw new WireError('overdue', `${address.ip}:${address.port} did not complete the login in ${timeoutMs} ms`)
}

function loginError (address: Address, error: QueryError): WireError {
  const where = `${address.ip}:${address.port}`
  if (connectionRefusedCodes.has(error.code)) return new WireError('refused', `${where} refused the connection`, error)
  if (error.errno !== undefined) return new WireError('rejected', `${where} rejected the login`, error)
  return new WireError('lost', `the connection to ${where} was lost at login`, error)
}

function sessionFor (connection: Connection, timers: TimerService): DatabaseSession {
  const state = { isUsable: true }
  const pendingQueries = new Set<(result: QueryResult) => void>()
  const close = (): void => {
    state.isUsable = false
    for (const complete of pendingQueries) complete({ kind: 'lost', failure: 'lost' })
    connection.destroy()
  }
  const run = async (sql: string): Promise<QueryResult> => await new Promise(resolve => {
    pendingQueries.add(resolve)
    void runQuery(connection, sql).then(result => {
      pendingQueries.delete(resolve)
      resolve(result)
    })
  })
  connection.on('error', close)
  const query = async (sql: string, timeoutMs: number): Promise<QueryResult> => {
    if (!state.isUsable) return { kind: 'lost', failure: 'lost' }
    const result = await withTimeout(timers, timeoutMs, run(sql))
    if (result.kind === 'done' && result.value.kind !== 'lost') return result.value
    close()
    return result.kind === 'done' ? result.value : { kind: 'lost', failure: 'overdue' }
  }
  const ledger = ledgerCalls(query)
  const position = async (timeoutMs: number): Promise<Position | undefined> => await ledger.position(timeoutMs).catch(() => {
    close()
    return undefined
  })
  const connectionId = (): number | undefined => connection.threadId ?? undefined
  const kill = async (connectionId: number, timeoutMs: number): Promise<QueryResult> => await query(`KILL ${connectionId}`, timeoutMs)
  return {
    isUsable: () => state.isUsable,
    close,
    query: async ({ text }, timeoutMs) => await query(text, timeoutMs),
    control: async (call, timeoutMs) => await query(controlText(call), timeoutMs),
    context: () => emptyContext,
    position,
    ledger,
    connectionId,
    kill
  }
}

function controlText (call: ControlCall): string {
  switch (call.kind) {
    case 'begin': return 'BEGIN'
    case 'commit': return 'COMMIT'
    case 'rollback': return 'ROLLBACK'
    case 'reset':
    case 'setValue':
    case 'prepare': throw new RangeError(`the MySQL front end rejects statements that require ${call.kind}`)
  }
}

async function runQuery (connection: Connection, sql: string): Promise<QueryResult> {
  return await new Promise(resolve => {
    connection.query(sql, (error: QueryError | null, rows: unknown, fields: unknown) => {
      if (error === null) resolve({ kind: 'answered', answer: answerOf(rows, fields) })
      else resolve(failureOf(error))
    })
  })
}

function failureOf (error: QueryError): QueryResult {
  if (error.fatal || error.errno === undefined || error.errno < 0) return { kind: 'lost', failure: 'lost' }
  return {
    kind: 'refused',
    errorNumber: error.errno,
    sqlState: error.sqlState ?? 'HY000',
    message: error.message
  }
}

function answerOf (rows: unknown, fields: unknown): Answer {
  if (!Array.isArray(rows)) {
    const header = rows as ResultSetHeader
    return { kind: 'done', affectedRows: header.affectedRows, insertId: header.insertId }
  }
  return {
    kind: 'rows',
    columns: (fields as readonly FieldPacket[]).map(columnOf),
    rows: rows as ReadonlyArray<readonly Cell[]>
  }
}

function columnOf (field: FieldPacket): Column {
  return {
    name: field.name,
    type: field.columnType ?? field.type ?? 0,
    flags: typeof field.flags === 'number' ? field.flags : 0,
    length: field.columnLength ?? field.length ?? 0,
    decimals: field.decimals ?? 0,
    characterSet: field.characterSet ?? 45
  }
}

type Query = (text: string, timeoutMs: number) => Promise<QueryResult>

function ledgerCalls (query: Query): LedgerCalls {
  const call = async (sql: string, timeoutMs: number): Promise<Row> => await firstRow(query, sql, timeoutMs)
  return {
    status: async timeoutMs => statusOf(await call('CALL ledger_status()', timeoutMs)),
    wait: async (lastStatus, waitMs, timeoutMs) => {
      const { received, applied } = lastStatus
      const values = [received.term, received.index, applied.term, applied.index, lastStatus.fencedTerm, wholeMs(waitMs)]
      return statusOf(await call(`CALL ledger_wait(${values.join(', ')})`, timeoutMs))
    },
    fence: async (term, proposer, timeoutMs) => ledgerResponse(await call(`CALL ledger_fence(${term}, ${quote(proposer)})`, timeoutMs)),
    promote: async (term, proposer, timeoutMs) => ledgerResponse(await call(`CALL ledger_promote(${term}, ${quote(proposer)})`, timeoutMs)),
    follow: async (term, proposer, primary, timeoutMs) => ledgerResponse(await call(`CALL ledger_follow(${term}, ${quote(proposer)}, ${quote(primary.ip)}, ${primary.port})`, timeoutMs)),
    position: async timeoutMs => {
      const row = await call('CALL ledger_position()', timeoutMs)
      return { term: Number(row.get('term')), index: Number(row.get('index_no')) }
    }
  }
}

type Row = ReadonlyMap<string, Cell>

async function firstRow (query: Query, sql: string, timeoutMs: number): Promise<Row> {
  const result = await query(sql, timeoutMs)
  switch (result.kind) {
    case 'lost': throw new WireError(result.failure, 'a ledger call got no response')
    case 'refused': throw new WireError('rejected', `the server rejected a ledger call: ${result.message}`)
    case 'failed':
    case 'notRun': throw new WireError('rejected', `a ledger call was not run: ${result.detail}`)
    case 'answered': return rowOf(result.answer)
  }
}

function rowOf (answer: Answer): Row {
  const row = answer.kind === 'rows' ? answer.rows[0] : undefined
  if (answer.kind !== 'rows' || row === undefined) throw new WireError('rejected', 'a ledger call returned no row')
  return new Map(answer.columns.map((column, i) => [column.name, row[i] ?? null]))
}

function statusOf (row: Row): ServerStatus {
  return {
    server: text(row, 'server'),
    role: text(row, 'role') === 'primary' ? 'primary' : 'replica',
    fencedTerm: Number(row.get('fenced_term')),
    proposer: text(row, 'proposer'),
    received: { term: Number(row.get('received_term')), index: Number(row.get('received_index')) },
    applied: { term: Number(row.get('applied_term')), index: Number(row.get('applied_index')) }
  }
}

function text (row: Row, name: string): ServerName {
  return Buffer.from(row.get(name) ?? '', 'latin1').toString('utf8')
}

function ledgerResponse (row: Row): LedgerResponse {
  return { accepted: Number(row.get('accepted')) === 1, status: statusOf(row) }
}

/**
 * Quotes a text as an SQL string literal.
 * @param value - the text
 * @returns the literal
 */
export function quote (value: string): string {
  return mysql.escape(value)
}
