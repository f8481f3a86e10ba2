// Fixtures of stand-ins in the test's own process, which stop when the test
// ends.

import type { TestContext } from 'node:test'
import { createConnection, type Connection, type ResultSetHeader, type RowDataPacket } from 'mysql2/promise'
import type { Address, Position } from '../../src/model/index.js'
import { startDatabase, type DatabaseSettings } from '../../standins/database.js'
import type { InitialRole } from '../../standins/database/server.js'
import type { ServerSettings, Tuning } from '../../standins/database/server-state.js'
import { startPlatform } from '../../standins/platform.js'
import { platformControl, serviceLogin, type PlatformControl } from '../../standins/set/controls.js'

const anyPort: Address = { ip: '127.0.0.1', port: 0 }

export type PlatformFixture = {
  readonly url: string
  readonly control: PlatformControl
}

export async function platformFixture (t: TestContext): Promise<PlatformFixture> {
  const platform = await startPlatform(anyPort)
  t.after(async () => { await platform.stop() })
  return { url: `http://${platform.address.ip}:${platform.address.port}`, control: platformControl(platform.address) }
}

export type ServerChanges = {
  readonly server?: Partial<ServerSettings>
  readonly tuning?: Partial<Tuning>
}

function databaseSettings (server: string, first: InitialRole, changes: ServerChanges): DatabaseSettings {
  return {
    listen: anyPort,
    credentials: serviceLogin,
    server: { server, slots: 5, maxConnections: 75, lockWaitMs: 5000, idleTransactionMs: 30_000, ...changes.server },
    tuning: { lagMs: 0, serviceMs: 0, connectDelayMs: 0, ...changes.tuning },
    initialRole: first,
    linkAddresses: new Map()
  }
}

/** Starts a database of three servers; the first is primary at term 1. */
export async function databaseGroup (t: TestContext, changes: ServerChanges = {}): Promise<readonly [Address, Address, Address]> {
  const start = async (server: string, first: InitialRole): Promise<Address> => {
    const running = await startDatabase(databaseSettings(server, first, changes))
    t.after(async () => { await running.stop() })
    return running.address
  }
  const primary = await start('one', { kind: 'primary' })
  const replica: InitialRole = { kind: 'replica', source: primary }
  return [primary, await start('two', replica), await start('three', replica)]
}

/** A MySQL client whose methods return rows, a count of changed rows or an error number. */
export type Client = {
  readonly connection: Connection
  readonly rows: (text: string, values?: ReadonlyArray<string | number>) => Promise<ReadonlyArray<Readonly<Record<string, unknown>>>>
  readonly execute: (text: string, values?: ReadonlyArray<string | number>) => Promise<number>
  /** Error number of a statement, or 0 if it succeeds. */
  readonly errorOf: (text: string) => Promise<number>
  readonly position: () => Promise<Position>
}

export async function connectClient (t: TestContext, address: Address, login: { readonly user: string, readonly password?: string, readonly database?: string } = serviceLogin): Promise<Client> {
  const connection = await createConnection({ host: address.ip, port: address.port, ...login })
  connection.on('error', () => {})
  t.after(() => { connection.destroy() })
  const rows: Client['rows'] = async (text, values = []) => (await connection.query<RowDataPacket[]>(text, [...values]))[0]
  return {
    connection,
    rows,
    execute: async (text, values = []) => (await connection.query<ResultSetHeader>(text, [...values]))[0].affectedRows,
    errorOf: async text => await errorNumber(connection.query(text)),
    position: async () => {
      const row = (await rows('CALL ledger_position()'))[0]
      return { term: Number(row?.['term']), index: Number(row?.['index_no']) }
    }
  }
}

/** MySQL error number of a call, 0 if it succeeds, -1 for an error without a number. */
export async function errorNumber (call: Promise<unknown>): Promise<number> {
  try {
    await call
    return 0
  } catch (error) {
    return (error as { readonly errno?: number }).errno ?? -1
  }
}
