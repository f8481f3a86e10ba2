// A local set on the users' platform: the store, one group of servers and the
// promotion endpoint run in this process, the proxies as processes of their own.

import { createServer, type Server } from 'node:http'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import net, { type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { setTimeout as delay } from 'node:timers/promises'
import { builtProgram } from '../set/process.js'
import { Group, type GroupTimes } from './ledger.js'
import { LineServer } from './server.js'
import { FleetStore } from './store.js'

/** Configuration that the operator writes. */
export type FleetConfiguration = {
  readonly version: number
  readonly keys: Readonly<Record<string, readonly string[]>>
  readonly ratePerS: number
  readonly burst: number
  /** Connections that each server accepts. */
  readonly maxConnections: number
  /** Idle timeout of transactions. */
  readonly idleTransactionMs: number
  /** Bound of cold servers; undefined: none. */
  readonly cold?: { readonly forS: number, readonly perS: number }
}

/** Options of a set. */
export type FleetOptions = {
  readonly hosts: number
  /** Processor share of each host, in turn. */
  readonly cpuShares: readonly number[]
  readonly times: GroupTimes
  readonly configuration: FleetConfiguration
  /** Path of the proxy program. */
  readonly program: string
  /** Settings of the proxies that follow from the users' bounds. */
  readonly bounds: FleetBounds
  /** Periods of the proxies: shorter ones for tests, or those of deploy/settings.toml. */
  readonly pace: 'fast' | 'deployed'
  /** Flags of the runtime of the proxies, after those of the pace. */
  readonly runtimeFlags: readonly string[]
  /** Fields of the section `limits` of the proxies' settings. */
  readonly limits: Readonly<Record<string, number>>
  /** Whether the proxies serve their metrics. */
  readonly servesMetrics: boolean
}

/** Bounds that the users state for their fleet. */
export type FleetBounds = {
  readonly drainMs: number
  readonly graceMs: number
  /** Undefined: the users have no evacuations. */
  readonly evacuateMs?: number
  /** Undefined: cold servers have no bound. */
  readonly cold?: { readonly excess: number, readonly slack: number }
}

/** Three hosts, servers with short delays and one client account. */
export const defaultFleetOptions: FleetOptions = {
  hosts: 3,
  cpuShares: [1],
  times: { receiveMs: 2, applyMs: 5, promoteMs: 100 },
  configuration: { version: 3, keys: { bindery: ['key-of-bindery'] }, ratePerS: 1000, burst: 1000, maxConnections: 60, idleTransactionMs: 1000 },
  program: builtProgram('platform/main.js'),
  bounds: { drainMs: 7000, graceMs: 4000 },
  pace: 'fast',
  runtimeFlags: [],
  limits: {},
  servesMetrics: false
}

/**
 * Flags of the runtime. Those of deploy/system.toml keep garbage collection and
 * compilation on the main thread, whose wakes are counted.
 */
const runtimeFlags = {
  fast: [],
  deployed: ['--v8-pool-size=0', '--single-threaded-gc', '--max-old-space-size=160', '--initial-old-space-size=32', '--no-memory-reducer', '--no-flush-bytecode']
} as const

/** Settings of each pace. */
const periods = {
  fast: { callTimeoutMs: 500, watchMs: 1000, heartbeatMs: 200, confirmWithinMs: 2000, probeMs: 150, watchersPerDomain: 2 },
  deployed: { callTimeoutMs: 1000, watchMs: 5000, heartbeatMs: 1000, confirmWithinMs: 4000, probeMs: 300, watchersPerDomain: 1 }
} as const

const zones = ['medina', 'plateau', 'hlm'] as const
const service = 'ledger-group'
const slots = 5
const maxStartAttempts = 5
const listenPollMs = 20

/**
 * A promotion order that the endpoint received. `holder` is the host that holds
 * the leader lease; `token` is a fencing token, which increases with each change
 * of the holder.
 */
export type OrderedPromotion = { readonly server: string, readonly holder: string, readonly token: number }

/** A proxy of the set. */
export type FleetProxy = {
  readonly name: string
  readonly port: number
  readonly readinessPort: number
  readonly peerPort: number
  /** Port of the metrics; served only where the options say so. */
  readonly metricsPort: number
  readonly process: ChildProcess
  readonly output: () => readonly string[]
}

/** The running set. */
export type Fleet = {
  readonly store: FleetStore
  readonly servers: readonly LineServer[]
  readonly group: Group
  readonly proxies: readonly FleetProxy[]
  readonly promotions: () => readonly OrderedPromotion[]
  /** Starts one more proxy, which may not serve yet. */
  readonly addProxy: () => Promise<FleetProxy>
  /** Kills a proxy and starts it again under its name, at other ports; it may not serve yet. */
  readonly restartProxy: (at: number) => Promise<FleetProxy>
  readonly configure: (change: Partial<FleetConfiguration>) => void
  readonly register: (server: LineServer, state: 'ready' | 'draining', coldLeftMs?: number) => void
  readonly stop: () => Promise<void>
}

/**
 * Starts a set.
 * @param changes - options that differ from `defaultFleetOptions`
 * @returns the set; its proxies listen, but may not serve yet
 */
export async function startFleet (changes: Partial<FleetOptions> = {}): Promise<Fleet> {
  const options = { ...defaultFleetOptions, ...changes }
  const store = new FleetStore()
  const storePort = await store.start()
  const ids = ['i-a', 'i-b', 'i-c']
  const group = new Group(ids, options.times)
  const servers = ids.map(id => new LineServer(service, group, id))
  await Promise.all(servers.map(async server => { await server.start() }))
  const promotions: OrderedPromotion[] = []
  const promoter = await startPromoter(group, order => { promotions.push(order) })
  let configuration = options.configuration
  const configure = (change: Partial<FleetConfiguration>): void => {
    configuration = { ...configuration, version: configuration.version + 4, ...change }
    store.put('config', 'main', configurationText(configuration))
  }
  store.put('config', 'main', configurationText(configuration))
  const register: Fleet['register'] = (server, state, coldLeftMs = 0) => {
    store.put('servers', server.id, { Service: service, Addr: `127.0.0.1:${server.port}`, Zone: zones[ids.indexOf(server.id)], Version: 'v1', Slots: slots, State: state, ColdLeftMs: coldLeftMs, DbRole: server.node.role, Seq: 1 })
  }
  for (const server of servers) register(server, 'ready')
  // Proxies skip a server record that does not match their schema.
  store.put('servers', 'i-broken', { Service: 7 })
  const folder = mkdtempSync(join(tmpdir(), 'limpetmoor-fleet-'))
  const place = { ...options, folder, storePort, promotionsPort: (promoter.address() as AddressInfo).port }
  const proxies = [...await Promise.all(Array.from({ length: options.hosts }, async (_, index) => await startFleetProxy(place, index)))]
  return {
    store,
    servers,
    group,
    proxies,
    promotions: () => promotions,
    async addProxy () {
      const proxy = await startFleetProxy(place, proxies.length)
      proxies.push(proxy)
      return proxy
    },
    async restartProxy (at) {
      const old = proxies[at]
      if (old !== undefined) await killProcess(old.process)
      const proxy = await startFleetProxy(place, at)
      proxies[at] = proxy
      return proxy
    },
    configure,
    register,
    async stop () {
      await Promise.all(proxies.map(async proxy => { await killProcess(proxy.process) }))
      await Promise.all(servers.map(async server => { await server.crash() }))
      group.stop()
      promoter.closeAllConnections()
      promoter.close()
      await store.stop()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

async function startPromoter (group: Group, onOrder: (order: OrderedPromotion) => void): Promise<Server> {
  const server = createServer((request, response) => {
    let text = ''
    request.on('data', chunk => { text += String(chunk) })
    request.on('end', () => {
      const { Id: id } = JSON.parse(text) as { readonly Id: string }
      onOrder({ server: id, holder: String(request.headers['limpetmoor-duty-holder']), token: Number(request.headers['limpetmoor-fencing-token']) })
      response.writeHead(group.promote(id) ? 200 : 409).end('{}')
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

// Another process may take a free port before the proxy listens on it, so a start
// that fails for this reason is retried with other ports.
async function startFleetProxy (place: ProxyPlace, at: number): Promise<FleetProxy> {
  for (let attempt = 1; ; attempt += 1) {
    const proxy = await spawnFleetProxy(place, at)
    if (await isListening(proxy)) return proxy
    const isTaken = proxy.output().some(line => line.includes('EADDRINUSE'))
    if (!isTaken || attempt === maxStartAttempts) throw new Error(`${proxy.name} did not start\n${proxy.output().join('\n')}`)
  }
}

async function isListening (proxy: FleetProxy): Promise<boolean> {
  while (proxy.process.exitCode === null && proxy.process.signalCode === null) {
    if (proxy.output().some(line => line.startsWith('listening '))) return true
    await delay(listenPollMs)
  }
  return false
}

/** What all proxies of a set share. */
type ProxyPlace = Pick<FleetOptions, 'program' | 'bounds' | 'pace' | 'cpuShares' | 'runtimeFlags' | 'limits' | 'servesMetrics'> & {
  readonly folder: string
  readonly storePort: number
  readonly promotionsPort: number
}

async function spawnFleetProxy (place: ProxyPlace, at: number): Promise<FleetProxy> {
  const { folder, program, bounds, pace, cpuShares, storePort, promotionsPort } = place
  const name = `entry-${at + 1}`
  const [peerPort = 0, callerPort = 0, readinessPort = 0, metricsPort = 0] = await freePorts(4)
  const file = join(folder, `${name}.toml`)
  writeFileSync(file, `
[host]
name = "${name}"
failure_domain = "${zones[at % zones.length] ?? ''}"
ip = "127.0.0.1"
peer_port = ${peerPort}
cpu_share = ${cpuShares[at % cpuShares.length] ?? 1}

[listen]
callers = "127.0.0.1:${callerPort}"
readiness = "127.0.0.1:${readinessPort}"
${place.servesMetrics ? `metrics = "127.0.0.1:${metricsPort}"` : ''}

[platform]
url = "http://127.0.0.1:${storePort}"
promotions_url = "http://127.0.0.1:${promotionsPort}"
call_timeout_ms = ${periods[pace].callTimeoutMs}
watch_ms = ${periods[pace].watchMs}

[database_login]
user = "limpetmoor"
password = ""

[limits]
${Object.entries(place.limits).map(([field, value]) => `${field} = ${value}`).join('\n')}

[control]
heartbeat_ms = ${periods[pace].heartbeatMs}
confirm_within_ms = ${periods[pace].confirmWithinMs}
probe_ms = ${periods[pace].probeMs}
watchers_per_domain = ${periods[pace].watchersPerDomain}
drain_ms = ${bounds.drainMs}
${bounds.evacuateMs === undefined ? '' : `evacuate_ms = ${bounds.evacuateMs}`}
${bounds.cold === undefined ? '' : `cold_excess = ${bounds.cold.excess}\ncold_slack = ${bounds.cold.slack}`}

[stop]
grace_ms = ${bounds.graceMs}
`)
  const child = spawn(process.execPath, [...runtimeFlags[pace], ...place.runtimeFlags, program], { env: { PATH: process.env['PATH'], LIMPETMOOR_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  const lines: string[] = []
  for (const stream of [child.stdout, child.stderr]) createInterface(stream).on('line', line => { lines.push(line) })
  return { name, port: callerPort, readinessPort, peerPort, metricsPort, process: child, output: () => lines }
}

async function killProcess (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  const exited = once(child, 'exit')
  child.kill('SIGKILL')
  await exited
}

async function freePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = net.createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return server
  }))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  for (const server of servers) server.close()
  return ports
}

function configurationText (configuration: FleetConfiguration): unknown {
  const route = { PathPrefix: '/', Service: service, MaxAttempts: 2, Public: false, TimeoutMs: 1500, LatencyGoalMs: 400 }
  return {
    Version: configuration.version,
    Routes: [
      { ...route, Name: 'r-1', Host: 'orders', Kind: 'primary', Priority: 1 },
      { ...route, Name: 'r-2', Host: 'lookup', Kind: 'bounded_staleness', Priority: 2, MaxStalenessMs: 1500 },
      { ...route, Name: 'r-3', Host: 'notes', Kind: 'read_your_writes', Priority: 2, MaxStalenessMs: 2500 },
      { ...route, Name: 'r-4', Host: 'board', Kind: 'bounded_staleness', Priority: 2, MaxStalenessMs: 1500, Public: true }
    ],
    Services: [{ ...coldFields(configuration.cold), Name: service, HealthPath: '/health', MaxConns: configuration.maxConnections, Protocol: 'h1', Tls: false, SyncReplicas: 0 }],
    Limits: { TxIdleMs: configuration.idleTransactionMs },
    Tenants: Object.entries(configuration.keys).map(([name, keys]) => ({ Name: name, ApiKeys: keys, Priority: 1, RatePerS: configuration.ratePerS, Burst: configuration.burst }))
  }
}

function coldFields (cold: FleetConfiguration['cold']): object {
  return cold === undefined ? {} : { ColdS: cold.forS, ColdPerS: cold.perS }
}
