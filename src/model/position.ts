// Log positions. A position names one log entry by the term that wrote it and
// its index. Positions are ordered by term first: a promoted primary begins
// its term with an entry of its own, and its log holds every acknowledged
// entry of earlier terms, so a later term always covers an earlier one.

/** One entry of a database's log. */
export type Position = {
  readonly term: number
  readonly index: number
}

/** The position before the first entry. */
export const originPosition: Position = { term: 0, index: 0 }

/**
 * Orders two positions.
 * @param a - the first position
 * @param b - the second position
 * @returns a negative number, zero or a positive number, as for `Array.sort`
 */
export function comparePositions (a: Position, b: Position): number {
  return a.term - b.term || a.index - b.index
}

/**
 * Tells whether a log that ends at one position covers another.
 * @param reached - the last position of the log
 * @param minPosition - the position that is asked for
 * @returns true where everything up to the floor is in the log
 */
export function covers (reached: Position, minPosition: Position): boolean {
  return comparePositions(reached, minPosition) >= 0
}

/**
 * Picks the later of two positions.
 * @param a - the first position
 * @param b - the second position
 * @returns the later one
 */
export function laterPosition (a: Position, b: Position): Position {
  return covers(a, b) ? a : b
}
