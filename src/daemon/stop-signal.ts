// Phases of a planned stop. The signal owns the current phase; tasks read it and
// subscribe to its changes.

import type { TimerService, Unsubscribe } from '../pipe/index.js'

/** Phase of a process, in the order in which a planned stop enters them. */
export type StopPhase =
  | 'serving'
  /** Idle sessions close, and open transactions may end. */
  | 'draining'
  /** Open transactions are rolled back; statements that run are answered. */
  | 'rollingBack'
  /** Statements that still run are answered without their result, and sessions close. */
  | 'closing'

/** Times of a planned stop, in milliseconds from its start. */
export type StopSchedule = {
  readonly rollBackAtMs: number
  readonly closeAtMs: number
  /** End of the wait for statements that other hosts sent here. */
  readonly dispatchEndsAtMs: number
  /** Nothing is waited for any longer. */
  readonly endsAtMs: number
}

/** Fractions of the grace time; the rest after `endsAtMs` is left to the exit. */
const fractions = { rollBack: 1 / 2, close: 5 / 6, dispatchEnds: 7 / 8, ends: 11 / 12 }

/**
 * Computes the times of a planned stop.
 * @param graceMs - time after which the process is killed
 * @returns the times
 */
export function stopSchedule (graceMs: number): StopSchedule {
  return {
    rollBackAtMs: graceMs * fractions.rollBack,
    closeAtMs: graceMs * fractions.close,
    dispatchEndsAtMs: graceMs * fractions.dispatchEnds,
    endsAtMs: graceMs * fractions.ends
  }
}

/** The current phase, and its subscribers. */
export class StopSignal {
  #phase: StopPhase = 'serving'
  readonly #listeners = new Set<(phase: StopPhase) => void>()

  /**
   * Returns the current phase.
   * @returns the phase
   */
  phase (): StopPhase {
    return this.#phase
  }

  /**
   * Calls a listener at each change of the phase.
   * @param listener - receives the new phase
   * @returns a function that ends the subscription
   */
  subscribe (listener: (phase: StopPhase) => void): Unsubscribe {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /**
   * Starts the phases of a planned stop.
   * @param timers - the timer service
   * @param schedule - the times of the later phases
   */
  begin (timers: TimerService, schedule: StopSchedule): void {
    const enterAfter = (delayMs: number, phase: StopPhase): void => {
      timers.after(delayMs, { send: () => { this.#enter(phase); return 'accepted' } })
    }
    this.#enter('draining')
    enterAfter(schedule.rollBackAtMs, 'rollingBack')
    enterAfter(schedule.closeAtMs, 'closing')
  }

  #enter (phase: StopPhase): void {
    this.#phase = phase
    for (const listener of [...this.#listeners]) listener(phase)
  }
}
