// Bounded mailboxes. A mailbox has one reader, the task that owns it. A
// sender never waits: a full mailbox says so, and the sender decides.

/** What became of a message that was sent. */
export type SendResult = 'accepted' | 'full' | 'closed'

/** The sending side of a mailbox. */
export type Port<M> = {
  /** Puts a message into the mailbox, or says why not. */
  readonly send: (message: M) => SendResult
}

/** What the reader of a mailbox receives. */
export type Received<M> =
  | { readonly kind: 'message', readonly message: M }
  | { readonly kind: 'closed' }

/** A bounded queue of messages with one reader. */
export class Mailbox<M> implements Port<M> {
  #queue: ReadonlyArray<M> = []
  #incoming: M[] = []
  #wake: ((received: Received<M>) => void) | undefined
  #next = 0
  #closed = false

  /**
   * Makes an empty mailbox.
   * @param capacity - how many messages may wait
   */
  constructor (readonly capacity: number) {}

  /**
   * How many messages wait.
   * @returns the count
   */
  get length (): number {
    return this.#queue.length - this.#next + this.#incoming.length
  }

  /**
   * Puts a message into the mailbox.
   * @param message - the message
   * @returns whether it was accepted, or why not
   */
  send (message: M): SendResult {
    if (this.#closed) return 'closed'
    if (this.#wake !== undefined) {
      const wake = this.#wake
      this.#wake = undefined
      wake({ kind: 'message', message })
      return 'accepted'
    }
    if (this.length >= this.capacity) return 'full'
    this.#incoming.push(message)
    return 'accepted'
  }

  /**
   * Waits for the next message.
   * @returns the message, or that the mailbox is closed and empty
   */
  async receive (): Promise<Received<M>> {
    if (this.#next >= this.#queue.length) {
      this.#queue = this.#incoming
      this.#incoming = []
      this.#next = 0
    }
    if (this.#next < this.#queue.length) {
      const message = this.#queue[this.#next] as M
      this.#next += 1
      return { kind: 'message', message }
    }
    if (this.#closed) return { kind: 'closed' }
    return await new Promise(resolve => { this.#wake = resolve })
  }

  /** Accepts no further message; what waits is still received. */
  close (): void {
    this.#closed = true
    const wake = this.#wake
    this.#wake = undefined
    wake?.({ kind: 'closed' })
  }
}
