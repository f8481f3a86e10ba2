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
  /**
   * Sends a tick to the port every `periodMs` until unsubscribed, together with
   * other ticks where the period is 200 ms or longer.
   */
  readonly every: (periodMs: number, port: Port<Tick>) => Unsubscribe
  /** Sends one tick to the port after `delayMs` unless unsubscribed. */
  readonly after: (delayMs: number, port: Port<Tick>) => Unsubscribe
  /**
   * Like `after`, up to 100 ms earlier where the delay is 200 ms or longer, so that
   * pauses end together and wake the process once.
   */
  readonly about: (delayMs: number, port: Port<Tick>) => Unsubscribe
  /** Like `after`, up to 100 ms later where the delay is 200 ms or longer. */
  readonly atLeast: (delayMs: number, port: Port<Tick>) => Unsubscribe
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

function steadyMs (): number {
  return performance.now()
}

/** Times at which periodic work and long pauses end, so that they share wakes. */
const sharedWakeMs = 100
/** A shorter delay than this is kept exactly. */
const minSharedDelayMs = 2 * sharedWakeMs

/**
 * Finds the shared wake for a delay.
 * @param nowMs - the time of the steady clock
 * @param delayMs - the delay
 * @param side - the last wake by the end of the delay, or the first from it on
 * @returns the time of the wake; undefined for a delay that is too short to be changed
 */
export function sharedWakeAtMs (nowMs: number, delayMs: number, side: 'before' | 'after'): number | undefined {
  if (delayMs < minSharedDelayMs) return undefined
  const wakes = (nowMs + delayMs) / sharedWakeMs
  switch (side) {
    case 'before': return Math.floor(wakes) * sharedWakeMs
    case 'after': return Math.ceil(wakes) * sharedWakeMs
  }
}

/**
 * One timer of the runtime for all that ends at one shared wake. Wakes are times of
 * the steady clock, as the runtime's timers are: after a suspension, the elapsed time
 * has advanced and a pending timer has not.
 */
type SharedWake = { readonly timer: NodeJS.Timeout, readonly ports: ReadonlySet<Port<Tick>> }

/**
 * Creates a timer service on the clocks of this process.
 * @param onTimer - called each time a timer of the runtime goes off
 * @returns the service; its periodic timers do not keep the process alive
 */
export function systemTimers (onTimer: () => void = () => {}): TimerService {
  const live = new Set<NodeJS.Timeout>()
  const wakes = new Map<number, SharedWake>()
  const nowMs = elapsedClock(steadyMs, () => Date.now())
  const start = (delayMs: number, fire: () => void): NodeJS.Timeout => {
    const timer = setTimeout(() => {
      live.delete(timer)
      onTimer()
      fire()
    }, delayMs)
    live.add(timer)
    return timer
  }
  const cancel = (timer: NodeJS.Timeout): Unsubscribe => () => {
    clearTimeout(timer)
    live.delete(timer)
  }
  const after: TimerService['after'] = (delayMs, port) => cancel(start(delayMs, () => { port.send({ kind: 'tick', nowMs: nowMs() }) }))
  const ring = (atMs: number): void => {
    const ports = wakes.get(atMs)?.ports ?? []
    wakes.delete(atMs)
    for (const port of ports) port.send({ kind: 'tick', nowMs: nowMs() })
  }
  const join = (atMs: number, port: Port<Tick>): NodeJS.Timeout => {
    const { timer, ports } = wakes.get(atMs) ?? { timer: start(atMs - steadyMs(), () => { ring(atMs) }).unref(), ports: [] }
    wakes.set(atMs, { timer, ports: new Set(ports).add(port) })
    return timer
  }
  const leave = (atMs: number, port: Port<Tick>): void => {
    const wake = wakes.get(atMs)
    if (wake === undefined) return
    const ports = new Set([...wake.ports].filter(other => other !== port))
    if (ports.size > 0) {
      wakes.set(atMs, { ...wake, ports })
      return
    }
    wakes.delete(atMs)
    cancel(wake.timer)()
  }
  const shared = (side: 'before' | 'after'): TimerService['after'] => (delayMs, port) => {
    const atMs = sharedWakeAtMs(steadyMs(), delayMs, side)
    if (atMs === undefined) return after(delayMs, port)
    join(atMs, port).ref()
    return () => { leave(atMs, port) }
  }
  const interval = (periodMs: number, port: Port<Tick>): Unsubscribe => {
    const timer = setInterval(() => {
      onTimer()
      port.send({ kind: 'tick', nowMs: nowMs() })
    }, periodMs).unref()
    live.add(timer)
    return cancel(timer)
  }
  const every: TimerService['every'] = (periodMs, port) => {
    if (periodMs < minSharedDelayMs) return interval(periodMs, port)
    let isEnded = false
    let dueAtMs = steadyMs()
    const joinNext = (): void => {
      // Ticks that fell into a pause of the process are skipped.
      dueAtMs = Math.max(dueAtMs + periodMs, steadyMs())
      join(Math.ceil(dueAtMs / sharedWakeMs) * sharedWakeMs, { send })
    }
    const send = (tick: Tick): SendResult => {
      if (isEnded) return 'closed'
      joinNext()
      return port.send(tick)
    }
    joinNext()
    return () => { isEnded = true }
  }
  return {
    nowMs,
    every,
    after,
    about: shared('before'),
    atLeast: shared('after'),
    stop () {
      for (const timer of live) clearTimeout(timer)
      live.clear()
      wakes.clear()
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
  /**
   * Sets the alarm to the time at which something is due now. An alarm that had been
   * set to an earlier time goes back to the later one that this replaced, at most;
   * with Infinity and no such time it does not go off. So a time that moves on with
   * each message still comes.
   */
  readonly update: (atMs: number) => void
  readonly stop: () => void
}

/** An alarm whose tick was rejected by a full mailbox goes off again after this time. */
const rejectedTickDelayMs = 50
/** Shortest delay of an alarm, also where its time has passed. */
const minAlarmDelayMs = 1
/** An alarm is moved to a later time only by this or more: a move costs a timer of the runtime. */
const minPostponementMs = 20

/**
 * Creates an alarm that is not set. It is not set again by itself.
 * @param timers - the timer service
 * @param port - receives the ticks
 * @returns the alarm
 */
export function startAlarm (timers: TimerService, port: Port<Tick>): Alarm {
  let dueAtMs = Infinity
  /** The time that the first earlier one replaced since the alarm last went off. */
  let replacedAtMs = Infinity
  let cancel = (): void => {}
  const move = (atMs: number): void => {
    cancel()
    dueAtMs = atMs
    cancel = atMs === Infinity ? () => {} : timers.atLeast(Math.max(minAlarmDelayMs, atMs - timers.nowMs()), { send: ring })
  }
  const set = (atMs: number): void => {
    if (atMs >= dueAtMs) return
    if (replacedAtMs === Infinity) replacedAtMs = dueAtMs
    move(atMs)
  }
  const update = (atMs: number): void => {
    const laterAtMs = Math.min(atMs, replacedAtMs)
    const isBound = replacedAtMs < Infinity || atMs === Infinity
    if (atMs < dueAtMs) set(atMs)
    else if (isBound && laterAtMs - dueAtMs >= minPostponementMs) move(laterAtMs)
  }
  const ring = (tick: Tick): SendResult => {
    dueAtMs = Infinity
    replacedAtMs = Infinity
    const result = port.send(tick)
    if (result === 'full') set(tick.nowMs + rejectedTickDelayMs)
    return result
  }
  return { set, update, stop: () => { cancel() } }
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
 * Waits without blocking, see `TimerService.about`.
 * @param timers - the timer service
 * @param delayMs - the delay
 */
export async function sleep (timers: TimerService, delayMs: number): Promise<void> {
  await new Promise<void>(resolve => {
    timers.about(delayMs, { send: () => { resolve(); return 'accepted' } })
  })
}
