// A socket whose owner reports to the guard. Unread answers are counted from the
// socket's high-water mark on, because below it no event tells that they were sent.

import type net from 'node:net'
import { noUse, type HolderKind, type HolderUse } from '../guard/index.js'
import type { ConnectionControls, ConnectionGuard, GuardedConnection } from '../ports/index.js'

/** What an owner reports; the socket adds the unread bytes. */
export type OwnUse = Omit<HolderUse, 'unreadBytes'>

/** A socket that is accounted for. */
export class GuardedSocket {
  readonly #socket: net.Socket
  readonly #connection: GuardedConnection
  #use: OwnUse = noUse

  private constructor (socket: net.Socket, connection: GuardedConnection) {
    this.#socket = socket
    this.#connection = connection
    socket.on('drain', () => { this.report(this.#use) })
    socket.on('close', () => { connection.closed() })
  }

  /**
   * Announces a socket to the guard.
   * @param socket - the socket
   * @param guard - the guard
   * @param kind - whose socket it is
   * @param controls - how reading is paused and resumed, where the socket alone does not decide it
   * @returns the socket, or undefined where there is no room for it
   */
  static accept (socket: net.Socket, guard: ConnectionGuard, kind: HolderKind, controls: Pick<ConnectionControls, 'pause' | 'resume'> = { pause: () => { socket.pause() }, resume: () => { socket.resume() } }): GuardedSocket | undefined {
    const connection = guard.open(kind, { ...controls, close: () => { socket.destroy() } })
    return connection === undefined ? undefined : new GuardedSocket(socket, connection)
  }

  /**
   * Reports what the connection holds, with the answers that are not read.
   * @param use - what its owner holds
   */
  report (use: OwnUse): void {
    this.#use = use
    this.#connection.report({ ...use, unreadBytes: this.#socket.writableNeedDrain ? this.#socket.writableLength : 0 })
  }

  /** Reports the login, or the first valid line of a peer. */
  authenticated (): void {
    this.#connection.enter('authenticated')
  }

  /**
   * Ends the connection after a last text. What still arrives is dropped; the guard
   * closes the socket if the other side does not.
   * @param lastText - the text, one byte a character
   */
  finish (lastText = ''): void {
    this.#connection.enter('closing')
    this.report({ ...noUse, messages: this.#use.messages })
    this.#socket.end(lastText, 'latin1')
    this.#socket.resume()
  }

  /**
   * Tells when answers may be written again.
   * @returns undefined where that is now, else a promise that ends when they were sent or the socket has closed
   */
  flushed (): Promise<void> | undefined {
    const socket = this.#socket
    if (!socket.writableNeedDrain || socket.destroyed) return undefined
    return new Promise(resolve => {
      const end = (): void => {
        socket.off('drain', end)
        socket.off('close', end)
        resolve()
      }
      socket.on('drain', end)
      socket.on('close', end)
    })
  }
}
