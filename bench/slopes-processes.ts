// Slopes of whole processes at rest: what control costs one proxy, by the number
// of its peers and by the number of databases that it is home of, and what the
// fleet asks of the platform's store. Run by `npm run bench:slopes-processes`.

import { setTimeout as delay } from 'node:timers/promises'
import { readDeployment } from './deployment.js'
import { usageOf, type Usage } from './process-usage.js'
import { startRig, type Rig } from './rig.js'
import { slopeTable, type MeasuredSlope } from './slope-report.js'

const hostSizes: readonly number[] = [3, 6, 12, 18]
const databaseSizes: readonly number[] = [1, 2, 4, 8]
const settleMs = 8000
const measuredMs = 15_000
const msPerS = 1000
const percentOf = 100

/** What one proxy of an idle set uses. */
type AtRest = {
  readonly cpuPercent: number
  readonly ioBytesPerS: number
  readonly residentKb: number
  readonly storeCallsPerS: number
}

async function atRest (hosts: number, databases: number): Promise<AtRest> {
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

async function observe (rig: Rig): Promise<AtRest> {
  const pids = rig.set.proxies.map(proxy => proxy.process.pid)
  const total = (of: (usage: Usage) => number): number => pids.map(pid => of(usageOf(pid))).reduce((sum, value) => sum + value, 0) / pids.length
  const calls = async (): Promise<number> => Object.values(await rig.set.platform.calls()).reduce((sum, count) => sum + count, 0)
  const before = { cpuMs: total(usage => usage.cpuMs), ioBytes: total(usage => usage.ioBytes), calls: await calls() }
  const startMs = performance.now()
  await delay(measuredMs)
  const tookMs = performance.now() - startMs
  const perS = (change: number): number => change * msPerS / tookMs
  return {
    cpuPercent: (total(usage => usage.cpuMs) - before.cpuMs) * percentOf / tookMs,
    ioBytesPerS: perS(total(usage => usage.ioBytes) - before.ioBytes),
    residentKb: total(usage => usage.residentKb),
    storeCallsPerS: perS(await calls() - before.calls)
  }
}

function slopesOf (sizeName: string, sizes: readonly number[], measured: readonly AtRest[]): readonly MeasuredSlope[] {
  const points = (of: (each: AtRest) => number): MeasuredSlope['points'] => sizes.map((size, at) => [size, of(measured[at] as AtRest)] as const)
  return [
    { name: 'one proxy at rest, CPU', sizeName, unit: '% of a core', points: points(each => each.cpuPercent) },
    { name: 'one proxy at rest, bytes read and written', sizeName, unit: 'B/s', points: points(each => each.ioBytesPerS) },
    { name: 'one proxy at rest, resident memory', sizeName, unit: 'KB', points: points(each => each.residentKb) },
    { name: 'calls of the whole fleet to the store', sizeName, unit: 'calls/s', points: points(each => each.storeCallsPerS) }
  ]
}

const byHosts: AtRest[] = []
for (const hosts of hostSizes) byHosts.push(await atRest(hosts, 1))
console.log(slopeTable(slopesOf('hosts, one database in all', hostSizes, byHosts)))
const byDatabases: AtRest[] = []
for (const databases of databaseSizes) byDatabases.push(await atRest(1, databases))
console.log(slopeTable(slopesOf('databases of the one host', databaseSizes, byDatabases)))
