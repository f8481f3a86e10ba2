// The timer service. Components subscribe to it and receive the time in
// messages; they do not read clocks themselves. Times are monotonic milliseconds
// that advance while the process is paused and also while its host is suspended.
// During a suspension the steady clock stops but the wall clock does not, so the
// larger advance of the two is used. Setting the wall clock back has no effect;
// setting it forward makes leases and confirmations expire early.

import type { Port, SendResult } from './mailbox.js'

/** Message with the current time for a subscriber. */
export type Tick = {
  readonly kind: 'tick'
  readonly nowMs: number
}

/** Ends a subscription. */
export type Unsubscribe = () => void

/** Sends ticks to its subscribers. */
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

/**
 * If the wall clock advances by more than this over the steady clock, the host
 * was suspended or its clock was set.
 */
const minSuspensionMs = 100

/**
 * Creates a monotonic clock that also advances while the host is suspended.
 * @param steadyMs - reads the steady clock, in milliseconds
 * @param timeOfDayMs - reads the wall clock, in milliseconds
 * @returns a function that returns the elapsed milliseconds
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
 * Creates a timer service on the clocks of this process.
 * @param onTimer - called each time a timer goes off
 * @returns the service; its periodic timers do not keep the process alive
 */
export function systemTimers (onTimer: () => void = () => {}): TimerService {
  const live = new Set<NodeJS.Timeout>()
  const nowMs = elapsedClock(() => performance.now(), () => Date.now())
  const cancel = (timer: NodeJS.Timeout): Unsubscribe => () => {
    clearTimeout(timer)
    live.delete(timer)
  }
  return {
    nowMs,
    every (periodMs, port) {
      const timer = setInterval(() => {
        onTimer()
        port.send({ kind: 'tick', nowMs: nowMs() })
      }, periodMs).unref()
      live.add(timer)
      return cancel(timer)
    },
    after (delayMs, port) {
      const timer = setTimeout(() => {
        live.delete(timer)
        onTimer()
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

/** A timer that a component sets to the time at which it next has something to do. */
export type Alarm = {
  /**
   * Sets the alarm to a time, unless it is set to an earlier one: that tick comes
   * first and sets it again. Infinity sets nothing.
   */
  readonly set: (atMs: number) => void
  readonly stop: () => void
}

/** An alarm whose tick was rejected by a full mailbox goes off again after this time. */
const rejectedTickDelayMs = 50
/** Shortest delay of an alarm, also where its time has passed. */
const minAlarmDelayMs = 1

/**
 * Creates an alarm that is not set. It is not set again by itself.
 * @param timers - the timer service
 * @param port - receives the ticks
 * @returns the alarm
 */
export function startAlarm (timers: TimerService, port: Port<Tick>): Alarm {
  let dueAtMs = Infinity
  let cancel = (): void => {}
  const set = (atMs: number): void => {
    if (atMs >= dueAtMs) return
    cancel()
    dueAtMs = atMs
    cancel = timers.after(Math.max(minAlarmDelayMs, atMs - timers.nowMs()), { send: ring })
  }
  const ring = (tick: Tick): SendResult => {
    dueAtMs = Infinity
    const result = port.send(tick)
    if (result === 'full') set(tick.nowMs + rejectedTickDelayMs)
    return result
  }
  return { set, stop: () => { cancel() } }
}

/**
 * Adapts a task's port to ticks, which arrive as messages of the task's type.
 * @param port - the task's port
 * @param wrap - creates the message from the time
 * @returns a port for ticks
 */
export function tickPort<M> (port: Port<M>, wrap: (nowMs: number) => M): Port<Tick> {
  return { send: tick => port.send(wrap(tick.nowMs)) }
}

/**
 * Waits without blocking.
 * @param timers - the timer service
 * @param delayMs - the delay
 */
export async function sleep (timers: TimerService, delayMs: number): Promise<void> {
  await new Promise<void>(resolve => {
    timers.after(delayMs, { send: () => { resolve(); return 'accepted' } })
  })
}

/**
 * Sends ticks with a period that is determined anew after each tick, so that an
 * idle component rarely wakes the process.
 * @param timers - the timer service
 * @param periodMs - returns the time until the next tick
 * @param port - receives the ticks
 * @returns a function that ends the subscription
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
