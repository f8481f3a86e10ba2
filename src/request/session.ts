// Session state. It is an immutable value: each statement returns the state for
// the next one. A session belongs to one connection; a token carries its minimum
// positions to another connection.

import type { AccountName, Caller, DatabaseName, MinPositions, HostName, Position, PreparedStatement, RouteDeclaration, RouteName, ServerName, SessionId, SessionValues } from '../model/index.js'
import { laterPosition } from '../model/index.js'

/** An open transaction and the dispatcher of the server that runs it. */
export type OpenTransaction = {
  readonly id: string
  readonly database: DatabaseName
  readonly server: ServerName
  readonly dispatcher: HostName
  readonly account: AccountName
  readonly callerSession: SessionId
  /**
   * The route when the transaction began; a change applies from the next
   * transaction on.
   */
  readonly route: RouteDeclaration
  readonly state: TransactionState
}

/** State of an open transaction. */
export type TransactionState =
  | 'open'
  /** Rolled back by this host; the caller learns of it at its next statement. */
  | 'rolledBack'
  /** Rolled back, and the caller knows; it can only end the transaction. */
  | 'failed'

/** State of a session. */
export type SessionState = {
  readonly id: SessionId
  readonly caller: Caller
  readonly route: RouteName
  readonly minPositions: MinPositions
  /**
   * True once the caller has presented a token: its session reads then use the
   * minimum positions instead of strong reads.
   */
  readonly hasToken: boolean
  readonly transaction: OpenTransaction | undefined
  readonly values: SessionValues
  readonly prepared: ReadonlyMap<string, PreparedStatement>
  /** Bytes of the values and the prepared statements, as they were reserved. */
  readonly keptBytes: number
}

/**
 * Creates the state of a new session.
 * @param id - id of the session
 * @param caller - the caller that logged in
 * @param route - the route of the login
 * @param minPositions - the minimum positions of the token, if one was presented
 * @returns the session state
 */
export function openSessionState (id: SessionId, caller: Caller, route: RouteName, minPositions: MinPositions | undefined): SessionState {
  return { id, caller, route, minPositions: minPositions ?? {}, hasToken: minPositions !== undefined, transaction: undefined, values: {}, prepared: new Map(), keptBytes: 0 }
}

/**
 * Raises the minimum position of a database; it never decreases.
 * @param session - the session
 * @param database - the database
 * @param position - a position that later reads have to cover
 * @returns the session with the raised minimum position
 */
export function raiseMinPosition (session: SessionState, database: DatabaseName, position: Position): SessionState {
  const before = session.minPositions[database]
  const minPosition = before === undefined ? position : laterPosition(before, position)
  return { ...session, minPositions: { ...session.minPositions, [database]: minPosition } }
}

/**
 * Applies a token to a session.
 * @param session - the session
 * @param minPositions - the minimum positions of the token
 * @returns the session with the minimum positions raised
 */
export function applyToken (session: SessionState, minPositions: MinPositions): SessionState {
  const raised = Object.entries(minPositions).reduce((state, [database, position]) => raiseMinPosition(state, database, position), session)
  return { ...raised, hasToken: true }
}
