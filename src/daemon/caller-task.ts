// Task of one caller's connection, which owns the session state. It handles one
// command at a time: a statement runs through the request pipe, and its outcome is
// written before the next command is handled. While a command runs, the next one is read
// ahead, so the task learns at once that the caller has closed its connection: then the
// statement is dropped where it waits, and an open transaction is rolled back. In a
// planned stop each command that was read still gets its answer, the session closes
// between two commands, and a statement that nobody waits for any longer is dropped.

import { authorizeRoute } from '../config/index.js'
import { notRun, unknownOutcome, type IncomingStatement, type Outcome, type ParsedStatement } from '../model/index.js'
import { runPipe, type Filter } from '../pipe/index.js'
import { PresenceSignal, proxyAnswer, accessDenied, type ConfigurationInForce, type Incoming, type OpenTransaction, type RequestResult, type SessionRules, type SessionState } from '../request/index.js'
import type { CallerCommand, CallerConnection, SessionStatus } from '../ports/index.js'
import { CommandReader } from './command-reader.js'
import type { StopPhase, StopSignal } from './stop-signal.js'

/** Dependencies of a caller's task. */
export type CallerSpec = {
  readonly connection: CallerConnection
  readonly session: SessionState
  readonly pipe: Filter<Incoming, never, RequestResult>
  readonly rules: SessionRules
  readonly nowMs: () => number
  readonly configuration: () => ConfigurationInForce
  readonly stopSignal: StopSignal
  /**
   * Rolls back at the dispatcher; if the message is lost, the dispatcher's idle
   * timeout does it.
   */
  readonly rollBack: (transaction: OpenTransaction) => Promise<void>
  /** Frees the bytes that the session has kept. */
  readonly releaseKept: (bytes: number) => void
  /** Called for each statement with its outcome. */
  readonly onServed: (statement: IncomingStatement, outcome: Outcome, tookMs: number) => void
}

type Command = Exclude<CallerCommand, { readonly kind: 'stopPhaseChanged' }>

/**
 * Serves a caller until its connection ends.
 * @param spec - dependencies of the task
 */
export async function serveCaller (spec: CallerSpec): Promise<void> {
  const { connection, stopSignal } = spec
  const unsubscribe = stopSignal.subscribe(() => { connection.inbox.send({ kind: 'stopPhaseChanged' }) })
  const presence = new PresenceSignal()
  const commands = new CommandReader(connection.inbox, () => { presence.leave() })
  let { session } = spec
  try {
    for (;;) {
      session = rollBackForStop(spec, session)
      if (mayClose(stopSignal.phase(), session, commands.length)) {
        connection.closeForStop()
        break
      }
      const received = await commands.next()
      if (received.kind === 'closed') break
      if (received.message.kind === 'stopPhaseChanged') continue
      commands.readAhead()
      const result = withTransactionFailure(spec, await answerCommand(spec, session, received.message, presence))
      session = result.session
      // No command is taken while the caller does not read its answers.
      const flushed = connection.write(result.outcome, statusOf(result))
      if (flushed !== undefined) await flushed
    }
  } finally {
    unsubscribe()
    spec.releaseKept(session.keptBytes)
  }
  await rollBackOpen(spec, session)
}

// Whether a planned stop closes the session now. A session in a transaction stays
// open until the last phase, so that its caller can end it or learn of its rollback.
function mayClose (phase: StopPhase, session: SessionState, queuedCommands: number): boolean {
  if (queuedCommands > 0) return false
  switch (phase) {
    case 'serving': return false
    case 'draining':
    case 'rollingBack': return session.transaction === undefined
    case 'closing': return true
  }
}

function rollBackForStop (spec: CallerSpec, session: SessionState): SessionState {
  const { transaction } = session
  switch (spec.stopSignal.phase()) {
    case 'serving':
    case 'draining': return session
    case 'rollingBack':
    case 'closing': {
      if (transaction?.state !== 'open') return session
      void spec.rollBack(transaction)
      return { ...session, transaction: { ...transaction, state: 'rolledBack' } }
    }
  }
}

async function answerCommand (spec: CallerSpec, session: SessionState, command: Command, presence: PresenceSignal): Promise<RequestResult> {
  if (isRefused(spec.stopSignal.phase(), session)) return { outcome: hostStops, session }
  return await untilClosing(spec.stopSignal, serveCommand(spec, session, command, presence), () => {
    presence.leave()
    return unfinishedResult(session, command)
  })
}

// In the second half of a stop, commands start no new work. In a transaction, which
// is rolled back by then, they are answered without a server.
function isRefused (phase: StopPhase, session: SessionState): boolean {
  switch (phase) {
    case 'serving':
    case 'draining': return false
    case 'rollingBack':
    case 'closing': return session.transaction === undefined
  }
}

const hostStops = notRun('stopping', 'this host is stopping')

async function untilClosing (stopSignal: StopSignal, result: Promise<RequestResult>, unfinished: () => RequestResult): Promise<RequestResult> {
  return await new Promise<RequestResult>((resolve, reject) => {
    const unsubscribe = stopSignal.subscribe(phase => { if (phase === 'closing') resolve(unfinished()) })
    result.then(resolve, reject).finally(unsubscribe)
  })
}

// Answer to a command that still runs when sessions close. Only a statement that
// can have no lasting effect is reported as not run: the COMMIT of its transaction
// will not be sent.
function unfinishedResult (session: SessionState, command: Command): RequestResult {
  const { transaction } = session
  const kind = command.kind === 'query' ? command.statement.statementClass.kind : command.kind
  if (transaction === undefined) return { outcome: kind === 'begin' ? hostStops : unfinished, session }
  if (kind === 'commit') return { outcome: unfinished, session: { ...session, transaction: undefined } }
  return { outcome: notRun('transactionLost', 'this host is stopping; the transaction is rolled back'), session }
}

const unfinished = unknownOutcome('answerOverdue', 'this host is stopping and the statement has not ended')

// Where an error fails the whole transaction, the dispatcher rolls it back at once.
function withTransactionFailure (spec: CallerSpec, result: RequestResult): RequestResult {
  const { transaction } = result.session
  if (transaction?.state !== 'open' || result.outcome.kind === 'answered') return result
  switch (spec.rules.afterError) {
    case 'continues': return result
    case 'fails': {
      void spec.rollBack(transaction)
      return { ...result, session: { ...result.session, transaction: { ...transaction, state: 'failed' } } }
    }
  }
}

function statusOf ({ outcome, session }: RequestResult): SessionStatus {
  const position = outcome.kind === 'answered' ? outcome.position : undefined
  switch (session.transaction?.state) {
    case undefined: return { transaction: 'none', position }
    case 'open':
    case 'rolledBack': return { transaction: 'open', position }
    case 'failed': return { transaction: 'failed', position }
  }
}

async function serveCommand (spec: CallerSpec, session: SessionState, command: Command, presence: PresenceSignal): Promise<RequestResult> {
  switch (command.kind) {
    case 'query': return await serveStatement(spec, session, command.statement, presence)
    case 'useRoute': return useRoute(spec, session, command.route)
    case 'ping': return { outcome: proxyAnswer(done), session }
    case 'reset': return await reset(spec, session)
    case 'tooLong': return { outcome: notRun('statementTooLong', `a statement may have ${command.maxBytes} bytes`), session }
    case 'unsupported': return { outcome: notRun('unsupported', `${command.what} is not supported`), session }
  }
}

const done = { kind: 'done', affectedRows: 0, insertId: 0 } as const

async function serveStatement (spec: CallerSpec, session: SessionState, parsed: ParsedStatement, presence: PresenceSignal): Promise<RequestResult> {
  const receivedAtMs = spec.nowMs()
  const statement = { ...parsed, caller: session.caller, route: session.route, receivedAtMs }
  const result = await runPipe(spec.pipe, { statement, session, presence })
  spec.onServed(statement, result.outcome, spec.nowMs() - receivedAtMs)
  return result
}

function useRoute (spec: CallerSpec, session: SessionState, route: string): RequestResult {
  if (session.transaction !== undefined) return { outcome: notRun('unsupported', 'a change of route in a transaction is not supported'), session }
  const { manifest } = spec.configuration()
  if (manifest === undefined) return { outcome: notRun('unconfirmedConfiguration', 'no configuration is in force yet'), session }
  const use = authorizeRoute(manifest, session.caller, route)
  if (use.kind === 'refused') return { outcome: accessDenied(use), session }
  return { outcome: proxyAnswer(done), session: { ...session, route } }
}

async function reset (spec: CallerSpec, session: SessionState): Promise<RequestResult> {
  await rollBackOpen(spec, session)
  spec.releaseKept(session.keptBytes)
  return { outcome: proxyAnswer(done), session: { ...session, keptBytes: 0, transaction: undefined, minPositions: {}, hasToken: false, values: {}, prepared: new Map() } }
}

async function rollBackOpen (spec: CallerSpec, session: SessionState): Promise<void> {
  if (session.transaction?.state === 'open') await spec.rollBack(session.transaction)
}
