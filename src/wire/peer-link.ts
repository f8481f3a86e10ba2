// Links between proxies: JSON-RPC 2.0, one text a line, over TCP or TLS. A
// link is opened on the first call. Where a call is overdue and nothing at all
// came in for `silentLinkMs` although calls were sent, the link is silent and
// given up; the next call opens a new one. A single overdue call leaves the link
// alone, because the others on it may still be answered.
// A call that was lost or overdue may have been carried out.

import { JSONRPCClient, JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0'
import net from 'node:net'
import tls from 'node:tls'
import type { Address, PeerMethod, PeerParams, PeerResult } from '../model/index.js'
import { withTimeout, type TimerService } from '../pipe/index.js'
import { asError, WireError } from '../ports/index.js'
import { readLines, writeLine } from './lines.js'
import { restore, shorten } from './peer-codec.js'

/** Certificates for links between proxies, both sides checked. */
export type PeerTls = {
  readonly certPem: string
  readonly keyPem: string
  readonly caPem: string
}

/** Calls one other proxy. */
export type PeerClient = {
  /** Calls a method; throws a `WireError` where no answer came in time. */
  readonly call: <M extends PeerMethod>(method: M, params: PeerParams<M>, timeoutMs: number) => Promise<PeerResult<M>>
  /** For how long calls were sent and nothing came in; 0 where every call was answered. */
  readonly unresponsiveMs: () => number
  /** Gives the link up: what is under way is lost, and the next call opens a new one. */
  readonly disconnect: () => void
  readonly close: () => void
}

/** Answers each method. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (params: PeerParams<M>) => Promise<PeerResult<M>>
}

/** A running listener for other proxies. */
export type PeerListener = {
  readonly port: number
  readonly close: () => void
}

/** A link on which nothing came in for this time, although calls were sent, is given up. */
const silentLinkMs = 1000

type OpenLink = {
  readonly socket: net.Socket
  readonly rpc: JSONRPCClient
  /** False until something of a call may have left this host. */
  readonly connected: () => boolean
  /** Notes that a call is sent. */
  readonly sending: () => void
  /** For how long calls were sent and nothing came in. */
  readonly silentMs: () => number
}

/**
 * Makes a client for one other proxy.
 * @param address - where it listens
 * @param timers - the timer service
 * @param security - certificates, where links use TLS
 * @returns the client
 */
export function peerClient (address: Address, timers: TimerService, security: PeerTls | undefined): PeerClient {
  let open: OpenLink | undefined
  const drop = (link: OpenLink, failure: Error): void => {
    if (open === link) open = undefined
    link.rpc.rejectAllPendingRequests(failure.message)
    link.socket.destroy()
  }
  const connect = (): OpenLink => {
    const socket = dial(address, security)
    const rpc = new JSONRPCClient(request => { writeLine(socket, request) })
    let connected = false
    socket.once(security === undefined ? 'connect' : 'secureConnect', () => { connected = true })
    let unansweredSinceMs: number | undefined
    const link: OpenLink = {
      socket,
      rpc,
      connected: () => connected,
      sending: () => { unansweredSinceMs ??= timers.nowMs() },
      silentMs: () => unansweredSinceMs === undefined ? 0 : timers.nowMs() - unansweredSinceMs
    }
    readLines(socket, line => {
      unansweredSinceMs = undefined
      receive(line, value => { rpc.receive(value) }, () => { drop(link, new Error('not JSON')) })
    })
    socket.on('error', error => { drop(link, error) })
    socket.on('close', () => { drop(link, new Error('link closed')) })
    return link
  }
  return {
    async call (method, params, timeoutMs) {
      open ??= connect()
      const link = open
      link.sending()
      const answer = await withTimeout(timers, timeoutMs, Promise.resolve(link.rpc.request(method, shorten(params))))
        .catch(error => { throw new WireError(link.connected() ? 'lost' : 'refused', `the link to ${address.ip}:${address.port} was lost`, asError(error)) })
      if (answer.kind === 'done') return restore(answer.value) as PeerResult<typeof method>
      if (link.silentMs() >= silentLinkMs) drop(link, new Error('link silent'))
      throw new WireError(link.connected() ? 'overdue' : 'refused', `${address.ip}:${address.port} did not answer ${method} in ${timeoutMs} ms`)
    },
    unresponsiveMs: () => open?.silentMs() ?? 0,
    disconnect () {
      if (open !== undefined) drop(open, new Error('link given up'))
    },
    close () {
      if (open !== undefined) drop(open, new Error('closed'))
    }
  }
}

/**
 * Listens for other proxies.
 * @param address - where to listen; port 0 takes a free one
 * @param handlers - answers each method
 * @param security - certificates, where links use TLS
 * @returns the listener; throws a `WireError` where the port is taken
 */
export async function listenForPeers (address: Address, handlers: PeerHandlers, security: PeerTls | undefined): Promise<PeerListener> {
  const sockets = new Set<net.Socket>()
  const accept = (socket: net.Socket): void => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { sockets.delete(socket) })
    answerOn(socket, handlers)
  }
  const server = security === undefined
    ? net.createServer(accept)
    : tls.createServer({ cert: security.certPem, key: security.keyPem, ca: security.caPem, requestCert: true, rejectUnauthorized: true }, accept)
  await listen(server, address)
  return {
    port: (server.address() as net.AddressInfo).port,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/**
 * Starts a server on an address.
 * @param server - the server
 * @param address - where to listen
 */
export async function listen (server: net.Server, address: Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', error => { reject(new WireError('rejected', `cannot listen on ${address.ip}:${address.port}`, error)) })
    server.listen(address.port, address.ip, resolve)
  })
}

function dial (address: Address, security: PeerTls | undefined): net.Socket {
  const socket = security === undefined
    ? net.connect({ host: address.ip, port: address.port })
    : tls.connect({ host: address.ip, port: address.port, cert: security.certPem, key: security.keyPem, ca: security.caPem, checkServerIdentity: () => undefined })
  return socket.setNoDelay(true)
}

function answerOn (socket: net.Socket, handlers: PeerHandlers): void {
  const rpc = new JSONRPCServer()
  for (const method of Object.keys(handlers) as readonly PeerMethod[]) addMethod(rpc, handlers, method)
  readLines(socket, line => {
    receive(line, value => {
      void rpc.receive(value as JSONRPCRequest).then(response => {
        if (response !== null && socket.writable) writeLine(socket, response)
      })
    }, () => { socket.destroy() })
  })
}

function addMethod<M extends PeerMethod> (rpc: JSONRPCServer, handlers: PeerHandlers, method: M): void {
  rpc.addMethod(method, async (params: unknown) => shorten(await handlers[method](restore(params) as PeerParams<M>)))
}

function receive (line: string, onValue: (value: never) => void, onGarbage: () => void): void {
  try {
    onValue(JSON.parse(line) as never)
  } catch {
    onGarbage()
  }
}
