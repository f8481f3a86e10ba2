// Expected wait of a statement, from what is ahead of it: the statements of more urgent
// classes, those of its own class that its account's fair share lets go first, and the
// residual time until the next slot is free. More urgent statements that arrive while it
// waits slow it down in proportion to the fraction of the slots that they use.

import type { ServerLoad } from '../model/index.js'
import { countBelow, sizeOf, valueOf } from './ordered-map.js'
import { expectedServiceMs } from './estimate.js'
import { newAccount, waitingOf } from './schedule-class.js'
import type { RecentArrivals, ScheduleClass, SchedulerState, WaitingStatement } from './state.js'

/** Time over which the arrivals of a class are averaged. */
const arrivalWindowMs = 1000
/** Largest fraction of the slots that arrivals of other classes count for. */
const maxBusyFraction = 0.95

/** A statement whose wait is estimated. */
type Applicant = Pick<WaitingStatement, 'account' | 'weight' | 'order' | 'lane'>

/** Expected wait of a statement. */
export type WaitEstimate = {
  readonly waitMs: number
  /**
   * Wait that is certain enough to refuse a statement: service times vary about as
   * much as their mean, so the sum of n of them is uncertain by 1 / sqrt(n).
   */
  readonly certainMs: number
}

/**
 * Adds a queued statement to the arrivals of its class.
 * @param scheduleClass - the class
 * @param statement - the statement
 * @param nowMs - monotonic time
 * @returns the class
 */
export function withArrival (scheduleClass: ScheduleClass, { lane, expectedMs }: WaitingStatement, nowMs: number): ScheduleClass {
  const arrivals = decayed(scheduleClass.arrivals, nowMs)
  return { ...scheduleClass, arrivals: { ...arrivals, [lane]: arrivals[lane] + expectedMs } }
}

/**
 * Counts a statement that has become late among the late arrivals.
 * @param scheduleClass - the class
 * @param statement - the statement
 * @param nowMs - monotonic time
 * @returns the class
 */
export function withLateArrival (scheduleClass: ScheduleClass, { expectedMs }: WaitingStatement, nowMs: number): ScheduleClass {
  const arrivals = decayed(scheduleClass.arrivals, nowMs)
  const movedMs = Math.min(expectedMs, arrivals.onTime)
  return { ...scheduleClass, arrivals: { ...arrivals, onTime: arrivals.onTime - movedMs, late: arrivals.late + movedMs } }
}

function decayed (arrivals: RecentArrivals, nowMs: number): RecentArrivals {
  const factor = Math.exp((arrivals.atMs - nowMs) / arrivalWindowMs)
  return { onTime: arrivals.onTime * factor, late: arrivals.late * factor, atMs: nowMs }
}

/**
 * Finds the class of most recent statements.
 * @param classes - the classes
 * @param nowMs - monotonic time
 * @returns the class; undefined for none
 */
export function busiestClass (classes: readonly ScheduleClass[], nowMs: number): ScheduleClass | undefined {
  let busiest: ScheduleClass | undefined
  for (const one of classes) {
    if (busiest === undefined || arrivalsMs(one, nowMs) > arrivalsMs(busiest, nowMs)) busiest = one
  }
  return busiest
}

function arrivalsMs (scheduleClass: ScheduleClass, nowMs: number): number {
  const { onTime, late } = decayed(scheduleClass.arrivals, nowMs)
  return onTime + late
}

/**
 * Estimates the wait of a statement.
 * @param state - the scheduler, with all slots in use
 * @param scheduleClass - the class of the statement
 * @param applicant - the statement
 * @param nowMs - monotonic time
 * @returns the expected wait
 */
export function expectedWait (state: SchedulerState, scheduleClass: ScheduleClass, applicant: Applicant, nowMs: number): WaitEstimate {
  const slots = Math.max(1, state.slots)
  const urgent = state.classes.filter(({ priority }) => priority < scheduleClass.priority)
  const inside = aheadInClass(state, scheduleClass, applicant)
  const count = sum(urgent, ({ waitingCount }) => waitingCount) + inside.count
  const aheadMs = sum(urgent, waitingMsOf) + inside.ms
  // A late statement also waits for those of its class that arrive in time.
  const competingMs = sum(urgent, other => arrivalsMs(other, nowMs)) + (applicant.lane === 'late' ? decayed(scheduleClass.arrivals, nowMs).onTime : 0)
  const busyFraction = Math.min(maxBusyFraction, competingMs / arrivalWindowMs / slots)
  const residualMs = state.service.averageMs / slots
  const queuedMs = aheadMs / slots
  const boundMs = queuedMs + (inside.count + 1) * state.settings.maxLaneWaitMs
  const waitMs = residualMs + Math.min(queuedMs / (1 - busyFraction), boundMs)
  return { waitMs, certainMs: waitMs * (1 - 1 / Math.sqrt(count + 1)) }
}

/** Statements ahead of one, and their expected service time. */
type Ahead = { readonly count: number, readonly ms: number }

// While the account is served from its start tag to the statement, the other accounts
// of the class get the same service time in relation to their weights.
function aheadInClass (state: SchedulerState, scheduleClass: ScheduleClass, applicant: Applicant): Ahead {
  const { lanes, virtualTimeMs } = scheduleClass
  const known = valueOf(scheduleClass.accounts, applicant.account)
  const account = known ?? newAccount(scheduleClass, applicant.account, applicant.weight)
  const isLate = applicant.lane === 'late'
  const laneMs = isLate ? waitingMsOf(scheduleClass) : lanes.onTime.waitingMs
  const own = isLate ? sizeOf(account.waiting.onTime) + countBelow(account.waiting.late, applicant.order) : countBelow(account.waiting.onTime, applicant.order)
  const activeWeight = scheduleClass.activeWeight + (waitingOf(known) === 0 ? applicant.weight : 0)
  const ownMs = own * expectedServiceMs(known, scheduleClass, state.service)
  const lagMs = Math.max(0, account.startTagMs - virtualTimeMs) + ownMs / applicant.weight
  const ms = Math.min(laneMs, lagMs * activeWeight)
  const count = laneMs === 0 ? 0 : scheduleClass.waitingCount * ms / Math.max(laneMs, waitingMsOf(scheduleClass))
  return { count, ms }
}

function waitingMsOf ({ lanes }: ScheduleClass): number {
  return lanes.onTime.waitingMs + lanes.late.waitingMs
}

function sum<T> (items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0)
}

/**
 * Estimates the wait of a statement of any class that arrives now, for other hosts.
 * @param state - the scheduler
 * @returns the expected wait; 0 while slots are free
 */
export function typicalWaitMs (state: SchedulerState): number {
  const slots = Math.max(1, state.slots)
  if (sizeOf(state.running) < state.slots) return 0
  return (sum(state.classes, waitingMsOf) + state.service.averageMs) / slots
}

/**
 * Summarizes the load of the server, for the replies to other hosts.
 * @param state - the scheduler
 * @returns the load
 */
export function serverLoadOf (state: SchedulerState): ServerLoad {
  return { expectedWaitMs: Math.round(typicalWaitMs(state)), serviceMs: Math.round(state.service.averageMs), waiting: sizeOf(state.waiting), slots: state.slots }
}
