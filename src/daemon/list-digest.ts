// Digests of lists that members ask each other for again and again, so that a
// list that the asker has is not sent.

import { createHash } from 'node:crypto'

/** Characters of the digest that tells two lists apart. */
const digestLength = 16

/**
 * Makes the digest of a list.
 * @param list - the list
 * @returns the digest, the same for the same list
 */
export function listDigest (list: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(list)).digest('base64').slice(0, digestLength)
}
