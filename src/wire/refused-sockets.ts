// Sockets that were refused because the host is full. The error reaches the client only
// if the client closes first, so a few of them stay open for it.

import type net from 'node:net'

const maxLingering = 16

/** Refused sockets that wait for their clients to close. */
export class RefusedSockets {
  readonly #open = new Set<net.Socket>()

  /**
   * Keeps a socket until its client closes it or newer ones take its place.
   * @param socket - the socket, which was ended
   */
  add (socket: net.Socket): void {
    const [oldest] = this.#open
    if (this.#open.size >= maxLingering) oldest?.destroy()
    if (oldest?.destroyed === true) this.#open.delete(oldest)
    this.#open.add(socket)
    socket.on('close', () => { this.#open.delete(socket) })
    socket.resume()
  }
}
