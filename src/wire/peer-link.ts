// Links between proxies: JSON-RPC 2.0, one text per line, over TCP or TLS. A
// link is opened on the first call; calls are sent once it is established, and a call
// that has ended by then is not. When a call times out and nothing has been
// received on the link for `unresponsiveLinkMs` although calls were sent, the
// link is unresponsive and closed; the next call opens a new one. A single
// timeout does not close the link, because other calls on it may still get a
// response. A call that was lost or timed out may have been executed.

import net from 'node:net'
import tls from 'node:tls'
import type { Address, PeerMethod, PeerParams, PeerResult } from '../model/index.js'
import type { TimerService } from '../pipe/index.js'
import { asError, WireError, type ConnectionGuard } from '../ports/index.js'
import { GuardedSocket } from './guarded-socket.js'
import { errorText, failedMethodCode, invalidRequestCode, parseAnswer, parseRequest, requestText, resultText, unknownMethodCode, type RpcAnswer, type RpcRequest } from './json-rpc.js'
import { readLines } from './lines.js'
import { receivedParams, receivedResult } from './peer-message.js'

/** Certificates for mutual TLS between proxies. */
export type PeerTls = {
  readonly certPem: string
  readonly keyPem: string
  readonly caPem: string
}

/** Client for the calls to one other proxy. */
export type PeerClient = {
  /**
   * Calls a method; throws a `WireError` where no result arrived in time. An
   * error response counts as `lost`, as the call may have been executed.
   */
  readonly call: <M extends PeerMethod>(method: M, params: PeerParams<M>, timeoutMs: number) => Promise<PeerResult<M>>
  /**
   * Time since the first call after the last received message; 0 where no call
   * has been sent since.
   */
  readonly unresponsiveMs: () => number
  /** Closes the link: calls in progress are lost, and the next call opens a new link. */
  readonly disconnect: () => void
  /** Closes the link at the end of the client's use; the effect is that of `disconnect`. */
  readonly close: () => void
}

/** Handlers of the methods. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (params: PeerParams<M>) => Promise<PeerResult<M>>
}

/** A running listener for other proxies. */
export type PeerListener = {
  readonly port: number
  readonly close: () => void
}

/**
 * Time without any received message, although calls were sent, after which a
 * link is closed.
 */
const unresponsiveLinkMs = 1000
/** Longest TLS handshake of another proxy. */
const handshakeTimeoutMs = 10_000

/** End of a call on a link. */
type CallEnd = RpcAnswer | { readonly kind: 'overdue' }

type OpenLink = {
  readonly socket: net.Socket
  /** Whether the link is established; before that, no part of a call has left this host. */
  readonly connected: () => boolean
  /** Sends a request and waits for the answer. */
  readonly request: (method: PeerMethod, params: unknown, timeoutMs: number) => Promise<CallEnd>
  /** Ends the calls in progress with an error. */
  readonly endCalls: (message: string) => void
  /** Time since the first call after the last received message. */
  readonly unresponsiveMs: () => number
}

/**
 * Creates a client for one other proxy.
 * @param address - peer address of the other proxy
 * @param timers - the timer service
 * @param security - certificates; undefined for plain TCP
 * @returns the client
 */
export function peerClient (address: Address, timers: TimerService, security: PeerTls | undefined): PeerClient {
  let currentLink: OpenLink | undefined
  const closeLink = (link: OpenLink, failure: Error): void => {
    if (currentLink === link) currentLink = undefined
    link.endCalls(failure.message)
    link.socket.destroy()
  }
  const connect = (): OpenLink => {
    const socket = connectSocket(address, security)
    const link = openLink(socket, security === undefined ? 'connect' : 'secureConnect', timers, failure => { closeLink(link, failure) })
    return link
  }
  return {
    async call (method, params, timeoutMs) {
      currentLink ??= connect()
      const link = currentLink
      const end = await link.request(method, params, timeoutMs)
      switch (end.kind) {
        case 'result': return receivedResult(method, end.value)
        case 'error': throw new WireError(link.connected() ? 'lost' : 'refused', `the link to ${address.ip}:${address.port} was lost`, new Error(end.message))
        case 'overdue':
          if (link.unresponsiveMs() >= unresponsiveLinkMs) closeLink(link, new Error('link unresponsive'))
          throw new WireError(link.connected() ? 'overdue' : 'refused', `${address.ip}:${address.port} did not respond to ${method} in ${timeoutMs} ms`)
      }
    },
    unresponsiveMs: () => currentLink?.unresponsiveMs() ?? 0,
    disconnect () {
      if (currentLink !== undefined) closeLink(currentLink, new Error('link closed by this host'))
    },
    close () {
      if (currentLink !== undefined) closeLink(currentLink, new Error('client closed'))
    }
  }
}

function openLink (socket: net.Socket, connectedEvent: 'connect' | 'secureConnect', timers: TimerService, onClose: (failure: Error) => void): OpenLink {
  const waiting = new Map<unknown, (end: CallEnd) => void>()
  /** Requests that were made before the link was established, in order. */
  const unsent = new Map<unknown, string>()
  let connected = false
  let requests = 0
  let unansweredSinceMs: number | undefined
  const endCall = (id: unknown, end: CallEnd): void => {
    waiting.get(id)?.(end)
    waiting.delete(id)
    unsent.delete(id)
  }
  const send = (id: number, line: string): void => {
    if (connected) socket.write(line)
    else unsent.set(id, line)
  }
  socket.once(connectedEvent, () => {
    connected = true
    for (const line of unsent.values()) socket.write(line)
    unsent.clear()
  })
  readLines(socket, line => {
    unansweredSinceMs = undefined
    const answer = answerIn(line)
    if (answer === undefined) onClose(new Error('received a line that is not JSON'))
    else endCall(answer.id, answer)
  })
  socket.on('error', onClose)
  socket.on('close', () => { onClose(new Error('link closed')) })
  return {
    socket,
    connected: () => connected,
    request: (method, params, timeoutMs) => new Promise(resolve => {
      unansweredSinceMs ??= timers.nowMs()
      const id = ++requests
      send(id, requestText(id, method, params) + '\n')
      const cancel = timers.after(timeoutMs, { send: () => { endCall(id, { kind: 'overdue' }); return 'accepted' } })
      waiting.set(id, end => { cancel(); resolve(end) })
    }),
    endCalls (message) {
      for (const id of [...waiting.keys()]) endCall(id, { kind: 'error', id, message })
    },
    unresponsiveMs: () => unansweredSinceMs === undefined ? 0 : timers.nowMs() - unansweredSinceMs
  }
}

/**
 * Listens for other proxies.
 * @param address - the address to listen on; port 0 selects a free port
 * @param handlers - handlers of the methods
 * @param security - certificates; undefined for plain TCP
 * @param onError - called with the error of each call that failed here
 * @param guard - accounts for the links; absent where they have no bound
 * @returns the listener; throws a `WireError` where the port is taken
 */
export async function listenForPeers (address: Address, handlers: PeerHandlers, security: PeerTls | undefined, onError: (error: Error) => void, guard?: ConnectionGuard): Promise<PeerListener> {
  const sockets = new Set<net.Socket>()
  /** By the other side's address, which a TLS socket shares with the socket below it. */
  const guarded = new Map<string, GuardedSocket>()
  const accept = (socket: net.Socket): void => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { sockets.delete(socket) })
    serveRequests(socket, handlers, onError, guarded.get(remoteName(socket)))
  }
  const server = security === undefined
    ? net.createServer(accept)
    : tls.createServer({ cert: security.certPem, key: security.keyPem, ca: security.caPem, requestCert: true, rejectUnauthorized: true, handshakeTimeout: handshakeTimeoutMs }, accept)
  if (guard !== undefined) server.prependListener('connection', socket => { guardLink(socket, guard, (name, link) => { if (link === undefined) guarded.delete(name); else guarded.set(name, link) }) })
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
 * Starts listening on an address.
 * @param server - the server
 * @param address - the address to listen on
 */
export async function listen (server: net.Server, address: Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', error => { reject(new WireError('rejected', `cannot listen on ${address.ip}:${address.port}`, error)) })
    server.listen(address.port, address.ip, resolve)
  })
}

// Any certificate that the CA signed is accepted, whichever host it names; the
// other proxy is addressed by its IP address.
function connectSocket (address: Address, security: PeerTls | undefined): net.Socket {
  const socket = security === undefined
    ? net.connect({ host: address.ip, port: address.port })
    : tls.connect({ host: address.ip, port: address.port, cert: security.certPem, key: security.keyPem, ca: security.caPem, checkServerIdentity: () => undefined })
  return socket.setNoDelay(true)
}

// Before the TLS handshake, which counts as well.
function guardLink (socket: net.Socket, guard: ConnectionGuard, onChange: (name: string, link: GuardedSocket | undefined) => void): void {
  const name = remoteName(socket)
  const link = GuardedSocket.accept(socket, guard, 'peer')
  if (link === undefined) {
    socket.destroy()
    return
  }
  onChange(name, link)
  socket.on('close', () => { onChange(name, undefined) })
}

function remoteName (socket: net.Socket): string {
  return `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`
}

function serveRequests (socket: net.Socket, handlers: PeerHandlers, onError: (error: Error) => void, guarded: GuardedSocket | undefined): void {
  const use = { partialBytes: 0, workBytes: 0, queued: 0, messages: 0 }
  const serving: LineServing = { handlers, onError, onValidCall: () => { guarded?.authenticated() } }
  readLines(socket, line => {
    use.workBytes += line.length
    use.messages += 1
    void serveLine(socket, serving, line).catch(() => { socket.destroy() }).finally(() => {
      use.workBytes -= line.length
      guarded?.report({ ...use })
    })
  }, partialBytes => {
    use.partialBytes = partialBytes
    guarded?.report({ ...use })
  })
}

/** How the lines of one link are served. */
type LineServing = {
  readonly handlers: PeerHandlers
  readonly onError: (error: Error) => void
  readonly onValidCall: () => void
}

// A line that is no request, or whose answer can't be written, ends its link and
// nothing else.
async function serveLine (socket: net.Socket, serving: LineServing, line: string): Promise<void> {
  const request = parseRequest(line)
  const answer = await answerTo(request, serving)
  if (request.id !== undefined && socket.writable) socket.write(answer + '\n')
}

async function answerTo (request: RpcRequest, { handlers, onError, onValidCall }: LineServing): Promise<string> {
  if (request.kind === 'invalid') return errorText(request.id, invalidRequestCode, 'Invalid Request')
  const { id, method, params } = request
  if (!isMethod(handlers, method)) return errorText(id, unknownMethodCode, 'Method not found')
  try {
    const received = receivedParams(method, params)
    onValidCall()
    return resultText(id, await handlers[method](received as never))
  } catch (error) {
    onError(asError(error))
    return errorText(id, failedMethodCode, asError(error).message)
  }
}

function isMethod (handlers: PeerHandlers, method: unknown): method is PeerMethod {
  return typeof method === 'string' && Object.hasOwn(handlers, method)
}

function answerIn (line: string): RpcAnswer | undefined {
  try {
    return parseAnswer(line)
  } catch {
    return undefined
  }
}
