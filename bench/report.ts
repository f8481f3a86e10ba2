// Formats the results of a bench run: JSON for programs, Markdown tables and an
// SVG plot for readers.

import { targetStatus, type Figure, type MeasureResult, type Series, type Target } from './measure.js'
import { percentile } from './statistics.js'

/** One run of the bench. */
export type BenchRun = {
  readonly command: string
  readonly commit: string
  readonly seed: number
  readonly deployment: string
  readonly hosts: number
  readonly delays: boolean
  readonly startedAt: string
  readonly loadAverage: string
  readonly results: readonly MeasureResult[]
}

const valueDecimals = 2

/**
 * Formats the report as Markdown.
 * @param run - the bench run
 * @returns Markdown
 */
export function markdownReport (run: BenchRun): string {
  const head = [
    `# ${run.deployment}`,
    '',
    `\`${run.command}\`, commit ${run.commit}, seed ${run.seed}, ${run.hosts} hosts, ${run.delays ? 'with the delays of the deployment on its links' : 'without network delays'}; load average of the machine at the start: ${run.loadAverage}.`,
    ''
  ]
  return [...head, ...run.results.flatMap(measureSection)].join('\n')
}

function measureSection (result: MeasureResult): readonly string[] {
  return [
    `## ${result.measure}`,
    '',
    '| figure | value | target | status |',
    '| --- | ---: | --- | --- |',
    ...result.figures.map(figure => `| ${figure.name} | ${valueText(figure)} | ${targetText(figure.target)} | ${targetStatus(figure)} |`),
    '',
    ...result.notes.map(note => `- ${note}`),
    ''
  ]
}

function valueText (figure: Figure): string {
  const rounded = Number.isInteger(figure.value) ? String(figure.value) : figure.value.toFixed(valueDecimals)
  return `${rounded} ${figure.unit}`.trim()
}

function targetText (target: Target): string {
  switch (target.kind) {
    case 'atMost': return `at most ${target.bound}`
    case 'atLeast': return `at least ${target.bound}`
    case 'none': return ''
  }
}

const rowHeight = 26
const labelWidth = 300
const plotWidth = 460
const margin = 20
const boxHeight = 12
const colour = '#2f6f8f'

/**
 * Draws a plot of all series on a logarithmic scale: a line from the minimum to
 * the 99th percentile, a box from the 25th to the 75th percentile and a tick at
 * the median.
 * @param run - the bench run
 * @returns SVG
 */
export function svgPlot (run: BenchRun): string {
  const series = run.results.flatMap(result => result.series).filter(each => each.samples.some(sample => sample > 0 && Number.isFinite(sample)))
  const logs = series.flatMap(each => [percentile(each.samples, 0), percentile(each.samples, 99)]).filter(value => value > 0 && Number.isFinite(value)).map(Math.log10)
  const low = Math.floor(Math.min(...logs, 0))
  const high = Math.ceil(Math.max(...logs, low + 1))
  const x = (value: number): number => labelWidth + (Math.log10(Math.max(value, 10 ** low)) - low) / (high - low) * plotWidth
  const height = margin * 3 + series.length * rowHeight
  const ticks = Array.from({ length: high - low + 1 }, (_, at) => low + at)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + plotWidth + margin * 2}" height="${height}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...ticks.map(tick => `<line x1="${x(10 ** tick)}" x2="${x(10 ** tick)}" y1="${margin}" y2="${height - margin * 2}" stroke="#ddd"/><text x="${x(10 ** tick)}" y="${height - margin}" text-anchor="middle">${10 ** tick} ms</text>`),
    ...series.map((each, at) => seriesRow(each, margin + at * rowHeight + rowHeight / 2, x)),
    '</svg>',
    ''
  ].join('\n')
}

function seriesRow (series: Series, y: number, x: (value: number) => number): string {
  const at = (percent: number): string => x(percentile(series.samples, percent)).toFixed(1)
  const boxWidth = Math.max(1, Number(at(75)) - Number(at(25)))
  return [
    `<text x="${labelWidth - 8}" y="${y + 4}" text-anchor="end">${series.name} (${series.samples.length})</text>`,
    `<line x1="${at(0)}" x2="${at(99)}" y1="${y}" y2="${y}" stroke="${colour}"/>`,
    `<rect x="${at(25)}" y="${y - boxHeight / 2}" width="${boxWidth.toFixed(1)}" height="${boxHeight}" fill="${colour}" fill-opacity="0.4"/>`,
    `<line x1="${at(50)}" x2="${at(50)}" y1="${y - boxHeight / 2}" y2="${y + boxHeight / 2}" stroke="${colour}" stroke-width="2"/>`
  ].join('')
}

/**
 * Formats the run as JSON, without its samples. The field `verdict` holds the
 * target status.
 */
export function jsonResult (run: BenchRun): string {
  const results = run.results.map(({ series, ...rest }) => ({
    ...rest,
    figures: rest.figures.map(figure => ({ ...figure, verdict: targetStatus(figure) })),
    series: series.map(each => ({ name: each.name, unit: each.unit, count: each.samples.length, p50: percentile(each.samples, 50), p99: percentile(each.samples, 99) }))
  }))
  return JSON.stringify({ ...run, results }, undefined, 2)
}
