// The timer service. Parts subscribe and are told the time in a message; no
// part reads a clock of its own. Times are monotonic milliseconds that go on
// while a process is paused, and also while its host is suspended: the steady
// clock stands still then, the time of day does not, so the larger advance of
// the two counts. A time of day that is set back changes nothing; one that is
// set forward makes leases and confirmations lapse early.

import type { Port } from './mailbox.js'

/** The time, told to a subscriber. */
export type Tick = {
  readonly kind: 'tick'
  readonly nowMs: number
}

/** Ends a subscription. */
export type Unsubscribe = () => void

/** Tells the time to its subscribers. */
export type TimerService = {
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number
  /** Sends a tick to the port every `periodMs` until unsubscribed. */
  readonly every: (periodMs: number, port: Port<Tick>) => Unsubscribe
  /** Sends one tick to the port after `delayMs` unless unsubscribed. */
  readonly after: (delayMs: number, port: Port<Tick>) => Unsubscribe
  /** Ends all subscriptions. */
  readonly stop: () => void
}

/** A larger advance of the time of day over the steady clock means that the host was suspended or its clock was set. */
const minSuspensionMs = 100

/**
 * Makes a clock that never goes back and does not stand still while the host is suspended.
 * @param steadyMs - the steady clock
 * @param timeOfDayMs - the time of day
 * @returns gives milliseconds
 */
export function elapsedClock (steadyMs: () => number, timeOfDayMs: () => number): () => number {
  let lastSteadyMs = steadyMs()
  let lastTimeOfDayMs = timeOfDayMs()
  let skippedMs = 0
  return () => {
    const nowSteadyMs = steadyMs()
    const nowTimeOfDayMs = timeOfDayMs()
    const steadyAdvanceMs = nowSteadyMs - lastSteadyMs
    const advanceMs = nowTimeOfDayMs - lastTimeOfDayMs
    if (advanceMs - steadyAdvanceMs > minSuspensionMs) skippedMs += advanceMs - steadyAdvanceMs
    lastSteadyMs = nowSteadyMs
    lastTimeOfDayMs = nowTimeOfDayMs
    return nowSteadyMs + skippedMs
  }
}

/**
 * The timer service of a real process.
 * @returns the service; its timers keep no process alive
 */
export function systemTimers (): TimerService {
  const live = new Set<NodeJS.Timeout>()
  const nowMs = elapsedClock(() => performance.now(), () => Date.now())
  const cancel = (timer: NodeJS.Timeout): Unsubscribe => () => {
    clearTimeout(timer)
    live.delete(timer)
  }
  return {
    nowMs,
    every (periodMs, port) {
      const timer = setInterval(() => port.send({ kind: 'tick', nowMs: nowMs() }), periodMs).unref()
      live.add(timer)
      return cancel(timer)
    },
    after (delayMs, port) {
      const timer = setTimeout(() => {
        live.delete(timer)
        port.send({ kind: 'tick', nowMs: nowMs() })
      }, delayMs)
      live.add(timer)
      return cancel(timer)
    },
    stop () {
      for (const timer of live) clearTimeout(timer)
      live.clear()
    }
  }
}

/**
 * Adapts a port so that ticks arrive as the task's own messages.
 * @param port - the task's port
 * @param wrap - makes the message from the time
 * @returns a port for ticks
 */
export function tickPort<M> (port: Port<M>, wrap: (nowMs: number) => M): Port<Tick> {
  return { send: tick => port.send(wrap(tick.nowMs)) }
}

/**
 * Waits without blocking.
 * @param timers - the timer service
 * @param delayMs - how long to wait
 */
export async function sleep (timers: TimerService, delayMs: number): Promise<void> {
  await new Promise<void>(resolve => {
    timers.after(delayMs, { send: () => { resolve(); return 'accepted' } })
  })
}

/**
 * Sends ticks whose period is asked for anew each time, so that a part at rest
 * wakes the process rarely.
 * @param timers - the timer service
 * @param periodMs - gives the time until the next tick
 * @param port - told of the ticks
 * @returns ends the subscription
 */
export function pacedTicks (timers: TimerService, periodMs: () => number, port: Port<Tick>): Unsubscribe {
  let cancel = (): void => {}
  const next = (): void => {
    cancel = timers.after(periodMs(), {
      send: tick => {
        const result = port.send(tick)
        next()
        return result
      }
    })
  }
  next()
  return () => { cancel() }
}
