// Measures the cost of the request path: latency added to that of a direct
// connection to the same database server in the same run, CPU time of one
// statement in each role, and memory of one idle caller connection.

import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import { setTimeout as delay } from 'node:timers/promises'
import type { Address } from '../src/model/index.js'
import { serviceLogin } from '../standins/set/controls.js'
import { factTable } from './caller.js'
import { atMost, withoutTarget, type Figure, type MeasureResult } from './measure.js'
import { usageOf } from './process-usage.js'
import { primaryOf, type Rig } from './rig.js'
import { collectServerLog } from './server-log.js'
import { percentile, slopeOf } from './statistics.js'

const warmUpRounds = 200
const rounds = 1500
const throughputConnections = 32
const throughputMs = 5000
const idleConnectionCounts: readonly number[] = [0, 1000, 2000, 4000]
const concurrentLogins = 50
const settleMs = 1500
const msPerS = 1000
const measuredEntryProxies = 2
const firstTag = 1_000_000
/**
 * Longer than any run, so that the servers' logs are read only before and after
 * latencies are measured.
 */
const logPeriodMs = 600_000

type LatencySeries = {
  readonly name: string
  readonly samples: readonly number[]
}

type StatementKind = {
  readonly name: string
  readonly hint: string
  /** The statement; the tag identifies it in the statement logs of the servers. */
  readonly sql: (tag: number) => string
  readonly isRead: boolean
  /** Whether callers set a session token before this statement and those after it. */
  readonly withToken: boolean
}

const selectWithTag = (tag: number): string => `SELECT MAX(value) AS op_${tag} FROM ${factTable} WHERE register = 1`
const select = selectWithTag(0)
const kinds: readonly StatementKind[] = [
  { name: 'bounded-staleness read', hint: '/* limpetmoor max_age_ms=60000 */ ', sql: selectWithTag, isRead: true, withToken: false },
  { name: 'session read without a token', hint: '', sql: selectWithTag, isRead: true, withToken: false },
  { name: 'latest read', hint: '/* limpetmoor latest */ ', sql: selectWithTag, isRead: true, withToken: false },
  { name: 'session read with a token', hint: '', sql: selectWithTag, isRead: true, withToken: true },
  { name: 'write', hint: '', sql: tag => `INSERT INTO ${factTable} (operation, part, register, value) VALUES (0, ${tag}, 0, 0)`, isRead: false, withToken: true }
]

/**
 * Measures the request path on a set of three hosts, one in each failure domain,
 * with one database.
 * @param rig - the set; its database servers should have no service time or lag
 * @returns figures of the measure
 */
export async function measurePath (rig: Rig): Promise<MeasureResult> {
  const latency = await measureLatency(rig)
  const throughput = await measureThroughput(rig)
  const memory = await measureMemory(rig)
  return {
    measure: 'path',
    figures: [...latency.figures, ...throughput, ...memory],
    series: latency.series.map(({ name, samples }) => ({ name, unit: 'ms', samples })),
    notes: [
      'Three hosts, one database, no network delays, servers without service time or lag, regardless of the deployment.',
      'The direct write is answered before any replica has received it; a write through a proxy waits for a majority.',
      'One hop: the entry proxy is the dispatcher of the server that ran the statement, according to the statement logs of the servers. Two hops: the entry proxy forwards the statement to another proxy.'
    ]
  }
}

async function measureLatency (rig: Rig): Promise<{ readonly figures: readonly Figure[], readonly series: readonly LatencySeries[] }> {
  const direct = await connectDirect(rig)
  const entries = await Promise.all(rig.callerAddresses.slice(0, measuredEntryProxies).map(async address => await connectProxy(rig, address)))
  const figures: Figure[] = []
  const series: LatencySeries[] = []
  for (const [at, kind] of kinds.entries()) {
    const tagOf = (entry: number): number => firstTag + at * measuredEntryProxies + entry
    if (kind.withToken) await Promise.all(entries.map(setSessionToken))
    const log = await collectServerLog(rig.set.servers, logPeriodMs)
    const [base = [], ...proxied] = await interleavedLatencies([
      [direct, kind.sql(0)],
      ...entries.map((connection, entry) => [connection, kind.hint + kind.sql(tagOf(entry))] as const)
    ])
    const readServers = await log.stop()
    figures.push(withoutTarget(`${kind.name}, direct p50`, 'ms', percentile(base, 50)))
    series.push({ name: `${kind.name}, direct`, samples: base })
    for (const [entry, samples] of proxied.entries()) {
      const hops = hopsOf(rig, entry, kind, readServers.get(tagOf(entry)) ?? [])
      const name = `${kind.name}, entry ${entry + 1}, ${hops} ${hops === 1 ? 'hop' : 'hops'}`
      const added = (percent: number): number => percentile(samples, percent) - percentile(base, percent)
      series.push({ name, samples })
      figures.push(readFigure(kind, `${name}, added p50 for each hop`, added(50) / hops), withoutTarget(`${name}, added p99`, 'ms', added(99)))
    }
  }
  for (const connection of [direct, ...entries]) connection.destroy()
  return { figures, series }
}

async function setSessionToken (connection: Connection): Promise<void> {
  const [rows] = await connection.query<RowDataPacket[]>('SELECT @@limpetmoor_session')
  const token = String(Object.values(rows[0] ?? {})[0])
  await connection.query(`SET @@limpetmoor_session = '${token}'`)
}

/**
 * One if the entry proxy is the dispatcher of every server that ran the
 * statement; two if it forwarded some.
 */
function hopsOf (rig: Rig, entry: number, kind: StatementKind, servers: readonly string[]): 1 | 2 {
  const entryDomain = rig.set.proxies[entry]?.failureDomain
  const ranOn = kind.isRead ? servers : rig.set.servers.slice(0, 1).map(server => server.name)
  const domains = rig.set.servers.filter(server => ranOn.includes(server.name)).map(server => server.failureDomain)
  return domains.length > 0 && domains.every(domain => domain === entryDomain) ? 1 : 2
}

function readFigure (kind: StatementKind, name: string, value: number): Figure {
  return kind.isRead ? atMost(name, 'ms', value, 1) : withoutTarget(name, 'ms', value)
}

async function interleavedLatencies (targets: ReadonlyArray<readonly [Connection, string]>): Promise<ReadonlyArray<readonly number[]>> {
  const samples = targets.map((): number[] => [])
  for (let round = 0; round < warmUpRounds + rounds; round++) {
    for (const [at, [connection, sql]] of targets.entries()) {
      const startMs = performance.now()
      await connection.query(sql)
      if (round >= warmUpRounds) samples[at]?.push(performance.now() - startMs)
    }
  }
  return samples
}

async function measureThroughput (rig: Rig): Promise<readonly Figure[]> {
  const [dispatcher, entry] = rig.set.proxies
  if (dispatcher === undefined || entry === undefined) return []
  const primary = await primaryOf(rig.set.servers, rig.set.options.databases[0] ?? '')
  const latest = `/* limpetmoor latest */ ${select}`
  const pids = { dispatcher: dispatcher.process.pid, entry: entry.process.pid, server: primary.process.pid }
  const combined = await throughputRun(rig, rig.callerAddresses[0], latest, pids)
  const separate = await throughputRun(rig, rig.callerAddresses[1], latest, pids)
  const boundedStaleness = await throughputRun(rig, rig.callerAddresses[2], `/* limpetmoor max_age_ms=60000 */ ${select}`, { dispatcher: rig.set.proxies[2]?.process.pid ?? 0, entry: pids.entry, server: pids.server })
  return [
    withoutTarget('entry and dispatcher in one proxy, latest reads', 'statements/s', combined.perS),
    withoutTarget('entry and dispatcher in one proxy, CPU of a latest read', 'us', combined.cpuUs.dispatcher),
    withoutTarget('database server, CPU of a latest read', 'us', combined.cpuUs.server),
    withoutTarget('entry alone, latest reads', 'statements/s', separate.perS),
    withoutTarget('entry alone, CPU of a latest read', 'us', separate.cpuUs.entry),
    withoutTarget('dispatcher alone, CPU of a latest read', 'us', separate.cpuUs.dispatcher),
    withoutTarget('entry and dispatcher in one proxy, bounded-staleness reads', 'statements/s', boundedStaleness.perS),
    withoutTarget('entry and dispatcher in one proxy, CPU of a bounded-staleness read', 'us', boundedStaleness.cpuUs.dispatcher)
  ]
}

type Pids = { readonly dispatcher: number, readonly entry: number, readonly server: number }

async function throughputRun (rig: Rig, address: Address | undefined, sql: string, pids: Pids): Promise<{ readonly perS: number, readonly cpuUs: Pids }> {
  const connections = await Promise.all(Array.from({ length: throughputConnections }, async () => await connectProxy(rig, address)))
  const cpu = (): Pids => ({ dispatcher: usageOf(pids.dispatcher).cpuMs, entry: usageOf(pids.entry).cpuMs, server: usageOf(pids.server).cpuMs })
  const before = cpu()
  const startMs = performance.now()
  const counts = await Promise.all(connections.map(async connection => await queryUntil(connection, sql, startMs + throughputMs)))
  const tookMs = performance.now() - startMs
  const after = cpu()
  for (const connection of connections) connection.destroy()
  const statements = counts.reduce((sum, count) => sum + count, 0)
  const each = (used: number): number => used * msPerS / statements
  return {
    perS: statements * msPerS / tookMs,
    cpuUs: { dispatcher: each(after.dispatcher - before.dispatcher), entry: each(after.entry - before.entry), server: each(after.server - before.server) }
  }
}

async function queryUntil (connection: Connection, sql: string, untilMs: number): Promise<number> {
  let count = 0
  while (performance.now() < untilMs) {
    await connection.query(sql)
    count += 1
  }
  return count
}

async function measureMemory (rig: Rig): Promise<readonly Figure[]> {
  const proxy = rig.set.proxies[2]
  if (proxy === undefined) return []
  const connections: Connection[] = []
  const points: Array<readonly [number, number]> = [] // eslint-disable-line no-restricted-syntax -- filled step by step
  for (const step of idleConnectionCounts) {
    while (connections.length < step) {
      const logins = Array.from({ length: Math.min(concurrentLogins, step - connections.length) }, async () => await connectProxy(rig, rig.callerAddresses[2]))
      connections.push(...await Promise.all(logins))
    }
    await delay(settleMs)
    points.push([step, usageOf(proxy.process.pid).residentKb])
  }
  for (const connection of connections) connection.destroy()
  const slope = slopeOf(points)
  return [
    ...points.map(([step, residentKb]) => withoutTarget(`resident memory at ${step} idle callers`, 'KB', residentKb)),
    withoutTarget('memory of one idle caller', 'KB', slope.perUnit)
  ]
}

async function connectDirect (rig: Rig): Promise<Connection> {
  const primary = await primaryOf(rig.set.servers, rig.set.options.databases[0] ?? '')
  return await connect({ host: primary.address.ip, port: primary.address.port, ...serviceLogin })
}

async function connectProxy (rig: Rig, address: Address | undefined): Promise<Connection> {
  const account = rig.set.options.accounts[0]?.name ?? ''
  const database = rig.set.options.databases[0] ?? ''
  return await connect({ host: address?.ip ?? '', port: address?.port ?? 0, user: account, password: rig.set.keys.get(account) ?? '', database })
}

type Login = {
  readonly host: string
  readonly port: number
  readonly user: string
  readonly password: string
  readonly database?: string
}

async function connect (login: Login): Promise<Connection> {
  const connection = await createConnection(login)
  connection.on('error', () => {})
  return connection
}
