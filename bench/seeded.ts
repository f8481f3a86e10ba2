// Random numbers that are the same in every run with the same seed.

/** Draws evenly from [0, 1). */
export type Random = () => number

export function seededRandom (seed: number): Random {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}

export function exponential (random: Random, mean: number): number {
  return -mean * Math.log(1 - random())
}

export function quantile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0
}
