// Tasks. A task owns a private state and handles messages one at a time. Its
// decisions are a pure function from state and message to state and effects.
// Sockets and clocks are accessed only in `perform`, which carries out the
// effects and may send further messages to the task.

import { Mailbox, type Port } from './mailbox.js'

/** Result of a step: the next state and the effects to carry out. */
export type Transition<S, E> = {
  readonly state: S
  readonly effects: readonly E[]
}

/** A pure decision function from state and message to the next state and effects. */
export type Step<S, M, E> = (state: S, message: M) => Transition<S, E>

/** Specification of a task. */
export type TaskSpec<S, M, E> = {
  readonly name: string
  readonly initial: S
  readonly step: Step<S, M, E>
  /** Carries out one effect; must not block, and reports back through the port. */
  readonly perform: (effect: E, self: Port<M>) => void
  /** Maximum number of messages in the mailbox. */
  readonly capacity: number
  /** Called with an error that `step` or `perform` threw; the task continues. */
  readonly onError: (error: Error) => void
}

/** A running task. */
export type Task<M> = {
  readonly name: string
  readonly port: Port<M>
  /** Handles the queued messages, then ends the task. */
  readonly stop: () => Promise<void>
}

/**
 * Starts a task.
 * @param spec - the specification
 * @returns the running task
 */
export function startTask<S, M, E> (spec: TaskSpec<S, M, E>): Task<M> {
  const mailbox = new Mailbox<M>(spec.capacity)
  const ended = run(spec, mailbox)
  return {
    name: spec.name,
    port: mailbox,
    stop: async () => {
      mailbox.close()
      await ended
    }
  }
}

async function run<S, M, E> (spec: TaskSpec<S, M, E>, mailbox: Mailbox<M>): Promise<void> {
  let state = spec.initial
  for (;;) {
    const received = await mailbox.receive()
    if (received.kind === 'closed') return
    try {
      const transition = spec.step(state, received.message)
      state = transition.state
      for (const effect of transition.effects) spec.perform(effect, mailbox)
    } catch (error) {
      spec.onError(error instanceof Error ? error : new Error(String(error)))
    }
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
