// Timeouts for promises that depend on sockets, and durations for interfaces that
// take whole milliseconds only.

import type { TimerService } from './timer.js'

/** Result of waiting with a timeout. */
export type TimeoutResult<T> =
  | { readonly kind: 'done', readonly value: T }
  | { readonly kind: 'overdue' }

/**
 * Waits for a promise up to a timeout.
 * @param timers - the timer service
 * @param timeoutMs - longest wait
 * @param promise - the promise; a result after the timeout is discarded
 * @returns the value, or `overdue` after the timeout; a rejection is propagated
 */
export function withTimeout<T> (timers: TimerService, timeoutMs: number, promise: Promise<T>): Promise<TimeoutResult<T>> {
  return new Promise<TimeoutResult<T>>((resolve, reject) => {
    const cancel = timers.after(timeoutMs, { send: () => { resolve({ kind: 'overdue' }); return 'accepted' } })
    promise.then(
      value => { cancel(); resolve({ kind: 'done', value }) },
      error => { cancel(); reject(error) }
    )
  })
}

/**
 * Converts a duration for an interface that takes whole milliseconds.
 * @param durationMs - the duration, which may be a quotient or have a random factor
 * @returns the next whole number of milliseconds, at least 0
 */
export function wholeMs (durationMs: number): number {
  return Math.max(0, Math.ceil(durationMs))
}
