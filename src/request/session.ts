// The state of a caller's session. It is a value: each statement gives the
// next one. A session belongs to one connection; its floors can be carried to
// another one by a token.

import type { AccountName, Caller, DatabaseName, Floors, HostName, Position, PreparedStatement, RouteDeclaration, RouteName, ServerName, SessionValues } from '../model/index.js'
import { laterPosition } from '../model/index.js'

/** An open transaction, at the home of the server that runs it. */
export type OpenTransaction = {
  readonly id: string
  readonly database: DatabaseName
  readonly server: ServerName
  readonly home: HostName
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
  readonly floors: Floors
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
export function openSessionState (caller: Caller, route: RouteName, floors: Floors | undefined): SessionState {
  return { caller, route, floors: floors ?? {}, hasToken: floors !== undefined, transaction: undefined, values: {}, prepared: new Map() }
}

/**
 * Raises the floor of a database; floors never fall.
 * @param session - the session
 * @param database - the database
 * @param position - a position that later reads have to cover
 * @returns the session with the floor
 */
export function raiseFloor (session: SessionState, database: DatabaseName, position: Position): SessionState {
  const before = session.floors[database]
  const minPosition = before === undefined ? position : laterPosition(before, position)
  return { ...session, floors: { ...session.floors, [database]: minPosition } }
}

/**
 * Takes a token into a session.
 * @param session - the session
 * @param floors - the floors of the token
 * @returns the session with the floors raised
 */
export function takeToken (session: SessionState, floors: Floors): SessionState {
  const raised = Object.entries(floors).reduce((state, [database, position]) => raiseFloor(state, database, position), session)
  return { ...raised, hasToken: true }
}
