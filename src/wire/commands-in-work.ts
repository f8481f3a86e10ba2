// The commands of one caller that were taken from its connection and are not answered
// yet. Answers come in the order of the commands.

import type { OwnUse } from './guarded-socket.js'

/** Commands that are taken ahead of the one that runs; a caller is expected to wait for each answer. */
const maxCommands = 4

/** Commands in work and their bytes. */
export class CommandsInWork {
  readonly #bytes: number[] = []
  #sum = 0
  #added = 0

  /**
   * Adds a command.
   * @param bytes - its length
   */
  add (bytes: number): void {
    this.#bytes.push(bytes)
    this.#sum += bytes
    this.#added += 1
  }

  /** Removes the oldest command, which was answered. */
  remove (): void {
    this.#sum -= this.#bytes.shift() ?? 0
  }

  /**
   * Decides whether another command may be taken.
   * @returns true while fewer than four are in work
   */
  hasRoom (): boolean {
    return this.#bytes.length < maxCommands
  }

  /**
   * Reports the commands.
   * @returns their number and bytes
   */
  use (): Omit<OwnUse, 'partialBytes'> {
    return { workBytes: this.#sum, queued: this.#bytes.length, messages: this.#added }
  }
}
