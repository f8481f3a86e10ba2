// A small model of one server with its scheduler: statements arrive at given times, hold
// a slot for their service time, and are useful if they end by their deadline.

import { initialScheduler, schedulerStep, type SchedulerEvent, type SchedulerSettings } from '../../src/schedule/index.js'
import { seededRandom } from '../../bench/seeded-random.js'

/** A statement that arrives at the server. */
export type Arrival = {
  readonly atMs: number
  readonly account: string
  readonly priority: number
  readonly serviceMs: number
  readonly goalMs: number
  readonly timeoutMs: number
}

/** What became of a statement. */
export type Ended = Arrival & {
  readonly result: 'inTime' | 'late' | 'queueFull' | 'deadlinePassed'
  readonly endedAtMs: number
}

/** Demand of one account. */
export type Demand = Omit<Arrival, 'atMs' | 'serviceMs'> & { readonly perS: number, readonly serviceMs: number }

/** Serves the arrivals, which are in the order of their times, and lists what became of each. */
export function serveArrivals (settings: SchedulerSettings, arrivals: readonly Arrival[]): readonly Ended[] {
  let state = initialScheduler(settings)
  let running: ReadonlyArray<{ readonly id: string, readonly endsAtMs: number }> = []
  const ended: Ended[] = []
  const step = (event: SchedulerEvent): void => {
    const next = schedulerStep(state, event)
    state = next.state
    for (const effect of next.effects) {
      const arrival = arrivals[Number(effect.id)]
      if (arrival === undefined) continue
      if (effect.kind === 'refuse') ended.push({ ...arrival, result: effect.reason, endedAtMs: event.nowMs })
      else running = [...running, { id: effect.id, endsAtMs: event.nowMs + arrival.serviceMs }].sort((a, b) => a.endsAtMs - b.endsAtMs)
    }
  }
  const finishUntil = (untilMs: number): void => {
    for (let first = running[0]; first !== undefined && first.endsAtMs <= untilMs; first = running[0]) {
      const { id, endsAtMs } = first
      const arrival = arrivals[Number(id)]
      if (arrival === undefined) return
      running = running.slice(1)
      ended.push({ ...arrival, result: endsAtMs <= arrival.atMs + arrival.timeoutMs ? 'inTime' : 'late', endedAtMs: endsAtMs })
      step({ kind: 'finished', id, tookMs: arrival.serviceMs, nowMs: endsAtMs })
    }
  }
  arrivals.forEach(({ atMs, account, priority, goalMs, timeoutMs }, at) => {
    finishUntil(atMs)
    step({ kind: 'offered', id: String(at), account, weight: 1, priority, goalAtMs: atMs + goalMs, deadlineAtMs: atMs + timeoutMs, nowMs: atMs })
  })
  finishUntil(Infinity)
  return ended
}

/** Arrivals of several demands in one span of time, with exponential intervals and service times. */
export function arrivalsOf (demands: readonly Demand[], fromMs: number, untilMs: number, seed: number): readonly Arrival[] {
  const random = seededRandom(seed, 100_000)
  const exponential = (mean: number): number => -mean * Math.log(1 - random())
  return demands.flatMap(demand => {
    const arrivals: Arrival[] = []
    for (let atMs = fromMs + exponential(1000 / demand.perS); atMs < untilMs; atMs += exponential(1000 / demand.perS)) {
      arrivals.push({ ...demand, atMs, serviceMs: exponential(demand.serviceMs) })
    }
    return arrivals
  }).sort((a, b) => a.atMs - b.atMs)
}
