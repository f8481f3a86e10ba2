// Task of the scheduler in front of the slots of one server. It answers each request
// for a permit with the permit or with the reason for a refusal, and publishes the load
// of the server for the replies to the entry hosts.

import type { DispatchRequest, Permit } from '../dispatch/index.js'
import type { HostName, ServerDeclaration, ServerLoad } from '../model/index.js'
import { ask, SnapshotPublisher, startTask, type Reply, type Transition } from '../pipe/index.js'
import { compareNames, emptyMap, entriesOf, initialScheduler, retryHint, schedulerDueAtMs, schedulerStep, serverLoadOf, sizeOf, valueOf, withEntry, withoutEntry, type OfferedStatement, type OrderedMap, type SchedulerEffect, type SchedulerEvent, type SchedulerState } from '../schedule/index.js'
import type { DaemonContext } from './context.js'

/**
 * Longest time between two ticks while a request waits. Shorter than a delay that the
 * timer service would join with others, so refusals at a deadline are not delayed.
 */
const maxTickMs = 150
const mailboxCapacity = 65536

/** A statement as the host of its caller names it. */
export type CallName = { readonly from: HostName, readonly callId: string }

type QueueMessage = SchedulerEvent
  /** The server is no longer the primary: waiting writes have to go to the next one. */
  | { readonly kind: 'rejectWrites', readonly nowMs: number }
  /** The entry host no longer needs the statement. */
  | { readonly kind: 'cancelCall', readonly call: CallName, readonly nowMs: number }
  | { readonly kind: 'requestPermit', readonly request: DispatchRequest, readonly nowMs: number, readonly reply: Reply<Permit> }

type QueueEffect =
  | { readonly kind: 'answer', readonly reply: Reply<Permit>, readonly effect: SchedulerEffect }
  | { readonly kind: 'reject', readonly reply: Reply<Permit>, readonly permit: Extract<Permit, { readonly kind: 'refused' }> }
  | { readonly kind: 'publish', readonly load: ServerLoad }

type WaitingRequest = { readonly reply: Reply<Permit>, readonly isRead: boolean, readonly call: string | undefined }

type QueueState = {
  readonly scheduler: SchedulerState
  readonly requests: OrderedMap<string, WaitingRequest>
  /** Ids of the waiting requests by the name of their call. */
  readonly calls: OrderedMap<string, string>
  readonly nextId: number
}

type Next = Transition<QueueState, QueueEffect>

/** A running queue. */
export type QueueTask = {
  /** Waits for a permit to run the statement on one of the server's slots. */
  readonly requestPermit: (request: DispatchRequest) => Promise<Permit>
  /** Rejects waiting writes: the server is no longer the primary. */
  readonly rejectWrites: () => void
  /** Drops a waiting statement that its entry host no longer needs. */
  readonly cancel: (call: CallName) => void
  /** Sets the number of statements that may run now. */
  readonly setSlots: (slots: number) => void
  /** Load of the server after the last step. */
  readonly load: () => ServerLoad
  /** Refuses the waiting requests, which can go to another dispatcher, and ends the task. */
  readonly stop: () => Promise<void>
}

/**
 * Starts the queue of a server.
 * @param context - settings and time
 * @param server - the server
 * @returns the running queue
 */
export function startQueue (context: DaemonContext, server: ServerDeclaration): QueueTask {
  const { timers, random } = context
  const initial = initialQueue(context, server)
  const load = new SnapshotPublisher(serverLoadOf(initial.scheduler))
  const task = startTask<QueueState, QueueMessage, QueueEffect>({
    name: `queue ${server.name}`,
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError(`queue ${server.name}`),
    step: queueStep,
    answerWaiting: state => entriesOf(state.requests).map(([, { reply }]) => ({ kind: 'reject', reply, permit: { kind: 'refused', reason: 'noServer' } })),
    schedule: { timers, dueAtMs: state => dueAtMs(state, timers.nowMs()), tick: nowMs => ({ kind: 'tick', nowMs }) },
    perform: (effect, port) => {
      switch (effect.kind) {
        case 'reject': return effect.reply(effect.permit)
        case 'publish': return load.publish(effect.load)
        case 'answer': {
          const startedAtMs = timers.nowMs()
          return effect.reply(permitFor(effect.effect, random, id => {
            const nowMs = timers.nowMs()
            port.send({ kind: 'finished', id, tookMs: nowMs - startedAtMs, nowMs })
          }))
        }
      }
    }
  })
  let isStopped = false
  return {
    requestPermit: async request => await ask<QueueMessage, Permit>(task.port, reply => ({ kind: 'requestPermit', request, nowMs: timers.nowMs(), reply }), { kind: 'refused', reason: isStopped ? 'noServer' : 'queueFull' }),
    rejectWrites: () => { task.port.send({ kind: 'rejectWrites', nowMs: timers.nowMs() }) },
    cancel: call => { task.port.send({ kind: 'cancelCall', call, nowMs: timers.nowMs() }) },
    setSlots: slots => { task.port.send({ kind: 'slotsChanged', slots, nowMs: timers.nowMs() }) },
    load: () => load.get(),
    async stop () {
      isStopped = true
      await task.stop()
    }
  }
}

function initialQueue ({ settings }: DaemonContext, server: ServerDeclaration): QueueState {
  const { queueLength, classWaitMs } = settings.limits
  const scheduler = initialScheduler({ slots: server.slots, maxWaiting: queueLength, maxLaneWaitMs: classWaitMs })
  return { scheduler, requests: emptyMap(compareNames), calls: emptyMap(compareNames), nextId: 1 }
}

function dueAtMs ({ scheduler }: QueueState, nowMs: number): number {
  return sizeOf(scheduler.waiting) === 0 ? Infinity : Math.min(schedulerDueAtMs(scheduler), nowMs + maxTickMs)
}

function queueStep (state: QueueState, message: QueueMessage): Next {
  switch (message.kind) {
    case 'requestPermit': return requestPermit(state, message)
    case 'rejectWrites': return rejectPendingWrites(state, message.nowMs)
    case 'cancelCall': return cancelCall(state, message.call, message.nowMs)
    case 'offered':
    case 'finished':
    case 'cancelled':
    case 'slotsChanged':
    case 'tick': return answerAll(state, schedulerStep(state.scheduler, message))
  }
}

function requestPermit (state: QueueState, message: Extract<QueueMessage, { readonly kind: 'requestPermit' }>): Next {
  const id = String(state.nextId)
  const { request } = message.request
  const call = request.callId === undefined ? undefined : callKey({ from: request.from, callId: request.callId })
  const waiting: QueueState = {
    ...state,
    nextId: state.nextId + 1,
    requests: withEntry(state.requests, id, { reply: message.reply, isRead: request.mode.kind === 'read', call }),
    calls: call === undefined ? state.calls : withEntry(state.calls, call, id)
  }
  return answerAll(waiting, schedulerStep(state.scheduler, { kind: 'offered', ...offeredStatement(id, message.request, message.nowMs), nowMs: message.nowMs }))
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

function rejectPendingWrites (state: QueueState, nowMs: number): Next {
  const writes = entriesOf(state.requests).filter(([, waiting]) => !waiting.isRead).map(([id]) => id)
  return writes.reduce<Next>((done, id) => {
    const after = dropWaiting(done.state, id, { kind: 'refused', reason: 'noPrimary' }, nowMs)
    return { state: after.state, effects: [...done.effects, ...after.effects] }
  }, { state, effects: [] })
}

function cancelCall (state: QueueState, call: CallName, nowMs: number): Next {
  const id = valueOf(state.calls, callKey(call))
  return id === undefined ? { state, effects: [] } : dropWaiting(state, id, cancelledPermit, nowMs)
}

/** Permit of a statement that its entry host has cancelled. */
export const cancelledPermit: Extract<Permit, { readonly kind: 'refused' }> = { kind: 'refused', reason: 'deadlinePassed', detail: 'the caller no longer waits for the statement' }

function dropWaiting (state: QueueState, id: string, permit: Extract<Permit, { readonly kind: 'refused' }>, nowMs: number): Next {
  const waiting = valueOf(state.requests, id)
  if (waiting === undefined) return { state, effects: [] }
  const after = answerAll(withoutRequest(state, id), schedulerStep(state.scheduler, { kind: 'cancelled', id, nowMs }))
  return { state: after.state, effects: [{ kind: 'reject', reply: waiting.reply, permit }, ...after.effects] }
}

function withoutRequest (state: QueueState, id: string): QueueState {
  const call = valueOf(state.requests, id)?.call
  return { ...state, requests: withoutEntry(state.requests, id), calls: call === undefined ? state.calls : withoutEntry(state.calls, call) }
}

function answerAll (before: QueueState, { state: scheduler, effects }: Transition<SchedulerState, SchedulerEffect>): Next {
  let state: QueueState = { ...before, scheduler }
  const answers: QueueEffect[] = [{ kind: 'publish', load: serverLoadOf(scheduler) }]
  for (const effect of effects) {
    const reply = valueOf(state.requests, effect.id)?.reply
    if (reply !== undefined) answers.push({ kind: 'answer', reply, effect })
    state = withoutRequest(state, effect.id)
  }
  return { state, effects: answers }
}

function permitFor (effect: SchedulerEffect, random: () => number, finish: (id: string) => void): Permit {
  switch (effect.kind) {
    case 'start': return { kind: 'granted', release: () => { finish(effect.id) } }
    case 'refuse': return { kind: 'refused', reason: effect.reason, detail: refusalText(effect, random) }
  }
}

function refusalText (effect: Extract<SchedulerEffect, { readonly kind: 'refuse' }>, random: () => number): string {
  switch (effect.reason) {
    case 'queueFull': return `the server has too much to do: ${retryHint(effect.expectedWaitMs, random())}`
    case 'deadlinePassed': return 'the statement got no slot on the server in time and was not started'
  }
}
