// Types of the scheduler in front of a server's slots.

import type { AccountName } from '../model/index.js'
import type { OrderedMap } from './ordered-map.js'

/** Settings of a scheduler. */
export type SchedulerSettings = {
  /** Number of statements that run concurrently, until it is changed. */
  readonly slots: number
  /** Maximum number of waiting statements of all accounts together. */
  readonly maxWaiting: number
  /** Longest time for which the statements of a lane wait without one being started. */
  readonly maxLaneWaitMs: number
}

/** Place of a time in an order; the sequence number decides between equal times. */
export type TimeKey = { readonly atMs: number, readonly sequence: number }

/** Place of an account in the order of a lane. */
export type TagKey = { readonly startTagMs: number, readonly account: AccountName }

/** Place of an account among those with waiting statements, the longest backlog first. */
export type BacklogKey = { readonly backlog: number, readonly account: AccountName }

/**
 * Lane of a class. `onTime`: statements that can still meet their objective; `late`:
 * those that cannot.
 */
export type LaneKind = 'onTime' | 'late'

/** A waiting statement. */
export type WaitingStatement = {
  readonly id: string
  readonly account: AccountName
  readonly weight: number
  readonly priority: number
  readonly lane: LaneKind
  /** Place in the order of its account. */
  readonly order: TimeKey
  readonly deadlineAtMs: number
  /** The last time at which it can start and is expected to end by its deadline. */
  readonly startBy: TimeKey
  /** The last time at which it can start and meet its objective; undefined: it has none. */
  readonly goalBy: TimeKey | undefined
  /** Expected service time, as estimated when it was queued. */
  readonly expectedMs: number
}

/** A running statement. */
export type RunningStatement = {
  readonly id: string
  readonly account: AccountName
  readonly priority: number
  readonly startedAtMs: number
  readonly chargedMs: number
  /** Time after which more has to be charged. */
  readonly chargedUntil: TimeKey
}

/** Moving average of service times. */
export type ServiceEstimate = {
  readonly averageMs: number
  /** Number of statements that have finished. */
  readonly finished: number
}

/** State of one account in a class. */
export type ClassAccount = {
  readonly name: AccountName
  readonly weight: number
  /** Start tag: service time charged so far, divided by the weight. */
  readonly startTagMs: number
  readonly service: ServiceEstimate
  /** Ids of the waiting statements in each lane, in the order in which they start. */
  readonly waiting: Readonly<Record<LaneKind, OrderedMap<TimeKey, string>>>
  readonly running: number
}

/** Accounts with waiting statements in one lane of a class. */
export type Lane = {
  readonly accounts: OrderedMap<TagKey, AccountName>
  /** Expected service time of the waiting statements. */
  readonly waitingMs: number
  /** Since when statements wait without one being started. */
  readonly waitsSinceMs: number
}

/** Expected service time of the statements queued recently, by lane; decays with time. */
export type RecentArrivals = Readonly<Record<LaneKind, number>> & { readonly atMs: number }

/** Statements of one priority. */
export type ScheduleClass = {
  readonly priority: number
  readonly virtualTimeMs: number
  readonly accounts: OrderedMap<AccountName, ClassAccount>
  readonly lanes: Readonly<Record<LaneKind, Lane>>
  readonly backlogs: OrderedMap<BacklogKey, AccountName>
  /** Accounts without statements whose start tag is above the virtual time. */
  readonly idle: OrderedMap<TagKey, AccountName>
  /** Sum of the weights of the accounts with waiting statements. */
  readonly activeWeight: number
  readonly waitingCount: number
  readonly arrivals: RecentArrivals
  readonly service: ServiceEstimate
}

/** State of a scheduler. */
export type SchedulerState = {
  readonly settings: SchedulerSettings
  /** Number of statements that may run now. */
  readonly slots: number
  readonly nextSequence: number
  readonly waiting: OrderedMap<string, WaitingStatement>
  readonly byStartBy: OrderedMap<TimeKey, string>
  readonly byGoal: OrderedMap<TimeKey, string>
  readonly running: OrderedMap<string, RunningStatement>
  readonly byChargedUntil: OrderedMap<TimeKey, string>
  /** In the order of their priorities, the most urgent first. */
  readonly classes: readonly ScheduleClass[]
  readonly service: ServiceEstimate
}

/** A statement that asks for a slot. */
export type OfferedStatement = {
  readonly id: string
  readonly account: AccountName
  readonly weight: number
  /** 0 is the most urgent; undefined: the statement gets the default class. */
  readonly priority?: number | undefined
  /** Time of the latency objective; undefined: none is known. */
  readonly goalAtMs?: number | undefined
  /** Whether it belongs to an open transaction. */
  readonly inTransaction?: boolean
  readonly deadlineAtMs: number
}

/** Events of a scheduler. Times are monotonic. */
export type SchedulerEvent =
  | OfferedStatement & { readonly kind: 'offered', readonly nowMs: number }
  | { readonly kind: 'finished', readonly id: string, readonly tookMs: number, readonly nowMs: number }
  /**
   * The statement is no longer needed; one that already runs ends with
   * `finished`.
   */
  | { readonly kind: 'cancelled', readonly id: string, readonly nowMs: number }
  /** The number of statements that may run now has changed; running ones go on. */
  | { readonly kind: 'slotsChanged', readonly slots: number, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of a scheduler; a refused statement has not run. */
export type SchedulerEffect =
  | { readonly kind: 'start', readonly id: string }
  /** `expectedWaitMs`: the wait of a statement that arrives now, for the hint to the caller. */
  | { readonly kind: 'refuse', readonly id: string, readonly reason: 'queueFull' | 'deadlinePassed', readonly expectedWaitMs: number }
