// Tasks. A task owns a state that nobody else can reach and handles one
// message after the other. Its decisions are a pure function from state and
// message to state and effects; its sockets and clocks are in `perform`, which
// carries out the effects and may send further messages to the task.

import { Mailbox, type Port } from './mailbox.js'

/** The result of a decision: the next state and what to do about it. */
export type Transition<S, E> = {
  readonly state: S
  readonly effects: readonly E[]
}

/** A decision: state and message in, state and effects out. */
export type Step<S, M, E> = (state: S, message: M) => Transition<S, E>

/** What a task is made of. */
export type TaskSpec<S, M, E> = {
  readonly name: string
  readonly initial: S
  readonly step: Step<S, M, E>
  /** Carries out one effect; must not block, and reports back through the port. */
  readonly perform: (effect: E, self: Port<M>) => void
  /** How many messages may wait in the mailbox. */
  readonly capacity: number
  /** Told of an error that `step` or `perform` threw; the task goes on. */
  readonly onError: (error: Error) => void
}

/** A running task. */
export type Task<M> = {
  readonly name: string
  readonly port: Port<M>
  /** Handles what waits, then ends. */
  readonly stop: () => Promise<void>
}

/**
 * Starts a task.
 * @param spec - what the task is made of
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
 * A transition without effects.
 * @param state - the next state
 * @returns the transition
 */
export function withoutEffects<S, E> (state: S): Transition<S, E> {
  return { state, effects: [] }
}
