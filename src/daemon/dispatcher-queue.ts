// Task of the fair queue in front of the slots of one server. It answers each
// request for a permit with the permit or with the reason for a refusal.

import type { DispatchRequest, Permit } from '../dispatch/index.js'
import type { ServerDeclaration } from '../model/index.js'
import { gateStep, initialGate, isColdWaitTooLong, paceSlots, usableSlots, type ColdBound, type GateState, type PaceFall, type ServiceResult } from '../pace/index.js'
import { ask, startTask, withoutAnswered, type Reply, type Transition } from '../pipe/index.js'
import { fairQueueStep, initialFairQueue, type FairQueueEffect, type FairQueueEvent, type FairQueueState } from '../request/index.js'
import type { DaemonContext } from './context.js'

/** Tick period while a request waits. */
const queueTickMs = 10
const mailboxCapacity = 65536

type QueueMessage = Exclude<FairQueueEvent, { readonly kind: 'finished' }>
  | Finished
  /** The server has returned or been promoted. */
  | { readonly kind: 'restarted', readonly nowMs: number }
  /** The server is no longer the primary: waiting writes have to go to the next one. */
  | { readonly kind: 'rejectWrites', readonly nowMs: number }
  /** A statement that needs no permit starts; it counts where starts are limited. */
  | { readonly kind: 'startedWithoutPermit', readonly nowMs: number }
  | { readonly kind: 'requestPermit', readonly request: DispatchRequest, readonly nowMs: number, readonly reply: Reply<Permit> }

type Finished = Extract<FairQueueEvent, { readonly kind: 'finished' }> & { readonly result: ServiceResult }

type QueueEffect =
  | { readonly kind: 'answer', readonly reply: Reply<Permit>, readonly effect: FairQueueEffect }
  | { readonly kind: 'reject', readonly reply: Reply<Permit>, readonly reason: 'noPrimary' | 'noServer' | 'serverBusy' }
  | { readonly kind: 'coldLimitChanged', readonly perS: number | undefined }
  | { readonly kind: 'paceFell', readonly cause: PaceFall, readonly slots: number }

type WaitingRequest = { readonly reply: Reply<Permit>, readonly isRead: boolean }

type QueueState = {
  readonly queue: FairQueueState
  /** Decides how many slots the queue may use. */
  readonly gate: GateState
  readonly replies: ReadonlyMap<string, WaitingRequest>
  readonly nextId: number
}

/** A running queue. */
export type QueueTask = {
  /** Waits for a permit to run the statement on one of the server's slots. */
  readonly requestPermit: (request: DispatchRequest) => Promise<Permit>
  /** Counts a statement that starts without a permit. */
  readonly recordStart: () => void
  /** Sets the pace back to its start: the server has returned or been promoted. */
  readonly restartPace: () => void
  /** Rejects waiting writes: the server is no longer the primary. */
  readonly rejectWrites: () => void
  /** Refuses the waiting requests, which can go to another dispatcher, and ends the task. */
  readonly stop: () => Promise<void>
}

/** What limits the statements of a server beside its slots. */
export type QueueLimits = {
  /** The bound of the server while it is cold, as of now; undefined: the configuration has none. */
  readonly coldBound: () => ColdBound | undefined
  /** Called with the limit of starts per second; undefined: there is none any more. */
  readonly onColdLimit: (perS: number | undefined) => void
  /** Called with the number of slots that are used after a fall. */
  readonly onPaceFall: (cause: PaceFall, slots: number) => void
}

/**
 * Starts the queue of a server.
 * @param context - settings and time
 * @param server - the server
 * @param limits - what limits its statements beside its slots
 * @returns the running queue
 */
export function startQueue (context: DaemonContext, server: ServerDeclaration, limits: QueueLimits): QueueTask {
  const { timers, settings } = context
  const task = startTask<QueueState, QueueMessage, QueueEffect>({
    name: `queue ${server.name}`,
    initial: { queue: initialFairQueue({ slots: server.slots, maxWaiting: settings.limits.queueLength }), gate: initialGate(server.slots, settings.control.serverPace, timers.nowMs()), replies: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError(`queue ${server.name}`),
    step: (state, message) => withColdLimit(state, limits.coldBound(), message.nowMs, bounded => queueStep(bounded, message)),
    answerWaiting: state => [...state.replies.values()].map(({ reply }) => ({ kind: 'reject', reply, reason: 'noServer' })),
    schedule: { timers, dueAtMs: state => state.queue.waitingCount > 0 ? timers.nowMs() + queueTickMs : Infinity, tick: nowMs => ({ kind: 'tick', nowMs }) },
    perform: (effect, port) => {
      switch (effect.kind) {
        case 'reject': return effect.reply({ kind: 'refused', reason: effect.reason })
        case 'coldLimitChanged': return limits.onColdLimit(effect.perS)
        case 'paceFell': return limits.onPaceFall(effect.cause, effect.slots)
        case 'answer': return effect.reply(permitFor(effect.effect, timers.nowMs(), (id, tookMs, result) => {
          port.send({ kind: 'finished', id, tookMs, result, nowMs: timers.nowMs() })
        }, timers.nowMs))
      }
    }
  })
  let isStopped = false
  return {
    requestPermit: async request => await ask<QueueMessage, Permit>(task.port, reply => ({ kind: 'requestPermit', request, nowMs: timers.nowMs(), reply }), { kind: 'refused', reason: isStopped ? 'noServer' : 'queueFull' }),
    recordStart: () => { task.port.send({ kind: 'startedWithoutPermit', nowMs: timers.nowMs() }) },
    restartPace: () => { task.port.send({ kind: 'restarted', nowMs: timers.nowMs() }) },
    rejectWrites: () => { task.port.send({ kind: 'rejectWrites', nowMs: timers.nowMs() }) },
    async stop () {
      isStopped = true
      await task.stop()
    }
  }
}

function withColdLimit (state: QueueState, bound: ColdBound | undefined, nowMs: number, step: (bounded: QueueState) => Transition<QueueState, QueueEffect>): Transition<QueueState, QueueEffect> {
  const before = state.gate.coldBound?.current
  const next = step({ ...state, gate: gateStep(state.gate, { kind: 'coldBound', bound, nowMs }) })
  return before === bound?.current ? next : { ...next, effects: [{ kind: 'coldLimitChanged', perS: bound?.current }, ...next.effects] }
}

function queueStep (state: QueueState, message: QueueMessage): Transition<QueueState, QueueEffect> {
  switch (message.kind) {
    case 'rejectWrites': return rejectPendingWrites(state, message.nowMs)
    case 'startedWithoutPermit': return { state: { ...state, gate: gateStep(state.gate, { kind: 'started', count: 1, nowMs: message.nowMs }) }, effects: [] }
    case 'restarted': return { state: { ...state, gate: gateStep(state.gate, message) }, effects: [] }
    case 'requestPermit': return offer(state, message)
    case 'finished': return finish(state, message)
    case 'offered':
    case 'cancelled':
    case 'tick': return stepQueue(state, message)
  }
}

function finish (state: QueueState, message: Finished): Transition<QueueState, QueueEffect> {
  const { result, tookMs: serviceMs, nowMs } = message
  const gate = gateStep(state.gate, { kind: 'ended', result, serviceMs, nowMs })
  const next = stepQueue({ ...state, gate }, message)
  const [before, after] = [state.gate.pace, gate.pace]
  if (before === undefined || after?.lastFall === undefined || paceSlots(after) >= paceSlots(before)) return next
  return { ...next, effects: [{ kind: 'paceFell', cause: after.lastFall, slots: paceSlots(after) }, ...next.effects] }
}

function offer (state: QueueState, message: Extract<QueueMessage, { readonly kind: 'requestPermit' }>): Transition<QueueState, QueueEffect> {
  const { nowMs, reply } = message
  if (isColdWaitTooLong(state.gate, state.queue.waitingCount, nowMs)) return { state, effects: [{ kind: 'reject', reply, reason: 'serverBusy' }] }
  const id = String(state.nextId)
  const { request, deadlineAtMs } = message.request
  const waiting = { ...state, nextId: state.nextId + 1, replies: new Map(state.replies).set(id, { reply, isRead: request.mode.kind === 'read' }) }
  return stepQueue(waiting, { kind: 'offered', id, account: request.account, weight: request.weight, deadlineAtMs, nowMs })
}

function rejectPendingWrites (state: QueueState, nowMs: number): Transition<QueueState, QueueEffect> {
  const writes = [...state.replies].filter(([, waiting]) => !waiting.isRead)
  const rejected = writes.map(([, { reply }]): QueueEffect => ({ kind: 'reject', reply, reason: 'noPrimary' }))
  const remaining = { ...state, replies: withoutAnswered(state.replies, writes.map(([id]) => id)) }
  return writes.reduce<Transition<QueueState, QueueEffect>>((done, [id]) => {
    const after = stepQueue(done.state, { kind: 'cancelled', id, nowMs })
    return { state: after.state, effects: [...done.effects, ...after.effects] }
  }, { state: remaining, effects: rejected })
}

// The only place at which the gate and the queue meet: the gate sets the number of
// slots, and learns how many statements start.
function stepQueue (state: QueueState, event: FairQueueEvent): Transition<QueueState, QueueEffect> {
  const { nowMs } = event
  const ended = event.kind === 'finished' ? 1 : 0
  const running = Math.max(0, Object.keys(state.queue.running).length - ended)
  const slots = usableSlots(state.gate, running, nowMs)
  const { state: queue, effects } = fairQueueStep({ ...state.queue, settings: { ...state.queue.settings, slots } }, event)
  const count = effects.filter(effect => effect.kind === 'start').length
  const gate = count === 0 ? state.gate : gateStep(state.gate, { kind: 'started', count, nowMs })
  return answerAll({ ...state, gate }, { state: queue, effects })
}

function answerAll (state: QueueState, transition: Transition<FairQueueState, FairQueueEffect>): Transition<QueueState, QueueEffect> {
  const { state: queue, effects } = transition
  if (effects.length === 0) return { state: { ...state, queue }, effects: [] }
  const replies = withoutAnswered(state.replies, effects.map(effect => effect.id))
  const answers = effects.flatMap((effect): readonly QueueEffect[] => {
    const reply = state.replies.get(effect.id)?.reply
    return reply === undefined ? [] : [{ kind: 'answer', reply, effect }]
  })
  return { state: { ...state, queue, replies }, effects: answers }
}

function permitFor (effect: FairQueueEffect, startedAtMs: number, finish: (id: string, tookMs: number, result: ServiceResult) => void, nowMs: () => number): Permit {
  switch (effect.kind) {
    case 'start': return { kind: 'granted', release: result => { finish(effect.id, nowMs() - startedAtMs, result) } }
    case 'refuse': return { kind: 'refused', reason: effect.reason }
  }
}
