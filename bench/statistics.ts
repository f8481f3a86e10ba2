// Statistics of samples.

/** A line fitted to measured points. */
export type Slope = {
  readonly perUnit: number
  readonly atZero: number
}

/**
 * Finds a percentile of samples.
 * @param samples - the samples, in any order
 * @param percent - from 0 to 100
 * @returns sample at that percentile; NaN if there are no samples
 */
export function percentile (samples: readonly number[], percent: number): number {
  const sorted = [...samples].sort((a, b) => a - b)
  const at = Math.min(sorted.length - 1, Math.max(0, Math.ceil(sorted.length * percent / 100) - 1))
  return sorted[at] ?? NaN
}

/**
 * Fits a line by least squares.
 * @param points - at least two points (x, y)
 * @returns slope and intercept
 */
export function slopeOf (points: ReadonlyArray<readonly [number, number]>): Slope {
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const covarianceSum = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const varianceSum = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const perUnit = covarianceSum / varianceSum
  return { perUnit, atZero: meanY - perUnit * meanX }
}
