// A link that can be cut. While it is cut, the bytes of open connections are held up in
// both directions, with the ends of the connections, and go on when it heals. A
// connection that is opened meanwhile carries nothing: its first packet is lost.

import net from 'node:net'

export class HeldLink {
  #target
  #isCut = false
  #held = []
  #sockets = new Set()
  #server = net.createServer({ allowHalfOpen: true, noDelay: true }, socket => { this.#accept(socket) })

  constructor (target) {
    this.#target = target
  }

  /** Listens on a free port. */
  async start () {
    await new Promise(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return this.#server.address().port
  }

  cut () {
    this.#isCut = true
  }

  heal () {
    this.#isCut = false
    for (const deliver of this.#held.splice(0)) deliver()
  }

  stop () {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }

  #accept (socket) {
    this.#track(socket)
    if (this.#isCut) {
      socket.resume()
      this.#held.push(() => { socket.destroy() })
      return
    }
    const far = net.connect({ host: '127.0.0.1', port: this.#target, allowHalfOpen: true, noDelay: true })
    this.#track(far)
    this.#pass(socket, far)
    this.#pass(far, socket)
  }

  #track (socket) {
    this.#sockets.add(socket)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sockets.delete(socket) })
  }

  #pass (from, to) {
    const deliver = act => {
      if (this.#isCut) this.#held.push(act)
      else act()
    }
    from.on('data', data => { deliver(() => { if (to.writable) to.write(data) }) })
    from.on('end', () => { deliver(() => { to.end() }) })
  }
}
