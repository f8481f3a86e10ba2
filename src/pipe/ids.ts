// Ids that are never given out again. A part that counts from 1 gives out the same
// ids again when it is replaced within a process, while others still hold the earlier
// ones. All parts of a process therefore draw from one sequence, whose prefix differs
// at each start.

const idRadix = 36

/**
 * Creates a sequence of ids.
 * @param prefix - differs from that of every other sequence
 * @returns makes the next id, which no other call returns
 */
export function uniqueIds (prefix: string): () => string {
  let count = 0
  return () => {
    count += 1
    return `${prefix}.${count.toString(idRadix)}`
  }
}
