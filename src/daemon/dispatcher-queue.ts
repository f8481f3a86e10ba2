// Task of the scheduler in front of the slots of one server. It answers each request
// for a permit with the permit or with the reason for a refusal, and publishes the load
// of the server for the replies to the entry hosts.

import type { DispatchRequest, Permit } from '../dispatch/index.js'
import type { ServerDeclaration, ServerLoad } from '../model/index.js'
import type { ColdBound, PaceFall, ServiceResult } from '../pace/index.js'
import { ask, SnapshotPublisher, startTask } from '../pipe/index.js'
import { retryHint, serverLoadOf, type SchedulerEffect } from '../schedule/index.js'
import type { DaemonContext } from './context.js'
import { initialQueue, queueDueAtMs, queueStep, rejectAll, type CallName, type QueueEffect, type QueueMessage, type QueueState } from './queue-step.js'

const mailboxCapacity = 65536

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
  /** Drops a waiting statement that its entry host no longer needs. */
  readonly cancel: (call: CallName) => void
  /** Load of the server after the last step. */
  readonly load: () => ServerLoad
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
  const { timers, random } = context
  const initial = initialQueue(context, server)
  const load = new SnapshotPublisher(serverLoadOf(initial.scheduler))
  const task = startTask<QueueState, QueueMessage, QueueEffect>({
    name: `queue ${server.name}`,
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError(`queue ${server.name}`),
    step: (state, message) => queueStep(state, message, limits.coldBound()),
    answerWaiting: rejectAll,
    schedule: { timers, dueAtMs: state => queueDueAtMs(state, timers.nowMs()), tick: nowMs => ({ kind: 'tick', nowMs }) },
    perform: (effect, port) => {
      switch (effect.kind) {
        case 'reject': return effect.reply(effect.permit)
        case 'publish': return load.publish(effect.load)
        case 'coldLimitChanged': return limits.onColdLimit(effect.perS)
        case 'paceFell': return limits.onPaceFall(effect.cause, effect.slots)
        case 'answer': {
          const startedAtMs = timers.nowMs()
          return effect.reply(permitFor(effect.effect, random, (id, result) => {
            const nowMs = timers.nowMs()
            port.send({ kind: 'finished', id, tookMs: nowMs - startedAtMs, result, nowMs })
          }))
        }
      }
    }
  })
  let isStopped = false
  return {
    requestPermit: async request => await ask<QueueMessage, Permit>(task.port, reply => ({ kind: 'requestPermit', request, nowMs: timers.nowMs(), reply }), { kind: 'refused', reason: isStopped ? 'noServer' : 'queueFull' }),
    recordStart: () => { task.port.send({ kind: 'startedWithoutPermit', nowMs: timers.nowMs() }) },
    restartPace: () => { task.port.send({ kind: 'restarted', nowMs: timers.nowMs() }) },
    rejectWrites: () => { task.port.send({ kind: 'rejectWrites', nowMs: timers.nowMs() }) },
    cancel: call => { task.port.send({ kind: 'cancelCall', call, nowMs: timers.nowMs() }) },
    load: () => load.get(),
    async stop () {
      isStopped = true
      await task.stop()
    }
  }
}

function permitFor (effect: SchedulerEffect, random: () => number, finish: (id: string, result: ServiceResult) => void): Permit {
  switch (effect.kind) {
    case 'start': return { kind: 'granted', release: result => { finish(effect.id, result) } }
    case 'refuse': return { kind: 'refused', reason: effect.reason, detail: refusalText(effect, random) }
  }
}

function refusalText (effect: Extract<SchedulerEffect, { readonly kind: 'refuse' }>, random: () => number): string {
  switch (effect.reason) {
    case 'queueFull': return `the server has too much to do: ${retryHint(effect.expectedWaitMs, random())}`
    case 'deadlinePassed': return 'the statement got no slot on the server in time and was not started'
  }
}
