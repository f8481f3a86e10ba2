// Ordinary MySQL clients of a proxy, as applications use them.

import { createConnection, type Connection, type ResultSetHeader, type RowDataPacket } from 'mysql2/promise'
import type { Address } from '../../src/model/index.js'

/** Login of a caller: the route is sent as the schema, the key as the password. */
export type CallerLogin = {
  readonly account: string
  readonly key: string
  readonly route: string
  /** Session token from an earlier connection. */
  readonly token?: string
}

export type CallerRow = Readonly<Record<string, unknown>>

/** An open connection of a caller. */
export type LocalCaller = {
  readonly connection: Connection
  readonly rows: (text: string, values?: ReadonlyArray<string | number>) => Promise<readonly CallerRow[]>
  readonly execute: (text: string, values?: ReadonlyArray<string | number>) => Promise<number>
  readonly token: () => Promise<string>
  readonly close: () => void
}

/** Maximum time until a proxy accepts a caller. */
const connectTimeoutMs = 10_000

/**
 * Connects a caller to a proxy.
 * @param proxy - address of the proxy for callers
 * @param login - account, key and route
 * @returns the open connection
 */
export async function connectCaller (proxy: Address, login: CallerLogin): Promise<LocalCaller> {
  const attributes: Readonly<Record<string, string>> = login.token === undefined ? {} : { limpetmoor_session: login.token }
  const connection = await createConnection({
    host: proxy.ip,
    port: proxy.port,
    user: login.account,
    password: login.key,
    database: login.route,
    connectTimeout: connectTimeoutMs,
    connectAttributes: attributes
  })
  connection.on('error', () => {})
  const rows: LocalCaller['rows'] = async (text, values = []) => (await connection.query<RowDataPacket[]>(text, [...values]))[0]
  return {
    connection,
    rows,
    execute: async (text, values = []) => (await connection.query<ResultSetHeader>(text, [...values]))[0].affectedRows,
    token: async () => String(Object.values((await rows('SELECT @@limpetmoor_session'))[0] ?? {})[0]),
    close: () => { connection.destroy() }
  }
}

/**
 * Returns the error number of a call.
 * @param call - the call
 * @returns the error number, 0 if the call succeeds, or -1 if its error has no number
 */
export async function errorNumber (call: Promise<unknown>): Promise<number> {
  try {
    await call
    return 0
  } catch (error) {
    return (error as { readonly errno?: number }).errno ?? -1
  }
}
