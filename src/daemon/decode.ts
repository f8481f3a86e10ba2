// Reads the values that the platform's store holds. A value of another form
// is taken for none.

import { z } from 'zod'
import type { ListedHost } from '../members/index.js'
import type { AcceptedManifest, Manifest, PrimaryView } from '../model/index.js'
import type { SeatTable } from '../limits/index.js'
import type { ListedHost as PlatformHost } from '../wire/index.js'

const acceptedSchema = z.object({ generation: z.int().min(1), manifest: z.unknown() })
const primarySchema = z.object({ database: z.string(), term: z.int(), primary: z.string().optional() })
const seatsSchema = z.object({ seats: z.array(z.object({ host: z.string(), incarnation: z.string() }).nullable()) })

/**
 * Reads the accepted manifest; the manifest inside is checked when it is applied.
 * @param value - the stored value
 * @returns the manifest with its generation, or undefined
 */
export function decodeAcceptedManifest (value: unknown): AcceptedManifest | undefined {
  const parsed = acceptedSchema.safeParse(value)
  return parsed.success ? { generation: parsed.data.generation, manifest: parsed.data.manifest as Manifest } : undefined
}

/**
 * Reads who leads a database; throws where the value has another form.
 * @param value - the stored value
 * @returns the view
 */
export function decodePrimary (value: unknown): PrimaryView {
  const { database, term, primary } = primarySchema.parse(value)
  return { database, term, primary }
}

/**
 * Reads a table of seats.
 * @param value - the stored value
 * @returns the table, or undefined
 */
export function decodeSeatTable (value: unknown): SeatTable | undefined {
  const parsed = seatsSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/**
 * Turns a host of the platform's list into a member.
 * @param host - the listed host; its address is that for other proxies
 * @returns the member with its state
 */
export function decodeListedHost (host: PlatformHost): ListedHost {
  return { host: host.host, failureDomain: host.failureDomain, ip: host.address.ip, port: host.address.port, state: host.state }
}
