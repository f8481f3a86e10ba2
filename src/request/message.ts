// The messages of the request pipe. Each filter takes one and gives the next,
// which says what is known by then.

import type { AccountDeclaration, ClassifiedStatement, DatabaseDeclaration, Freshness, IncomingStatement, Outcome, RouteDeclaration, ServerStatement } from '../model/index.js'
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
  readonly statement: ClassifiedStatement
  readonly prepared: ServerStatement['prepared']
}

/** What a read has to cover is known. */
export type Fresh = Classified & {
  readonly freshness: Freshness
}

/** What the pipe gives: the answer, and the session for the next statement. */
export type Served = {
  readonly outcome: Outcome
  readonly session: SessionState
}

/**
 * Ends a statement without any change to its session.
 * @param message - the statement
 * @param outcome - the answer
 * @returns the result of the pipe
 */
export function served (message: { readonly session: SessionState }, outcome: Outcome): Served {
  return { outcome, session: message.session }
}
