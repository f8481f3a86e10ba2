// Bounded mailboxes. A mailbox has one reader, the task that owns it. Sending
// never blocks: a full mailbox rejects the message, and the sender decides
// whether to retry or drop it.

/** Result of sending a message. */
export type SendResult = 'accepted' | 'full' | 'closed'

/** The sending side of a mailbox. */
export type Port<M> = {
  /** Enqueues a message, or returns why it was rejected. */
  readonly send: (message: M) => SendResult
}

/** Result of receiving from a mailbox. */
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
   * Creates an empty mailbox.
   * @param capacity - maximum number of queued messages
   */
  constructor (readonly capacity: number) {}

  /**
   * Number of queued messages.
   * @returns the count
   */
  get length (): number {
    return this.#queue.length - this.#next + this.#incoming.length
  }

  /**
   * Enqueues a message, or hands it to a waiting reader.
   * @param message - the message
   * @returns `accepted`, or why the message was rejected
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
   * Takes the next message without waiting.
   * @returns the message, `closed` once the mailbox is closed and empty, or undefined
   * where there is none yet
   */
  take (): Received<M> | undefined {
    if (this.#next >= this.#queue.length) {
      if (this.#incoming.length === 0) return this.#closed ? { kind: 'closed' } : undefined
      this.#queue = this.#incoming
      this.#incoming = []
      this.#next = 0
    }
    const message = this.#queue[this.#next] as M
    this.#next += 1
    return { kind: 'message', message }
  }

  /**
   * Waits for the next message.
   * @returns the message, or `closed` once the mailbox is closed and empty
   */
  receive (): Promise<Received<M>> {
    const received = this.take()
    return received === undefined ? new Promise(resolve => { this.#wake = resolve }) : Promise.resolve(received)
  }

  /** Rejects further messages; queued messages can still be received. */
  close (): void {
    this.#closed = true
    const wake = this.#wake
    this.#wake = undefined
    wake?.({ kind: 'closed' })
  }
}
