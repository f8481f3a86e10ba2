// Functions shared by the slope scripts: timing of a function and a table of
// measured points with the line fitted to them.

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
 * Measures the run time of a function after some warm-up runs.
 * @param runs - number of measured runs
 * @param act - function to measure
 * @returns mean time of one run in microseconds
 */
export function meanUs (runs: number, act: (run: number) => void): number {
  const warmUp = Math.ceil(runs / 5)
  for (let run = 0; run < warmUp; run++) act(run)
  const startMs = performance.now()
  for (let run = 0; run < runs; run++) act(run)
  return (performance.now() - startMs) * usPerMs / runs
}

/**
 * Formats slopes as a Markdown table.
 * @param slopes - measured slopes
 * @returns Markdown
 */
export function slopeTable (slopes: readonly MeasuredSlope[]): string {
  const lines = slopes.map(({ name, sizeName, unit, points }) => {
    const { perUnit, atZero } = slopeOf(points)
    const measured = points.map(([size, value]) => `${size}: ${value.toPrecision(4)}`).join('; ')
    return `| ${name} | ${sizeName} | ${measured} | ${perUnit.toPrecision(3)} ${unit} | ${atZero.toPrecision(3)} ${unit} |`
  })
  return ['| quantity | size | points | slope | at zero |', '| --- | --- | --- | ---: | ---: |', ...lines].join('\n')
}
