// JSON over HTTP with keep-alive connections. Every request has a timeout. After
// a failed request all idle connections are closed, because further ones may be
// unresponsive while new connections work.

import * as http from 'node:http'
import * as https from 'node:https'
import type { z } from 'zod'
import type { Address } from '../model/index.js'
import { wholeMs } from '../pipe/index.js'
import { StoreError, type StoreFault } from '../ports/index.js'

/** Configuration of a client. */
export type JsonHttpSpec = {
  /** Base URL, http or https. */
  readonly url: string
  readonly callTimeoutMs: number
  /** Maps the address of the URL to the address to connect to. */
  readonly redirect?: (address: Address) => Address
}

/** One request. */
export type HttpRequest = {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Time for which the server may delay the response (long poll); added to the timeout. */
  readonly waitMs?: number
  /** Timeout of the request; defaults to that of the client. */
  readonly timeoutMs?: number
}

/** Status codes that clients of this module distinguish. */
export const httpStatus = { ok: 200, created: 201, notFound: 404, conflict: 409, gone: 410 } as const

/** An HTTP response whose body is not decoded yet. */
export class HttpResponse {
  /**
   * Creates a response.
   * @param requestLine - method and path
   * @param status - the status code
   * @param body - the body as text
   * @param headers - the headers, by names in lower case
   */
  constructor (readonly requestLine: string, readonly status: number, readonly body: string, readonly headers: http.IncomingHttpHeaders = {}) {}

  /**
   * Decodes the body of a successful response.
   * @param schema - schema of the body
   * @returns the value; throws a `StoreError` where the status is not a success
   *   or the body does not match
   */
  decodeSuccess<T> (schema: z.ZodType<T>): T {
    if (this.status !== httpStatus.ok && this.status !== httpStatus.created) throw new StoreError({ kind: 'refused', status: this.status }, undefined, this.requestLine)
    return this.decode(schema)
  }

  /**
   * Decodes the body regardless of the status.
   * @param schema - schema of the body
   * @returns the value; throws a `StoreError` where the body does not match
   */
  decode<T> (schema: z.ZodType<T>): T {
    try {
      return schema.parse(JSON.parse(this.body))
    } catch (error) {
      throw new StoreError({ kind: 'malformed' }, error as Error, this.requestLine)
    }
  }
}

/** HTTP client that owns the connections to one server. */
export class JsonHttpClient {
  readonly #spec: JsonHttpSpec
  readonly #url: URL
  readonly #agent: http.Agent

  /**
   * Creates a client, which opens connections on demand.
   * @param spec - URL of the server and timeout of a request
   */
  constructor (spec: JsonHttpSpec) {
    this.#spec = spec
    this.#url = new URL(spec.url)
    this.#agent = this.#url.protocol === 'https:' ? new https.Agent({ keepAlive: true }) : new http.Agent({ keepAlive: true })
  }

  /**
   * Sends a request.
   * @param request - the request
   * @returns the response, regardless of its status; rejects with a
   *   `StoreError` where none arrived
   */
  async send (request: HttpRequest): Promise<HttpResponse> {
    const timeoutMs = wholeMs((request.timeoutMs ?? this.#spec.callTimeoutMs) + (request.waitMs ?? 0))
    // One signal limits connecting, waiting and reading the whole body.
    const signal = AbortSignal.timeout(timeoutMs)
    try {
      return await this.#exchange(request, signal)
    } catch (error) {
      const cause = error as Error
      const fault: StoreFault = signal.aborted ? { kind: 'overdue', timeoutMs } : { kind: 'unreachable' }
      this.#closeIdleConnections()
      throw new StoreError(fault, cause, requestLine(request))
    }
  }

  /** Closes all connections. */
  close (): void {
    this.#agent.destroy()
  }

  async #exchange (request: HttpRequest, signal: AbortSignal): Promise<HttpResponse> {
    const { address, secure } = this.#target()
    const body = request.body === undefined ? undefined : JSON.stringify(request.body)
    const bodyHeaders = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    const options: http.RequestOptions = {
      agent: this.#agent,
      host: address.ip,
      port: address.port,
      method: request.method,
      path: request.path,
      headers: { host: this.#url.host, ...request.headers, ...bodyHeaders },
      signal
    }
    return await new Promise((resolve, reject) => {
      const clientRequest = secure ? https.request(options) : http.request(options)
      clientRequest.on('error', reject)
      clientRequest.on('response', response => {
        readBody(response).then(text => resolve(new HttpResponse(requestLine(request), response.statusCode ?? 0, text, response.headers)), reject)
      })
      clientRequest.end(body)
    })
  }

  #target (): { readonly address: Address, readonly secure: boolean } {
    const secure = this.#url.protocol === 'https:'
    const port = this.#url.port === '' ? (secure ? 443 : 80) : Number(this.#url.port)
    const target = { ip: this.#url.hostname, port }
    return { address: this.#spec.redirect?.(target) ?? target, secure }
  }

  // Later requests use new connections; requests in progress continue.
  #closeIdleConnections (): void {
    for (const sockets of Object.values(this.#agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy()
    }
  }
}

async function readBody (response: http.IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of response) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}

function requestLine (request: HttpRequest): string {
  return `${request.method} ${request.path}`
}
