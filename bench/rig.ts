// The real processes that are measured: a local set of a deployment, its delays
// on faulty links, the load's table on every database.

import { createConnection } from 'mysql2/promise'
import { setTimeout as delay } from 'node:timers/promises'
import type { Address } from '../src/model/index.js'
import { onServer, serverStatus } from '../standins/set/controls.js'
import { linkName, startLocalSet, type ExtraSettings, type LocalServer, type LocalSet } from '../standins/set/local-set.js'
import { createFactIndex, createFactTable, factTable } from './caller.js'
import type { Deployment } from './deployment.js'
import type { FactRow } from './history.js'

/** How the set differs from the deployment's file. */
export type RigOptions = {
  readonly hosts: number
  /** Network delays by links of one further process. */
  readonly delays: boolean
  /** Rates far above the load, for measures in which the limit plays no part. */
  readonly unlimited: boolean
  readonly settings: ExtraSettings
}

/** A running set, ready for load. */
export type Rig = {
  readonly set: LocalSet
  /** Where callers reach each proxy. */
  readonly callerAddresses: readonly Address[]
}

const readyTimeoutMs = 30_000
const retryDelayMs = 100
const unlimitedRatePerS = 1_000_000

/**
 * Starts the processes of a deployment and waits until each proxy serves each
 * database.
 * @param deployment - what to start
 * @param options - how the set differs
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
    await onServer(primary.address, createFactTable)
    await onServer(primary.address, createFactIndex)
  }
}

/**
 * Finds the server of a database that is primary at the highest term.
 * @param servers - servers that run
 * @param database - the database
 * @returns the primary; throws where none answers as one
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
 * Reads all rows of the load from the primaries, past all proxies.
 * @param set - the set
 * @param servers - servers that run
 * @returns the rows
 */
export async function readFacts (set: LocalSet, servers: readonly LocalServer[]): Promise<readonly FactRow[]> {
  const byDatabase = await Promise.all(set.options.databases.map(async database => {
    const primary = await primaryOf(servers, database)
    const rows = await onServer(primary.address, `SELECT operation, part, register, value FROM ${factTable}`)
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

/** Servers have links to servers of their own group only; none to proxies. */
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
    const entrance = await links.add(name, proxy.mysql)
    await links.set(name, { delayMs: deployment.clientDelayMs })
    return entrance
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
