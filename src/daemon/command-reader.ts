// Reads the commands of a caller from its mailbox, one of them ahead while another
// command runs. The end of the connection comes after all commands that were read, so it
// is found as soon as no further command waits.

import type { Mailbox, Received } from '../pipe/index.js'
import type { CallerCommand } from '../ports/index.js'

/** Reader of the commands of one caller. */
export class CommandReader {
  readonly #inbox: Mailbox<CallerCommand>
  readonly #onClosed: () => void
  #pending: Promise<Received<CallerCommand>> | undefined
  #hasPending = false
  #isAwaited = false

  /**
   * Starts without a command.
   * @param inbox - mailbox of the connection
   * @param onClosed - called when the connection is found closed while a command runs
   */
  constructor (inbox: Mailbox<CallerCommand>, onClosed: () => void) {
    this.#inbox = inbox
    this.#onClosed = onClosed
  }

  /**
   * Number of commands that wait.
   * @returns the count, with the one that was read ahead
   */
  get length (): number {
    return this.#inbox.length + (this.#hasPending ? 1 : 0)
  }

  /** Reads the next command ahead. */
  readAhead (): void {
    if (this.#pending !== undefined) return
    this.#isAwaited = false
    this.#pending = this.#readNext()
  }

  /**
   * Waits for the next command.
   * @returns the command, or the end of the connection
   */
  async next (): Promise<Received<CallerCommand>> {
    this.#isAwaited = true
    const received = await (this.#pending ?? this.#inbox.receive())
    this.#pending = undefined
    this.#hasPending = false
    return received
  }

  // A change of the stop phase wakes a task that waits; one that runs a command looks at
  // the phase after it.
  async #readNext (): Promise<Received<CallerCommand>> {
    let received = await this.#receive()
    while (!this.#isAwaited && received.kind === 'message' && received.message.kind === 'stopPhaseChanged') received = await this.#receive()
    if (received.kind === 'closed') this.#onClosed()
    else this.#hasPending = true
    return received
  }

  // A message that waits is taken from the mailbox at once.
  async #receive (): Promise<Received<CallerCommand>> {
    this.#hasPending = this.#inbox.length > 0
    return await this.#inbox.receive()
  }
}
