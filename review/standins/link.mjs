// A TCP link that can be cut. A cut is silent, as PROTOCOL.md and DEPLOY.md describe
// a partition: bytes on the way are held up, and new connections hang. When the cut
// heals, held bytes arrive, unless their sender has reset the connection. A new
// connection is established at the end of the cut if its client still waits, and
// vanishes otherwise.

import net from 'node:net'

export class Link {
  #target
  #isCut = false
  #pairs = new Set()
  #server = net.createServer({ allowHalfOpen: true }, socket => { this.#accept(socket) })

  /** Forwards connections to the target, an address. */
  constructor (target) {
    this.#target = target
  }

  async start (ip) {
    await new Promise(resolve => { this.#server.listen(0, ip, resolve) })
    return { ip, port: this.#server.address().port }
  }

  stop () {
    this.#server.close()
    for (const pair of this.#pairs) pair.destroy()
  }

  cut () {
    this.#isCut = true
  }

  heal () {
    this.#isCut = false
    for (const pair of this.#pairs) pair.flush()
  }

  #accept (client) {
    const pair = new Pair(client, this.#target, () => this.#isCut, () => { this.#pairs.delete(pair) })
    this.#pairs.add(pair)
    pair.flush()
  }
}

class Pair {
  #client
  #server
  #target
  #isCut
  #onEnd
  #toServer = []
  #toClient = []

  constructor (client, target, isCut, onEnd) {
    this.#client = client
    this.#target = target
    this.#isCut = isCut
    this.#onEnd = onEnd
    this.#read(client, this.#toServer)
  }

  destroy () {
    this.#client.destroy()
    this.#server?.destroy()
    this.#onEnd()
  }

  // Passes on what waits, unless the link is cut.
  flush () {
    if (this.#isCut()) return
    if (this.#server === undefined) {
      // A connection that its client gave up during the cut was never established.
      if (this.#toServer.includes(null)) return this.destroy()
      this.#server = net.connect({ host: this.#target.ip, port: this.#target.port, allowHalfOpen: true, noDelay: true })
      this.#read(this.#server, this.#toClient)
    }
    write(this.#server, this.#toServer)
    write(this.#client, this.#toClient)
  }

  // The end of a stream is kept as null behind its bytes. A reset loses the bytes
  // that are held up.
  #read (socket, queue) {
    socket.setNoDelay(true)
    socket.on('data', bytes => { queue.push(bytes); this.flush() })
    socket.on('end', () => { queue.push(null); this.flush() })
    socket.on('error', () => { this.destroy() })
    socket.on('close', () => { if (!this.#isCut()) this.flush() })
  }
}

function write (socket, queue) {
  for (const bytes of queue.splice(0)) {
    if (bytes === null) socket.end()
    else if (socket.writable) socket.write(bytes)
  }
}
