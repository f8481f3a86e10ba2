// Decodes the accepted manifest in the format of the product's own store.

import * as z from 'zod'
import type { AcceptedManifest, Manifest } from '../model/index.js'

const acceptedSchema = z.object({ generation: z.int().min(1), manifest: z.unknown() })

/**
 * Decodes the accepted manifest. The manifest itself is validated when it is
 * applied.
 * @param value - the stored value
 * @returns the manifest with its generation, or undefined where the format is invalid
 */
export function decodeAcceptedManifest (value: unknown): AcceptedManifest | undefined {
  const parsed = acceptedSchema.safeParse(value)
  return parsed.success ? { generation: parsed.data.generation, manifest: parsed.data.manifest as Manifest } : undefined
}
