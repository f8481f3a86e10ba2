// Errors of the wire layer. What sockets and libraries throw is turned into
// one of these before it leaves the folder.

import VError from 'verror'

/** What went wrong on a connection. */
export type WireFailure =
  | 'refused'
  | 'overdue'
  | 'lost'
  | 'closed'
  | 'rejected'

/** An error of a connection to a database server or another proxy. */
export class WireError extends VError {
  /**
   * Makes an error.
   * @param failure - what went wrong
   * @param message - a sentence about it, without any key
   * @param cause - the error from below
   */
  constructor (readonly failure: WireFailure, message: string, cause?: Error) {
    super({ name: 'WireError', ...(cause === undefined ? {} : { cause }) }, '%s', message)
  }
}

/**
 * Makes an `Error` of whatever was thrown.
 * @param thrown - what was thrown
 * @returns the error
 */
export function asError (thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown))
}

/**
 * Turns whatever was thrown into a `WireError`.
 * @param thrown - what was thrown
 * @returns the error
 */
export function asWireError (thrown: unknown): WireError {
  return thrown instanceof WireError ? thrown : new WireError('lost', 'unexpected failure', asError(thrown))
}
