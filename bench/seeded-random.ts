// Seeded draws. fast-check's generator is the source, without its bias towards
// edge values, so a seed gives the same row of draws on every machine.

import fc from 'fast-check'

const resolution = 0x7fffffff

/** Draws from 0 up to, not including, 1. */
export type Random = () => number

/**
 * Makes a bounded source of draws.
 * @param seed - the same seed gives the same draws
 * @param count - how many draws there are
 * @returns the source; throws a `RangeError` beyond its end
 */
export function seededRandom (seed: number, count: number): Random {
  const values = fc.sample(fc.noBias(fc.integer({ min: 0, max: resolution - 1 })), { seed, numRuns: count })
  let next = 0
  return () => {
    const value = values[next]
    if (value === undefined) throw new RangeError('no draws left')
    next += 1
    return value / resolution
  }
}
