// A local set of processes: the platform, groups of three database servers, and
// proxies. Each connection between them can run through its own faulty link,
// named `FROM>TO`.

import { randomBytes } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { digestOf, keyRandomBytes, newKey } from '../../src/config/index.js'
import type { Address, Manifest } from '../../src/model/index.js'
import { acceptManifest, linksControl, platformControl, serviceLogin, type LinksControl, type PlatformControl } from './controls.js'
import { PortBlock } from './ports.js'
import { startProcess, type StartedProcess } from './process.js'

const ip = '127.0.0.1'
const platformName = 'platform'
/** Number of seed peers per host, from which it can get the host list. */
const seedCount = 3

export type LocalAccount = {
  readonly name: string
  readonly ratePerS: number
  readonly burst: number
  readonly weight: number
}

/** Settings by section and field, named as in the TOML text. */
export type ExtraSettings = Readonly<Record<string, Readonly<Record<string, string | number | readonly string[]>>>>

export type LocalSetOptions = {
  readonly hosts: number
  /** Hosts and servers are assigned to these round-robin. */
  readonly failureDomains: readonly string[]
  readonly databases: readonly string[]
  readonly accounts: readonly LocalAccount[]
  /** Number of quota partitions in the manifest. */
  readonly seats: number
  readonly slots: number
  readonly maxConnections: number
  readonly lagMs: number
  readonly serviceMs: number
  readonly connectDelayMs: number
  readonly faultyLinks: boolean
  /** Whether the manifest is stored before the first proxy starts. */
  readonly acceptManifest: boolean
  readonly settings: ExtraSettings
  /** Flags of the runtime of the proxies. */
  readonly runtimeFlags: readonly string[]
}

export const defaultLocalSetOptions: LocalSetOptions = {
  hosts: 3,
  failureDomains: ['medina', 'plateau', 'hlm'],
  databases: ['ledger'],
  accounts: [
    { name: 'atelier', ratePerS: 10_000, burst: 10_000, weight: 1 },
    { name: 'mission', ratePerS: 10_000, burst: 10_000, weight: 1 }
  ],
  seats: 18,
  slots: 5,
  maxConnections: 75,
  lagMs: 20,
  serviceMs: 1,
  connectDelayMs: 10,
  faultyLinks: false,
  acceptManifest: true,
  settings: {},
  runtimeFlags: []
}

/** One database server of a set. */
export type LocalServer = {
  readonly name: string
  readonly database: string
  readonly failureDomain: string
  readonly address: Address
  readonly process: StartedProcess
}

/** One proxy of a set; it can be restarted from the same settings. */
export type LocalProxy = {
  readonly name: string
  readonly failureDomain: string
  readonly mysql: Address
  readonly peer: Address
  readonly settingsFile: string
  readonly process: StartedProcess
}

/** A running set. */
export type LocalSet = {
  readonly options: LocalSetOptions
  readonly platform: PlatformControl
  readonly platformAddress: Address
  readonly platformProcess: StartedProcess
  readonly links: LinksControl | undefined
  readonly servers: readonly LocalServer[]
  readonly proxies: readonly LocalProxy[]
  /** Keys by account. */
  readonly keys: ReadonlyMap<string, string>
  readonly manifest: Manifest
  /** Starts another process of a proxy from its settings file. */
  readonly startProxy: (proxy: ProxySpec) => Promise<LocalProxy>
  /** Stops every process and removes the files of the set. */
  readonly stop: () => Promise<void>
}

/** A proxy before it is started. */
export type ProxySpec = Omit<LocalProxy, 'process'>

type NodeSpec = {
  readonly name: string
  readonly failureDomain: string
  readonly address: Address
}

type ServerSpec = NodeSpec & { readonly database: string }
type HostSpec = NodeSpec & { readonly mysql: Address }

/** Resources to release when the set stops. */
type SetResources = {
  readonly folder: string
  readonly ports: PortBlock
  readonly started: StartedProcess[] // eslint-disable-line no-restricted-syntax -- grows while the set starts
}

/**
 * Starts a set. If a component fails to start, all others are stopped.
 * @param changes - options that differ from `defaultLocalSetOptions`
 * @returns the running set
 */
export async function startLocalSet (changes: Partial<LocalSetOptions> = {}): Promise<LocalSet> {
  const options = { ...defaultLocalSetOptions, ...changes }
  const resources: SetResources = { folder: mkdtempSync(join(tmpdir(), 'limpetmoor-set-')), ports: await PortBlock.claim(), started: [] }
  try {
    return await startComponents(options, resources)
  } catch (error) {
    await release(resources)
    throw error
  }
}

async function startComponents (options: LocalSetOptions, resources: SetResources): Promise<LocalSet> {
  const start = async (name: string, program: string, args: readonly string[], runtimeFlags: readonly string[] = []): Promise<StartedProcess> => {
    const started = await startProcess(name, program, args, runtimeFlags)
    resources.started.push(started)
    return started
  }
  const serverSpecs = await planServers(options, resources.ports)
  const hostSpecs = await planHosts(options, resources.ports)
  const platformProcess = await start(platformName, 'standins/platform-main.js', [])
  const platform = platformControl(platformProcess.address)
  const links = options.faultyLinks ? linksControl((await start('links', 'standins/faulty-link-main.js', [])).address) : undefined
  const keys = new Map(options.accounts.map(account => [account.name, newKey(randomBytes(keyRandomBytes))]))
  const manifest = manifestOf(options, serverSpecs, keys)
  const servers = await Promise.all(serverSpecs.map(async (place): Promise<LocalServer> => {
    const group = serverSpecs.filter(other => other.database === place.database)
    const linkAddresses = await createLinksFrom(place, group, links)
    return { ...place, process: await start(place.name, 'standins/database-main.js', serverArgs(options, place, group, linkAddresses)) }
  }))
  await platform.hosts(hostSpecs.map(place => ({ host: place.name, failureDomain: place.failureDomain, ip, port: place.address.port, state: 'live' })))
  const proxySpecs = await Promise.all(hostSpecs.map(async place => {
    const linkAddresses = await createLinksFrom(place, [...serverSpecs, ...hostSpecs], links)
    const directAddress = platformProcess.address
    const platformAddress = await links?.add(linkName(place.name, platformName), directAddress) ?? directAddress
    const settingsFile = join(resources.folder, `${place.name}.toml`)
    writeFileSync(settingsFile, settingsText(options, place, platformAddress, linkAddresses, hostSpecs))
    return { name: place.name, failureDomain: place.failureDomain, mysql: place.mysql, peer: place.address, settingsFile }
  }))
  const startProxy = async (place: ProxySpec): Promise<LocalProxy> => {
    const process = await start(place.name, 'src/cli/main.js', ['proxy', '--settings', place.settingsFile], options.runtimeFlags)
    return { ...place, process }
  }
  if (options.acceptManifest) await acceptManifest(platform, manifest)
  const proxies = await Promise.all(proxySpecs.map(startProxy))
  return {
    options,
    platform,
    platformAddress: platformProcess.address,
    platformProcess,
    links,
    servers,
    proxies,
    keys,
    manifest,
    startProxy,
    stop: async () => { await release(resources) }
  }
}

async function release (resources: SetResources): Promise<void> {
  await Promise.all(resources.started.map(async each => await each.stop()))
  await resources.ports.release()
  rmSync(resources.folder, { recursive: true, force: true })
}

/** Returns the name of the link from one process of a set to another. */
export function linkName (from: string, to: string): string {
  return `${from}>${to}`
}

async function createLinksFrom (from: NodeSpec, others: readonly NodeSpec[], links: LinksControl | undefined): Promise<ReadonlyMap<string, string>> {
  if (links === undefined) return new Map()
  const targets = others.filter(other => other.name !== from.name)
  const linkAddresses = await Promise.all(targets.map(async other => {
    const link = await links.add(linkName(from.name, other.name), other.address)
    return [addressText(other.address), addressText(link)] as const
  }))
  return new Map(linkAddresses)
}

async function planServers (options: LocalSetOptions, ports: PortBlock): Promise<readonly ServerSpec[]> {
  const specs: ServerSpec[] = []
  for (const database of options.databases) {
    for (const [index, failureDomain] of options.failureDomains.entries()) {
      specs.push({ name: `${database}-${index + 1}`, database, failureDomain, address: { ip, port: await ports.allocate() } })
    }
  }
  return specs
}

async function planHosts (options: LocalSetOptions, ports: PortBlock): Promise<readonly HostSpec[]> {
  const specs: HostSpec[] = []
  for (let index = 0; index < options.hosts; index++) {
    const failureDomain = options.failureDomains[index % options.failureDomains.length] ?? ''
    const mysql = { ip, port: await ports.allocate() }
    specs.push({ name: `proxy-${index + 1}`, failureDomain, mysql, address: { ip, port: await ports.allocate() } })
  }
  return specs
}

function manifestOf (options: LocalSetOptions, servers: readonly ServerSpec[], keys: ReadonlyMap<string, string>): Manifest {
  return {
    accounts: options.accounts.map(account => ({ ...account, keys: [{ id: `${account.name}-1`, digest: digestOf(keys.get(account.name) ?? '') }] })),
    databases: options.databases.map(name => ({
      name,
      state: 'active',
      servers: servers.filter(server => server.database === name).map(server => ({
        name: server.name,
        ip,
        port: server.address.port,
        failureDomain: server.failureDomain,
        slots: options.slots,
        maxConnections: options.maxConnections,
        state: 'active'
      }))
    })),
    // Each database has a route of the same name for all accounts, and an open
    // route.
    routes: options.databases.flatMap(database => [
      { name: database, database, access: { kind: 'accounts', accounts: options.accounts.map(account => account.name) } } as const,
      { name: `${database}-open`, database, access: { kind: 'open' } } as const
    ]),
    anonymous: { ratePerS: 1000, burst: 1000 },
    seats: options.seats
  }
}

function serverArgs (options: LocalSetOptions, server: ServerSpec, group: readonly ServerSpec[], linkAddresses: ReadonlyMap<string, string>): readonly string[] {
  const fields: ReadonlyArray<readonly [string, string | number]> = [
    ['port', server.address.port],
    ['server', server.name],
    ['servers', group.map(each => `${each.name}=${addressText(each.address)}`).join(',')],
    ['initial-primary', group[0]?.name ?? ''],
    ['via', [...linkAddresses].map(pair => pair.join('=')).join(',')],
    ['user', serviceLogin.user],
    ['password', serviceLogin.password],
    ['slots', options.slots],
    ['max-connections', options.maxConnections],
    ['connect-delay-ms', options.connectDelayMs],
    ['service-ms', options.serviceMs],
    ['lag-ms', options.lagMs]
  ]
  return fields.flatMap(([name, value]) => [`--${name}`, String(value)])
}

function settingsText (options: LocalSetOptions, host: HostSpec, platform: Address, linkAddresses: ReadonlyMap<string, string>, hosts: readonly HostSpec[]): string {
  const sections: ExtraSettings = {
    host: { name: host.name, failure_domain: host.failureDomain, ip, mysql_port: host.mysql.port, peer_port: host.address.port },
    platform: { url: `http://${addressText(platform)}` },
    database_login: serviceLogin,
    peers: { seeds: hosts.filter(other => other !== host).slice(0, seedCount).map(other => addressText(other.address)) },
    links: Object.fromEntries(linkAddresses)
  }
  const names = new Set([...Object.keys(sections), ...Object.keys(options.settings)])
  return stringify(Object.fromEntries([...names].map(name => [name, { ...sections[name], ...options.settings[name] }])))
}

function addressText (address: Address): string {
  return `${address.ip}:${address.port}`
}
