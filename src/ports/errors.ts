// Errors of the wire layer. Errors of sockets and libraries are converted to
// these before they leave the layer.

import VError from 'verror'

/** Cause of a connection error. */
export type WireFailure =
  | 'refused'
  | 'overdue'
  | 'lost'
  | 'closed'
  | 'rejected'

/** An error of a connection to a database server or another proxy. */
export class WireError extends VError {
  /**
   * Creates an error.
   * @param failure - the cause, as a code
   * @param message - description; must not contain a key
   * @param cause - the underlying error
   */
  constructor (readonly failure: WireFailure, message: string, cause?: Error) {
    super({ name: 'WireError', ...(cause === undefined ? {} : { cause }) }, '%s', message)
  }
}

/**
 * Converts a thrown value to an `Error`.
 * @param thrown - the thrown value
 * @returns the error
 */
export function asError (thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown))
}

/**
 * Converts a thrown value to a `WireError`.
 * @param thrown - the thrown value
 * @returns the error
 */
export function asWireError (thrown: unknown): WireError {
  return thrown instanceof WireError ? thrown : new WireError('lost', 'unexpected failure', asError(thrown))
}
