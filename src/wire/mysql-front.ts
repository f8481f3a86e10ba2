// The MySQL front: the server side of mysql2, confined to this module. A
// caller's connection becomes a mailbox of commands and a way to write
// outcomes; nothing else of MySQL leaves this file. The whole command is read
// from the raw packet, because the library's own events cannot tell a text
// that begins with SET from a prepared statement.

import mysql from 'mysql2'
import type net from 'node:net'
import { Mailbox } from '../pipe/index.js'
import { notRun, type Answer, type Column, type Outcome } from '../model/index.js'
import { WireError, type CallerCommand, type CallerListener, type FrontEndSpec, type LoginRequest } from '../ports/index.js'
import { errorNumberOf, messageOf } from './mysql-errors.js'
import { parseSql } from './sql/index.js'

/** Commands that may wait for one caller; a caller waits for each answer. */
const inboxCapacity = 16
/** Character set that keeps each byte of a cell as it is. */
const latin1CharacterSet = 8
const serverVersion = '8.0.0-limpetmoor'
const serverStatusAutocommit = 2

const capabilities = {
  longPassword: 0x1,
  foundRows: 0x2,
  longFlag: 0x4,
  connectWithSchema: 0x8,
  protocol41: 0x200,
  transactions: 0x2000,
  secureConnection: 0x8000,
  pluginAuth: 0x80000,
  connectAttributes: 0x100000
} as const

const commandCodes = {
  quit: 0x01,
  initDb: 0x02,
  query: 0x03,
  ping: 0x0e,
  changeUser: 0x11,
  statementPrepare: 0x16,
  statementExecute: 0x17,
  statementClose: 0x19,
  resetConnection: 0x1f
} as const

/** The parts of a mysql2 server connection that its types leave out. */
type ServerConnection = {
  readonly stream: net.Socket
  readonly clientHelloReply?: { readonly connectAttributes?: Readonly<Record<string, string>> }
  sequenceId: number // eslint-disable-line no-restricted-syntax -- the library asks its users to set it
  readonly on: (event: string, listener: (...args: readonly never[]) => void) => void
  readonly serverHandshake: (args: object) => void
  readonly writeOk: (args?: object) => void
  readonly writeError: (args: { readonly code: number, readonly message: string }) => void
  readonly writeColumns: (columns: readonly object[]) => void
  readonly writeTextRow: (row: ReadonlyArray<string | null>) => void
  readonly writeEof: () => void
  readonly close: () => void
}

type RawPacket = {
  readonly readInt8: () => number
  readonly readString: (length: number | undefined, encoding: string) => string
  readonly length: () => number
  readonly offset: number
}

type AuthParams = {
  readonly user: string
  readonly database: string | undefined
  readonly authPluginData1: Buffer
  readonly authPluginData2: Buffer
  readonly authToken: Buffer
}

type AuthResult = (error: null, refusal?: { readonly message: string, readonly code: number }) => void

/**
 * Listens for callers.
 * @param spec - what the front needs
 * @returns the listener; throws a `WireError` where the port is taken
 */
export async function listenForCallers (spec: FrontEndSpec): Promise<CallerListener> {
  const open = new Set<ServerConnection>()
  let nextId = 1
  const server = mysql.createServer((connection: unknown) => {
    const caller = connection as ServerConnection
    if (open.size >= spec.maxConnections) {
      refuseConnection(caller)
      return
    }
    open.add(caller)
    caller.stream.on('close', () => { open.delete(caller) })
    greet(caller, nextId, spec)
    nextId = nextId % 0x7fffffff + 1
  })
  const inner = (server as unknown as { readonly _server: net.Server })._server
  await new Promise<void>((resolve, reject) => {
    inner.once('error', error => { reject(new WireError('rejected', `cannot listen on ${spec.address.ip}:${spec.address.port}`, error)) })
    inner.listen(spec.address.port, spec.address.ip, resolve)
  })
  return {
    port: (inner.address() as net.AddressInfo).port,
    stopAccepting: () => { inner.close() }
  }
}

function refuseConnection (connection: ServerConnection): void {
  connection.on('error', () => {})
  connection.writeError({ code: 1040, message: 'not run (queueFull): too many connections' })
  connection.close()
}

function greet (connection: ServerConnection, connectionId: number, spec: FrontEndSpec): void {
  const inbox = new Mailbox<CallerCommand>(inboxCapacity)
  connection.on('error', () => { connection.stream.destroy() })
  connection.stream.on('close', () => { inbox.close() })
  for (const event of ['query', 'stmt_prepare', 'stmt_execute', 'init_db', 'ping', 'field_list']) connection.on(event, () => {})
  connection.on('quit', () => {
    inbox.close()
    connection.stream.end()
  })
  connection.on('packet', ((packet: RawPacket) => { takePacket(connection, inbox, packet, spec) }) as never)
  connection.serverHandshake({
    protocolVersion: 10,
    serverVersion,
    connectionId,
    statusFlags: serverStatusAutocommit,
    characterSet: latin1CharacterSet,
    capabilityFlags: Object.values(capabilities).reduce((flags, flag) => flags | flag, 0),
    authCallback: (params: AuthParams, done: AuthResult) => {
      const login = loginOf(connection, params)
      const verdict = spec.decideLogin(login)
      if (verdict.kind === 'refused') {
        done(null, { code: errorNumberOf(verdict.outcome), message: messageOf(verdict.outcome) })
        return
      }
      done(null)
      connection.sequenceId = 0
      spec.onCaller({
        login,
        inbox,
        write: outcome => { writeOutcome(connection, outcome) },
        closeForStop: () => {
          writeOutcome(connection, notRun('stopping', 'this host is stopping'))
          connection.stream.end()
        },
        close: () => { connection.stream.end() }
      }, verdict.caller)
    }
  })
}

function loginOf (connection: ServerConnection, params: AuthParams): LoginRequest {
  return {
    route: params.database ?? '',
    credential: {
      kind: 'nativePassword',
      user: params.user,
      nonce: Buffer.concat([params.authPluginData1, params.authPluginData2]).subarray(0, 20),
      proof: params.authToken
    },
    attributes: connection.clientHelloReply?.connectAttributes ?? {}
  }
}

function takePacket (connection: ServerConnection, inbox: Mailbox<CallerCommand>, packet: RawPacket, spec: FrontEndSpec): void {
  const command = readCommand(packet, spec.maxStatementBytes)
  if (command === undefined) return
  if (inbox.send(command) === 'full') connection.close()
}

function readCommand (packet: RawPacket, maxStatementBytes: number): CallerCommand | undefined {
  const code = packet.readInt8()
  switch (code) {
    case commandCodes.quit: return undefined
    case commandCodes.statementClose: return undefined
    case commandCodes.query: {
      if (packet.length() > maxStatementBytes) return { kind: 'tooLong', maxBytes: maxStatementBytes }
      return { kind: 'query', statement: parseSql(packet.readString(undefined, 'utf8')) }
    }
    case commandCodes.initDb: return { kind: 'useRoute', route: packet.readString(undefined, 'utf8') }
    case commandCodes.ping: return { kind: 'ping' }
    case commandCodes.resetConnection: return { kind: 'reset' }
    case commandCodes.statementPrepare:
    case commandCodes.statementExecute: return { kind: 'unsupported', what: 'a prepared statement' }
    default: return { kind: 'unsupported', what: `command ${code}` }
  }
}

function writeOutcome (connection: ServerConnection, outcome: Outcome): void {
  if (!connection.stream.writable) return
  connection.sequenceId = 1
  switch (outcome.kind) {
    case 'answered': {
      writeAnswer(connection, outcome.answer)
      break
    }
    case 'refused':
    case 'failed':
    case 'notRun':
    case 'unknown': {
      connection.writeError({ code: errorNumberOf(outcome), message: messageOf(outcome) })
      break
    }
  }
  connection.sequenceId = 0
}

function writeAnswer (connection: ServerConnection, answer: Answer): void {
  switch (answer.kind) {
    case 'done': {
      connection.writeOk({ affectedRows: answer.affectedRows, insertId: answer.insertId })
      break
    }
    case 'signed': {
      connection.writeError({ code: 1105, message: 'a signed answer has no form in MySQL' })
      break
    }
    case 'rows': {
      connection.stream.cork()
      connection.writeColumns(answer.columns.map(columnDefinition))
      for (const row of answer.rows) connection.writeTextRow(row)
      connection.writeEof()
      connection.stream.uncork()
      break
    }
  }
}

function columnDefinition (column: Column): object {
  return {
    catalog: 'def',
    schema: '',
    table: '',
    orgTable: '',
    name: column.name,
    orgName: column.name,
    characterSet: column.characterSet,
    columnLength: column.length,
    columnType: column.type,
    flags: column.flags,
    decimals: column.decimals
  }
}
