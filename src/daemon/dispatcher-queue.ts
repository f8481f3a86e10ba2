// Task of the fair queue in front of the slots of one server. It answers each
// request for a permit with the permit or with the reason for a refusal.

import type { DispatchRequest, Permit } from '../dispatch/index.js'
import type { ServerDeclaration } from '../model/index.js'
import { ask, startTask, withoutAnswered, type Reply, type Transition } from '../pipe/index.js'
import { fairQueueStep, initialFairQueue, type FairQueueEffect, type FairQueueEvent, type FairQueueState } from '../request/index.js'
import type { DaemonContext } from './context.js'

/** Tick period while a request waits. */
const queueTickMs = 10
const mailboxCapacity = 65536

type QueueMessage = FairQueueEvent
  /** The server is no longer the primary: waiting writes have to go to the next one. */
  | { readonly kind: 'rejectWrites', readonly nowMs: number }
  | { readonly kind: 'requestPermit', readonly request: DispatchRequest, readonly nowMs: number, readonly reply: Reply<Permit> }

type QueueEffect =
  | { readonly kind: 'answer', readonly reply: Reply<Permit>, readonly effect: FairQueueEffect }
  | { readonly kind: 'reject', readonly reply: Reply<Permit>, readonly reason: 'noPrimary' | 'noServer' }

type WaitingRequest = { readonly reply: Reply<Permit>, readonly isRead: boolean }

type QueueState = {
  readonly queue: FairQueueState
  readonly replies: ReadonlyMap<string, WaitingRequest>
  readonly nextId: number
}

/** A running queue. */
export type QueueTask = {
  /** Waits for a permit to run the statement on one of the server's slots. */
  readonly requestPermit: (request: DispatchRequest) => Promise<Permit>
  /** Rejects waiting writes: the server is no longer the primary. */
  readonly rejectWrites: () => void
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
  const { timers, settings } = context
  const task = startTask<QueueState, QueueMessage, QueueEffect>({
    name: `queue ${server.name}`,
    initial: { queue: initialFairQueue({ slots: server.slots, maxWaiting: settings.limits.queueLength }), replies: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError(`queue ${server.name}`),
    step: queueStep,
    answerWaiting: state => [...state.replies.values()].map(({ reply }) => ({ kind: 'reject', reply, reason: 'noServer' })),
    schedule: { timers, dueAtMs: state => state.queue.waitingCount > 0 ? timers.nowMs() + queueTickMs : Infinity, tick: nowMs => ({ kind: 'tick', nowMs }) },
    perform: (effect, port) => {
      switch (effect.kind) {
        case 'reject': return effect.reply({ kind: 'refused', reason: effect.reason })
        case 'answer': return effect.reply(permitFor(effect.effect, timers.nowMs(), (id, tookMs) => {
          port.send({ kind: 'finished', id, tookMs, nowMs: timers.nowMs() })
        }, timers.nowMs))
      }
    }
  })
  let isStopped = false
  return {
    requestPermit: async request => await ask<QueueMessage, Permit>(task.port, reply => ({ kind: 'requestPermit', request, nowMs: timers.nowMs(), reply }), { kind: 'refused', reason: isStopped ? 'noServer' : 'queueFull' }),
    rejectWrites: () => { task.port.send({ kind: 'rejectWrites', nowMs: timers.nowMs() }) },
    async stop () {
      isStopped = true
      await task.stop()
    }
  }
}

function queueStep (state: QueueState, message: QueueMessage): Transition<QueueState, QueueEffect> {
  if (message.kind === 'rejectWrites') return rejectPendingWrites(state, message.nowMs)
  if (message.kind !== 'requestPermit') return answerAll(state, fairQueueStep(state.queue, message))
  const id = String(state.nextId)
  const { request, deadlineAtMs } = message.request
  const offered = fairQueueStep(state.queue, { kind: 'offered', id, account: request.account, weight: request.weight, deadlineAtMs, nowMs: message.nowMs })
  const waiting = { ...state, nextId: state.nextId + 1, replies: new Map(state.replies).set(id, { reply: message.reply, isRead: request.mode.kind === 'read' }) }
  return answerAll(waiting, offered)
}

function rejectPendingWrites (state: QueueState, nowMs: number): Transition<QueueState, QueueEffect> {
  const writes = [...state.replies].filter(([, waiting]) => !waiting.isRead)
  const rejected = writes.map(([, { reply }]): QueueEffect => ({ kind: 'reject', reply, reason: 'noPrimary' }))
  const remaining = { ...state, replies: withoutAnswered(state.replies, writes.map(([id]) => id)) }
  return writes.reduce<Transition<QueueState, QueueEffect>>((done, [id]) => {
    const after = answerAll(done.state, fairQueueStep(done.state.queue, { kind: 'cancelled', id, nowMs }))
    return { state: after.state, effects: [...done.effects, ...after.effects] }
  }, { state: remaining, effects: rejected })
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

function permitFor (effect: FairQueueEffect, startedAtMs: number, finish: (id: string, tookMs: number) => void, nowMs: () => number): Permit {
  switch (effect.kind) {
    case 'start': return { kind: 'granted', release: () => { finish(effect.id, nowMs() - startedAtMs) } }
    case 'refuse': return { kind: 'refused', reason: effect.reason }
  }
}
