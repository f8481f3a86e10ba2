// Task of one caller's connection, which owns the session state. It handles one
// command at a time: a statement runs through the request pipe, and its outcome is
// written before the next command is read.

import { authorizeRoute } from '../config/index.js'
import { notRun, type IncomingStatement, type Outcome, type ParsedStatement } from '../model/index.js'
import { runPipe, type Filter } from '../pipe/index.js'
import { proxyAnswer, accessDenied, type ConfigurationInForce, type Incoming, type OpenTransaction, type RequestResult, type SessionRules, type SessionState } from '../request/index.js'
import type { CallerCommand, CallerConnection, SessionStatus } from '../ports/index.js'

/** Dependencies of a caller's task. */
export type CallerSpec = {
  readonly connection: CallerConnection
  readonly session: SessionState
  readonly pipe: Filter<Incoming, never, RequestResult>
  readonly rules: SessionRules
  readonly nowMs: () => number
  readonly configuration: () => ConfigurationInForce
  /** True once the process accepts no new work. */
  readonly stopping: () => boolean
  /**
   * Rolls back at the dispatcher; if the message is lost, the dispatcher's idle
   * timeout does it.
   */
  readonly rollBack: (transaction: OpenTransaction) => Promise<void>
  /** Called for each statement with its outcome. */
  readonly onServed: (statement: IncomingStatement, outcome: Outcome, tookMs: number) => void
}

/**
 * Serves a caller until its connection ends.
 * @param spec - dependencies of the task
 */
export async function serveCaller (spec: CallerSpec): Promise<void> {
  let { session } = spec
  for (;;) {
    const received = await spec.connection.inbox.receive()
    if (received.kind === 'closed') break
    if (received.message.kind === 'closeForStop') {
      if (session.transaction !== undefined) continue
      spec.connection.closeForStop()
      break
    }
    const result = withTransactionFailure(spec, await serveCommand(spec, session, received.message))
    session = result.session
    spec.connection.write(result.outcome, statusOf(result))
    if (spec.stopping() && session.transaction === undefined) {
      spec.connection.close()
      break
    }
  }
  await rollBackOpen(spec, session)
}

// Where an error fails the whole transaction, the dispatcher rolls it back at once.
function withTransactionFailure (spec: CallerSpec, result: RequestResult): RequestResult {
  const { transaction } = result.session
  if (transaction === undefined || transaction.lost || result.outcome.kind === 'answered') return result
  switch (spec.rules.afterError) {
    case 'continues': return result
    case 'fails': {
      void spec.rollBack(transaction)
      return { ...result, session: { ...result.session, transaction: { ...transaction, lost: true } } }
    }
  }
}

function statusOf ({ outcome, session }: RequestResult): SessionStatus {
  const position = outcome.kind === 'answered' ? outcome.position : undefined
  if (session.transaction === undefined) return { transaction: 'none', position }
  return { transaction: session.transaction.lost ? 'failed' : 'open', position }
}

async function serveCommand (spec: CallerSpec, session: SessionState, command: Exclude<CallerCommand, { readonly kind: 'closeForStop' }>): Promise<RequestResult> {
  switch (command.kind) {
    case 'query': return await serveStatement(spec, session, command.statement)
    case 'useRoute': return useRoute(spec, session, command.route)
    case 'ping': return { outcome: proxyAnswer(done), session }
    case 'reset': return await reset(spec, session)
    case 'tooLong': return { outcome: notRun('statementTooLong', `a statement may have ${command.maxBytes} bytes`), session }
    case 'unsupported': return { outcome: notRun('unsupported', `${command.what} is not supported`), session }
  }
}

const done = { kind: 'done', affectedRows: 0, insertId: 0 } as const

async function serveStatement (spec: CallerSpec, session: SessionState, parsed: ParsedStatement): Promise<RequestResult> {
  const receivedAtMs = spec.nowMs()
  const statement = { ...parsed, caller: session.caller, route: session.route, receivedAtMs }
  const result = await runPipe(spec.pipe, { statement, session })
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
  return { outcome: proxyAnswer(done), session: { ...session, transaction: undefined, minPositions: {}, hasToken: false, values: {}, prepared: new Map() } }
}

async function rollBackOpen (spec: CallerSpec, session: SessionState): Promise<void> {
  if (session.transaction !== undefined && !session.transaction.lost) await spec.rollBack(session.transaction)
}
