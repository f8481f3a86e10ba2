// Errors of the wire layer. Errors of sockets and libraries are converted to
// these before they leave the layer.

import VError from 'verror'

/** Cause of a connection error. */
export type WireFailure =
  /** No connection could be opened; the call was not executed. */
  | 'refused'
  /** No response in time; the call may have been executed. */
  | 'overdue'
  /** The connection or the call failed unexpectedly; the call may have been executed. */
  | 'lost'
  /** The session was closed before the call was sent; it was not executed. */
  | 'closed'
  /**
   * The other end rejected the login or the call, or its response is unusable;
   * the call may have been executed. Also stands for an address that cannot be
   * listened on.
   */
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
