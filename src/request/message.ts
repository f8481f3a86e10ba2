// Messages of the request pipe. Each filter takes one message type and passes on
// the next, which adds what the filter has determined.

import type { TokenState } from '../admission/index.js'
import type { AccountDeclaration, StatementWithDeadline, DatabaseDeclaration, ReadConsistency, IncomingStatement, Outcome, RouteDeclaration, ServerStatement } from '../model/index.js'
import type { CallerPresence } from './presence.js'
import type { SessionState } from './session.js'

/** A statement received on a session. */
export type Incoming = {
  readonly statement: IncomingStatement
  readonly session: SessionState
  /** Whether the caller still waits; undefined: it does. */
  readonly presence?: CallerPresence | undefined
}

/** A statement whose caller may use the route. */
export type Authorized = Incoming & {
  readonly route: RouteDeclaration
  readonly database: DatabaseDeclaration
  /** Undefined for a caller without a key on a route with open access. */
  readonly account: AccountDeclaration | undefined
}

/** A statement with its deadline and, if prepared, the resolved statement. */
export type Classified = Omit<Authorized, 'statement'> & {
  readonly statement: StatementWithDeadline
  readonly prepared: ServerStatement['prepared']
}

/** A statement within its account's rate, as far as the entry host decides that. */
export type Admitted = Classified & {
  readonly token: TokenState
}

/** A statement with its read consistency. */
export type ConsistencyResolved = Admitted & {
  readonly consistency: ReadConsistency
}

/**
 * Result of the pipe: the outcome, and the session state for the next
 * statement.
 */
export type RequestResult = {
  readonly outcome: Outcome
  readonly session: SessionState
}

/**
 * Creates the result of a statement that leaves its session unchanged.
 * @param message - the statement
 * @param outcome - its outcome
 * @returns the result of the pipe
 */
export function requestResult (message: { readonly session: SessionState }, outcome: Outcome): RequestResult {
  return { outcome, session: message.session }
}
