// A timer service whose time the test sets.

import type { TimerService } from '../../src/pipe/index.js'

/** A timer service without a clock. */
export type FakeTimers = TimerService & {
  /** Lets the time pass up to a moment; what is due by then happens in order. */
  readonly pass: (untilMs: number) => void
}

type Waiting = { readonly atMs: number, readonly run: () => void }

/** Creates a timer service at time 0. */
export function fakeTimers (): FakeTimers {
  let nowMs = 0
  let waiting: readonly Waiting[] = []
  const after: TimerService['after'] = (delayMs, port) => {
    const timer: Waiting = { atMs: nowMs + delayMs, run: () => { port.send({ kind: 'tick', nowMs }) } }
    waiting = [...waiting, timer]
    return () => { waiting = waiting.filter(other => other !== timer) }
  }
  const every: TimerService['every'] = (periodMs, port) => {
    let cancel = (): void => {}
    const next = (): void => {
      cancel = after(periodMs, {
        send: tick => {
          next()
          return port.send(tick)
        }
      })
    }
    next()
    return () => { cancel() }
  }
  const pass = (untilMs: number): void => {
    for (;;) {
      const next = waiting.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0]
      if (next === undefined) break
      waiting = waiting.filter(timer => timer !== next)
      nowMs = next.atMs
      next.run()
    }
    nowMs = untilMs
  }
  return { nowMs: () => nowMs, every, after, about: after, atLeast: after, stop: () => {}, pass }
}
