// A statement as the request pipe sees it: what the caller asked for, free of
// any encoding. The front end says what a statement does; its text passes to
// the server unchanged.

import type { AccountName, DatabaseName, RouteName } from './ids.js'
import type { Position } from './position.js'

/** How fresh a read has to be. */
export type ReadLevel =
  | { readonly kind: 'session' }
  | { readonly kind: 'age', readonly maxAgeMs: number }
  | { readonly kind: 'latest' }
  /** As the route declares. */
  | { readonly kind: 'route' }

/** Whether a statement only reads. */
export type Access = 'read' | 'write'

/** What a prepared statement runs. */
export type PreparedStatement = {
  readonly access: Access
  readonly shape: string
}

/** What a statement does, as far as routing needs to know. */
export type StatementClass =
  | { readonly kind: 'read', readonly level: ReadLevel }
  | { readonly kind: 'write' }
  /** A write to the schema, which would commit an open transaction. */
  | { readonly kind: 'define' }
  | { readonly kind: 'begin', readonly access: Access }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'readToken' }
  | { readonly kind: 'setToken', readonly token: string }
  /** Sets what holds anyway, as drivers do when they connect. */
  | { readonly kind: 'setDefault' }
  | { readonly kind: 'setValue', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly name: string, readonly prepared: PreparedStatement }
  | { readonly kind: 'deallocate', readonly name: string }
  /** Runs what the session has prepared under the name. */
  | { readonly kind: 'executePrepared', readonly name: string, readonly argument: string }
  | { readonly kind: 'unsupported', readonly what: string }
  | { readonly kind: 'malformed', readonly detail: string }

/** What the leading comment of a statement asks for. */
export type Hints = {
  readonly maxAgeMs: number | undefined
  readonly latest: boolean
  /** The request must never be sent a second time, not even a read. */
  readonly once: boolean
  /** Recorded in the database with the write; a resend with it runs nothing. */
  readonly requestId: string | undefined
  readonly deadlineMs: number | undefined
}

/** No hint given. */
export const noHints: Hints = { maxAgeMs: undefined, latest: false, once: false, requestId: undefined, deadlineMs: undefined }

/** A statement as a front end read it. */
export type ParsedStatement = {
  /** The caller's name of the request; undefined where its protocol has none. */
  readonly id: string | undefined
  readonly text: string
  readonly statementClass: StatementClass
  readonly hints: Hints
}

/** What a server is sent. */
export type ServerStatement = {
  readonly id: string | undefined
  readonly text: string
  /** Set where the statement runs a prepared one, under a name of the proxy's own. */
  readonly prepared: { readonly statement: PreparedStatement, readonly argument: string } | undefined
}

/** Values that a caller has set for its session. */
export type SessionValues = Readonly<Record<string, string>>

/** Highest position that the session has seen in each database. */
export type MinPositions = Readonly<Record<DatabaseName, Position>>

/** Who asks: an account whose key was shown, or anybody on an open route. */
export type Caller =
  | { readonly kind: 'account', readonly account: AccountName, readonly keyId: string }
  | { readonly kind: 'anonymous' }

/** A statement that came in, before any decision. */
export type IncomingStatement = ParsedStatement & {
  readonly caller: Caller
  readonly route: RouteName
  readonly receivedAtMs: number
}

/** A statement whose deadline is known. */
export type StatementWithDeadline = IncomingStatement & {
  readonly deadlineAtMs: number
}
