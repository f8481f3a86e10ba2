// Control of running stand-ins by tests: faults of the platform and of links, the
// host list of the platform, and statements on a database server.

import { createConnection, type RowDataPacket } from 'mysql2/promise'
import type { Address, Manifest, Position } from '../../src/model/index.js'
import type { LinkControl } from '../link-state.js'
import type { Faults, Json, PlatformHost } from '../platform/state.js'

/** Login that proxies and stand-ins use at the database servers. */
export const serviceLogin = { user: 'service', password: 'service-password' }

/** Control API and objects of the platform. */
export type PlatformControl = {
  readonly faults: (faults: Partial<Faults>) => Promise<void>
  /** Replaces the host list; the new list takes effect after `lagMs`. */
  readonly hosts: (hosts: readonly PlatformHost[], lagMs?: number) => Promise<void>
  /** Returns the number of object API calls, by kind of call and object. */
  readonly calls: () => Promise<Readonly<Record<string, number>>>
  readonly read: (kind: string, name: string) => Promise<{ readonly version: number, readonly value: Json } | undefined>
  /** Overwrites a value, whatever its current version. */
  readonly write: (kind: string, name: string, value: Json) => Promise<number>
}

export function platformControl (address: Address): PlatformControl {
  const base = `http://${address.ip}:${address.port}`
  const read: PlatformControl['read'] = async (kind, name) => {
    const response = await fetch(`${base}/v1/objects/${kind}/${name}`)
    const body = await response.json() as { readonly version: number, readonly value: Json }
    return response.ok ? body : undefined
  }
  return {
    faults: async faults => { await putJson(`${base}/control/faults`, faults) },
    hosts: async (hosts, lagMs = 0) => { await putJson(`${base}/control/hosts`, { hosts, lagMs }) },
    calls: async () => {
      const response = await fetch(`${base}/control/stats`)
      return (await response.json() as { readonly calls: Readonly<Record<string, number>> }).calls
    },
    read,
    write: async (kind, name, value) => {
      const version = (await read(kind, name))?.version ?? 0
      const written = await putJson(`${base}/v1/objects/${kind}/${name}?version=${version}`, value) as { readonly version: number }
      return written.version
    }
  }
}

/**
 * Writes a manifest directly to the store, under the next generation.
 * @param platform - control of the platform
 * @param manifest - the manifest
 * @returns the generation
 */
export async function acceptManifest (platform: PlatformControl, manifest: Manifest): Promise<number> {
  const stored = (await platform.read('manifest', 'current'))?.value as { readonly generation: number } | undefined
  const generation = (stored?.generation ?? 0) + 1
  await platform.write('manifest', 'current', { generation, manifest } as unknown as Json)
  return generation
}

/** The links of a set. */
export type LinksControl = {
  /** Creates a link to an address and returns the address to use in its place. */
  readonly add: (name: string, to: Address) => Promise<Address>
  readonly set: (name: string, control: Partial<LinkControl>) => Promise<void>
  /** Returns the number of connections since the link started. */
  readonly opened: (name: string) => Promise<number>
}

export function linksControl (address: Address): LinksControl {
  const base = `http://${address.ip}:${address.port}/links`
  return {
    add: async (name, to) => {
      const made = await putJson(`${base}/${encodeURIComponent(name)}`, { to: `${to.ip}:${to.port}` }) as { readonly listen: Address }
      return made.listen
    },
    set: async (name, control) => { await putJson(`${base}/${encodeURIComponent(name)}`, control) },
    opened: async name => {
      const response = await fetch(`${base}/${encodeURIComponent(name)}`)
      return (await response.json() as { readonly opened: number }).opened
    }
  }
}

async function putJson (url: string, body: unknown): Promise<unknown> {
  const response = await fetch(url, { method: 'PUT', body: JSON.stringify(body) })
  if (!response.ok) throw new Error(`PUT ${url}: ${response.status} ${await response.text()}`)
  return await response.json()
}

export type ServerRow = Readonly<Record<string, unknown>>

/**
 * Runs one statement directly on a database server, bypassing the proxies.
 * @param address - the server
 * @param text - the statement
 * @returns its rows
 */
export async function queryServer (address: Address, text: string): Promise<readonly ServerRow[]> {
  const connection = await createConnection({ host: address.ip, port: address.port, ...serviceLogin })
  try {
    const [rows] = await connection.query<RowDataPacket[]>(text)
    return Array.isArray(rows) ? rows : []
  } finally {
    connection.destroy()
  }
}

export type ObservedStatus = {
  readonly role: string
  readonly fencedTerm: number
  readonly received: Position
  readonly applied: Position
}

export async function serverStatus (address: Address): Promise<ObservedStatus> {
  const row = (await queryServer(address, 'CALL ledger_status()'))[0] ?? {}
  return {
    role: String(row['role']),
    fencedTerm: Number(row['fenced_term']),
    received: { term: Number(row['received_term']), index: Number(row['received_index']) },
    applied: { term: Number(row['applied_term']), index: Number(row['applied_index']) }
  }
}
