// A statement in the request pipe, independent of the caller's protocol. The
// front end classifies the statement; its text is sent to the server unchanged.

import type { AccountName, DatabaseName, RouteName } from './ids.js'
import type { Position } from './position.js'

/** Read level: the consistency that the caller asks for. */
export type ReadLevel =
  /** Covers every position that the session has observed. */
  | { readonly kind: 'session' }
  /** Bounded staleness. */
  | { readonly kind: 'age', readonly maxAgeMs: number }
  /** Strong read. */
  | { readonly kind: 'latest' }
  /** As the route declares. */
  | { readonly kind: 'route' }

/** Whether a statement may write. */
export type Access = 'read' | 'write'

/** Definition of a prepared statement. */
export type PreparedStatement = {
  readonly access: Access
  readonly shape: string
}

/** Class of a statement; determines how it is routed. */
export type StatementClass =
  | { readonly kind: 'read', readonly level: ReadLevel }
  | { readonly kind: 'write' }
  /** A schema change, which would implicitly commit an open transaction. */
  | { readonly kind: 'define' }
  | { readonly kind: 'begin', readonly access: Access }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'readToken' }
  | { readonly kind: 'setToken', readonly token: string }
  /** Sets a default that is already in effect, as drivers do when they connect. */
  | { readonly kind: 'setDefault' }
  | { readonly kind: 'setValue', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly prepared: PreparedStatement }
  | { readonly kind: 'deallocate', readonly name: string }
  /** Runs the statement that the session has prepared under the name. */
  | { readonly kind: 'executePrepared', readonly name: string, readonly argument: string }
  | { readonly kind: 'unsupported', readonly what: string }
  | { readonly kind: 'malformed', readonly detail: string }

/** Hints in the leading comment of a statement. */
export type Hints = {
  readonly maxAgeMs: number | undefined
  readonly latest: boolean
  /** Whether the request must not be retried, not even a read. */
  readonly once: boolean
  /**
   * Idempotency key, stored in the database with the write; a repeated write
   * with the same id is not run again.
   */
  readonly requestId: string | undefined
  readonly deadlineMs: number | undefined
}

/** Hints of a statement that gives none. */
export const noHints: Hints = { maxAgeMs: undefined, latest: false, once: false, requestId: undefined, deadlineMs: undefined }

/** A statement that a front end has parsed. */
export type ParsedStatement = {
  /** Request id that the caller assigned; undefined where its protocol has none. */
  readonly id: string | undefined
  readonly text: string
  readonly statementClass: StatementClass
  readonly hints: Hints
}

/** A statement in the form in which it is sent to a server. */
export type ServerStatement = {
  readonly id: string | undefined
  readonly text: string
  /**
   * Set where the statement executes a prepared one. On the server, the proxy
   * prepares it under a name that the proxy chooses.
   */
  readonly prepared: { readonly statement: PreparedStatement, readonly argument: string } | undefined
}

/** Values that a caller has set for its session. */
export type SessionValues = Readonly<Record<string, string>>

/**
 * Minimum positions of a session: the highest position that it has observed in
 * each database.
 */
export type MinPositions = Readonly<Record<DatabaseName, Position>>

/**
 * Identity of a caller: an account that authenticated with a key, or an
 * anonymous caller on an open route.
 */
export type Caller =
  | { readonly kind: 'account', readonly account: AccountName, readonly keyId: string }
  | { readonly kind: 'anonymous' }

/** A statement as received, before any decision. */
export type IncomingStatement = ParsedStatement & {
  readonly caller: Caller
  readonly route: RouteName
  readonly receivedAtMs: number
}

/** A statement with its deadline. */
export type StatementWithDeadline = IncomingStatement & {
  readonly deadlineAtMs: number
}
