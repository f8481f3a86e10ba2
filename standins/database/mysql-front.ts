// The MySQL protocol of a database server: login, packets, and statements run
// one after the other on each connection. It adds what the server side of mysql2
// does not implement.

import { createHash, timingSafeEqual } from 'node:crypto'
import type { EventEmitter } from 'node:events'
import type { AddressInfo, Server as TcpServer, Socket } from 'node:net'
import { createServer, type Connection } from 'mysql2'
import { ask, sleep, type Port, type TimerService } from '../../src/pipe/index.js'
import type { Address } from '../../src/model/index.js'
import { errorReply, type LoginResult, type ServerMessage, type SqlReply, type SqlValue } from './server-state.js'
import type { Credentials } from './replication.js'

/** The server side of a mysql2 connection, which the types of mysql2 omit. */
type ServerConnection = EventEmitter & {
  sequenceId: number // eslint-disable-line no-restricted-syntax -- mysql2 expects callers to set it
  readonly stream: Socket
  readonly clientHelloReply: { readonly connectAttributes?: Readonly<Record<string, string>> }
  readonly serverHandshake: (settings: unknown) => void
  readonly writeOk: (ok?: { readonly affectedRows: number, readonly insertId: number }) => void
  readonly writeError: (error: { readonly code: number, readonly message: string }) => void
  readonly writeColumns: (columns: readonly object[]) => void
  readonly writeTextRow: (cells: ReadonlyArray<string | null>) => void
  readonly writeEof: () => void
}

type LoginRequest = {
  readonly user: string
  readonly database: string | undefined
  readonly authPluginData1: Buffer
  readonly authPluginData2: Buffer
  readonly authToken: Buffer
}

type LoginCallback = (error: null, rejection?: { readonly code: number, readonly message: string }) => void

const capabilities = {
  longPassword: 1,
  foundRows: 2,
  longFlag: 4,
  connectWithDatabase: 8,
  protocol41: 512,
  transactions: 8192,
  secureConnection: 0x8000,
  pluginAuth: 0x80000,
  connectAttributes: 0x100000,
  pluginAuthLengthEncoded: 0x200000
}
const capabilityFlags = Object.values(capabilities).reduce((all, flag) => all | flag, 0)

/**
 * mysql2 writes cells as one byte per character, so text is encoded as UTF-8
 * first.
 */
const latin1 = 8
const utf8mb4 = 45
const binary = 63
const autocommitStatus = 2
const typeLongLong = 8
const typeDouble = 5
const typeVarString = 253
const typeBlob = 252
const commandResetConnection = 31
const commandStatementClose = 25
const maxColumnBytes = 65535

/** A listening MySQL front end. */
export type MysqlFrontEnd = {
  readonly address: Address
  readonly disconnect: (session: number) => void
  readonly stop: () => Promise<void>
}

export type FrontEndSettings = {
  readonly listen: Address
  readonly credentials: Credentials
  readonly connectDelayMs: () => number
}

/**
 * Listens for MySQL connections.
 * @param settings - listen address, credentials and connect delay
 * @param timers - the timer service
 * @param server - port of the server that runs the statements
 * @returns the front end
 */
export async function startFrontEnd (settings: FrontEndSettings, timers: TimerService, server: Port<ServerMessage>): Promise<MysqlFrontEnd> {
  const sockets = new Map<number, Socket>()
  let nextSession = 1
  const mysqlServer = createServer((raw: Connection) => {
    const connection = raw as unknown as ServerConnection
    const session = nextSession
    nextSession += 1
    sockets.set(session, connection.stream)
    connection.stream.setNoDelay(true)
    connection.on('error', () => {})
    connection.stream.once('close', () => {
      sockets.delete(session)
      server.send({ kind: 'close', session })
    })
    void sleep(timers, settings.connectDelayMs()).then(() => { startHandshake(connection, session, settings.credentials, server) })
  }) as unknown as { readonly listen: (port: number, ip: string) => void, readonly _server: TcpServer }
  await new Promise<void>((resolve, reject) => {
    mysqlServer._server.once('listening', resolve).once('error', reject)
    mysqlServer.listen(settings.listen.port, settings.listen.ip)
  })
  return {
    address: { ip: settings.listen.ip, port: (mysqlServer._server.address() as AddressInfo).port },
    disconnect: session => { sockets.get(session)?.destroy() },
    stop: async () => {
      for (const socket of sockets.values()) socket.destroy()
      await new Promise<void>(resolve => { mysqlServer._server.close(() => { resolve() }) })
    }
  }
}

function startHandshake (connection: ServerConnection, session: number, credentials: Credentials, server: Port<ServerMessage>): void {
  if (connection.stream.destroyed) return
  serveCommands(connection, session, server)
  connection.serverHandshake({
    protocolVersion: 10,
    serverVersion: '8.0.0-limpetmoor-standin',
    connectionId: session,
    statusFlags: autocommitStatus,
    characterSet: latin1,
    capabilityFlags,
    authCallback: (request: LoginRequest, callback: LoginCallback) => {
      void checkLogin(connection, session, credentials, server, request).then(result => {
        answerLogin(result, callback)
        connection.sequenceId = 0
      })
    }
  })
}

async function checkLogin (connection: ServerConnection, session: number, credentials: Credentials, server: Port<ServerMessage>, request: LoginRequest): Promise<LoginResult> {
  const login = {
    session,
    user: request.user,
    schema: request.database ?? '',
    attributes: connection.clientHelloReply.connectAttributes ?? {},
    accepted: request.user === credentials.user && passwordMatches(request, credentials.password)
  }
  return await ask<ServerMessage, LoginResult>(server, reply => ({ kind: 'open', login, reply }), 'denied')
}

function answerLogin (result: LoginResult, callback: LoginCallback): void {
  switch (result) {
    case 'accepted': return callback(null)
    case 'denied': return callback(null, { code: 1045, message: 'Access denied' })
    case 'tooMany': return callback(null, { code: 1040, message: 'Too many connections' })
  }
}

/** MySQL native password: SHA1(password) XOR SHA1(nonce + SHA1(SHA1(password))). */
function passwordMatches (request: LoginRequest, password: string): boolean {
  const passwordHash = sha1(Buffer.from(password))
  const nonce = Buffer.concat([request.authPluginData1, request.authPluginData2])
  const expected = sha1(Buffer.concat([nonce, sha1(passwordHash)])).map((byte, index) => byte ^ (passwordHash[index] ?? 0))
  return request.authToken.length === expected.length && timingSafeEqual(request.authToken, expected)
}

function sha1 (data: Buffer): Buffer {
  return createHash('sha1').update(data).digest()
}

function serveCommands (connection: ServerConnection, session: number, server: Port<ServerMessage>): void {
  let previous = Promise.resolve()
  const enqueue = (operation: () => Promise<SqlReply>): void => {
    previous = previous.then(async () => { writeReply(connection, await operation()) })
  }
  const run = async (text: string): Promise<SqlReply> =>
    await ask<ServerMessage, SqlReply>(server, reply => ({ kind: 'run', session, text, reply }), errorReply(1105, 'The server is overloaded'))
  const reset = async (): Promise<SqlReply> =>
    await ask<ServerMessage, SqlReply>(server, reply => ({ kind: 'reset', session, reply }), errorReply(1105, 'The server is overloaded'))
  const done = async (): Promise<SqlReply> => ({ kind: 'done', affectedRows: 0, insertId: 0 })
  const unsupported = async (): Promise<SqlReply> => errorReply(1235, 'Prepared statements are not supported')
  connection.on('query', (text: string) => { enqueue(async () => await run(text)) })
  connection.on('stmt_prepare', (text: string) => { enqueue(async () => /^set\b/i.test(text) ? await run(text) : await unsupported()) })
  connection.on('stmt_execute', () => { enqueue(unsupported) })
  connection.on('ping', () => { enqueue(done) })
  connection.on('init_db', () => { enqueue(done) })
  connection.on('quit', () => { connection.stream.end() })
  connection.on('packet', (_packet: unknown, isKnown: boolean, command: number) => {
    if (command === commandResetConnection) enqueue(reset)
    else if (!isKnown && command !== commandStatementClose) enqueue(async () => errorReply(1047, 'Unknown command'))
    else if (command === commandStatementClose) connection.sequenceId = 0
  })
}

function writeReply (connection: ServerConnection, reply: SqlReply): void {
  if (connection.stream.destroyed) return
  connection.stream.cork()
  connection.sequenceId = 1
  switch (reply.kind) {
    case 'done':
      connection.writeOk({ affectedRows: reply.affectedRows, insertId: reply.insertId })
      break
    case 'error':
      connection.writeError({ code: reply.code, message: reply.message.replace(/[^\x20-\x7e]/g, '?') })
      break
    case 'rows':
      connection.writeColumns(reply.columns.map((name, index) => columnDefinition(name, reply.rows.map(row => row[index] ?? null))))
      for (const row of reply.rows) connection.writeTextRow(row.map(cellText))
      connection.writeEof()
      break
  }
  connection.sequenceId = 0
  connection.stream.uncork()
}

function columnDefinition (name: string, values: readonly SqlValue[]): object {
  const columnType = columnTypeOf(values.find(value => value !== null) ?? null)
  const isText = columnType === typeVarString
  return {
    catalog: 'def',
    schema: '',
    table: '',
    orgTable: '',
    name,
    orgName: name,
    characterSet: isText ? utf8mb4 : binary,
    columnLength: maxColumnBytes,
    columnType,
    flags: 0,
    decimals: 0
  }
}

function columnTypeOf (value: SqlValue): number {
  if (typeof value === 'bigint') return typeLongLong
  if (typeof value === 'number') return typeDouble
  return Buffer.isBuffer(value) ? typeBlob : typeVarString
}

function cellText (value: SqlValue): string | null {
  if (value === null) return null
  if (Buffer.isBuffer(value)) return value.toString('latin1')
  return Buffer.from(String(value), 'utf8').toString('latin1')
}
