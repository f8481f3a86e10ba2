// Outcome of a request. A caller receives exactly one outcome per request.
// `notRun` is reported only where no server can have run the statement.

import type { Position } from './position.js'

/** One column of a result set, with MySQL's type numbers. */
export type Column = {
  readonly name: string
  readonly type: number
  readonly flags: number
  readonly length: number
  readonly decimals: number
  readonly characterSet: number
}

/** One value as text; each character holds one byte (latin1). */
export type Cell = string | null

/** Result that a database returned. */
export type Answer =
  | { readonly kind: 'rows', readonly columns: readonly Column[], readonly rows: ReadonlyArray<readonly Cell[]> }
  | { readonly kind: 'done', readonly affectedRows: number, readonly insertId: number }
  /**
   * Rows in the server's wire format, with the server's signature as proof that
   * it ran the statement.
   */
  | { readonly kind: 'signed', readonly rows: readonly string[], readonly signature: string }

/**
 * Why a request provably did not run. The codes are part of the messages that
 * MySQL callers receive.
 */
export type NotRunReason =
  | 'badKey'
  /** The key of the session is no longer in the manifest. */
  | 'keyWithdrawn'
  | 'routeUnknown'
  | 'routeForbidden'
  | 'hintMalformed'
  | 'statementTooLong'
  | 'statementHoldsKey'
  | 'unsupported'
  | 'rateExceeded'
  | 'queueFull'
  /** The entry host has too little processor time or memory; never sent between hosts. */
  | 'overloaded'
  | 'deadlinePassed'
  | 'unconfirmedConfiguration'
  | 'noPrimary'
  /** No suitable server could be used, or too few reported their position. */
  | 'noServer'
  /** The database is being decommissioned. */
  | 'leaving'
  /** The host is stopping. */
  | 'stopping'
  /** The called host is not the dispatcher of the server. */
  | 'wrongHome'
  /** The data of the server is too old for the read consistency. */
  | 'behind'
  /** The open transaction was lost and is rolled back. */
  | 'transactionLost'
  /** A transaction that was lost earlier has not been ended by the caller yet. */
  | 'transactionFailed'
  | 'serverBusy'
  /** The session has no prepared statement with the name. */
  | 'preparedUnknown'

/** Why it cannot be determined whether a request ran. */
export type UnknownReason =
  | 'connectionLost'
  | 'answerOverdue'
  /** No majority of the servers is known to have received the position of the answer. */
  | 'notConfirmed'

/** Outcome of one request. */
export type Outcome =
  | { readonly kind: 'answered', readonly answer: Answer, readonly position: Position | undefined, readonly servedBy: 'primary' | 'replica' | 'proxy' }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  /** The server ran the statement and reports a failure; its effects are unknown. */
  | { readonly kind: 'failed', readonly detail: string }
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly detail: string }
  | { readonly kind: 'unknown', readonly reason: UnknownReason, readonly detail: string }

/**
 * Creates the outcome of a request that provably did not run.
 * @param reason - why the request did not run
 * @param detail - explanation for the caller; must not contain a key
 * @returns the outcome
 */
export function notRun (reason: NotRunReason, detail: string): Outcome {
  return { kind: 'notRun', reason, detail }
}

/**
 * Creates the outcome of a request that may or may not have run.
 * @param reason - why the outcome is unknown
 * @param detail - explanation for the caller; must not contain a key
 * @returns the outcome
 */
export function unknownOutcome (reason: UnknownReason, detail: string): Outcome {
  return { kind: 'unknown', reason, detail }
}
