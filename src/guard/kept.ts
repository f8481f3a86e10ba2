// Bytes that sessions keep between two statements: values and prepared statements.
// A change is reserved before it takes effect; the end of a session releases all.

import type { GuardLimits } from './budget.js'

/** Account of the bytes that all sessions keep. */
export class KeptBytes {
  readonly #limits: Pick<GuardLimits, 'keptBytes' | 'keptSessionBytes'>
  #total = 0

  /**
   * Creates an empty account.
   * @param limits - bounds of all sessions and of one
   */
  constructor (limits: Pick<GuardLimits, 'keptBytes' | 'keptSessionBytes'>) {
    this.#limits = limits
  }

  /**
   * Bytes that all sessions keep.
   * @returns the sum
   */
  get total (): number {
    return this.#total
  }

  /**
   * Reserves a change of a session's kept bytes.
   * @param sessionBytes - bytes that the session keeps so far
   * @param addedBytes - bytes that it keeps in addition; negative where it keeps fewer
   * @returns whether the change may take effect; one that frees bytes always may
   */
  change (sessionBytes: number, addedBytes: number): boolean {
    const isWithin = sessionBytes + addedBytes <= this.#limits.keptSessionBytes && this.#total + addedBytes <= this.#limits.keptBytes
    if (addedBytes > 0 && !isWithin) return false
    this.#total += addedBytes
    return true
  }
}
