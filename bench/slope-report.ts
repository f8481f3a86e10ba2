// What the slope scripts share: timing of a decision and a table of points with
// the line through them.

import { slopeOf } from './statistics.js'

/** One measured slope. */
export type MeasuredSlope = {
  readonly name: string
  readonly sizeName: string
  readonly unit: string
  readonly points: ReadonlyArray<readonly [number, number]>
}

const usPerMs = 1000

/**
 * Times a decision; the first runs are left out.
 * @param runs - how often it is run
 * @param act - the decision
 * @returns the mean time of one run in microseconds
 */
export function meanUs (runs: number, act: (run: number) => void): number {
  const warmUp = Math.ceil(runs / 5)
  for (let run = 0; run < warmUp; run++) act(run)
  const startMs = performance.now()
  for (let run = 0; run < runs; run++) act(run)
  return (performance.now() - startMs) * usPerMs / runs
}

/**
 * Markdown table of slopes.
 * @param slopes - what was measured
 * @returns the table
 */
export function slopeTable (slopes: readonly MeasuredSlope[]): string {
  const lines = slopes.map(({ name, sizeName, unit, points }) => {
    const { perUnit, atZero } = slopeOf(points)
    const measured = points.map(([size, value]) => `${size}: ${value.toPrecision(4)}`).join('; ')
    return `| ${name} | ${sizeName} | ${measured} | ${perUnit.toPrecision(3)} ${unit} | ${atZero.toPrecision(3)} ${unit} |`
  })
  return ['| what | size | points | slope, for each | at zero |', '| --- | --- | --- | ---: | ---: |', ...lines].join('\n')
}
