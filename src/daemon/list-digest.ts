// Digests of the lists that members request from each other periodically. A
// request carries the digest of the requester's list, and an unchanged list is not
// sent again.

import { createHash } from 'node:crypto'

/** Characters of the digest that are kept to compare two lists. */
const digestLength = 16

const digests = new WeakMap<readonly unknown[], string>()

/**
 * Computes the digest of a list.
 * @param list - the list
 * @returns the digest, the same for the same list
 */
export function listDigest (list: readonly unknown[]): string {
  const known = digests.get(list)
  if (known !== undefined) return known
  const digest = computeDigest(list)
  digests.set(list, digest)
  return digest
}

function computeDigest (list: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(list)).digest('base64').slice(0, digestLength)
}
