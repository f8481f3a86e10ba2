// A caller of the line protocol, for tests.

import net from 'node:net'
import { readLines } from '../../src/wire/lines.js'

/** What a query was answered with. */
export type LineAnswer = {
  readonly rows: readonly string[]
  /** Signature of a success. */
  readonly signature: string | undefined
  /** Code of an error. */
  readonly code: string | undefined
  readonly state: string
}

/** A session of a caller. */
export class LineCaller {
  readonly #socket: net.Socket
  readonly #closed: Promise<void>
  #rows: readonly string[] = []
  #signature: string | undefined
  #code: string | undefined
  #waiting: { readonly resolve: (answer: LineAnswer) => void, readonly reject: (error: Error) => void } | undefined
  #nextId = 1

  private constructor (socket: net.Socket) {
    this.#socket = socket
    this.#closed = new Promise(resolve => { socket.once('close', () => { resolve() }) })
    readLines(socket, line => { this.#take(line.replace(/\r$/, '')) }, { encoding: 'latin1' })
    socket.on('error', () => { socket.destroy() })
    // A refused session is closed after its error, without READY.
    socket.on('close', () => {
      if (this.#code !== undefined) this.#settle('closed')
      else this.#waiting?.reject(new Error('the connection was closed'))
    })
  }

  /**
   * Opens a session.
   * @param port - where the proxy listens
   * @param database - the database
   * @param key - the caller's key
   * @returns the session; rejects with the code where it is refused
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
   * @param id - the id, where the test chooses it
   * @returns the answer
   */
  async query (text: string, id = `q${this.#nextId++}`): Promise<LineAnswer> {
    return await this.#send(`QUERY ${id} ${text}\r\n`)
  }

  /**
   * Sends bytes as they are.
   * @param bytes - the bytes
   */
  raw (bytes: string): void {
    this.#socket.write(bytes, 'latin1')
  }

  /** Resolves when the connection has ended. */
  async closed (): Promise<void> {
    await this.#closed
  }

  /** Leaves without a word. */
  leave (): void {
    this.#socket.destroy()
  }

  async #send (text: string): Promise<LineAnswer> {
    return await new Promise<LineAnswer>((resolve, reject) => {
      this.#rows = []
      this.#signature = undefined
      this.#code = undefined
      this.#waiting = { resolve, reject }
      this.#socket.write(text, 'latin1')
    })
  }

  #take (line: string): void {
    const [word = '', first = '', ...rest] = line.split(' ')
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
      case 'READY': return this.#settle(first)
      default: this.#socket.destroy()
    }
  }

  #settle (state: string): void {
    const waiting = this.#waiting
    this.#waiting = undefined
    waiting?.resolve({ rows: this.#rows, signature: this.#signature, code: this.#code, state })
  }
}
