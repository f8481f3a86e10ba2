// The scheduler in front of a server's slots. Order: statements of open transactions,
// which hold a session and locks; then classes by priority; within a class the
// statements that can still meet their objective before those that cannot; between
// the accounts of a class fair shares (see schedule-class.ts); within an account by the
// time left to the objective. A lane that has waited for `maxLaneWaitMs` gets the next
// slot, so none starves.
//
// The service time of a statement is not known in advance. An account is charged its
// expected time at the start and more while the statement runs; the difference is
// corrected at the end.
//
// While all slots are in use, a statement that is not expected to start in time for its
// deadline is refused at once (see expected-wait.ts). The queue is bounded as a whole
// and for each account. When it is full, the least urgent class loses the last
// statement of the account with the longest backlog in relation to its weight.
//
// No step looks at all waiting statements or all accounts: each takes O(log n) for each
// statement that it starts, refuses or moves, and O(number of classes).

import { withoutEffects, type Transition } from '../pipe/index.js'
import { expectedServiceMs, isReliable, noEstimate, withFinished } from './estimate.js'
import { busiestClass, expectedWait, typicalWaitMs, withArrival, withLateArrival, type WaitEstimate } from './expected-wait.js'
import { emptyMap, firstOf, lastOf, sizeOf, valueOf, withEntry, withoutEntry } from './ordered-map.js'
import { charge, compareNames, compareTimes, dequeue, enqueue, filledLanes, finishStatement, moveToLate, newClass, overdueLane, startStatement, waitingOf, type ChosenLane } from './schedule-class.js'
import type { ClassAccount, OfferedStatement, RunningStatement, ScheduleClass, SchedulerEffect, SchedulerEvent, SchedulerSettings, SchedulerState, WaitingStatement } from './state.js'

type Next = Transition<SchedulerState, SchedulerEffect>
type Offered = Extract<SchedulerEvent, { readonly kind: 'offered' }>

/** Maximum fraction of the whole queue that one account may fill. */
const maxAccountFraction = 0.5
/** Class of the statements of open transactions, before all priorities. */
const transactionPriority = -1
/** Class of a statement without a priority where no other statement has come. */
const defaultPriority = 1
/**
 * Expected service times that are left to a statement when it starts. With one, half
 * of the statements that start last would end late.
 */
const serviceMargin = 2
/** Maximum fraction of the time left on arrival that the margin may take. */
const maxMarginFraction = 0.5

/**
 * Creates an empty scheduler.
 * @param settings - slots and bounds
 * @returns the initial state
 */
export function initialScheduler (settings: SchedulerSettings): SchedulerState {
  return {
    settings,
    slots: settings.slots,
    nextSequence: 0,
    waiting: emptyMap(compareNames),
    byStartBy: emptyMap(compareTimes),
    byGoal: emptyMap(compareTimes),
    running: emptyMap(compareNames),
    byChargedUntil: emptyMap(compareTimes),
    classes: [],
    service: noEstimate
  }
}

/**
 * Step function of the scheduler.
 * @param state - the current state
 * @param event - the event
 * @returns the next state, and the statements to start or to refuse
 */
export function schedulerStep (state: SchedulerState, event: SchedulerEvent): Next {
  const { nowMs } = event
  const charged = chargeRunning(state, nowMs)
  switch (event.kind) {
    case 'offered': return settled(offer(charged, event), nowMs)
    case 'finished': return settled(withoutEffects(finish(charged, event.id, event.tookMs)), nowMs)
    case 'cancelled': return settled(withoutEffects(withoutWaiting(charged, event.id)), nowMs)
    case 'slotsChanged': return settled(withoutEffects({ ...charged, slots: event.slots }), nowMs)
    case 'tick': return settled(withoutEffects(charged), nowMs)
  }
}

/**
 * Returns the time at which the first waiting statement can no longer start in time.
 * @param state - the scheduler
 * @returns monotonic time; Infinity where no statement waits
 */
export function schedulerDueAtMs (state: SchedulerState): number {
  return firstOf(state.byStartBy)?.key.atMs ?? Infinity
}

function settled (before: Next, nowMs: number): Next {
  return fillSlots(dropOverdue(before, nowMs), nowMs)
}

function classOf (state: SchedulerState, priority: number): ScheduleClass {
  return state.classes.find(one => one.priority === priority) ?? newClass(priority)
}

function withClass (state: SchedulerState, changed: ScheduleClass): SchedulerState {
  const at = state.classes.findIndex(({ priority }) => priority >= changed.priority)
  const before = at < 0 ? state.classes : state.classes.slice(0, at)
  const after = at < 0 ? [] : state.classes.slice(state.classes[at]?.priority === changed.priority ? at + 1 : at)
  return { ...state, classes: [...before, changed, ...after] }
}

// A running statement that exceeds what was charged is charged twice its time so far,
// so a long one is charged few times.
function chargeRunning (state: SchedulerState, nowMs: number): SchedulerState {
  let charged = state
  for (let due = firstOf(charged.byChargedUntil); due !== undefined && due.key.atMs < nowMs; due = firstOf(charged.byChargedUntil)) {
    const statement = valueOf(charged.running, due.value)
    if (statement === undefined) break
    charged = withCharge(charged, statement, 2 * (nowMs - statement.startedAtMs))
  }
  return charged
}

function withCharge (state: SchedulerState, statement: RunningStatement, chargedMs: number): SchedulerState {
  const chargedUntil = { ...statement.chargedUntil, atMs: statement.startedAtMs + chargedMs }
  const byChargedUntil = withEntry(withoutEntry(state.byChargedUntil, statement.chargedUntil), chargedUntil, statement.id)
  const running = withEntry(state.running, statement.id, { ...statement, chargedMs, chargedUntil })
  const scheduleClass = charge(classOf(state, statement.priority), statement.account, chargedMs - statement.chargedMs)
  return withClass({ ...state, running, byChargedUntil }, scheduleClass)
}

function offer (state: SchedulerState, event: Offered): Next {
  const { id, account } = event
  if (event.nowMs >= event.deadlineAtMs) return { state, effects: [{ kind: 'refuse', id, reason: 'deadlinePassed', expectedWaitMs: 0 }] }
  const scheduleClass = classOf(state, priorityOf(state, event))
  const statement = waitingStatement(state, scheduleClass, event)
  const arrived = withArrival(scheduleClass, statement, event.nowMs)
  const counted = { ...state, nextSequence: state.nextSequence + 1 }
  if (hasFreeSlot(state)) return start(counted, arrived, statement, event.nowMs)
  const wait = waitOf(state, scheduleClass, statement, event)
  if (isHopeless(state, statement, wait, event)) return { state, effects: [{ kind: 'refuse', id, reason: 'queueFull', expectedWaitMs: wait.waitMs }] }
  return withinBounds(withClass(indexWaiting(counted, statement), enqueue(arrived, statement, event.nowMs)), account)
}

// A statement without a priority, from a host of an earlier version or on a route
// without a policy, joins the class of most recent statements: where all routes have one
// priority, it is served like the others.
function priorityOf ({ classes }: SchedulerState, event: Offered): number {
  if (event.inTransaction === true) return transactionPriority
  if (event.priority !== undefined) return event.priority
  return busiestClass(classes.filter(({ priority }) => priority !== transactionPriority), event.nowMs)?.priority ?? defaultPriority
}

function hasFreeSlot (state: SchedulerState): boolean {
  return sizeOf(state.running) < state.slots
}

function waitingStatement (state: SchedulerState, scheduleClass: ScheduleClass, event: OfferedStatement & { readonly nowMs: number }): WaitingStatement {
  const { id, account, weight, goalAtMs, deadlineAtMs, nowMs } = event
  const sequence = state.nextSequence
  const expectedMs = expectedServiceMs(valueOf(scheduleClass.accounts, account), scheduleClass, state.service)
  const marginMs = isReliable(state.service) ? Math.min(serviceMargin * expectedMs, (deadlineAtMs - nowMs) * maxMarginFraction) : 0
  const goalBy = goalAtMs === undefined ? undefined : { atMs: goalAtMs - marginMs, sequence }
  return {
    id,
    account,
    weight,
    priority: scheduleClass.priority,
    lane: goalBy !== undefined && goalBy.atMs <= nowMs ? 'late' : 'onTime',
    order: { atMs: goalAtMs ?? deadlineAtMs, sequence },
    deadlineAtMs,
    startBy: { atMs: deadlineAtMs - marginMs, sequence },
    goalBy,
    expectedMs
  }
}

// A statement that is not expected to start in time for its objective will wait in the
// lane of the late ones.
function waitOf (state: SchedulerState, scheduleClass: ScheduleClass, statement: WaitingStatement, { nowMs }: Offered): WaitEstimate {
  const { lane, goalBy } = statement
  const wait = expectedWait(state, scheduleClass, statement, nowMs)
  const becomesLate = lane === 'onTime' && goalBy !== undefined && nowMs + wait.certainMs > goalBy.atMs
  return becomesLate ? expectedWait(state, scheduleClass, { ...statement, lane: 'late' }, nowMs) : wait
}

function isHopeless (state: SchedulerState, statement: WaitingStatement, { certainMs }: WaitEstimate, { inTransaction, nowMs }: Offered): boolean {
  if (inTransaction === true || !isReliable(state.service)) return false
  return nowMs + certainMs >= statement.startBy.atMs
}

function indexWaiting (state: SchedulerState, statement: WaitingStatement): SchedulerState {
  const { id, goalBy, lane } = statement
  return {
    ...state,
    waiting: withEntry(state.waiting, id, statement),
    byStartBy: withEntry(state.byStartBy, statement.startBy, id),
    byGoal: goalBy === undefined || lane === 'late' ? state.byGoal : withEntry(state.byGoal, goalBy, id)
  }
}

function withoutWaiting (state: SchedulerState, id: string): SchedulerState {
  const statement = valueOf(state.waiting, id)
  return statement === undefined ? state : withClass(unindexed(state, statement), dequeue(classOf(state, statement.priority), statement))
}

function unindexed (state: SchedulerState, { id, startBy, goalBy }: WaitingStatement): SchedulerState {
  return {
    ...state,
    waiting: withoutEntry(state.waiting, id),
    byStartBy: withoutEntry(state.byStartBy, startBy),
    byGoal: goalBy === undefined ? state.byGoal : withoutEntry(state.byGoal, goalBy)
  }
}

function withinBounds (state: SchedulerState, account: string): Next {
  const { maxWaiting } = state.settings
  const accountCount = state.classes.reduce((count, one) => count + waitingOf(valueOf(one.accounts, account)), 0)
  if (accountCount > Math.ceil(maxWaiting * maxAccountFraction)) return evict(state, ({ accounts }) => valueOf(accounts, account))
  return sizeOf(state.waiting) > maxWaiting ? evict(state, longestBacklog) : withoutEffects(state)
}

function longestBacklog (scheduleClass: ScheduleClass): ClassAccount | undefined {
  const first = firstOf(scheduleClass.backlogs)
  return first === undefined ? undefined : valueOf(scheduleClass.accounts, first.value)
}

// Refuses the last statement of an account in the least urgent class where the account
// waits.
function evict (state: SchedulerState, accountIn: (scheduleClass: ScheduleClass) => ClassAccount | undefined): Next {
  for (const scheduleClass of [...state.classes].reverse()) {
    const { late, onTime } = accountIn(scheduleClass)?.waiting ?? {}
    const last = late === undefined || onTime === undefined ? undefined : lastOf(late) ?? lastOf(onTime)
    if (last === undefined) continue
    return {
      state: withoutWaiting(state, last.value),
      effects: [{ kind: 'refuse', id: last.value, reason: 'queueFull', expectedWaitMs: typicalWaitMs(state) }]
    }
  }
  return withoutEffects(state)
}

function finish (state: SchedulerState, id: string, tookMs: number): SchedulerState {
  const statement = valueOf(state.running, id)
  if (statement === undefined) return state
  return withClass({
    ...state,
    running: withoutEntry(state.running, id),
    byChargedUntil: withoutEntry(state.byChargedUntil, statement.chargedUntil),
    service: withFinished(state.service, tookMs)
  }, finishStatement(classOf(state, statement.priority), statement, tookMs))
}

// A statement that is late by its expected service time only is not refused where all
// that wait can start now.
function dropOverdue (before: Next, nowMs: number): Next {
  let { state } = before
  const effects: SchedulerEffect[] = [...before.effects]
  for (let due = firstOf(state.byStartBy); due !== undefined && due.key.atMs <= nowMs; due = firstOf(state.byStartBy)) {
    const freeSlots = state.slots - sizeOf(state.running)
    if (freeSlots >= sizeOf(state.waiting)) break
    effects.push({ kind: 'refuse', id: due.value, reason: 'deadlinePassed', expectedWaitMs: typicalWaitMs(state) })
    state = withoutWaiting(state, due.value)
  }
  return { state: moveLate(state, nowMs), effects }
}

function moveLate (before: SchedulerState, nowMs: number): SchedulerState {
  let state = before
  for (let due = firstOf(state.byGoal); due !== undefined && due.key.atMs <= nowMs; due = firstOf(state.byGoal)) {
    const statement = valueOf(state.waiting, due.value)
    if (statement === undefined) break
    const moved = moveToLate(withLateArrival(classOf(state, statement.priority), statement, nowMs), statement, nowMs)
    const waiting = withEntry(state.waiting, statement.id, { ...statement, lane: 'late' as const })
    state = withClass({ ...state, waiting, byGoal: withoutEntry(state.byGoal, due.key) }, moved)
  }
  return state
}

function fillSlots (before: Next, nowMs: number): Next {
  let { state } = before
  const effects: SchedulerEffect[] = [...before.effects]
  while (hasFreeSlot(state) && sizeOf(state.waiting) > 0) {
    const chosen = overdueLane(state.classes, state.settings.maxLaneWaitMs, nowMs) ?? filledLanes(state.classes)[0]
    const statement = chosen === undefined ? undefined : firstOfLane(state, chosen)
    if (statement === undefined) break
    const next = startOrDrop(state, statement, nowMs)
    state = next.state
    effects.push(...next.effects)
  }
  return { state, effects }
}

function firstOfLane (state: SchedulerState, { scheduleClass, kind }: ChosenLane): WaitingStatement | undefined {
  const name = firstOf(scheduleClass.lanes[kind].accounts)?.value
  const account = name === undefined ? undefined : valueOf(scheduleClass.accounts, name)
  const id = account === undefined ? undefined : firstOf(account.waiting[kind])?.value
  return id === undefined ? undefined : valueOf(state.waiting, id)
}

function startOrDrop (state: SchedulerState, statement: WaitingStatement, nowMs: number): Next {
  const { id, priority, deadlineAtMs } = statement
  if (nowMs >= deadlineAtMs) return { state: withoutWaiting(state, id), effects: [{ kind: 'refuse', id, reason: 'deadlinePassed', expectedWaitMs: typicalWaitMs(state) }] }
  return start(unindexed(state, statement), classOf(state, priority), statement, nowMs)
}

function start (state: SchedulerState, scheduleClass: ScheduleClass, statement: WaitingStatement, nowMs: number): Next {
  const { id, account, priority, expectedMs, startBy } = statement
  const chargedUntil = { atMs: nowMs + expectedMs, sequence: startBy.sequence }
  const running = withEntry(state.running, id, { id, account, priority, startedAtMs: nowMs, chargedMs: expectedMs, chargedUntil })
  const started = { ...state, running, byChargedUntil: withEntry(state.byChargedUntil, chargedUntil, id) }
  return { state: withClass(started, startStatement(scheduleClass, statement, nowMs)), effects: [{ kind: 'start', id }] }
}
