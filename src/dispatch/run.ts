// Runs one statement on a session of the server. Each way to run is a case of
// the execution mode. Everything that happens on the session happens in here,
// so a session that goes back to the pool carries nothing of the statement but
// the context that it is known to hold.

import { notRun, unknownOutcome, type ExecutionMode, type NotRunReason, type Outcome, type Position } from '../model/index.js'
import { stepsTo } from './context.js'
import type { CheckedRequest, DispatchServices, OpenTransaction, RanRequest } from './message.js'
import { recordRequest } from './request-id.js'
import type { QueryResult, ServerSession } from './server-session.js'

/** What a way to run gives: the outcome and what has to be confirmed. */
export type RunResult = {
  readonly outcome: Outcome
  readonly confirm: Position | undefined
  readonly transaction: string | undefined
}

/**
 * Runs a statement.
 * @param services - sessions, transactions and time
 * @param message - the statement
 * @returns what ran
 */
export async function run (services: DispatchServices, message: CheckedRequest): Promise<RanRequest> {
  const result = await runMode(services, message, message.request.mode)
  return { ...message, ...result, outcome: withoutReadOnlyError(result.outcome, message.request.mode) }
}

// A server that leads no more refuses writes as read-only. The statement surely
// did not run, and the entry may take it to the next primary.
function withoutReadOnlyError (outcome: Outcome, mode: ExecutionMode): Outcome {
  if (outcome.kind !== 'refused' || outcome.errorNumber !== readOnlyErrorNumber) return outcome
  switch (mode.kind) {
    case 'write':
    case 'begin': return notRun('noPrimary', 'the server is no longer the primary')
    case 'inTransaction':
    case 'commit': return notRun('transactionLost', 'the server is no longer the primary; the transaction is rolled back')
    case 'read':
    case 'rollback': return outcome
  }
}

async function runMode (services: DispatchServices, message: CheckedRequest, mode: ExecutionMode): Promise<RunResult> {
  switch (mode.kind) {
    case 'read': return await onPooledSession(services, message, async session => await runRead(services, message, session))
    case 'write': return await onPooledSession(services, message, async session => await runWrite(services, message, session, mode.requestId))
    case 'begin': return await runBegin(services, message, mode)
    case 'inTransaction': return await runInTransaction(services, message, mode.transaction)
    case 'commit': return await runCommit(services, message, mode.transaction)
    case 'rollback': return await runRollback(services, message, mode.transaction)
  }
}

async function onPooledSession (services: DispatchServices, message: CheckedRequest, use: (session: ServerSession) => Promise<RunResult>): Promise<RunResult> {
  const session = await services.pool.acquire(message.request, timeLeftMs(services, message))
  if (session === undefined) return ended(notRun('noServer', 'the server takes no connection'))
  const hindrance = await bringIntoLine(services, message, session)
  const result = hindrance === undefined ? await use(session) : ended(hindrance)
  services.pool.release(session)
  return result
}

// A session that is in the middle of a change of its context is of no more use.
async function bringIntoLine (services: DispatchServices, message: CheckedRequest, session: ServerSession): Promise<Outcome | undefined> {
  const { values, statement } = message.request
  for (const step of stepsTo(session.context(), { values, prepared: statement.prepared?.statement })) {
    const result = await session.control(step, timeLeftMs(services, message))
    if (result.kind === 'answered') continue
    session.close()
    return notRun('noServer', 'the server session could not be brought into line')
  }
  return undefined
}

async function runRead (services: DispatchServices, message: CheckedRequest, session: ServerSession): Promise<RunResult> {
  const result = await session.query({ ...message.request.statement, minPosition: message.floor }, timeLeftMs(services, message))
  const outcome = outcomeOf(result, message.role)
  if (message.role === 'replica' || outcome.kind !== 'answered') return ended(outcome)
  return await withPosition(services, message, session, outcome)
}

async function runWrite (services: DispatchServices, message: CheckedRequest, session: ServerSession, requestId: string | undefined): Promise<RunResult> {
  if (requestId !== undefined) return await runRecordedWrite(services, message, session, requestId)
  const result = await session.query({ ...message.request.statement, minPosition: undefined }, timeLeftMs(services, message))
  const outcome = outcomeOf(result, message.role)
  if (outcome.kind !== 'answered') return ended(outcome)
  return await withPosition(services, message, session, outcome)
}

async function runRecordedWrite (services: DispatchServices, message: CheckedRequest, session: ServerSession, requestId: string): Promise<RunResult> {
  const record = { account: message.request.account, requestId, text: message.request.statement.text }
  const result = await recordRequest(session, record, () => timeLeftMs(services, message))
  switch (result.kind) {
    case 'ran':
    case 'ranBefore': return await withPosition(services, message, session, answered(result.answer, message.role))
    case 'refused':
    case 'failed': return ended(result)
    case 'lost': return ended(unknownOutcome('connectionLost', 'the connection was lost while the statement ran; a resend with the same request id runs at most once'))
    case 'notRun': return ended(notRun('noServer', result.detail))
  }
}

async function runBegin (services: DispatchServices, message: CheckedRequest, mode: Extract<ExecutionMode, { readonly kind: 'begin' }>): Promise<RunResult> {
  const session = await services.pool.acquire(message.request, timeLeftMs(services, message))
  if (session === undefined) return ended(notRun('noServer', 'the server takes no connection'))
  const hindrance = await bringIntoLine(services, message, session)
  const begun = hindrance ?? await beginOn(services, message, session, mode)
  if (begun.kind === 'notRun') {
    services.pool.release(session)
    return ended(begun)
  }
  const id = begun.kind === 'answered' ? services.transactions.open(message.request, mode.access, session) : undefined
  if (id !== undefined) return { outcome: begun, confirm: undefined, transaction: id }
  services.pool.discard(session)
  return ended(begun.kind === 'answered' ? notRun('queueFull', 'too many transactions are open on the server') : begun)
}

async function beginOn (services: DispatchServices, message: CheckedRequest, session: ServerSession, mode: Extract<ExecutionMode, { readonly kind: 'begin' }>): Promise<Outcome> {
  const { access, requestId } = mode
  const result = await session.control({ kind: 'begin', access, minPosition: message.floor }, timeLeftMs(services, message))
  if (result.kind === 'lost') return notRun('noServer', 'the connection was lost before the transaction began')
  if (result.kind !== 'answered' || requestId === undefined) return outcomeOf(result, message.role)
  const record = { account: message.request.account, requestId, text: '' }
  const recorded = await recordRequest(session, record, () => timeLeftMs(services, message), 'openTransaction')
  switch (recorded.kind) {
    case 'ran': return answered(recorded.answer, message.role)
    case 'ranBefore': return { kind: 'refused', errorNumber: duplicateErrorNumber, sqlState: '23000', message: `the request ${requestId} ran before` }
    case 'refused':
    case 'failed': return recorded
    case 'lost':
    case 'notRun': return notRun('noServer', 'the connection was lost before the transaction began')
  }
}

/** MySQL's error number of a write to a read-only server. */
const readOnlyErrorNumber = 1290
/** MySQL's error number of a duplicate key. */
const duplicateErrorNumber = 1062

async function runInTransaction (services: DispatchServices, message: CheckedRequest, id: string): Promise<RunResult> {
  const transaction = services.transactions.take(id, message.request.account)
  if (transaction === undefined) return ended(notRun('transactionLost', 'the transaction is gone'))
  const { session } = transaction
  const hindrance = await bringIntoLine(services, message, session)
  if (hindrance !== undefined) return loseTransaction(services, transaction, 'transactionLost', 'the connection of the transaction was lost')
  const result = await session.query({ ...message.request.statement, minPosition: undefined }, timeLeftMs(services, message))
  switch (result.kind) {
    case 'lost': return loseTransaction(services, transaction, 'transactionLost', 'the connection of the transaction was lost')
    case 'notRun': return loseTransaction(services, transaction, inTransactionReason(result.reason), result.detail)
    case 'failed': {
      loseTransaction(services, transaction, 'transactionLost', result.detail)
      return ended({ kind: 'failed', detail: result.detail })
    }
    case 'answered':
    case 'refused': {
      services.transactions.putBack(transaction)
      return ended(outcomeOf(result, message.role))
    }
  }
}

// A server that does not run a statement for a reason of its own ends the
// transaction; only that it was too busy is worth telling.
function inTransactionReason (reason: NotRunReason): NotRunReason {
  return reason === 'serverBusy' ? 'serverBusy' : 'transactionLost'
}

// Closing the session rolls the transaction back.
function loseTransaction (services: DispatchServices, transaction: OpenTransaction, reason: NotRunReason, detail: string): RunResult {
  services.transactions.remove(transaction)
  services.pool.discard(transaction.session)
  return ended(notRun(reason, detail))
}

async function runCommit (services: DispatchServices, message: CheckedRequest, id: string): Promise<RunResult> {
  const transaction = services.transactions.take(id, message.request.account)
  if (transaction === undefined) return ended(notRun('transactionLost', 'the transaction is gone'))
  services.transactions.remove(transaction)
  const { session } = transaction
  const result = await session.query({ ...message.request.statement, minPosition: undefined }, timeLeftMs(services, message))
  const outcome = outcomeOf(result, message.role)
  if (outcome.kind !== 'answered') {
    // A refused COMMIT leaves the session in a state that nobody knows.
    services.pool.discard(session)
    return ended(outcome)
  }
  const done = transaction.access === 'write' ? await withPosition(services, message, session, outcome) : ended(outcome)
  services.pool.release(session)
  return done
}

async function runRollback (services: DispatchServices, message: CheckedRequest, id: string): Promise<RunResult> {
  const transaction = services.transactions.take(id, message.request.account)
  if (transaction === undefined) return ended(notRun('transactionLost', 'the transaction is gone'))
  services.transactions.remove(transaction)
  const { session } = transaction
  const result = await session.control({ kind: 'rollback' }, timeLeftMs(services, message))
  if (result.kind === 'answered') services.pool.release(session)
  else services.pool.discard(session)
  return ended(outcomeOf(result, message.role))
}

async function withPosition (services: DispatchServices, message: CheckedRequest, session: ServerSession, outcome: Outcome): Promise<RunResult> {
  const position = await session.position(timeLeftMs(services, message))
  if (position === undefined) return ended(unknownOutcome('notConfirmed', 'the server was lost before its position was known'))
  return { outcome: outcome.kind === 'answered' ? { ...outcome, position } : outcome, confirm: position, transaction: undefined }
}

function answered (answer: Extract<Outcome, { readonly kind: 'answered' }>['answer'], role: 'primary' | 'replica'): Outcome {
  return { kind: 'answered', answer, position: undefined, servedBy: role }
}

function outcomeOf (result: QueryResult, role: 'primary' | 'replica'): Outcome {
  switch (result.kind) {
    case 'answered': return answered(result.answer, role)
    case 'refused': return { kind: 'refused', errorNumber: result.errorNumber, sqlState: result.sqlState, message: result.message }
    case 'failed': return { kind: 'failed', detail: result.detail }
    case 'notRun': return notRun(result.reason, result.detail)
    case 'lost': return unknownOutcome(result.failure === 'overdue' ? 'answerOverdue' : 'connectionLost', 'the server was lost while the statement ran')
  }
}

function ended (outcome: Outcome): RunResult {
  return { outcome, confirm: undefined, transaction: undefined }
}

function timeLeftMs (services: DispatchServices, message: CheckedRequest): number {
  return Math.max(1, message.deadlineAtMs - services.nowMs())
}
