// JSON over HTTP with kept connections. Every call has a deadline. After an
// overdue call all idle connections are given up, because a silent one may be
// one of several while new ones work.

import * as http from 'node:http'
import * as https from 'node:https'
import type { z } from 'zod'
import type { Address } from '../model/index.js'
import { StoreError, type StoreFault } from '../ports/index.js'

/** What a client is made of. */
export type JsonHttpSpec = {
  /** Base URL, http or https. */
  readonly url: string
  readonly callTimeoutMs: number
  /** Finds where a connection really goes. */
  readonly redirect?: (address: Address) => Address
}

/** One call. */
export type HttpRequest = {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly value?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Time that the server may hold the answer back. */
  readonly waitMs?: number
  /** Longest time of the call, where it differs from the client's. */
  readonly timeoutMs?: number
}

/** Status codes that callers look at. */
export const httpStatus = { ok: 200, created: 201, notFound: 404, conflict: 409, gone: 410 } as const

/** An HTTP answer, not yet decoded. */
export class HttpResponse {
  /**
   * Makes an answer.
   * @param call - method and path
   * @param status - the status code
   * @param body - the body as text
   */
  constructor (readonly call: string, readonly status: number, readonly body: string) {}

  /**
   * Decodes the body of a success.
   * @param schema - its form
   * @returns the value; throws a `StoreError` where the call failed or the form differs
   */
  decodeSuccess<T> (schema: z.ZodType<T>): T {
    if (this.status !== httpStatus.ok && this.status !== httpStatus.created) throw new StoreError({ kind: 'refused', status: this.status }, undefined, this.call)
    return this.decode(schema)
  }

  /**
   * Decodes the body, whatever the status.
   * @param schema - its form
   * @returns the value; throws a `StoreError` where the form differs
   */
  decode<T> (schema: z.ZodType<T>): T {
    try {
      return schema.parse(JSON.parse(this.body))
    } catch (error) {
      throw new StoreError({ kind: 'malformed' }, error as Error, this.call)
    }
  }
}

/** Owns the connections to one server. */
export class JsonHttpClient {
  readonly #spec: JsonHttpSpec
  readonly #url: URL
  readonly #agent: http.Agent

  /**
   * Makes a client; it opens connections on demand.
   * @param spec - where the server is and how long a call may take
   */
  constructor (spec: JsonHttpSpec) {
    this.#spec = spec
    this.#url = new URL(spec.url)
    this.#agent = this.#url.protocol === 'https:' ? new https.Agent({ keepAlive: true }) : new http.Agent({ keepAlive: true })
  }

  /**
   * Makes a call.
   * @param call - the call
   * @returns the answer, whatever its status; rejects with a `StoreError` where none came
   */
  async call (call: HttpRequest): Promise<HttpResponse> {
    const timeoutMs = (call.timeoutMs ?? this.#spec.callTimeoutMs) + (call.waitMs ?? 0)
    // One signal covers connecting, waiting and reading the whole body.
    const signal = AbortSignal.timeout(timeoutMs)
    try {
      return await this.#exchange(call, signal)
    } catch (error) {
      const cause = error as Error
      const fault: StoreFault = signal.aborted ? { kind: 'overdue', timeoutMs } : { kind: 'unreachable' }
      this.#giveUpIdle()
      throw new StoreError(fault, cause, callText(call))
    }
  }

  /** Gives up all connections. */
  close (): void {
    this.#agent.destroy()
  }

  async #exchange (call: HttpRequest, signal: AbortSignal): Promise<HttpResponse> {
    const { address, secure } = this.#target()
    const body = call.value === undefined ? undefined : JSON.stringify(call.value)
    const bodyHeaders = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    const options: http.RequestOptions = {
      agent: this.#agent,
      host: address.ip,
      port: address.port,
      method: call.method,
      path: call.path,
      headers: { host: this.#url.host, ...call.headers, ...bodyHeaders },
      signal
    }
    return await new Promise((resolve, reject) => {
      const request = secure ? https.request(options) : http.request(options)
      request.on('error', reject)
      request.on('response', response => {
        readBody(response).then(text => resolve(new HttpResponse(callText(call), response.statusCode ?? 0, text)), reject)
      })
      request.end(body)
    })
  }

  #target (): { readonly address: Address, readonly secure: boolean } {
    const secure = this.#url.protocol === 'https:'
    const port = this.#url.port === '' ? (secure ? 443 : 80) : Number(this.#url.port)
    const meant = { ip: this.#url.hostname, port }
    return { address: this.#spec.redirect?.(meant) ?? meant, secure }
  }

  // New calls get fresh connections; calls under way go on.
  #giveUpIdle (): void {
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

function callText (call: HttpRequest): string {
  return `${call.method} ${call.path}`
}
