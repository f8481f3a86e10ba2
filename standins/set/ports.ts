// Ports for processes whose port must be known before they start. They lie below
// the ephemeral range of the kernel. A process claims a block of ports by
// listening on the first port of the block.

import { createServer, type Server } from 'node:net'

const firstPort = 12_000
const portsPerBlock = 400
const blockCount = 48
const ip = '127.0.0.1'

/** Allocates free ports from one claimed block. */
export class PortBlock {
  readonly #guard: Server
  #next: number

  private constructor (guard: Server, first: number) {
    this.#guard = guard
    this.#next = first + 1
  }

  /** Claims a block that no other process holds. */
  static async claim (): Promise<PortBlock> {
    for (let block = 0; block < blockCount; block++) {
      const first = firstPort + block * portsPerBlock
      const guard = await tryListen(first)
      if (guard !== undefined) return new PortBlock(guard, first)
    }
    throw new Error('all blocks of test ports are in use')
  }

  /** Returns a port on which no process listens. */
  async allocate (): Promise<number> {
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
