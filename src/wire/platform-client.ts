// Client of the product's own object API (docs/PROTOCOLS.md, section 3).

import * as z from 'zod'
import type { Address, FailureDomain, HostName } from '../model/index.js'
import { StoreError, type ObjectStore } from '../ports/index.js'
import { httpStatus, JsonHttpClient, type HttpResponse, type JsonHttpSpec } from './json-http.js'

/** One host of the platform's list, which lags behind the truth. */
export type ListedHost = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly address: Address
  readonly state: 'live' | 'leaving'
}

/** The store's calls, and the platform's list of hosts. */
export type PlatformClient = ObjectStore & {
  readonly hosts: () => Promise<readonly ListedHost[]>
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

/**
 * Makes a client of the platform.
 * @param spec - where the platform is and how long a call may take
 * @returns the client; it opens connections on demand
 */
export function platformClient (spec: JsonHttpSpec): PlatformClient {
  const transport = new JsonHttpClient(spec)
  const path = (...parts: readonly string[]): string => ['/v1', ...parts.map(encodeURIComponent)].join('/')
  return {
    async getObject (kind, name) {
      const answer = await transport.call({ method: 'GET', path: path('objects', kind, name) })
      return answer.status === httpStatus.notFound ? undefined : answer.decodeSuccess(objectSchema)
    },
    async listObjects (kind) {
      const answer = await transport.call({ method: 'GET', path: path('objects', kind) })
      return answer.decodeSuccess(listSchema)
    },
    async putObject (kind, name, version, value) {
      const answer = await transport.call({ method: 'PUT', path: `${path('objects', kind, name)}?version=${version}`, value })
      if (answer.status === httpStatus.conflict) throw conflict(answer)
      return answer.decodeSuccess(receiptSchema)
    },
    async deleteObject (kind, name, version) {
      const answer = await transport.call({ method: 'DELETE', path: `${path('objects', kind, name)}?version=${version}` })
      if (answer.status === httpStatus.conflict) throw conflict(answer)
      if (answer.status !== httpStatus.notFound) answer.decodeSuccess(z.unknown())
    },
    async watch (kind, sinceRevision, waitMs) {
      const query = `?since=${sinceRevision}&timeoutMs=${Math.round(waitMs)}`
      const answer = await transport.call({ method: 'GET', path: path('watch', kind) + query, waitMs })
      return { ...answer.decodeSuccess(listSchema), removed: [] }
    },
    async hosts () {
      const answer = await transport.call({ method: 'GET', path: path('hosts') })
      return answer.decodeSuccess(hostsSchema).hosts.map(({ ip, port, ...host }) => ({ ...host, address: { ip, port } }))
    },
    close: () => transport.close()
  }
}

function conflict (answer: HttpResponse): StoreError {
  return new StoreError({ kind: 'conflict', version: answer.decode(conflictSchema).version }, undefined, answer.call)
}
