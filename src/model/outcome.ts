// What became of a request. Exactly one of these is said to the caller,
// and each is true: `notRun` is said only where no server can have run it.

import type { Position } from './position.js'

/** One column of a result, in MySQL's own type numbers. */
export type Column = {
  readonly name: string
  readonly type: number
  readonly flags: number
  readonly length: number
  readonly decimals: number
  readonly characterSet: number
}

/** One value in text form; each character is one byte (latin1). */
export type Cell = string | null

/** What a database answered. */
export type Answer =
  | { readonly kind: 'rows', readonly columns: readonly Column[], readonly rows: ReadonlyArray<readonly Cell[]> }
  | { readonly kind: 'done', readonly affectedRows: number, readonly insertId: number }
  /** Rows in the server's own form, with the server's proof that it ran the statement. */
  | { readonly kind: 'signed', readonly rows: readonly string[], readonly signature: string }

/** Why a request surely did not run. */
export type NotRunReason =
  | 'badKey'
  | 'keyWithdrawn'
  | 'routeUnknown'
  | 'routeForbidden'
  | 'hintMalformed'
  | 'statementTooLong'
  | 'statementHoldsKey'
  | 'unsupported'
  | 'rateExceeded'
  | 'queueFull'
  | 'deadlinePassed'
  | 'unconfirmedConfiguration'
  | 'noPrimary'
  | 'noServer'
  | 'leaving'
  | 'stopping'
  | 'wrongHome'
  | 'behind'
  | 'transactionLost'
  | 'transactionFailed'
  | 'serverBusy'
  | 'preparedUnknown'

/** Why nobody can tell whether a request ran. */
export type UnknownReason =
  | 'connectionLost'
  | 'answerOverdue'
  | 'notConfirmed'

/** What became of one request. */
export type Outcome =
  | { readonly kind: 'answered', readonly answer: Answer, readonly position: Position | undefined, readonly servedBy: 'primary' | 'replica' | 'proxy' }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  /** The server ran the statement and reports a failure; what it did is not known. */
  | { readonly kind: 'failed', readonly detail: string }
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly detail: string }
  | { readonly kind: 'unknown', readonly reason: UnknownReason, readonly detail: string }

/**
 * Makes the outcome of a request that surely did not run.
 * @param reason - why it did not run
 * @param detail - a sentence for the caller, without any key
 * @returns the outcome
 */
export function notRun (reason: NotRunReason, detail: string): Outcome {
  return { kind: 'notRun', reason, detail }
}

/**
 * Makes the outcome of a request of which nobody can tell whether it ran.
 * @param reason - what was lost
 * @param detail - a sentence for the caller, without any key
 * @returns the outcome
 */
export function unknownOutcome (reason: UnknownReason, detail: string): Outcome {
  return { kind: 'unknown', reason, detail }
}
