// Hint to a refused caller: when a retry is worthwhile. The time is spread, so that the
// callers of one burst do not come back together.

/** The hint is from this fraction of the expected wait up to 1 plus this fraction of it. */
const minSpread = 0.5

/**
 * Formats the hint.
 * @param expectedWaitMs - expected wait of a statement that arrives now
 * @param random - a random number from 0 up to, not including, 1
 * @returns the text
 */
export function retryHint (expectedWaitMs: number, random: number): string {
  return `retry in ${Math.max(1, Math.round(expectedWaitMs * (minSpread + random)))} ms`
}
