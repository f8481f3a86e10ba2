// Stand-in of a client's session. As PROTOCOL.md says, it is closed on any message
// that comes while no request is outstanding.

import net from 'node:net'
import { readMessages } from './lines.mjs'

export class Session {
  #socket
  #waiting = []
  #rows = []
  #completion
  #onEnd

  constructor (address) {
    this.#socket = net.connect({ host: address.ip, port: address.port, noDelay: true })
    this.#socket.on('error', () => { this.#socket.destroy() })
    // A close by the system ends the session on both sides.
    this.#socket.on('close', () => { this.#end() })
    this.closed = new Promise(resolve => { this.#onEnd = resolve })
    readMessages(this.#socket, message => { this.#receive(message) })
  }

  /** Opens a session; returns undefined where it is refused. */
  static async open (address, database, key) {
    const session = new Session(address)
    const answer = await session.send(`STARTUP ${database} ${key}\r\n`)
    return answer.kind === 'ready' && answer.code === undefined ? session : undefined
  }

  get isOpen () {
    return !this.#socket.destroyed && this.#socket.writable
  }

  /** Sends a query; the answer is of the kind `ready`, or `ended` where the connection ended first. */
  async query (id, text) {
    return await this.send(`QUERY ${id} ${text}\r\n`)
  }

  async send (bytes) {
    if (this.#socket.destroyed) return { kind: 'ended' }
    return await new Promise(resolve => {
      this.#waiting.push(resolve)
      this.#socket.write(bytes, 'latin1')
    })
  }

  close () {
    this.#socket.destroy()
  }

  #receive ({ word, rest }) {
    if (this.#waiting.length === 0) return this.close()
    if (word === 'ROW') this.#rows.push(rest)
    else if (word === 'COMPLETE') this.#completion = { signature: rest }
    else if (word === 'ERROR') this.#completion = { code: rest.split(' ')[0], text: rest }
    else if (word === 'READY') this.#answer({ kind: 'ready', state: rest.split(' ')[0], position: rest.split(' ')[1], rows: this.#rows, ...this.#completion })
  }

  #answer (answer) {
    this.#rows = []
    this.#completion = undefined
    this.#waiting.shift()?.(answer)
  }

  // An error without READY is the answer to the oldest request.
  #end () {
    if (this.#completion?.code !== undefined) this.#answer({ kind: 'error', ...this.#completion })
    for (const resolve of this.#waiting.splice(0)) resolve({ kind: 'ended' })
    this.#onEnd()
  }
}
