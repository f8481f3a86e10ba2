// The messages of the request pipe. Each filter takes one and gives the next,
// which says what is known by then.

import type { AccountDeclaration, StatementWithDeadline, DatabaseDeclaration, ReadConsistency, IncomingStatement, Outcome, RouteDeclaration, ServerStatement } from '../model/index.js'
import type { SessionState } from './session.js'

/** A statement that came in on a session. */
export type Incoming = {
  readonly statement: IncomingStatement
  readonly session: SessionState
}

/** The caller may use the route now. */
export type Authorized = Incoming & {
  readonly route: RouteDeclaration
  readonly database: DatabaseDeclaration
  /** Undefined for a caller without a key on an open route. */
  readonly account: AccountDeclaration | undefined
}

/** The deadline is known, and what a prepared statement runs. */
export type Classified = Omit<Authorized, 'statement'> & {
  readonly statement: StatementWithDeadline
  readonly prepared: ServerStatement['prepared']
}

/** What a read has to cover is known. */
export type ConsistencyResolved = Classified & {
  readonly consistency: ReadConsistency
}

/** What the pipe gives: the answer, and the session for the next statement. */
export type RequestResult = {
  readonly outcome: Outcome
  readonly session: SessionState
}

/**
 * Ends a statement without any change to its session.
 * @param message - the statement
 * @param outcome - the answer
 * @returns the result of the pipe
 */
export function requestResult (message: { readonly session: SessionState }, outcome: Outcome): RequestResult {
  return { outcome, session: message.session }
}
