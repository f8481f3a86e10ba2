// The statements that a dispatcher has received and not answered yet, by the names that
// their entry hosts gave them. A cancellation may arrive while a statement is checked
// and before it waits for a slot, so it is kept until the statement is answered.

import type { ExecuteRequest } from '../model/index.js'
import type { CallName } from './queue-step.js'

type Named = Pick<ExecuteRequest, 'from' | 'callId'>

/** Statements of other hosts that a dispatcher has not answered yet. */
export class CallTable {
  readonly #calls = new Map<string, 'needed' | 'cancelled'>()

  /**
   * Adds a statement; one without a call id can't be cancelled.
   * @param request - the statement
   */
  add (request: Named): void {
    const key = keyOf(request)
    if (key !== undefined) this.#calls.set(key, 'needed')
  }

  /**
   * Removes a statement that is answered.
   * @param request - the statement
   */
  remove (request: Named): void {
    const key = keyOf(request)
    if (key !== undefined) this.#calls.delete(key)
  }

  /**
   * Records that a statement is no longer needed.
   * @param call - the statement
   * @returns true if the statement is in the table
   */
  cancel (call: CallName): boolean {
    const key = keyOf(call)
    if (key === undefined || !this.#calls.has(key)) return false
    this.#calls.set(key, 'cancelled')
    return true
  }

  /**
   * Checks whether a statement is no longer needed.
   * @param request - the statement
   * @returns true once it was cancelled
   */
  isCancelled (request: Named): boolean {
    const key = keyOf(request)
    return key !== undefined && this.#calls.get(key) === 'cancelled'
  }
}

function keyOf ({ from, callId }: Named): string | undefined {
  return callId === undefined ? undefined : `${from}/${callId}`
}
