// The task of the fair queue in front of one server's slots: gives each
// statement its turn, or says why it gets none.

import type { DispatchRequest, Permit } from '../dispatch/index.js'
import type { ServerDeclaration } from '../model/index.js'
import { ask, SnapshotPublisher, pacedTicks, startTask, withoutAnswered, type Reply, type Transition } from '../pipe/index.js'
import { fairQueueStep, initialFairQueue, type FairQueueEffect, type FairQueueEvent, type FairQueueState } from '../request/index.js'
import type { DaemonContext } from './context.js'

const queueTickMs = 10
/** Period of the ticks while nobody waits. */
const restTickMs = 50
const mailboxCapacity = 65536

type QueueMessage = FairQueueEvent
  /** The server leads no more: its waiting writes have to go elsewhere. */
  | { readonly kind: 'refuseWrites', readonly nowMs: number }
  | { readonly kind: 'enter', readonly request: DispatchRequest, readonly nowMs: number, readonly reply: Reply<Permit> }

type QueueEffect =
  | { readonly kind: 'answer', readonly reply: Reply<Permit>, readonly effect: FairQueueEffect }
  | { readonly kind: 'turnAway', readonly reply: Reply<Permit> }

type Waiting = { readonly reply: Reply<Permit>, readonly isRead: boolean }

type QueueState = {
  readonly queue: FairQueueState
  readonly replies: ReadonlyMap<string, Waiting>
  readonly nextId: number
}

/** The running queue. */
export type QueueTask = {
  readonly requestPermit: (request: DispatchRequest) => Promise<Permit>
  /** Turns waiting writes away: the server leads no more. */
  readonly rejectWrites: () => void
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
  const isWaiting = new SnapshotPublisher(false)
  const task = startTask<QueueState, QueueMessage, QueueEffect>({
    name: `queue ${server.name}`,
    initial: { queue: initialFairQueue({ slots: server.slots, maxWaiting: settings.limits.queueLength }), replies: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError(`queue ${server.name}`),
    step: (state, message) => {
      const transition = queueStep(state, message)
      isWaiting.publish(transition.state.queue.waitingCount > 0)
      return transition
    },
    perform: (effect, port) => {
      switch (effect.kind) {
        case 'turnAway': return effect.reply({ kind: 'refused', reason: 'noPrimary' })
        case 'answer': return effect.reply(turnFor(effect.effect, timers.nowMs(), (id, tookMs) => {
          port.send({ kind: 'finished', id, tookMs, nowMs: timers.nowMs() })
        }, timers.nowMs))
      }
    }
  })
  const cancel = pacedTicks(timers, () => isWaiting.get() ? queueTickMs : restTickMs, {
    send: tick => isWaiting.get() ? task.port.send(tick) : 'accepted'
  })
  return {
    requestPermit: async request => await ask<QueueMessage, Permit>(task.port, reply => ({ kind: 'enter', request, nowMs: timers.nowMs(), reply }), { kind: 'refused', reason: 'queueFull' }),
    rejectWrites: () => { task.port.send({ kind: 'refuseWrites', nowMs: timers.nowMs() }) },
    stop: async () => {
      cancel()
      await task.stop()
    }
  }
}

function queueStep (state: QueueState, message: QueueMessage): Transition<QueueState, QueueEffect> {
  if (message.kind === 'refuseWrites') return refuseWrites(state, message.nowMs)
  if (message.kind !== 'enter') return answerAll(state, fairQueueStep(state.queue, message))
  const id = String(state.nextId)
  const { request, deadlineAtMs } = message.request
  const offered = fairQueueStep(state.queue, { kind: 'offered', id, account: request.account, weight: request.weight, deadlineAtMs, nowMs: message.nowMs })
  const waiting = { ...state, nextId: state.nextId + 1, replies: new Map(state.replies).set(id, { reply: message.reply, isRead: request.mode.kind === 'read' }) }
  return answerAll(waiting, offered)
}

function refuseWrites (state: QueueState, nowMs: number): Transition<QueueState, QueueEffect> {
  const writes = [...state.replies].filter(([, waiting]) => !waiting.isRead)
  const turnedAway = writes.map(([, { reply }]): QueueEffect => ({ kind: 'turnAway', reply }))
  const left = { ...state, replies: withoutAnswered(state.replies, writes.map(([id]) => id)) }
  return writes.reduce<Transition<QueueState, QueueEffect>>((done, [id]) => {
    const after = answerAll(done.state, fairQueueStep(done.state.queue, { kind: 'cancelled', id, nowMs }))
    return { state: after.state, effects: [...done.effects, ...after.effects] }
  }, { state: left, effects: turnedAway })
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

function turnFor (effect: FairQueueEffect, startedAtMs: number, finish: (id: string, tookMs: number) => void, nowMs: () => number): Permit {
  switch (effect.kind) {
    case 'start': return { kind: 'turn', release: () => { finish(effect.id, nowMs() - startedAtMs) } }
    case 'refuse': return { kind: 'refused', reason: effect.reason }
  }
}
