// Starts the processes to be measured: a local set of a deployment, its network
// delays on fault-injecting links, and the load's table on each database.

import { createConnection } from 'mysql2/promise'
import { setTimeout as delay } from 'node:timers/promises'
import type { Address } from '../src/model/index.js'
import { queryServer, serverStatus } from '../standins/set/controls.js'
import { linkName, startLocalSet, type ExtraSettings, type LocalServer, type LocalSet } from '../standins/set/local-set.js'
import { createFactIndex, createFactTable, factTable } from './caller.js'
import type { Deployment } from './deployment.js'
import type { FactRow } from './history.js'

/** Changes to the deployment's file. */
export type RigOptions = {
  readonly hosts: number
  /** Whether links in a separate process add the network delays. */
  readonly delays: boolean
  /**
   * Whether to set rates far above the load, for measures that do not concern
   * the limits.
   */
  readonly unlimited: boolean
  readonly settings: ExtraSettings
}

/** A running set that serves statements. */
export type Rig = {
  readonly set: LocalSet
  /** Address at which callers connect to each proxy. */
  readonly callerAddresses: readonly Address[]
}

const readyTimeoutMs = 30_000
const retryDelayMs = 100
const unlimitedRatePerS = 1_000_000

/**
 * Starts the processes of a deployment and waits until each proxy serves each
 * database.
 * @param deployment - deployment to start
 * @param options - changes to the deployment
 * @returns the running set
 */
export async function startRig (deployment: Deployment, options: RigOptions): Promise<Rig> {
  const set = await startLocalSet({
    hosts: options.hosts,
    failureDomains: deployment.failureDomains,
    databases: deployment.databases,
    accounts: options.unlimited ? deployment.accounts.map(account => ({ ...account, ratePerS: unlimitedRatePerS, burst: unlimitedRatePerS })) : deployment.accounts,
    seats: options.hosts,
    slots: deployment.slots,
    maxConnections: deployment.maxConnections,
    lagMs: deployment.replicaLagMs,
    serviceMs: deployment.serviceMs,
    connectDelayMs: deployment.connectDelayMs,
    faultyLinks: options.delays,
    settings: options.settings
  })
  try {
    await createTables(set)
    await setDelays(set, deployment)
    const callerAddresses = await callerAddressesOf(set, deployment)
    await waitUntilServing(set, callerAddresses)
    return { set, callerAddresses }
  } catch (error) {
    await set.stop()
    throw error
  }
}

async function createTables (set: LocalSet): Promise<void> {
  for (const database of set.options.databases) {
    const primary = await primaryOf(set.servers, database)
    await queryServer(primary.address, createFactTable)
    await queryServer(primary.address, createFactIndex)
  }
}

/**
 * Finds the primary of a database with the highest fenced term.
 * @param servers - running servers
 * @param database - name of the database
 * @returns the primary; throws an error if no server reports that role
 */
export async function primaryOf (servers: readonly LocalServer[], database: string): Promise<LocalServer> {
  const group = servers.filter(server => server.database === database)
  const statuses = await Promise.all(group.map(async server => {
    const status = await serverStatus(server.address).catch(() => undefined)
    return { server, term: status?.role === 'primary' ? status.fencedTerm : -1 }
  }))
  const [first] = statuses.filter(each => each.term >= 0).sort((a, b) => b.term - a.term)
  if (first === undefined) throw new Error(`${database} has no primary`)
  return first.server
}

/**
 * Reads all rows of the load directly from the primaries.
 * @param set - the set
 * @param servers - running servers
 * @returns rows of all databases
 */
export async function readFacts (set: LocalSet, servers: readonly LocalServer[]): Promise<readonly FactRow[]> {
  const byDatabase = await Promise.all(set.options.databases.map(async database => {
    const primary = await primaryOf(servers, database)
    const rows = await queryServer(primary.address, `SELECT operation, part, register, value FROM ${factTable}`)
    return rows.map((row): FactRow => ({
      database, operation: Number(row['operation']), part: Number(row['part']), register: Number(row['register']), value: Number(row['value'])
    }))
  }))
  return byDatabase.flat()
}

async function setDelays (set: LocalSet, deployment: Deployment): Promise<void> {
  const { links } = set
  if (links === undefined) return
  const endpoints = [...set.servers, ...set.proxies]
  for (const from of endpoints) {
    const remote = endpoints.filter(to => to.name !== from.name && to.failureDomain !== from.failureDomain && isLinked(set, from.name, to.name, deployment))
    await Promise.all(remote.map(async to => { await links.set(linkName(from.name, to.name), { delayMs: deployment.domainDelayMs }) }))
  }
}

/** Servers have links only to the other servers of their database, none to proxies. */
function isLinked (set: LocalSet, from: string, to: string, deployment: Deployment): boolean {
  const source = set.servers.find(server => server.name === from)
  if (source === undefined) return true
  return deployment.databases.includes(source.database) && set.servers.some(server => server.name === to && server.database === source.database)
}

async function callerAddressesOf (set: LocalSet, deployment: Deployment): Promise<readonly Address[]> {
  const { links } = set
  if (links === undefined) return set.proxies.map(proxy => proxy.mysql)
  return await Promise.all(set.proxies.map(async proxy => {
    const name = linkName('callers', proxy.name)
    const address = await links.add(name, proxy.mysql)
    await links.set(name, { delayMs: deployment.clientDelayMs })
    return address
  }))
}

async function waitUntilServing (set: LocalSet, addresses: readonly Address[]): Promise<void> {
  const account = set.options.accounts[0]?.name ?? ''
  const key = set.keys.get(account) ?? ''
  const deadlineMs = performance.now() + readyTimeoutMs
  await Promise.all(addresses.flatMap(address => set.options.databases.map(async database => {
    for (;;) {
      const served = await tryRead(address, account, key, database)
      if (served === 'served') return
      if (performance.now() > deadlineMs) throw new Error(`proxy at ${address.port} does not serve ${database}: ${served}`)
      await delay(retryDelayMs)
    }
  })))
}

async function tryRead (address: Address, user: string, password: string, database: string): Promise<string> {
  try {
    const connection = await createConnection({ host: address.ip, port: address.port, user, password, database, connectTimeout: readyTimeoutMs })
    connection.on('error', () => {})
    try {
      await connection.query(`/* limpetmoor latest */ SELECT COUNT(*) FROM ${factTable}`)
      return 'served'
    } finally {
      connection.destroy()
    }
  } catch (error) {
    return String(error)
  }
}
