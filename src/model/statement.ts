// A statement as the request pipe sees it: what the caller asked for, free of
// any encoding.

import type { AccountName, DatabaseName, RouteName } from './ids.js'
import type { Position } from './position.js'

/** How fresh a read has to be. */
export type ReadLevel =
  | { readonly kind: 'session' }
  | { readonly kind: 'age', readonly maxAgeMs: number }
  | { readonly kind: 'latest' }

/** What a statement does, as far as routing needs to know. */
export type StatementClass =
  | { readonly kind: 'read', readonly level: ReadLevel }
  | { readonly kind: 'write' }
  /** A write to the schema, which would commit an open transaction. */
  | { readonly kind: 'define' }
  | { readonly kind: 'begin' }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'readToken' }
  | { readonly kind: 'setToken', readonly token: string }
  /** Sets what holds anyway, as drivers do when they connect. */
  | { readonly kind: 'setDefault' }
  | { readonly kind: 'unsupported', readonly what: string }

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

/** Highest position that the session has seen in each database. */
export type Floors = Readonly<Record<DatabaseName, Position>>

/** Who asks: an account whose key was shown, or anybody on an open route. */
export type Caller =
  | { readonly kind: 'account', readonly account: AccountName, readonly keyId: string }
  | { readonly kind: 'anonymous' }

/** A statement that came in, before any decision. */
export type IncomingStatement = {
  readonly caller: Caller
  readonly route: RouteName
  readonly sql: string
  readonly receivedAtMs: number
}

/** A statement whose class and hints are known. */
export type ClassifiedStatement = IncomingStatement & {
  readonly statementClass: StatementClass
  readonly hints: Hints
  readonly deadlineAtMs: number
}
