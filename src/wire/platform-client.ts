// Client of the product's own object API (docs/PROTOCOLS.md, section 3), which is
// the platform of a fleet with MySQL servers. platform/store.ts is the client of
// the other platform's store.

import * as z from 'zod'
import type { Address, FailureDomain, HostName } from '../model/index.js'
import { wholeMs } from '../pipe/index.js'
import { StoreError, type ObjectStore } from '../ports/index.js'
import { httpStatus, JsonHttpClient, type HttpResponse, type JsonHttpSpec } from './json-http.js'

/** One host of the platform's host list, which may be stale. */
export type ListedHost = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly address: Address
  readonly state: 'live' | 'leaving'
}

/** Calls of the store and of the platform's host list. */
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
 * Creates a client of the platform.
 * @param spec - URL of the platform and timeout of a call
 * @returns the client, which opens connections on demand
 */
export function platformClient (spec: JsonHttpSpec): PlatformClient {
  const transport = new JsonHttpClient(spec)
  const path = (...parts: readonly string[]): string => ['/v1', ...parts.map(encodeURIComponent)].join('/')
  return {
    async getObject (kind, name) {
      const response = await transport.send({ method: 'GET', path: path('objects', kind, name) })
      return response.status === httpStatus.notFound ? undefined : response.decodeSuccess(objectSchema)
    },
    async listObjects (kind) {
      const response = await transport.send({ method: 'GET', path: path('objects', kind) })
      return response.decodeSuccess(listSchema)
    },
    async putObject (kind, name, version, value) {
      const response = await transport.send({ method: 'PUT', path: `${path('objects', kind, name)}?version=${version}`, body: value })
      if (response.status === httpStatus.conflict) throw conflict(response)
      return response.decodeSuccess(receiptSchema)
    },
    async deleteObject (kind, name, version) {
      const response = await transport.send({ method: 'DELETE', path: `${path('objects', kind, name)}?version=${version}` })
      if (response.status === httpStatus.conflict) throw conflict(response)
      if (response.status !== httpStatus.notFound) response.decodeSuccess(z.unknown())
    },
    async watch (kind, sinceRevision, waitMs) {
      const query = `?since=${sinceRevision}&timeoutMs=${wholeMs(waitMs)}`
      const response = await transport.send({ method: 'GET', path: path('watch', kind) + query, waitMs })
      // This watch reports no deletions. Only the discovery of registered servers
      // uses them, and with this store the manifest declares the servers.
      return { ...response.decodeSuccess(listSchema), removed: [] }
    },
    async hosts () {
      const response = await transport.send({ method: 'GET', path: path('hosts') })
      return response.decodeSuccess(hostsSchema).hosts.map(({ ip, port, ...host }) => ({ ...host, address: { ip, port } }))
    },
    close: () => transport.close()
  }
}

function conflict (response: HttpResponse): StoreError {
  return new StoreError({ kind: 'conflict', version: response.decode(conflictSchema).version }, undefined, response.requestLine)
}
