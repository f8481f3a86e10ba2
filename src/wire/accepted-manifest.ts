// Reads the accepted manifest as the product's own store holds it.

import * as z from 'zod'
import type { AcceptedManifest, Manifest } from '../model/index.js'

const acceptedSchema = z.object({ generation: z.int().min(1), manifest: z.unknown() })

/**
 * Reads the accepted manifest; the manifest inside is checked when it is applied.
 * @param value - the stored value
 * @returns the manifest with its generation, or undefined
 */
export function decodeAcceptedManifest (value: unknown): AcceptedManifest | undefined {
  const parsed = acceptedSchema.safeParse(value)
  return parsed.success ? { generation: parsed.data.generation, manifest: parsed.data.manifest as Manifest } : undefined
}
