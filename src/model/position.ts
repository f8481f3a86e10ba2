// Log positions. A position identifies one log entry by its index and the term
// in which it was written. Positions are ordered by term first: a promoted
// primary starts its term with an entry of its own, and its log contains every
// acknowledged entry of earlier terms, so a later term covers all earlier ones.

/** One entry of a database's log. */
export type Position = {
  readonly term: number
  readonly index: number
}

/** The position before the first entry. */
export const originPosition: Position = { term: 0, index: 0 }

/**
 * Compares two positions.
 * @param a - the first position
 * @param b - the second position
 * @returns a negative number, zero or a positive number, as for `Array.sort`
 */
export function comparePositions (a: Position, b: Position): number {
  return a.term - b.term || a.index - b.index
}

/**
 * Checks whether a log contains all entries up to a position.
 * @param reached - the last position of the log
 * @param minPosition - the minimum position
 * @returns true where the log contains every entry up to `minPosition`
 */
export function covers (reached: Position, minPosition: Position): boolean {
  return comparePositions(reached, minPosition) >= 0
}

/**
 * Returns the later of two positions.
 * @param a - the first position
 * @param b - the second position
 * @returns the later one
 */
export function laterPosition (a: Position, b: Position): Position {
  return covers(a, b) ? a : b
}
