// Runs one statement on a server session, by its execution mode. All use of the
// session happens in this module and in request-id.ts, so a session that returns
// to the pool keeps nothing of the statement except its session values and
// prepared statements, which are tracked (see context.ts).

import { notRun, unknownOutcome, type ExecutionMode, type NotRunReason, type Outcome, type Position } from '../model/index.js'
import { contextSteps } from './context.js'
import type { CheckedRequest, DispatchServices, OpenTransaction, ExecutedRequest, TakeResult } from './message.js'
import { runWithRequestId } from './request-id.js'
import type { QueryResult, ServerSession } from './server-session.js'

/** Result of an execution mode. */
export type RunResult = {
  readonly outcome: Outcome
  /** Position that a majority must receive before the caller is answered; undefined: none. */
  readonly quorumPosition: Position | undefined
  /** Id of the transaction that `begin` opened. */
  readonly transaction: string | undefined
}

/**
 * Runs a statement.
 * @param services - sessions, transactions and time
 * @param message - the checked statement
 * @returns the statement with its outcome
 */
export async function run (services: DispatchServices, message: CheckedRequest): Promise<ExecutedRequest> {
  const result = await runMode(services, message, message.request.mode)
  return { ...message, ...result, outcome: mapReadOnlyError(result.outcome, message.request.mode) }
}

// A server that is no longer primary refuses writes as read-only. The statement
// certainly did not run, so the entry proxy may retry it at the next primary.
function mapReadOnlyError (outcome: Outcome, mode: ExecutionMode): Outcome {
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
    case 'read': return await withPooledSession(services, message, async session => await runRead(services, message, session))
    case 'write': return await withPooledSession(services, message, async session => await runWrite(services, message, session, mode.requestId))
    case 'begin': return await runBegin(services, message, mode)
    case 'inTransaction': return await runInTransaction(services, message, mode.transaction)
    case 'commit': return await runCommit(services, message, mode.transaction)
    case 'rollback': return await runRollback(services, message, mode.transaction)
  }
}

const drainTimeOverDetail = 'the server leaves and gets no new statements'
/** Outcome of a new statement for a server that leaves and whose drain time is over. */
export const drainTimeOver = notRun('noServer', drainTimeOverDetail)

async function withPooledSession (services: DispatchServices, message: CheckedRequest, use: (session: ServerSession) => Promise<RunResult>): Promise<RunResult> {
  const session = await services.pool.acquire(message.request, timeLeftMs(services, message))
  if (session === undefined) return finalResult(notRun('noServer', 'the server accepts no connection'))
  const failure = await prepareSession(services, message, session)
  const result = failure === undefined ? await use(session) : finalResult(failure)
  services.pool.release(session)
  return result
}

// The drain time of the server may have ended while the statement waited for a slot
// and a session.
async function prepareSession (services: DispatchServices, message: CheckedRequest, session: ServerSession): Promise<Outcome | undefined> {
  return await applyContext(services, message, session) ?? (services.acceptsNewWork() ? undefined : drainTimeOver)
}

// If a step fails, the session's context is unknown, so the session is closed.
async function applyContext (services: DispatchServices, message: CheckedRequest, session: ServerSession): Promise<Outcome | undefined> {
  const { values, statement } = message.request
  for (const step of contextSteps(session.context(), { values, prepared: statement.prepared?.statement })) {
    const result = await session.control(step, timeLeftMs(services, message))
    if (result.kind === 'answered') continue
    session.close()
    return isPermanent(result) ? result : notRun('noServer', 'the context of the server session could not be set')
  }
  return undefined
}

// A value that no session of this driver can take fails at every server.
function isPermanent (result: QueryResult): result is Extract<QueryResult, { readonly kind: 'notRun' }> {
  return result.kind === 'notRun' && (result.reason === 'unsupported' || result.reason === 'statementTooLong')
}

// The primary may return entries that no majority has received yet, so a read
// there waits for a quorum on the position of its snapshot, as a write does.
async function runRead (services: DispatchServices, message: CheckedRequest, session: ServerSession): Promise<RunResult> {
  const result = await session.query({ ...message.request.statement, minPosition: message.minPosition }, timeLeftMs(services, message))
  const outcome = outcomeOf(result, message.role)
  if (message.role === 'replica' || outcome.kind !== 'answered') return finalResult(outcome)
  return await withPosition(services, message, session, outcome)
}

async function runWrite (services: DispatchServices, message: CheckedRequest, session: ServerSession, requestId: string | undefined): Promise<RunResult> {
  if (requestId !== undefined) return await runRecordedWrite(services, message, session, requestId)
  const result = await session.query({ ...message.request.statement, minPosition: undefined }, timeLeftMs(services, message))
  const outcome = outcomeOf(result, message.role)
  if (outcome.kind !== 'answered') return finalResult(outcome)
  return await withPosition(services, message, session, outcome)
}

async function runRecordedWrite (services: DispatchServices, message: CheckedRequest, session: ServerSession, requestId: string): Promise<RunResult> {
  const record = { account: message.request.account, requestId, text: message.request.statement.text }
  const result = await runWithRequestId(session, record, () => timeLeftMs(services, message))
  switch (result.kind) {
    case 'ran':
    case 'ranBefore': return await withPosition(services, message, session, answered(result.answer, message.role))
    case 'refused':
    case 'failed': return finalResult(result)
    case 'lost': return finalResult(unknownOutcome('connectionLost', 'the connection was lost while the statement ran; a resend with the same request id runs at most once'))
    case 'notRun': return finalResult(notRun('noServer', result.detail))
  }
}

async function runBegin (services: DispatchServices, message: CheckedRequest, mode: Extract<ExecutionMode, { readonly kind: 'begin' }>): Promise<RunResult> {
  const session = await services.pool.acquire(message.request, timeLeftMs(services, message))
  if (session === undefined) return finalResult(notRun('noServer', 'the server accepts no connection'))
  const failure = await prepareSession(services, message, session)
  const beginOutcome = failure ?? await beginTransaction(services, message, session, mode)
  if (beginOutcome.kind === 'notRun') {
    services.pool.release(session)
    return finalResult(beginOutcome)
  }
  const id = beginOutcome.kind === 'answered' ? services.transactions.open(message.request, mode.access, session) : undefined
  if (id !== undefined) return { outcome: beginOutcome, quorumPosition: undefined, transaction: id }
  services.pool.discard(session)
  return finalResult(beginOutcome.kind === 'answered' ? notRun('queueFull', 'too many transactions are open on the server') : beginOutcome)
}

async function beginTransaction (services: DispatchServices, message: CheckedRequest, session: ServerSession, mode: Extract<ExecutionMode, { readonly kind: 'begin' }>): Promise<Outcome> {
  const { access, requestId } = mode
  const result = await session.control({ kind: 'begin', access, minPosition: message.minPosition }, timeLeftMs(services, message))
  if (result.kind === 'lost') return notRun('noServer', 'the connection was lost before the transaction began')
  if (result.kind !== 'answered' || requestId === undefined) return outcomeOf(result, message.role)
  const record = { account: message.request.account, requestId, text: '' }
  const recorded = await runWithRequestId(session, record, () => timeLeftMs(services, message), 'openTransaction')
  switch (recorded.kind) {
    case 'ran': return answered(recorded.answer, message.role)
    case 'ranBefore': return { kind: 'refused', errorNumber: duplicateErrorNumber, sqlState: '23000', message: `the request ${requestId} has already run` }
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
  const taken = services.transactions.take(id, message.request)
  if (taken.kind === 'refused') return finalResult(refusedUse(taken.cause))
  const { transaction } = taken
  const { session } = transaction
  const failure = await applyContext(services, message, session)
  if (failure !== undefined) return abortTransaction(services, transaction, 'transactionLost', 'the connection of the transaction was lost')
  if (startsTooLate(services, transaction)) return abortTransaction(services, transaction, 'transactionLost', drainTimeOverDetail)
  const result = await session.query({ ...message.request.statement, minPosition: undefined }, timeLeftMs(services, message))
  switch (result.kind) {
    case 'lost': return abortTransaction(services, transaction, 'transactionLost', 'the connection of the transaction was lost')
    case 'notRun': return abortTransaction(services, transaction, transactionEndReason(result.reason), result.detail)
    case 'failed': {
      abortTransaction(services, transaction, 'transactionLost', result.detail)
      return finalResult({ kind: 'failed', detail: result.detail })
    }
    case 'answered':
    case 'refused': {
      services.transactions.putBack(transaction)
      return finalResult(outcomeOf(result, message.role))
    }
  }
}

function refusedUse (cause: Extract<TakeResult, { readonly kind: 'refused' }>['cause']): Outcome {
  switch (cause) {
    case 'unknown': return notRun('transactionLost', 'the transaction no longer exists')
    case 'busy': return notRun('transactionLost', 'another statement of the transaction is still running')
    case 'otherOwner': return notRun('transactionLost', 'the transaction belongs to another session')
  }
}

// A transaction counts as new work until its first statement has reached the server.
function startsTooLate (services: DispatchServices, transaction: OpenTransaction): boolean {
  return !transaction.hasStarted && !services.acceptsNewWork()
}

// A server that rejects a statement ends its transaction. Of its reasons, only
// `serverBusy` is passed on to the caller.
function transactionEndReason (reason: NotRunReason): NotRunReason {
  return reason === 'serverBusy' ? 'serverBusy' : 'transactionLost'
}

// Closing the session rolls the transaction back.
function abortTransaction (services: DispatchServices, transaction: OpenTransaction, reason: NotRunReason, detail: string): RunResult {
  services.transactions.remove(transaction)
  services.pool.discard(transaction.session)
  return finalResult(notRun(reason, detail))
}

// Statements of a transaction do not wait for a quorum; the COMMIT of a
// transaction that may write does, and that of a read-only one does not.
async function runCommit (services: DispatchServices, message: CheckedRequest, id: string): Promise<RunResult> {
  const taken = services.transactions.take(id, message.request)
  if (taken.kind === 'refused') return finalResult(refusedUse(taken.cause))
  const { transaction } = taken
  if (startsTooLate(services, transaction)) return abortTransaction(services, transaction, 'transactionLost', drainTimeOverDetail)
  services.transactions.remove(transaction)
  const { session } = transaction
  const result = await session.query({ ...message.request.statement, minPosition: undefined }, timeLeftMs(services, message))
  const outcome = outcomeOf(result, message.role)
  if (outcome.kind !== 'answered') {
    // A COMMIT that fails leaves the session in an unknown state.
    services.pool.discard(session)
    return finalResult(outcome)
  }
  const done = transaction.access === 'write' ? await withPosition(services, message, session, outcome) : finalResult(outcome)
  services.pool.release(session)
  return done
}

async function runRollback (services: DispatchServices, message: CheckedRequest, id: string): Promise<RunResult> {
  const taken = services.transactions.take(id, message.request)
  if (taken.kind === 'refused') return finalResult(refusedUse(taken.cause))
  const { transaction } = taken
  services.transactions.remove(transaction)
  const { session } = transaction
  const result = await session.control({ kind: 'rollback' }, timeLeftMs(services, message))
  if (result.kind === 'answered') services.pool.release(session)
  else services.pool.discard(session)
  return finalResult(outcomeOf(result, message.role))
}

async function withPosition (services: DispatchServices, message: CheckedRequest, session: ServerSession, outcome: Outcome): Promise<RunResult> {
  const position = await session.position(timeLeftMs(services, message))
  if (position === undefined) return finalResult(unknownOutcome('notConfirmed', 'the connection to the server was lost before its position was known'))
  return { outcome: outcome.kind === 'answered' ? { ...outcome, position } : outcome, quorumPosition: position, transaction: undefined }
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

function finalResult (outcome: Outcome): RunResult {
  return { outcome, quorumPosition: undefined, transaction: undefined }
}

function timeLeftMs (services: DispatchServices, message: CheckedRequest): number {
  return Math.max(1, message.deadlineAtMs - services.nowMs())
}
