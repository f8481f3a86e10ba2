// The pull loop of a replica: requests the entries after its last one from the
// primary and passes them to its server. Each response has a deadline, so that
// an unresponsive connection is replaced.

import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import * as z from 'zod'
import type { Address, Position } from '../../src/model/index.js'
import { originPosition } from '../../src/model/index.js'
import { ask, sleep, type Port, type TimerService } from '../../src/pipe/index.js'
import type { Shipment } from './ledger.js'
import { replicaAttribute } from './server.js'
import type { ServerMessage } from './server-state.js'

/** How long the primary holds a pull without new entries. */
const pullWaitMs = 500
/** How much longer than `pullWaitMs` a response may take. */
const responseMarginMs = 700
const connectTimeoutMs = 1000
const retryDelayMs = 50

export type Credentials = {
  readonly user: string
  readonly password: string
}

export type PullSettings = {
  readonly server: string
  readonly term: number
  readonly source: Address
  readonly credentials: Credentials
}

const shipmentRow = z.object({
  kind: z.enum(['entry', 'retry']),
  term: z.coerce.number(),
  index_no: z.coerce.number(),
  statements: z.string().transform(text => z.array(z.string()).parse(JSON.parse(text)))
})

/**
 * Starts to pull the log of a primary.
 * @param settings - source, term and credentials
 * @param timers - the timer service
 * @param server - port of the replica
 * @returns a function that stops the pull
 */
export function startPull (settings: PullSettings, timers: TimerService, server: Port<ServerMessage>): () => void {
  const abort = new AbortController()
  void pull(settings, timers, server, abort.signal)
  return () => { abort.abort() }
}

async function pull (settings: PullSettings, timers: TimerService, server: Port<ServerMessage>, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      await pullOverConnection(settings, timers, server, signal)
    } catch {
      // The source is unreachable or unresponsive: the loop reconnects below.
    }
    await sleep(timers, retryDelayMs)
  }
}

async function pullOverConnection (settings: PullSettings, timers: TimerService, server: Port<ServerMessage>, signal: AbortSignal): Promise<void> {
  const connection = await createConnection({
    host: settings.source.ip,
    port: settings.source.port,
    ...settings.credentials,
    connectTimeout: connectTimeoutMs,
    connectAttributes: { [replicaAttribute]: settings.server }
  })
  connection.on('error', () => {})
  const close = (): void => { connection.destroy() }
  signal.addEventListener('abort', close)
  try {
    let after = await deliver(settings, timers, server, { kind: 'notPrimary' })
    while (after !== undefined && !signal.aborted) {
      after = await deliver(settings, timers, server, await requestEntries(connection, settings.term, after))
    }
  } finally {
    signal.removeEventListener('abort', close)
    connection.destroy()
  }
}

async function requestEntries (connection: Connection, term: number, after: Position): Promise<Shipment> {
  const [rows] = await connection.query<RowDataPacket[]>({
    sql: `CALL ledger_log(${term}, ${after.term}, ${after.index}, ${pullWaitMs})`,
    timeout: pullWaitMs + responseMarginMs
  })
  const parsedRows = rows.map(row => shipmentRow.parse(row))
  const retry = parsedRows.find(row => row.kind === 'retry')
  if (retry !== undefined) return { kind: 'retry', at: { term: retry.term, index: retry.index_no } }
  return { kind: 'entries', entries: parsedRows.map(row => ({ position: { term: row.term, index: row.index_no }, statements: row.statements })) }
}

async function deliver (settings: PullSettings, timers: TimerService, server: Port<ServerMessage>, shipment: Shipment): Promise<Position | undefined> {
  const nowMs = timers.nowMs()
  return await ask<ServerMessage, Position | undefined>(
    server, reply => ({ kind: 'shipmentReceived', term: settings.term, shipment, nowMs, reply }), originPosition)
}
