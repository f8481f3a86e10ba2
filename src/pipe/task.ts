// Tasks. A task owns a private state and handles messages one at a time. Its
// decisions are a pure function from state and message to state and effects.
// Sockets and clocks are accessed only in `perform`, which carries out the
// effects and may send further messages to the task.

import { Mailbox, type Port } from './mailbox.js'
import { startAlarm, tickPort, type Alarm, type TimerService } from './timer.js'

/** Result of a step: the next state and the effects to carry out. */
export type Transition<S, E> = {
  readonly state: S
  readonly effects: readonly E[]
}

/** A pure decision function from state and message to the next state and effects. */
export type Step<S, M, E> = (state: S, message: M) => Transition<S, E>

/**
 * Ticks of a task. Each time that no message is left, the state tells when the next
 * tick is due, so a task without anything to do does not wake the process.
 */
export type Schedule<S, M> = {
  readonly timers: TimerService
  /** Time at which the next tick is due; Infinity for none before the next message. */
  readonly dueAtMs: (state: S) => number
  /** Creates the message of a tick. */
  readonly tick: (nowMs: number) => M
}

/** Specification of a task. */
export type TaskSpec<S, M, E> = {
  readonly name: string
  readonly initial: S
  readonly step: Step<S, M, E>
  /** Carries out one effect; must not block, and reports back through the port. */
  readonly perform: (effect: E, self: Port<M>) => void
  /**
   * Effects of the end of the task: the answers to the requests that still wait.
   * None by default, for a task that keeps no reply callbacks.
   */
  readonly answerWaiting?: (state: S) => readonly E[]
  /** Ticks of the task; none by default. */
  readonly schedule?: Schedule<S, M>
  /** Maximum number of messages in the mailbox. */
  readonly capacity: number
  /** Called with an error that `step` or `perform` threw; the task continues. */
  readonly onError: (error: Error) => void
}

/** A running task. */
export type Task<M> = {
  readonly name: string
  readonly port: Port<M>
  /** Handles the queued messages, answers the requests that wait, then ends the task. */
  readonly stop: () => Promise<void>
}

/**
 * Starts a task.
 * @param spec - the specification
 * @returns the running task
 */
export function startTask<S, M, E> (spec: TaskSpec<S, M, E>): Task<M> {
  const mailbox = new Mailbox<M>(spec.capacity)
  const alarm = alarmFor(spec, mailbox)
  const ended = run(spec, mailbox, alarm)
  return {
    name: spec.name,
    port: mailbox,
    stop: async () => {
      alarm?.stop()
      mailbox.close()
      await ended
    }
  }
}

function alarmFor<S, M, E> (spec: TaskSpec<S, M, E>, mailbox: Mailbox<M>): Alarm | undefined {
  const { schedule } = spec
  return schedule === undefined ? undefined : startAlarm(schedule.timers, tickPort(mailbox, schedule.tick))
}

async function run<S, M, E> (spec: TaskSpec<S, M, E>, mailbox: Mailbox<M>, alarm: Alarm | undefined): Promise<void> {
  let state = spec.initial
  for (;;) {
    let received = mailbox.take()
    if (received === undefined) {
      alarm?.update(spec.schedule?.dueAtMs(state) ?? Infinity)
      received = await mailbox.receive()
    }
    if (received.kind === 'closed') break
    const { message } = received
    catchErrors(spec, () => {
      const transition = spec.step(state, message)
      state = transition.state
      for (const effect of transition.effects) spec.perform(effect, mailbox)
    })
  }
  alarm?.stop()
  catchErrors(spec, () => {
    for (const effect of spec.answerWaiting?.(state) ?? []) spec.perform(effect, mailbox)
  })
}

function catchErrors<S, M, E> (spec: TaskSpec<S, M, E>, act: () => void): void {
  try {
    act()
  } catch (error) {
    spec.onError(error instanceof Error ? error : new Error(String(error)))
  }
}

/**
 * Creates a transition without effects.
 * @param state - the next state
 * @returns the transition
 */
export function withoutEffects<S, E> (state: S): Transition<S, E> {
  return { state, effects: [] }
}
