// Deadlines on promises that come from sockets.

import type { TimerService } from './timer.js'

/** The result of waiting with a deadline. */
export type TimeoutResult<T> =
  | { readonly kind: 'done', readonly value: T }
  | { readonly kind: 'overdue' }

/**
 * Waits for a promise, but no longer than a time.
 * @param timers - the timer service
 * @param timeoutMs - how long to wait
 * @param promise - what to wait for; its late result is dropped
 * @returns the value, or that it was overdue; a rejection is passed on
 */
export async function withTimeout<T> (timers: TimerService, timeoutMs: number, promise: Promise<T>): Promise<TimeoutResult<T>> {
  return await new Promise<TimeoutResult<T>>((resolve, reject) => {
    const cancel = timers.after(timeoutMs, { send: () => { resolve({ kind: 'overdue' }); return 'accepted' } })
    promise.then(
      value => { cancel(); resolve({ kind: 'done', value }) },
      error => { cancel(); reject(error) }
    )
  })
}
