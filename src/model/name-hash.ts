// Hashes of names, for assignments that every host computes alike. The same names
// are hashed again with each change of the fleet and with each query of an
// assignment, so the hashes are kept.

import { createHash } from 'node:crypto'

/** Number of names whose hashes are kept; beyond it, all are dropped. */
const maxKept = 32_768

const kept = new Map<string, number>()

/**
 * Hashes a name.
 * @param name - the name, or a key made of names
 * @returns the first 32 bits of its SHA-256, the same on every host
 */
export function nameHash (name: string): number {
  const known = kept.get(name)
  if (known !== undefined) return known
  const hash = createHash('sha256').update(name).digest().readUInt32LE(0)
  if (kept.size >= maxKept) kept.clear()
  kept.set(name, hash)
  return hash
}
