// Step function of the queue in front of the slots of one server: the scheduler decides
// the order of the statements, and the gate how many of them may run now.

import type { DispatchRequest, Permit } from '../dispatch/index.js'
import type { HostName, ServerDeclaration, ServerLoad } from '../model/index.js'
import { gateDueAtMs, gateStep, initialGate, isColdWaitTooLong, paceSlots, statedColdWaitMs, usableSlots, type ColdBound, type GateState, type PaceFall, type ServiceResult } from '../pace/index.js'
import type { Reply, Transition } from '../pipe/index.js'
import { compareNames, emptyMap, entriesOf, initialScheduler, schedulerDueAtMs, schedulerStep, serverLoadOf, sizeOf, valueOf, withEntry, withoutEntry, type OfferedStatement, type OrderedMap, type SchedulerEffect, type SchedulerEvent, type SchedulerState } from '../schedule/index.js'
import type { DaemonContext } from './context.js'

/**
 * Longest time between two ticks while a request waits. Shorter than a delay that the
 * timer service would join with others, so refusals at a deadline are not delayed.
 */
const maxTickMs = 150

/** A statement as the host of its caller names it. */
export type CallName = { readonly from: HostName, readonly callId: string }

/** Messages of the queue. Times are monotonic. */
export type QueueMessage =
  | { readonly kind: 'requestPermit', readonly request: DispatchRequest, readonly nowMs: number, readonly reply: Reply<Permit> }
  /** A statement with a permit has ended. */
  | { readonly kind: 'finished', readonly id: string, readonly tookMs: number, readonly result: ServiceResult, readonly nowMs: number }
  /** A statement that needs no permit starts; it counts where starts are limited. */
  | { readonly kind: 'startedWithoutPermit', readonly nowMs: number }
  /** The server has returned or been promoted. */
  | { readonly kind: 'restarted', readonly nowMs: number }
  /** The server is no longer the primary: waiting writes have to go to the next one. */
  | { readonly kind: 'rejectWrites', readonly nowMs: number }
  /** The entry host no longer needs the statement. */
  | { readonly kind: 'cancelCall', readonly call: CallName, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

type Refusal = Extract<Permit, { readonly kind: 'refused' }>

/** Effects of the queue. */
export type QueueEffect =
  | { readonly kind: 'answer', readonly reply: Reply<Permit>, readonly effect: SchedulerEffect }
  | { readonly kind: 'reject', readonly reply: Reply<Permit>, readonly permit: Refusal }
  | { readonly kind: 'publish', readonly load: ServerLoad }
  | { readonly kind: 'coldLimitChanged', readonly perS: number | undefined }
  | { readonly kind: 'paceFell', readonly cause: PaceFall, readonly slots: number }

type WaitingRequest = { readonly reply: Reply<Permit>, readonly isRead: boolean, readonly call: string | undefined }

/** State of the queue. */
export type QueueState = {
  readonly scheduler: SchedulerState
  /** Decides how many slots the scheduler may use. */
  readonly gate: GateState
  readonly requests: OrderedMap<string, WaitingRequest>
  /** Ids of the waiting requests by the name of their call. */
  readonly calls: OrderedMap<string, string>
  readonly nextId: number
}

type Next = Transition<QueueState, QueueEffect>

/**
 * Creates an empty queue.
 * @param context - settings and time
 * @param server - the server
 * @returns the initial state
 */
export function initialQueue ({ settings, timers }: Pick<DaemonContext, 'settings' | 'timers'>, server: ServerDeclaration): QueueState {
  const { queueLength, classWaitMs } = settings.limits
  const nowMs = timers.nowMs()
  const gate = initialGate(server.slots, settings.control.serverPace, nowMs)
  const scheduler = initialScheduler({ slots: usableSlots(gate, 0, nowMs), maxWaiting: queueLength, maxLaneWaitMs: classWaitMs })
  return { scheduler, gate, requests: emptyMap(compareNames), calls: emptyMap(compareNames), nextId: 1 }
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the queue
 * @param nowMs - monotonic time
 * @returns monotonic time; Infinity where no statement waits
 */
export function queueDueAtMs ({ scheduler, gate }: QueueState, nowMs: number): number {
  if (sizeOf(scheduler.waiting) === 0) return Infinity
  return Math.min(schedulerDueAtMs(scheduler), gateDueAtMs(gate, nowMs), nowMs + maxTickMs)
}

/**
 * Step function of the queue.
 * @param state - the current state
 * @param message - the message
 * @param coldBound - the bound of the server while it is cold, as of now
 * @returns the next state and the effects
 */
export function queueStep (state: QueueState, message: QueueMessage, coldBound: ColdBound | undefined): Next {
  const before = state.gate.coldBound?.current
  const next = handle({ ...state, gate: gateStep(state.gate, { kind: 'coldBound', bound: coldBound, nowMs: message.nowMs }) }, message)
  return before === coldBound?.current ? next : withEffects([{ kind: 'coldLimitChanged', perS: coldBound?.current }], next)
}

/**
 * Refuses all waiting requests, which can go to another dispatcher.
 * @param state - the queue
 * @returns the effects
 */
export function rejectAll ({ requests }: QueueState): readonly QueueEffect[] {
  return entriesOf(requests).map(([, { reply }]) => ({ kind: 'reject', reply, permit: { kind: 'refused', reason: 'noServer' } }))
}

function withEffects (effects: readonly QueueEffect[], next: Next): Next {
  return { state: next.state, effects: [...effects, ...next.effects] }
}

function handle (state: QueueState, message: QueueMessage): Next {
  const { nowMs } = message
  switch (message.kind) {
    case 'requestPermit': return requestPermit(state, message)
    case 'finished': return finish(state, message)
    case 'startedWithoutPermit': return schedule({ ...state, gate: gateStep(state.gate, { kind: 'started', count: 1, nowMs }) }, { kind: 'tick', nowMs })
    case 'restarted': return schedule({ ...state, gate: gateStep(state.gate, message) }, { kind: 'tick', nowMs })
    case 'rejectWrites': return rejectPendingWrites(state, nowMs)
    case 'cancelCall': return cancelCall(state, message.call, nowMs)
    case 'tick': return schedule(state, message)
  }
}

function requestPermit (state: QueueState, { request, reply, nowMs }: Extract<QueueMessage, { readonly kind: 'requestPermit' }>): Next {
  if (isColdWaitTooLong(state.gate, sizeOf(state.scheduler.waiting), nowMs)) return withEffects([{ kind: 'reject', reply, permit: { kind: 'refused', reason: 'serverBusy' } }], schedule(state, { kind: 'tick', nowMs }))
  const id = String(state.nextId)
  const { from, callId, mode } = request.request
  const call = callId === undefined ? undefined : callKey({ from, callId })
  const waiting: QueueState = {
    ...state,
    nextId: state.nextId + 1,
    requests: withEntry(state.requests, id, { reply, isRead: mode.kind === 'read', call }),
    calls: call === undefined ? state.calls : withEntry(state.calls, call, id)
  }
  return schedule(waiting, { kind: 'offered', ...offeredStatement(id, request, nowMs), nowMs })
}

function offeredStatement (id: string, { request, deadlineAtMs }: DispatchRequest, nowMs: number): OfferedStatement {
  const { account, weight, priority, goalLeftMs, mode } = request
  return {
    id,
    account,
    weight,
    priority,
    goalAtMs: goalLeftMs === undefined ? undefined : nowMs + goalLeftMs,
    inTransaction: mode.kind === 'inTransaction' || mode.kind === 'commit',
    deadlineAtMs
  }
}

function callKey ({ from, callId }: CallName): string {
  return `${from}/${callId}`
}

function finish (state: QueueState, { id, tookMs, result, nowMs }: Extract<QueueMessage, { readonly kind: 'finished' }>): Next {
  const gate = gateStep(state.gate, { kind: 'ended', result, serviceMs: tookMs, nowMs })
  const next = schedule({ ...state, gate }, { kind: 'finished', id, tookMs, nowMs })
  const [before, after] = [state.gate.pace, gate.pace]
  if (before === undefined || after?.lastFall === undefined || paceSlots(after) >= paceSlots(before)) return next
  return withEffects([{ kind: 'paceFell', cause: after.lastFall, slots: paceSlots(after) }], next)
}

function rejectPendingWrites (state: QueueState, nowMs: number): Next {
  const writes = entriesOf(state.requests).filter(([, waiting]) => !waiting.isRead).map(([id]) => id)
  return writes.reduce<Next>((done, id) => withEffects(done.effects, dropWaiting(done.state, id, { kind: 'refused', reason: 'noPrimary' }, nowMs)), { state, effects: [] })
}

function cancelCall (state: QueueState, call: CallName, nowMs: number): Next {
  const id = valueOf(state.calls, callKey(call))
  return id === undefined ? { state, effects: [] } : dropWaiting(state, id, cancelledPermit, nowMs)
}

/** Permit of a statement that its entry host has cancelled. */
export const cancelledPermit: Refusal = { kind: 'refused', reason: 'deadlinePassed', detail: 'the caller no longer waits for the statement' }

function dropWaiting (state: QueueState, id: string, permit: Refusal, nowMs: number): Next {
  const waiting = valueOf(state.requests, id)
  if (waiting === undefined) return { state, effects: [] }
  return withEffects([{ kind: 'reject', reply: waiting.reply, permit }], schedule(withoutRequest(state, id), { kind: 'cancelled', id, nowMs }))
}

function withoutRequest (state: QueueState, id: string): QueueState {
  const call = valueOf(state.requests, id)?.call
  return { ...state, requests: withoutEntry(state.requests, id), calls: call === undefined ? state.calls : withoutEntry(state.calls, call) }
}

// The only place at which the gate and the scheduler meet: the gate sets the number of
// slots, and learns how many statements start.
function schedule (state: QueueState, event: Exclude<SchedulerEvent, { readonly kind: 'slotsChanged' }>): Next {
  const { nowMs } = event
  const { state: scheduler, effects } = eventsWithSlots(state, event).reduce<Transition<SchedulerState, SchedulerEffect>>((done, each) => {
    const next = schedulerStep(done.state, each)
    return { state: next.state, effects: [...done.effects, ...next.effects] }
  }, { state: state.scheduler, effects: [] })
  const count = effects.filter(({ kind }) => kind === 'start').length
  const gate = count === 0 ? state.gate : gateStep(state.gate, { kind: 'started', count, nowMs })
  return answerAll({ ...state, gate, scheduler }, effects, nowMs)
}

// Slots count from the statements that run after the event, so they are set before it:
// a statement that ends would otherwise make room that a cold server does not have. A
// cancelled statement is dropped first, as a further slot could start it.
function eventsWithSlots ({ gate, scheduler }: QueueState, event: SchedulerEvent): readonly SchedulerEvent[] {
  const { nowMs } = event
  const ended = event.kind === 'finished' && valueOf(scheduler.running, event.id) !== undefined ? 1 : 0
  const slots = usableSlots(gate, sizeOf(scheduler.running) - ended, nowMs)
  if (slots === scheduler.slots) return [event]
  const changed: SchedulerEvent = { kind: 'slotsChanged', slots, nowMs }
  return event.kind === 'cancelled' ? [event, changed] : [changed, event]
}

// A cold server with free slots may still have no room, so that other hosts should choose
// another one.
function loadOf ({ scheduler, gate }: QueueState, nowMs: number): ServerLoad {
  const load = serverLoadOf(scheduler)
  return { ...load, expectedWaitMs: Math.max(load.expectedWaitMs, Math.round(statedColdWaitMs(gate, load.waiting, nowMs))) }
}

function answerAll (before: QueueState, effects: readonly SchedulerEffect[], nowMs: number): Next {
  let state = before
  const answers: QueueEffect[] = [{ kind: 'publish', load: loadOf(state, nowMs) }]
  for (const effect of effects) {
    const reply = valueOf(state.requests, effect.id)?.reply
    if (reply !== undefined) answers.push({ kind: 'answer', reply, effect })
    state = withoutRequest(state, effect.id)
  }
  return { state, effects: answers }
}
