// The ledger calls (`CALL ledger_...`), which need neither a slot nor the write
// lock.

import * as z from 'zod'
import type { Reply } from '../../src/pipe/index.js'
import { hasChangedSince, fence, follow, promote, ship, statusOf, type Ledger, type LedgerCallResult, type Shipment } from './ledger.js'
import {
  replyWith, doneReply, errorReply, type LedgerWait, type Next, type ServerState, type Session, type SqlReply, type SqlValue
} from './server-state.js'

/** Maximum wait time that a call may request. */
const maxWaitMs = 60_000

const term = z.number().int().min(0)
const ip = z.string().min(1)
const timeoutMs = z.number().min(0).max(maxWaitMs)
const waitArgs = z.tuple([term, term, term, term, term, timeoutMs])
const fenceArgs = z.tuple([term, z.string()])
const followArgs = z.tuple([term, z.string(), ip, z.number().int()])
const logArgs = z.tuple([term, term, term, timeoutMs])
const tuningArgs = z.tuple([z.enum(['lag_ms', 'service_ms', 'connect_delay_ms']), z.number().min(0)])

const statusColumns = ['server', 'role', 'fenced_term', 'proposer', 'received_term', 'received_index', 'applied_term', 'applied_index']

export function executeLedgerCall (state: ServerState, session: Session, name: string, args: ReadonlyArray<string | number>, reply: Reply<SqlReply>): Next {
  const rawArgs = args as readonly unknown[]
  switch (name) {
    case 'ledger_status': return replyWith(state, reply, statusReply(state.ledger))
    case 'ledger_position': return replyWith(state, reply, rowsReply(['term', 'index_no'], [[session.position.term, session.position.index]]))
    case 'ledger_sessions': return replyWith(state, reply, sessionsReply(state))
    case 'ledger_statements': return replyWith(state, reply, rowsReply(['statement'], state.statements.map(text => [text])))
    case 'ledger_wait': return withParsedArgs(state, reply, waitArgs.safeParse(rawArgs), ([receivedTerm, receivedIndex, appliedTerm, appliedIndex, fencedTerm, waitMs]) => {
      const lastStatus = { received: { term: receivedTerm, index: receivedIndex }, applied: { term: appliedTerm, index: appliedIndex }, fencedTerm }
      return waitForChange(state, { kind: 'status', id: state.nextId, reply, lastStatus }, waitMs)
    })
    case 'ledger_log': return withParsedArgs(state, reply, logArgs.safeParse(rawArgs), ([logTerm, afterTerm, afterIndex, waitMs]) =>
      waitForChange(state, { kind: 'log', id: state.nextId, reply, term: logTerm, after: { term: afterTerm, index: afterIndex } }, waitMs))
    case 'ledger_fence': return withParsedArgs(state, reply, fenceArgs.safeParse(rawArgs), ([of, proposer]) =>
      replyWithResult(state, reply, fence(state.ledger, of, proposer)))
    case 'ledger_promote': return withParsedArgs(state, reply, fenceArgs.safeParse(rawArgs), ([of, proposer]) =>
      replyWithResult(state, reply, promote(state.ledger, of, proposer)))
    case 'ledger_follow': return withParsedArgs(state, reply, followArgs.safeParse(rawArgs), ([of, proposer, sourceIp, port]) =>
      replyWithResult(state, reply, follow(state.ledger, of, proposer, { ip: sourceIp, port })))
    case 'ledger_tune': return withParsedArgs(state, reply, tuningArgs.safeParse(rawArgs), ([setting, value]) =>
      replyWith({ ...state, tuning: { ...state.tuning, [tuningField[setting]]: value } }, reply, doneReply))
    default: return replyWith(state, reply, errorReply(1305, `PROCEDURE ${name} does not exist`))
  }
}

const tuningField = { lag_ms: 'lagMs', service_ms: 'serviceMs', connect_delay_ms: 'connectDelayMs' } as const

function withParsedArgs<T> (state: ServerState, reply: Reply<SqlReply>, result: z.ZodSafeParseResult<T>, run: (args: T) => Next): Next {
  if (result.success) return run(result.data)
  return replyWith(state, reply, errorReply(1318, `Incorrect arguments: ${z.prettifyError(result.error)}`))
}

function replyWithResult (state: ServerState, reply: Reply<SqlReply>, result: LedgerCallResult): Next {
  const status = statusReply(result.ledger)
  const row = [result.accepted ? 1 : 0, ...(status.rows[0] ?? [])]
  return replyWith({ ...state, ledger: result.ledger }, reply, rowsReply(['accepted', ...status.columns], [row]))
}

function waitForChange (state: ServerState, wait: LedgerWait, waitMs: number): Next {
  const answer = replyIfReady(state.ledger, wait)
  if (answer !== undefined) return replyWith(state, wait.reply, answer)
  return {
    state: { ...state, nextId: state.nextId + 1, waits: [...state.waits, wait] },
    effects: [{ kind: 'sendAfter', delayMs: waitMs, message: { kind: 'waitTimedOut', id: wait.id } }]
  }
}

/**
 * Answers the waiting calls whose condition the last change of the ledger
 * meets.
 */
export function completeWaits (state: ServerState): Next {
  const answers = state.waits.map(wait => ({ wait, answer: replyIfReady(state.ledger, wait) }))
  const replies = answers.flatMap(({ wait, answer }) => answer === undefined ? [] : [{ kind: 'reply', reply: wait.reply, answer } as const])
  return { state: { ...state, waits: answers.filter(each => each.answer === undefined).map(each => each.wait) }, effects: replies }
}

export function waitTimedOut (state: ServerState, id: number): Next {
  const expired = state.waits.find(wait => wait.id === id)
  if (expired === undefined) return { state, effects: [] }
  const answer = expired.kind === 'status' ? statusReply(state.ledger) : shipmentReply({ kind: 'entries', entries: [] })
  return replyWith({ ...state, waits: state.waits.filter(wait => wait.id !== id) }, expired.reply, answer)
}

function replyIfReady (ledger: Ledger, wait: LedgerWait): SqlReply | undefined {
  switch (wait.kind) {
    case 'status': return hasChangedSince(ledger, wait.lastStatus) ? statusReply(ledger) : undefined
    case 'log': {
      const shipment = ship(ledger, wait.term, wait.after)
      const empty = shipment.kind === 'entries' && shipment.entries.length === 0
      return empty ? undefined : shipmentReply(shipment)
    }
  }
}

type RowsReply = SqlReply & { readonly kind: 'rows' }

function statusReply (ledger: Ledger): RowsReply {
  const status = statusOf(ledger)
  return rowsReply(statusColumns, [[
    status.server, status.role, status.fencedTerm, status.proposer,
    status.received.term, status.received.index, status.applied.term, status.applied.index
  ]])
}

export const shipmentColumns = ['kind', 'term', 'index_no', 'statements'] as const

function shipmentReply (shipment: Shipment): SqlReply {
  switch (shipment.kind) {
    case 'notPrimary': return errorReply(1290, 'The server is not primary of that term')
    case 'retry': return rowsReply(shipmentColumns, [['retry', shipment.at.term, shipment.at.index, '[]']])
    case 'entries': return rowsReply(shipmentColumns, shipment.entries.map(entry =>
      ['entry', entry.position.term, entry.position.index, JSON.stringify(entry.statements)]))
  }
}

function sessionsReply (state: ServerState): SqlReply {
  return rowsReply(['session', 'user', 'schema_name', 'attributes', 'accepted', 'open'], state.logins.map(login => [
    login.session, login.user, login.schema, JSON.stringify(login.attributes), login.accepted ? 1 : 0, state.sessions.has(login.session) ? 1 : 0
  ]))
}

function rowsReply (columns: readonly string[], rows: ReadonlyArray<readonly SqlValue[]>): RowsReply {
  return { kind: 'rows', columns, rows: rows.map(row => row.map(value => typeof value === 'number' ? BigInt(value) : value)) }
}
