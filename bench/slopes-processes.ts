// Measures idle processes: the cost of control for one proxy, by the number of
// its peers and of the servers that it is the dispatcher of, and the calls of the
// fleet to the platform's store. Run by `npm run bench:slopes-processes`.

import { setTimeout as delay } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { readDeployment } from './deployment.js'
import { usageOf, type Usage } from './process-usage.js'
import { startRig, type Rig } from './rig.js'
import { slopeTable, type MeasuredSlope } from './slope-report.js'

const hostSizes: readonly number[] = [3, 6, 12, 18]
const databaseSizes: readonly number[] = [1, 2, 4, 8]
/**
 * One host in each failure domain, so that each is the dispatcher of one server
 * of every database.
 */
const minHosts = 3
const settleMs = 8000
const measuredMs = 15_000
const msPerS = 1000
const percentOf = 100

/** Resources that an idle set uses: mean of its proxies, and calls to the store. */
type IdleUsage = {
  readonly cpuPercent: number
  readonly ioBytesPerS: number
  readonly residentKb: number
  /** Size of the longest report of a failure domain in the store. */
  readonly reportBytes: number
  readonly storeCallsPerS: Readonly<Record<string, number>>
}

async function measureIdle (hosts: number, databases: number): Promise<IdleUsage> {
  const names = Array.from({ length: databases }, (_, at) => `database-${at}`)
  const deployment = { ...readDeployment('atelier'), databases: names }
  const rig = await startRig(deployment, { hosts, delays: false, unlimited: true, settings: { log: { level: 'warn' } } })
  try {
    await delay(settleMs)
    return await observe(rig)
  } finally {
    await rig.set.stop()
  }
}

async function observe (rig: Rig): Promise<IdleUsage> {
  const pids = rig.set.proxies.map(proxy => proxy.process.pid)
  const mean = (of: (usage: Usage) => number): number => pids.map(pid => of(usageOf(pid))).reduce((sum, value) => sum + value, 0) / pids.length
  const before = { cpuMs: mean(usage => usage.cpuMs), ioBytes: mean(usage => usage.ioBytes), calls: await rig.set.platform.calls() }
  const startMs = performance.now()
  await delay(measuredMs)
  const tookMs = performance.now() - startMs
  const perS = (change: number): number => change * msPerS / tookMs
  return {
    cpuPercent: (mean(usage => usage.cpuMs) - before.cpuMs) * percentOf / tookMs,
    ioBytesPerS: perS(mean(usage => usage.ioBytes) - before.ioBytes),
    residentKb: mean(usage => usage.residentKb),
    reportBytes: await reportBytes(rig),
    storeCallsPerS: Object.fromEntries(Object.entries(await rig.set.platform.calls()).map(([kind, count]) => [kind, perS(count - (before.calls[kind] ?? 0))]))
  }
}

async function reportBytes (rig: Rig): Promise<number> {
  const domains = rig.set.options.failureDomains
  const reports = await Promise.all(domains.map(async domain => await rig.set.platform.read('report', domain)))
  return Math.max(...reports.map(report => report === undefined ? 0 : JSON.stringify(report.value).length))
}

function slopesOf (sizeName: string, sizes: readonly number[], measured: readonly IdleUsage[]): readonly MeasuredSlope[] {
  const points = (of: (each: IdleUsage) => number): MeasuredSlope['points'] => sizes.map((size, at) => [size, of(measured[at] as IdleUsage)] as const)
  return [
    { name: 'one idle proxy, CPU', sizeName, unit: '% of a core', points: points(each => each.cpuPercent) },
    { name: 'one idle proxy, bytes read and written', sizeName, unit: 'B/s', points: points(each => each.ioBytesPerS) },
    { name: 'one idle proxy, resident memory', sizeName, unit: 'KB', points: points(each => each.residentKb) },
    { name: 'longest report of a failure domain in the store', sizeName, unit: 'B', points: points(each => each.reportBytes) },
    ...callSlopes(sizeName, sizes, measured)
  ]
}

function callSlopes (sizeName: string, sizes: readonly number[], measured: readonly IdleUsage[]): readonly MeasuredSlope[] {
  const kinds = [...new Set(measured.flatMap(each => Object.entries(each.storeCallsPerS).flatMap(([kind, perS]) => perS > 0 ? [kind] : [])))].sort()
  return kinds.map(kind => ({
    name: `calls of the whole fleet to the store, ${kind}`,
    sizeName,
    unit: 'calls/s',
    points: sizes.map((size, at) => [size, measured[at]?.storeCallsPerS[kind] ?? 0] as const)
  }))
}

const { values } = parseArgs({ options: { part: { type: 'string', default: 'hosts,databases' } } })
const byHosts: IdleUsage[] = []
for (const hosts of values.part.includes('hosts') ? hostSizes : []) byHosts.push(await measureIdle(hosts, 1))
if (byHosts.length > 0) console.log(slopeTable(slopesOf('hosts, one database in all', hostSizes, byHosts)))
const byDatabases: IdleUsage[] = []
for (const databases of values.part.includes('databases') ? databaseSizes : []) byDatabases.push(await measureIdle(minHosts, databases))
if (byDatabases.length > 0) console.log(slopeTable(slopesOf('databases, three hosts', databaseSizes, byDatabases)))
