// Finds the servers that ran each read from the statement logs of the database
// servers. A server keeps only its latest statements, so it is polled.

import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import { setTimeout as delay } from 'node:timers/promises'
import { serviceLogin } from '../standins/set/controls.js'
import type { LocalServer } from '../standins/set/local-set.js'

/** Servers that ran the read of each operation, by operation id. */
export type ReadServers = ReadonlyMap<number, readonly string[]>

/** A running collection. */
export type ServerLog = {
  readonly stop: () => Promise<ReadServers>
}

const operationColumn = /\bop_(\d+)\b/

/**
 * Starts to poll the statement logs.
 * @param servers - servers to poll
 * @param periodMs - polling interval in milliseconds
 * @returns the running collection
 */
export async function collectServerLog (servers: readonly LocalServer[], periodMs: number): Promise<ServerLog> {
  const readServers = new Map<number, readonly string[]>()
  const connections = await Promise.all(servers.map(async server => await connect(server)))
  const state = { stopped: false }
  const collectAll = async (): Promise<void> => {
    await Promise.all(servers.map(async (server, at) => { await collect(connections[at], server.name, readServers) }))
  }
  const wakeUp = new AbortController()
  const collection = (async () => {
    while (!state.stopped) {
      await collectAll()
      await delay(periodMs, undefined, { signal: wakeUp.signal }).catch(() => {})
    }
  })()
  return {
    stop: async () => {
      state.stopped = true
      wakeUp.abort()
      await collection
      await collectAll()
      for (const connection of connections) connection.destroy()
      return readServers
    }
  }
}

async function connect (server: LocalServer): Promise<Connection> {
  const connection = await createConnection({ host: server.address.ip, port: server.address.port, ...serviceLogin })
  connection.on('error', () => {})
  return connection
}

async function collect (connection: Connection | undefined, server: string, readServers: Map<number, readonly string[]>): Promise<void> { // eslint-disable-line no-restricted-syntax -- filled by the collection that owns it
  const rows = await connection?.query<RowDataPacket[]>('CALL ledger_statements()').then(([found]) => found, () => [])
  for (const row of rows ?? []) {
    const operation = Number(operationColumn.exec(String(row['statement']))?.[1])
    if (Number.isNaN(operation)) continue
    const found = readServers.get(operation) ?? []
    if (!found.includes(server)) readServers.set(operation, [...found, server])
  }
}
