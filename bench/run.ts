// Measures a deployment with real processes on the loopback interface and writes
// a report into `bench/results`. Run time is limited, and all processes that the
// bench starts are stopped.
//
//   npm run bench -- --deployment atelier --measures steady,failover --seconds 20

import { execFileSync } from 'node:child_process'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { readDeployment, type Deployment } from './deployment.js'
import { failoverResult, runFailovers, type FailoverRound } from './measure-failover.js'
import { measurePath } from './measure-path.js'
import { measureSteady, type MeasureSpec } from './measure-steady.js'
import { measureStoreOutage } from './measure-store-outage.js'
import { withoutTarget, targetStatus, type MeasureResult } from './measure.js'
import { machinePercent, machineUsage } from './process-usage.js'
import { jsonResult, markdownReport, svgPlot, type BenchRun } from './report.js'
import { startRig, type Rig, type RigOptions } from './rig.js'

const measures = ['steady', 'storeOutage', 'failover', 'path'] as const
type Measure = typeof measures[number]

/** Upper bound of the duration of one load. */
const maxSeconds = 120
const msPerS = 1000
/** The path measure uses one database and one host in each failure domain. */
const pathHosts = 3

const { values } = parseArgs({
  options: {
    deployment: { type: 'string', default: 'atelier' },
    measures: { type: 'string', default: measures.join(',') },
    seconds: { type: 'string', default: '20' },
    hosts: { type: 'string' },
    seed: { type: 'string', default: '1' },
    failovers: { type: 'string', default: '20' },
    // Omits the network delays of the deployment.
    'no-delays': { type: 'boolean', default: false }
  }
})

const deployment = readDeployment(values.deployment)
const seed = Number(values.seed)
const durationMs = Math.min(maxSeconds, Number(values.seconds)) * msPerS
const options: RigOptions = {
  hosts: values.hosts === undefined ? deployment.hosts : Number(values.hosts),
  delays: !values['no-delays'],
  unlimited: false,
  settings: { log: { level: 'warn' } }
}

async function withRig<T> (of: Deployment, changes: Partial<RigOptions>, act: (rig: Rig) => Promise<T>): Promise<T> {
  const rig = await startRig(of, { ...options, ...changes })
  try {
    return await act(rig)
  } finally {
    await rig.set.stop()
  }
}

async function measure (which: Measure): Promise<MeasureResult> {
  const spec = (rig: Rig): MeasureSpec => ({ deployment, rig, seed, durationMs })
  switch (which) {
    case 'steady': return await withRig(deployment, {}, async rig => await measureSteady(spec(rig)))
    case 'storeOutage': return await withRig(deployment, {}, async rig => await measureStoreOutage(spec(rig)))
    case 'failover': return await measureFailovers(Number(values.failovers))
    case 'path': {
      const plainServers = { ...deployment, databases: deployment.databases.slice(0, 1), serviceMs: 0, connectDelayMs: 0, replicaLagMs: 0 }
      return await withRig(plainServers, { hosts: pathHosts, delays: false, unlimited: true }, measurePath)
    }
  }
}

async function measureFailovers (count: number): Promise<MeasureResult> {
  const rounds: FailoverRound[] = []
  let remaining = count
  while (remaining > 0) {
    const inRound = Math.min(remaining, deployment.databases.length)
    const round = await withRig(deployment, { unlimited: true }, async rig => await runFailovers(rig, seed + rounds.length, inRound))
    for (const run of round.runs) console.log(`failover of ${run.database}: ${run.writeGapMs.toFixed(0)} ms without an answered write`)
    rounds.push(round)
    remaining -= inRound
  }
  return failoverResult(rounds)
}

function commit (): string {
  try {
    return execFileSync('git', ['describe', '--always', '--dirty'], { encoding: 'utf8' }).trim()
  } catch {
    return 'unknown'
  }
}

function write (run: BenchRun): void {
  const folder = fileURLToPath(new URL('../../bench/results', import.meta.url))
  mkdirSync(folder, { recursive: true })
  const path = join(folder, `${run.deployment}-${run.results.map(result => result.measure).join('-')}-${run.seed}`)
  writeFileSync(`${path}.json`, jsonResult(run))
  writeFileSync(`${path}.svg`, svgPlot(run))
  writeFileSync(`${path}.md`, markdownReport(run))
  console.log(markdownReport(run))
  console.log(`wrote ${path}.json, .md, .svg`)
}

const requestedMeasures = values.measures.split(',')
const selectedMeasures = measures.filter(each => requestedMeasures.includes(each))
const startInfo = { startedAt: new Date().toISOString(), loadAverage: readFileSync('/proc/loadavg', 'utf8').split(' ').slice(0, 3).join(' ') }
const results: MeasureResult[] = []
for (const which of selectedMeasures) {
  const before = machineUsage()
  const result = await measure(which)
  const machine = withoutTarget('processors of the machine in use, other work included', '%', machinePercent(before, machineUsage()))
  results.push({ ...result, figures: [...result.figures, machine] })
}
write({
  command: `npm run bench -- ${process.argv.slice(2).join(' ')}`.trim(),
  commit: commit(),
  seed,
  deployment: deployment.name,
  hosts: options.hosts,
  delays: options.delays,
  ...startInfo,
  results
})
const missedTargets = results.flatMap(result => result.figures.filter(figure => targetStatus(figure) === 'missed').map(figure => `${result.measure}: ${figure.name}`))
for (const each of missedTargets) console.log(`target missed: ${each}`)
