// One priority class: start-time fair queueing (SFQ) between client accounts. Each
// account has a start tag, the service time charged to it divided by its weight. The
// account with the lowest tag is served next, and its tag becomes the virtual time. An
// account that returns from idleness starts at the virtual time, so idle time earns no
// credit.
//
// Statements that can still meet their objective wait in the lane `onTime`, the others
// in the lane `late`, which is served after it. Both lanes use the same tags. The
// indices of a class change in one place, `withAccount`.

import type { AccountName } from '../model/index.js'
import { emptyMap, firstOf, sizeOf, valueOf, withEntry, withoutEntry, type OrderedMap } from './ordered-map.js'
import { noEstimate, withFinished } from './estimate.js'
import type { BacklogKey, ClassAccount, Lane, LaneKind, RunningStatement, ScheduleClass, TagKey, TimeKey, WaitingStatement } from './state.js'

/**
 * Orders names by their code units.
 * @param a - one name
 * @param b - another name
 * @returns negative, zero or positive
 */
export function compareNames (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}

/**
 * Orders times, and equal times by their sequence.
 * @param a - one time
 * @param b - another time
 * @returns negative, zero or positive
 */
export function compareTimes (a: TimeKey, b: TimeKey): number {
  return a.atMs < b.atMs ? -1 : a.atMs > b.atMs ? 1 : a.sequence - b.sequence
}

function compareTags (a: TagKey, b: TagKey): number {
  return a.startTagMs - b.startTagMs || compareNames(a.account, b.account)
}

function compareBacklogs (a: BacklogKey, b: BacklogKey): number {
  return b.backlog - a.backlog || compareNames(a.account, b.account)
}

const emptyLane: Lane = { accounts: emptyMap(compareTags), waitingMs: 0, waitsSinceMs: 0 }
const noneWaiting: ClassAccount['waiting'] = { onTime: emptyMap(compareTimes), late: emptyMap(compareTimes) }
const laneKinds: readonly LaneKind[] = ['onTime', 'late']

/**
 * Creates a class without accounts.
 * @param priority - its priority
 * @returns the class
 */
export function newClass (priority: number): ScheduleClass {
  return {
    priority,
    virtualTimeMs: 0,
    accounts: emptyMap(compareNames),
    lanes: { onTime: emptyLane, late: emptyLane },
    backlogs: emptyMap(compareBacklogs),
    idle: emptyMap(compareTags),
    activeWeight: 0,
    waitingCount: 0,
    arrivals: { onTime: 0, late: 0, atMs: 0 },
    service: noEstimate
  }
}

/**
 * Creates the state of an account that a class does not know.
 * @param scheduleClass - the class
 * @param name - the account
 * @param weight - its weight
 * @returns the account, at the virtual time
 */
export function newAccount (scheduleClass: ScheduleClass, name: AccountName, weight: number): ClassAccount {
  return { name, weight, startTagMs: scheduleClass.virtualTimeMs, service: noEstimate, waiting: noneWaiting, running: 0 }
}

/**
 * Counts the waiting statements of an account.
 * @param account - the account; undefined for one that the class does not know
 * @returns the count
 */
export function waitingOf (account: ClassAccount | undefined): number {
  return account === undefined ? 0 : sizeOf(account.waiting.onTime) + sizeOf(account.waiting.late)
}

/**
 * Replaces the state of an account and updates the indices of the class.
 * @param scheduleClass - the class
 * @param account - the new state of the account
 * @returns the class
 */
export function withAccount (scheduleClass: ScheduleClass, account: ClassAccount): ScheduleClass {
  const before = valueOf(scheduleClass.accounts, account.name)
  const count = waitingOf(account)
  const countBefore = waitingOf(before)
  // Field by field, because a spread of the whole class is slow.
  const changed: ScheduleClass = {
    priority: scheduleClass.priority,
    virtualTimeMs: scheduleClass.virtualTimeMs,
    arrivals: scheduleClass.arrivals,
    service: scheduleClass.service,
    lanes: { onTime: laneWith(scheduleClass.lanes.onTime, 'onTime', before, account), late: laneWith(scheduleClass.lanes.late, 'late', before, account) },
    backlogs: reindexed(scheduleClass.backlogs, before === undefined || countBefore === 0 ? undefined : backlogKey(before, countBefore), count === 0 ? undefined : backlogKey(account, count), account.name),
    idle: reindexed(scheduleClass.idle, before !== undefined && isIdle(before) ? tagKey(before) : undefined, isIdle(account) ? tagKey(account) : undefined, account.name),
    activeWeight: Math.max(0, scheduleClass.activeWeight + (count > 0 ? account.weight : 0) - (before !== undefined && countBefore > 0 ? before.weight : 0)),
    waitingCount: scheduleClass.waitingCount + count - countBefore,
    accounts: withEntry(scheduleClass.accounts, account.name, account)
  }
  return withoutIdleAccounts(changed)
}

function laneWith (lane: Lane, kind: LaneKind, before: ClassAccount | undefined, account: ClassAccount): Lane {
  const keyBefore = before === undefined || sizeOf(before.waiting[kind]) === 0 ? undefined : tagKey(before)
  const key = sizeOf(account.waiting[kind]) === 0 ? undefined : tagKey(account)
  const accounts = reindexed(lane.accounts, keyBefore, key, account.name)
  return accounts === lane.accounts ? lane : { ...lane, accounts }
}

function reindexed<K> (index: OrderedMap<K, AccountName>, before: K | undefined, after: K | undefined, name: AccountName): OrderedMap<K, AccountName> {
  if (before !== undefined && after !== undefined && index.compare(before, after) === 0) return index
  const without = before === undefined ? index : withoutEntry(index, before)
  return after === undefined ? without : withEntry(without, after, name)
}

function tagKey ({ startTagMs, name }: ClassAccount): TagKey {
  return { startTagMs, account: name }
}

function backlogKey ({ weight, name }: ClassAccount, count: number): BacklogKey {
  return { backlog: count / weight, account: name }
}

function isIdle (account: ClassAccount): boolean {
  return account.running === 0 && waitingOf(account) === 0
}

// Drops accounts without statements whose start tag has been reached by the
// virtual time: an account without an entry starts at the virtual time anyway.
function withoutIdleAccounts (scheduleClass: ScheduleClass): ScheduleClass {
  let { idle, accounts } = scheduleClass
  for (let first = firstOf(idle); first !== undefined && first.key.startTagMs <= scheduleClass.virtualTimeMs; first = firstOf(idle)) {
    idle = withoutEntry(idle, first.key)
    accounts = withoutEntry(accounts, first.value)
  }
  return idle === scheduleClass.idle ? scheduleClass : { ...scheduleClass, idle, accounts }
}

/**
 * Queues a statement in its lane.
 * @param scheduleClass - the class of the statement
 * @param statement - the statement
 * @param nowMs - monotonic time
 * @returns the class
 */
export function enqueue (scheduleClass: ScheduleClass, statement: WaitingStatement, nowMs: number): ScheduleClass {
  const before = valueOf(scheduleClass.accounts, statement.account) ?? newAccount(scheduleClass, statement.account, statement.weight)
  const startTagMs = tagOnArrival(scheduleClass, before)
  const waiting = { ...before.waiting, [statement.lane]: withEntry(before.waiting[statement.lane], statement.order, statement.id) }
  const wasEmpty = sizeOf(scheduleClass.lanes[statement.lane].accounts) === 0
  const queued = withLaneMs(withAccount(scheduleClass, { ...before, weight: statement.weight, startTagMs, waiting }), statement.lane, statement.expectedMs)
  return wasEmpty ? servedLane(queued, statement.lane, nowMs) : queued
}

function tagOnArrival ({ virtualTimeMs }: ScheduleClass, account: ClassAccount): number {
  return waitingOf(account) === 0 ? Math.max(account.startTagMs, virtualTimeMs) : account.startTagMs
}

/**
 * Takes a statement from its lane.
 * @param scheduleClass - the class of the statement
 * @param statement - the statement
 * @returns the class without the statement
 */
export function dequeue (scheduleClass: ScheduleClass, statement: WaitingStatement): ScheduleClass {
  const before = valueOf(scheduleClass.accounts, statement.account)
  if (before === undefined) return scheduleClass
  const waiting = { ...before.waiting, [statement.lane]: withoutEntry(before.waiting[statement.lane], statement.order) }
  return withLaneMs(withAccount(scheduleClass, { ...before, waiting }), statement.lane, -statement.expectedMs)
}

/**
 * Starts a statement: takes it from its lane, where it waits, and charges its expected
 * service time.
 * @param scheduleClass - the class of the statement
 * @param statement - the statement
 * @param nowMs - monotonic time
 * @returns the class
 */
export function startStatement (scheduleClass: ScheduleClass, statement: WaitingStatement, nowMs: number): ScheduleClass {
  const { lane, order, expectedMs, weight } = statement
  const before = valueOf(scheduleClass.accounts, statement.account) ?? newAccount(scheduleClass, statement.account, weight)
  const startTagMs = tagOnArrival(scheduleClass, before)
  const wasWaiting = valueOf(before.waiting[lane], order) !== undefined
  const waiting = wasWaiting ? { ...before.waiting, [lane]: withoutEntry(before.waiting[lane], order) } : before.waiting
  const account = { ...before, weight, waiting, running: before.running + 1, startTagMs: startTagMs + expectedMs / weight }
  const started = withAccount({ ...scheduleClass, virtualTimeMs: Math.max(scheduleClass.virtualTimeMs, startTagMs) }, account)
  return wasWaiting ? servedLane(withLaneMs(started, lane, -expectedMs), lane, nowMs) : started
}

/**
 * Ends a statement: corrects the charge by the time that it took.
 * @param scheduleClass - the class of the statement
 * @param statement - the statement
 * @param tookMs - its service time
 * @returns the class
 */
export function finishStatement (scheduleClass: ScheduleClass, statement: RunningStatement, tookMs: number): ScheduleClass {
  const finished = { ...scheduleClass, service: withFinished(scheduleClass.service, tookMs) }
  const account = valueOf(scheduleClass.accounts, statement.account)
  if (account === undefined) return finished
  const startTagMs = account.startTagMs + (tookMs - statement.chargedMs) / account.weight
  return withAccount(finished, { ...account, startTagMs, running: account.running - 1, service: withFinished(account.service, tookMs) })
}

/**
 * Moves a statement that can no longer meet its objective to the lane of the late ones.
 * @param scheduleClass - the class of the statement
 * @param statement - the statement, in the lane `onTime`
 * @param nowMs - monotonic time
 * @returns the class
 */
export function moveToLate (scheduleClass: ScheduleClass, { account: name, order, id, expectedMs }: WaitingStatement, nowMs: number): ScheduleClass {
  const before = valueOf(scheduleClass.accounts, name)
  if (before === undefined) return scheduleClass
  const wasEmpty = sizeOf(scheduleClass.lanes.late.accounts) === 0
  const waiting = { onTime: withoutEntry(before.waiting.onTime, order), late: withEntry(before.waiting.late, order, id) }
  const moved = withLaneMs(withLaneMs(withAccount(scheduleClass, { ...before, waiting }), 'onTime', -expectedMs), 'late', expectedMs)
  return wasEmpty ? servedLane(moved, 'late', nowMs) : moved
}

function withLaneMs (scheduleClass: ScheduleClass, kind: LaneKind, addedMs: number): ScheduleClass {
  const lane = scheduleClass.lanes[kind]
  const waitingMs = sizeOf(lane.accounts) === 0 ? 0 : Math.max(0, lane.waitingMs + addedMs)
  return { ...scheduleClass, lanes: { ...scheduleClass.lanes, [kind]: { ...lane, waitingMs } } }
}

// The wait of a lane counts from when it gets its first statement, and again each time
// one of its statements starts.
function servedLane (scheduleClass: ScheduleClass, kind: LaneKind, nowMs: number): ScheduleClass {
  return { ...scheduleClass, lanes: { ...scheduleClass.lanes, [kind]: { ...scheduleClass.lanes[kind], waitsSinceMs: nowMs } } }
}

/**
 * Charges service time to an account.
 * @param scheduleClass - the class
 * @param name - the account
 * @param costMs - the service time; negative for a correction
 * @returns the class
 */
export function charge (scheduleClass: ScheduleClass, name: AccountName, costMs: number): ScheduleClass {
  const account = valueOf(scheduleClass.accounts, name)
  if (account === undefined) return scheduleClass
  return withAccount(scheduleClass, { ...account, startTagMs: account.startTagMs + costMs / account.weight })
}

/**
 * Finds the lane that has waited longest, if it has waited for the bound.
 * @param classes - the classes
 * @param boundMs - the bound
 * @param nowMs - monotonic time
 * @returns the lane; undefined where none has waited that long
 */
export function overdueLane (classes: readonly ScheduleClass[], boundMs: number, nowMs: number): ChosenLane | undefined {
  let longest: ChosenLane | undefined
  let sinceMs = nowMs - boundMs
  for (const chosen of filledLanes(classes)) {
    const { waitsSinceMs } = chosen.scheduleClass.lanes[chosen.kind]
    if (waitsSinceMs > sinceMs || (longest !== undefined && waitsSinceMs === sinceMs)) continue
    longest = chosen
    sinceMs = waitsSinceMs
  }
  return longest
}

/** A lane with waiting statements. */
export type ChosenLane = { readonly scheduleClass: ScheduleClass, readonly kind: LaneKind }

/**
 * Lists the lanes with waiting statements.
 * @param classes - the classes
 * @returns the lanes in the order in which they are served
 */
export function filledLanes (classes: readonly ScheduleClass[]): readonly ChosenLane[] {
  return classes.flatMap(scheduleClass => laneKinds.filter(kind => sizeOf(scheduleClass.lanes[kind].accounts) > 0).map(kind => ({ scheduleClass, kind })))
}
