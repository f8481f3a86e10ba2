// Seeded random numbers from fast-check's generator, without its bias towards
// edge values. The same seed gives the same sequence on every machine.

import fc from 'fast-check'

const resolution = 0x7fffffff

/** Returns the next number in [0, 1). */
export type Random = () => number

/**
 * Makes a random source of limited length.
 * @param seed - the same seed gives the same sequence
 * @param count - length of the sequence
 * @returns the source, which throws a `RangeError` after the last number
 */
export function seededRandom (seed: number, count: number): Random {
  const values = fc.sample(fc.noBias(fc.integer({ min: 0, max: resolution - 1 })), { seed, numRuns: count })
  let next = 0
  return () => {
    const value = values[next]
    if (value === undefined) throw new RangeError('random sequence is used up')
    next += 1
    return value / resolution
  }
}
