// Whether a caller still waits for its answers. The task of the caller's connection owns
// it; the pipe reads it before each attempt and is told when the caller leaves during one.

import type { Unsubscribe } from '../pipe/index.js'

/** Presence of a caller, as the request pipe sees it. */
export type CallerPresence = {
  readonly hasLeft: () => boolean
  /** Calls the listener once, when the caller leaves; not where it has left already. */
  readonly onLeave: (listener: () => void) => Unsubscribe
}

/** Presence of one caller. */
export class PresenceSignal implements CallerPresence {
  #hasLeft = false
  readonly #listeners = new Set<() => void>()

  /**
   * Checks whether the caller has left.
   * @returns true once it no longer waits
   */
  hasLeft (): boolean {
    return this.#hasLeft
  }

  /**
   * Calls a listener when the caller leaves.
   * @param listener - called once
   * @returns a function that ends the subscription
   */
  onLeave (listener: () => void): Unsubscribe {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Records that the caller no longer waits. */
  leave (): void {
    this.#hasLeft = true
    for (const listener of [...this.#listeners]) listener()
    this.#listeners.clear()
  }
}
