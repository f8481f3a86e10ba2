// A caller of the line protocol, for tests.

import net from 'node:net'
import { readFrames } from './framing.js'

/** Answer to a query. */
export type LineAnswer = {
  readonly rows: readonly string[]
  /** Signature, if the query succeeded. */
  readonly signature: string | undefined
  /** Error code, if the query failed. */
  readonly code: string | undefined
  readonly state: string
}

/** Session of a caller. */
export class LineCaller {
  readonly #socket: net.Socket
  readonly #closed: Promise<void>
  #rows: readonly string[] = []
  #signature: string | undefined
  #code: string | undefined
  #pending: { readonly resolve: (answer: LineAnswer) => void, readonly reject: (error: Error) => void } | undefined
  #nextId = 1

  private constructor (socket: net.Socket) {
    this.#socket = socket
    this.#closed = new Promise(resolve => { socket.once('close', () => { resolve() }) })
    readFrames(socket, text => { this.#handleMessage(text) })
    socket.on('error', () => { socket.destroy() })
    // The proxy closes a rejected session after the error, without READY.
    socket.on('close', () => {
      if (this.#code !== undefined) this.#completeAnswer('closed')
      else this.#pending?.reject(new Error('the connection was closed'))
    })
  }

  /**
   * Opens a session.
   * @param port - port of the proxy
   * @param database - the database
   * @param key - key of the caller
   * @returns the session
   * @throws Error with the error code, if the proxy rejects the session
   */
  static async open (port: number, database: string, key: string): Promise<LineCaller> {
    const caller = new LineCaller(net.connect({ host: '127.0.0.1', port, noDelay: true }))
    const answer = await caller.#send(`STARTUP ${database} ${key}\r\n`)
    if (answer.code !== undefined) throw new Error(answer.code)
    return caller
  }

  /**
   * Runs a query.
   * @param text - the query text
   * @param id - the query id, if the test sets it
   * @returns the answer
   */
  async query (text: string, id = `q${this.#nextId++}`): Promise<LineAnswer> {
    return await this.#send(`QUERY ${id} ${text}\r\n`)
  }

  /**
   * Sends bytes without encoding them as a query.
   * @param bytes - the bytes
   */
  sendRaw (bytes: string): void {
    this.#socket.write(bytes, 'latin1')
  }

  /**
   * Waits for the answer to a query that was sent as bytes.
   * @returns the answer
   */
  async completion (): Promise<LineAnswer> {
    return await this.#send('')
  }

  /** Resolves when the connection is closed. */
  async closed (): Promise<void> {
    await this.#closed
  }

  /** Closes the connection without a message. */
  disconnect (): void {
    this.#socket.destroy()
  }

  async #send (text: string): Promise<LineAnswer> {
    if (this.#socket.destroyed) throw new Error('the connection was closed')
    return await new Promise<LineAnswer>((resolve, reject) => {
      this.#rows = []
      this.#signature = undefined
      this.#code = undefined
      this.#pending = { resolve, reject }
      this.#socket.write(text, 'latin1')
    })
  }

  #handleMessage (text: string): void {
    const [word = '', first = '', ...rest] = text.split(' ')
    switch (word) {
      case 'ROW': {
        this.#rows = [...this.#rows, [first, ...rest].join(' ')]
        return
      }
      case 'COMPLETE': {
        this.#signature = first
        return
      }
      case 'ERROR': {
        this.#code = first
        return
      }
      case 'READY': return this.#completeAnswer(first)
      default: this.#socket.destroy()
    }
  }

  #completeAnswer (state: string): void {
    const pending = this.#pending
    this.#pending = undefined
    pending?.resolve({ rows: this.#rows, signature: this.#signature, code: this.#code, state })
  }
}
