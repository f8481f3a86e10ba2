// Ports for processes that must know theirs before they start. They lie below
// the range that the kernel gives to outgoing connections. A process claims a
// block of them by holding the block's first port.

import { createServer, type Server } from 'node:net'

const firstPort = 12_000
const portsPerBlock = 400
const blockCount = 48
const ip = '127.0.0.1'

/** Gives out free ports of one claimed block. */
export class PortBlock {
  readonly #guard: Server
  #next: number

  private constructor (guard: Server, first: number) {
    this.#guard = guard
    this.#next = first + 1
  }

  /** Claims a block that no other process has. */
  static async claim (): Promise<PortBlock> {
    for (let block = 0; block < blockCount; block++) {
      const first = firstPort + block * portsPerBlock
      const guard = await tryListen(first)
      if (guard !== undefined) return new PortBlock(guard, first)
    }
    throw new Error('no free block of ports')
  }

  /** Gives a port that nobody listens on. */
  async take (): Promise<number> {
    for (;;) {
      const port = this.#next
      this.#next += 1
      const free = await tryListen(port)
      if (free === undefined) continue
      await close(free)
      return port
    }
  }

  async release (): Promise<void> {
    await close(this.#guard)
  }
}

async function tryListen (port: number): Promise<Server | undefined> {
  return await new Promise(resolve => {
    const server = createServer()
    server.unref()
    server.once('error', () => { resolve(undefined) })
    server.listen(port, ip, () => { resolve(server) })
  })
}

async function close (server: Server): Promise<void> {
  await new Promise(resolve => { server.close(resolve) })
}
