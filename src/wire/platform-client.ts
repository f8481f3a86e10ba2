// Client of the platform's object API (docs/PROTOCOLS.md, section 3): JSON
// over HTTP with kept connections. Every call has a deadline. After an overdue
// call all kept connections are given up, because a silent one may be one of
// several while new ones work.

import * as http from 'node:http'
import * as https from 'node:https'
import VError from 'verror'
import { z } from 'zod'
import type { Address, FailureDomain, HostName } from '../model/index.js'

/** One object of the platform's store. */
export type StoredObject = {
  readonly kind: string
  readonly name: string
  readonly version: number
  readonly value: unknown
}

/** Objects of a kind and the revision of the store that they stand for. */
export type ObjectList = {
  readonly revision: number
  readonly objects: readonly StoredObject[]
}

/** Where a conditional write stands after its success. */
export type WriteReceipt = {
  readonly version: number
  readonly revision: number
}

/** One host of the platform's list, which lags behind the truth. */
export type ListedHost = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly address: Address
  readonly state: 'live' | 'leaving'
}

/** Why a call of the platform failed. */
export type PlatformFault =
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'overdue', readonly timeoutMs: number }
  | { readonly kind: 'conflict', readonly version: number }
  | { readonly kind: 'refused', readonly status: number }
  | { readonly kind: 'malformed' }

/** An error of the platform layer. `unreachable`, `overdue` and `malformed` leave open whether a write took effect. */
export class PlatformError extends VError {
  /**
   * Makes the error.
   * @param fault - why the call failed
   * @param cause - the error from below, if any
   * @param call - method and path
   */
  constructor (readonly fault: PlatformFault, cause: Error | undefined, call: string) {
    super({ name: 'PlatformError', ...(cause === undefined ? {} : { cause }) }, '%s: %s', call, faultText(fault))
  }
}

/** What the client is made of. */
export type PlatformClientSpec = {
  /** Base URL, http or https. */
  readonly url: string
  readonly callTimeoutMs: number
  /** Finds where a connection really goes. */
  readonly redirect?: (address: Address) => Address
}

/** Calls of the platform; each rejects with a `PlatformError` only. */
export type PlatformClient = {
  /** The object, or undefined where there is none. */
  readonly getObject: (kind: string, name: string) => Promise<StoredObject | undefined>
  readonly listObjects: (kind: string) => Promise<ObjectList>
  /** Writes where the object's version is as expected; 0 creates. Rejects with a `conflict` otherwise. */
  readonly putObject: (kind: string, name: string, version: number, value: unknown) => Promise<WriteReceipt>
  /** Waits up to `waitMs` for objects of the kind that changed after the revision. */
  readonly watch: (kind: string, sinceRevision: number, waitMs: number) => Promise<ObjectList>
  readonly hosts: () => Promise<readonly ListedHost[]>
  /** Gives up all connections. */
  readonly close: () => void
}

const objectSchema = z.object({ kind: z.string(), name: z.string(), version: z.int(), value: z.unknown() })
const listSchema = z.object({ revision: z.int(), objects: z.array(objectSchema) })
const receiptSchema = z.object({ version: z.int(), revision: z.int() })
const conflictSchema = z.object({ version: z.int() })
const hostsSchema = z.object({
  hosts: z.array(z.object({
    host: z.string(),
    failureDomain: z.string(),
    ip: z.string(),
    port: z.int(),
    state: z.enum(['live', 'leaving'])
  }))
})

const statusOk = 200
const statusNotFound = 404
const statusConflict = 409

/**
 * Makes a client of the platform.
 * @param spec - where the platform is and how long a call may take
 * @returns the client; it opens connections on demand
 */
export function platformClient (spec: PlatformClientSpec): PlatformClient {
  const transport = new Transport(spec)
  const path = (...parts: readonly string[]): string => ['/v1', ...parts.map(encodeURIComponent)].join('/')
  return {
    async getObject (kind, name) {
      const answer = await transport.call({ method: 'GET', path: path('objects', kind, name) })
      return answer.status === statusNotFound ? undefined : answer.as(objectSchema)
    },
    async listObjects (kind) {
      const answer = await transport.call({ method: 'GET', path: path('objects', kind) })
      return answer.as(listSchema)
    },
    async putObject (kind, name, version, value) {
      const answer = await transport.call({ method: 'PUT', path: `${path('objects', kind, name)}?version=${version}`, value })
      if (answer.status === statusConflict) throw answer.conflict()
      return answer.as(receiptSchema)
    },
    async watch (kind, sinceRevision, waitMs) {
      const query = `?since=${sinceRevision}&timeoutMs=${Math.round(waitMs)}`
      const answer = await transport.call({ method: 'GET', path: path('watch', kind) + query, waitMs })
      return answer.as(listSchema)
    },
    async hosts () {
      const answer = await transport.call({ method: 'GET', path: path('hosts') })
      return answer.as(hostsSchema).hosts.map(({ ip, port, ...host }) => ({ ...host, address: { ip, port } }))
    },
    close: () => transport.close()
  }
}

type Call = {
  readonly method: 'GET' | 'PUT'
  readonly path: string
  readonly value?: unknown
  /** Time that the platform may hold the answer back. */
  readonly waitMs?: number
}

// An HTTP answer, not yet decoded.
class CallAnswer {
  constructor (readonly call: string, readonly status: number, readonly body: string) {}

  // Decodes the body of a success.
  as<T> (schema: z.ZodType<T>): T {
    if (this.status !== statusOk) throw new PlatformError({ kind: 'refused', status: this.status }, undefined, this.call)
    return this.#decode(schema)
  }

  // Decodes the body of a conflict.
  conflict (): PlatformError {
    return new PlatformError({ kind: 'conflict', version: this.#decode(conflictSchema).version }, undefined, this.call)
  }

  #decode<T> (schema: z.ZodType<T>): T {
    try {
      return schema.parse(JSON.parse(this.body))
    } catch (error) {
      throw new PlatformError({ kind: 'malformed' }, error as Error, this.call)
    }
  }
}

// Owns the connections to the platform.
class Transport {
  readonly #spec: PlatformClientSpec
  readonly #url: URL
  readonly #agent: http.Agent

  constructor (spec: PlatformClientSpec) {
    this.#spec = spec
    this.#url = new URL(spec.url)
    this.#agent = this.#url.protocol === 'https:' ? new https.Agent({ keepAlive: true }) : new http.Agent({ keepAlive: true })
  }

  async call (call: Call): Promise<CallAnswer> {
    const timeoutMs = this.#spec.callTimeoutMs + (call.waitMs ?? 0)
    // One signal covers connecting, waiting and reading the whole body.
    const signal = AbortSignal.timeout(timeoutMs)
    try {
      return await this.#exchange(call, signal)
    } catch (error) {
      const cause = error as Error
      const fault: PlatformFault = signal.aborted ? { kind: 'overdue', timeoutMs } : { kind: 'unreachable' }
      this.#giveUpIdle()
      throw new PlatformError(fault, cause, callText(call))
    }
  }

  close (): void {
    this.#agent.destroy()
  }

  async #exchange (call: Call, signal: AbortSignal): Promise<CallAnswer> {
    const { address, secure } = this.#target()
    const body = call.value === undefined ? undefined : JSON.stringify(call.value)
    const options: http.RequestOptions = {
      agent: this.#agent,
      host: address.ip,
      port: address.port,
      method: call.method,
      path: call.path,
      headers: { host: this.#url.host, ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }) },
      signal
    }
    return await new Promise((resolve, reject) => {
      const request = secure ? https.request(options) : http.request(options)
      request.on('error', reject)
      request.on('response', response => {
        readBody(response).then(text => resolve(new CallAnswer(callText(call), response.statusCode ?? 0, text)), reject)
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

function callText (call: Call): string {
  return `${call.method} ${call.path}`
}

function faultText (fault: PlatformFault): string {
  switch (fault.kind) {
    case 'unreachable': return 'the platform is not reachable'
    case 'overdue': return `no answer within ${fault.timeoutMs} ms`
    case 'conflict': return `the object is at version ${fault.version}`
    case 'refused': return `status ${fault.status}`
    case 'malformed': return 'the answer is not of the agreed form'
  }
}
