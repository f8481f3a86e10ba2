// A TCP proxy that injects faults. Each link is a task that owns its listener
// and both sockets of each connection; tests control it over HTTP.

import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import * as z from 'zod'
import type { Address } from '../src/model/index.js'
import { sleep, startTask, systemTimers, type Port, type Task, type TimerService } from '../src/pipe/index.js'
import { initialLink, passThroughControl, stepLink, type LinkControl, type LinkEffect, type LinkMessage, type LinkState, type Chunk } from './link-state.js'
import type { RunningStandin } from './platform.js'
import { readBody } from './platform/http.js'

/** Maximum number of messages in the mailbox of a link's task. */
const mailboxCapacity = 100_000

type SocketPair = {
  readonly client: Socket
  readonly server: Socket
}

/** A running link. */
export type FaultyLink = {
  readonly listen: Address
  readonly to: Address
  readonly control: (control: LinkControl) => void
  readonly status: () => { readonly control: LinkControl, readonly open: number, readonly opened: number }
  readonly stop: () => Promise<void>
}

/** Sockets of one link; only its task uses them. */
class LinkSockets {
  readonly #pairs = new Map<number, SocketPair>()
  readonly #inFlight = new Map<string, Promise<void>>()
  readonly #to: Address
  readonly #timers: TimerService
  readonly #listener: Server
  #next = 1
  #port: Port<LinkMessage> | undefined

  constructor (to: Address, timers: TimerService) {
    this.#to = to
    this.#timers = timers
    this.#listener = createServer(socket => { this.#accept(socket) })
  }

  attach (port: Port<LinkMessage>): void {
    this.#port = port
  }

  async listen (address: Address): Promise<Address> {
    await new Promise<void>((resolve, reject) => {
      this.#listener.once('error', reject)
      this.#listener.listen(address.port, address.ip, resolve)
    })
    return { ip: address.ip, port: (this.#listener.address() as AddressInfo).port }
  }

  perform (effect: LinkEffect, listen: Address): void {
    switch (effect.kind) {
      case 'cut': return this.#cut(effect.id)
      case 'forward': return this.#forward(effect.chunk, effect.delayMs)
      case 'listen': {
        if (effect.open && !this.#listener.listening) this.#listener.listen(listen.port, listen.ip)
        if (!effect.open) this.#listener.close()
      }
    }
  }

  async stop (): Promise<void> {
    for (const id of this.#pairs.keys()) this.#cut(id)
    if (this.#listener.listening) await new Promise(resolve => { this.#listener.close(resolve) })
  }

  #accept (client: Socket): void {
    const id = this.#next
    this.#next += 1
    const server = connect({ host: this.#to.ip, port: this.#to.port, noDelay: true, allowHalfOpen: true })
    client.setNoDelay(true)
    client.allowHalfOpen = true
    this.#pairs.set(id, { client, server })
    this.#port?.send({ kind: 'opened', id })
    this.#forwardEvents(id, client, 'toServer')
    this.#forwardEvents(id, server, 'toClient')
  }

  #forwardEvents (id: number, socket: Socket, direction: Chunk['direction']): void {
    socket.on('data', bytes => { this.#port?.send({ kind: 'chunk', chunk: { id, direction, bytes } }) })
    // End and error of a socket take the same path as bytes, so that a silent
    // link hides them.
    socket.on('end', () => { this.#port?.send({ kind: 'chunk', chunk: { id, direction, bytes: undefined } }) })
    socket.on('error', () => { this.#port?.send({ kind: 'chunk', chunk: { id, direction, bytes: undefined } }) })
    socket.on('close', () => { this.#removeIfClosed(id) })
  }

  #removeIfClosed (id: number): void {
    const pair = this.#pairs.get(id)
    if (pair === undefined || !pair.client.destroyed || !pair.server.destroyed) return
    this.#pairs.delete(id)
    this.#port?.send({ kind: 'closed', id })
  }

  #cut (id: number): void {
    const pair = this.#pairs.get(id)
    pair?.client.resetAndDestroy()
    pair?.server.resetAndDestroy()
  }

  #forward (chunk: Chunk, delayMs: number): void {
    const key = `${chunk.id} ${chunk.direction}`
    const before = this.#inFlight.get(key)
    if (before === undefined && delayMs === 0) return this.#write(chunk)
    // Keeps the order of chunks when the delay changes.
    const delivered = Promise.all([before, sleep(this.#timers, delayMs)]).then(() => {
      if (this.#inFlight.get(key) === delivered) this.#inFlight.delete(key)
      this.#write(chunk)
    })
    this.#inFlight.set(key, delivered)
  }

  #write (chunk: Chunk): void {
    const pair = this.#pairs.get(chunk.id)
    if (pair === undefined) return
    const [source, target] = chunk.direction === 'toServer' ? [pair.client, pair.server] : [pair.server, pair.client]
    if (target.destroyed) {
      source.destroy()
      return
    }
    if (chunk.bytes === undefined) {
      if (source.errored === null) target.end()
      else target.resetAndDestroy()
      return
    }
    if (target.write(chunk.bytes)) return
    source.pause()
    target.once('drain', () => { source.resume() })
  }
}

export async function startLink (listen: Address, to: Address): Promise<FaultyLink> {
  const timers = systemTimers()
  const sockets = new LinkSockets(to, timers)
  const address = await sockets.listen(listen)
  let latest = initialLink
  const task: Task<LinkMessage> = startTask<LinkState, LinkMessage, LinkEffect>({
    name: 'faulty link',
    initial: initialLink,
    step: (state, message) => {
      const next = stepLink(state, message)
      latest = next.state
      return next
    },
    perform: effect => { sockets.perform(effect, address) },
    capacity: mailboxCapacity,
    onError: error => { console.error(error) }
  })
  sockets.attach(task.port)
  return {
    listen: address,
    to,
    control: control => { task.port.send({ kind: 'control', control }) },
    status: () => ({ control: latest.control, open: latest.connections.size, opened: latest.opened }),
    stop: async () => {
      await sockets.stop()
      timers.stop()
      await task.stop()
    }
  }
}

const addressSchema = z.string().regex(/^[^:]+:\d+$/).transform((text): Address => {
  const [ip = '', port = ''] = text.split(':')
  return { ip, port: Number(port) }
})

const controlSchema = z.object({
  /** Target address; creates the link if it does not exist. */
  to: addressSchema.optional(),
  listen: addressSchema.default({ ip: '127.0.0.1', port: 0 }),
  mode: z.enum(['pass', 'cut', 'refuse', 'silent', 'silentToServer', 'silentToClient', 'halfOpen', 'hold']).default(passThroughControl.mode),
  delayMs: z.number().min(0).default(passThroughControl.delayMs),
  dropNextAnswer: z.number().int().min(0).default(passThroughControl.dropNextAnswer)
})

/**
 * Starts a set of links and the HTTP server that controls them.
 * @param listen - address of the HTTP server; port 0 selects a free port
 * @returns the running set
 */
export async function startFaultyLinks (listen: Address): Promise<RunningStandin> {
  const links = new Map<string, FaultyLink>()
  const server = createHttpServer((request, response) => {
    serveControl(links, request, response).catch(error => { answerJson(response, 400, { reason: String(error) }) })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.ip, resolve)
  })
  return {
    address: { ip: listen.ip, port: (server.address() as AddressInfo).port },
    stop: async () => {
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
      await Promise.all([...links.values()].map(async link => { await link.stop() }))
    }
  }
}

async function serveControl (links: Map<string, FaultyLink>, request: IncomingMessage, response: ServerResponse): Promise<void> { // eslint-disable-line no-restricted-syntax -- links are added to the map
  const [, root, encoded] = (request.url ?? '').split('/')
  if (root !== 'links') return answerJson(response, 404, { reason: 'unknown path' })
  const body = await readBody(request) ?? ''
  if (encoded === undefined) return answerJson(response, 200, Object.fromEntries([...links].map(([name, link]) => [name, linkStatus(link)])))
  const name = decodeURIComponent(encoded)
  if (request.method === 'PUT') {
    const requested = controlSchema.parse(JSON.parse(body))
    const link = links.get(name) ?? await startLink(requested.listen, z.object({ ip: z.string(), port: z.number() }).parse(requested.to))
    links.set(name, link)
    link.control({ mode: requested.mode, delayMs: requested.delayMs, dropNextAnswer: requested.dropNextAnswer })
  }
  const link = links.get(name)
  return link === undefined ? answerJson(response, 404, { reason: 'unknown link' }) : answerJson(response, 200, linkStatus(link))
}

function linkStatus (link: FaultyLink): object {
  return { listen: link.listen, to: link.to, ...link.status() }
}

function answerJson (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
