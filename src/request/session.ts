// The state of a caller's session. It is a value: each statement gives the
// next one. A session belongs to one connection; its floors can be carried to
// another one by a token.

import type { AccountName, Caller, DatabaseName, MinPositions, HostName, Position, PreparedStatement, RouteDeclaration, RouteName, ServerName, SessionValues } from '../model/index.js'
import { laterPosition } from '../model/index.js'

/** An open transaction, at the home of the server that runs it. */
export type OpenTransaction = {
  readonly id: string
  readonly database: DatabaseName
  readonly server: ServerName
  readonly dispatcher: HostName
  readonly account: AccountName
  /** The route as it was when the transaction began; a change applies from the next one on. */
  readonly route: RouteDeclaration
  /** Set once a statement was lost; only ROLLBACK helps then. */
  readonly lost: boolean
}

/** The state of a session. */
export type SessionState = {
  readonly caller: Caller
  readonly route: RouteName
  readonly minPositions: MinPositions
  /** True once the caller showed a token: its floors then need no opening. */
  readonly hasToken: boolean
  readonly transaction: OpenTransaction | undefined
  readonly values: SessionValues
  readonly prepared: ReadonlyMap<string, PreparedStatement>
}

/**
 * Opens a session.
 * @param caller - who logged in
 * @param route - the route of the login
 * @param floors - the floors of a token, where one was shown
 * @returns the session
 */
export function openSessionState (caller: Caller, route: RouteName, floors: MinPositions | undefined): SessionState {
  return { caller, route, minPositions: floors ?? {}, hasToken: floors !== undefined, transaction: undefined, values: {}, prepared: new Map() }
}

/**
 * Raises the floor of a database; floors never fall.
 * @param session - the session
 * @param database - the database
 * @param position - a position that later reads have to cover
 * @returns the session with the floor
 */
export function raiseMinPosition (session: SessionState, database: DatabaseName, position: Position): SessionState {
  const known = session.minPositions[database]
  const floor = known === undefined ? position : laterPosition(known, position)
  return { ...session, minPositions: { ...session.minPositions, [database]: floor } }
}

/**
 * Takes a token into a session.
 * @param session - the session
 * @param floors - the floors of the token
 * @returns the session with the floors raised
 */
export function applyToken (session: SessionState, floors: MinPositions): SessionState {
  const raised = Object.entries(floors).reduce((state, [database, position]) => raiseMinPosition(state, database, position), session)
  return { ...raised, hasToken: true }
}
