// The MySQL front end. This module alone uses the server side of mysql2. It
// presents a caller's connection as a mailbox of commands and a function that
// writes outcomes. Commands are parsed from the raw packet, because the events
// of the library do not distinguish a query that starts with SET from a
// prepared statement.

import mysql from 'mysql2'
import type net from 'node:net'
import { Mailbox } from '../pipe/index.js'
import { notRun, type Answer, type Column, type Outcome } from '../model/index.js'
import { WireError, type CallerCommand, type CallerListener, type FrontEndSpec, type LoginRequest } from '../ports/index.js'
import { CommandsInWork } from './commands-in-work.js'
import { GuardedSocket } from './guarded-socket.js'
import { errorNumberOf, messageOf } from './mysql-errors.js'
import { PacketMeter } from './mysql-meter.js'
import { RefusedSockets } from './refused-sockets.js'
import { parseSql } from './sql/index.js'

/** Room for the commands in work and for notices of a stop. */
const inboxCapacity = 16
/** A packet may exceed the longest statement by so much and gets an error; a longer one ends the connection. */
const packetSlackBytes = 64 * 1024
const statementTooLongError = 1153
/** Character set id of latin1, which preserves each byte of a cell. */
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

/** Members of a mysql2 server connection that its type declarations lack. */
type ServerConnection = {
  readonly stream: net.Socket
  readonly clientHelloReply?: { readonly connectAttributes?: Readonly<Record<string, string>> }
  sequenceId: number // eslint-disable-line no-restricted-syntax -- the library requires its users to set it
  readonly on: (event: string, listener: (...args: readonly never[]) => void) => void
  readonly serverHandshake: (args: object) => void
  readonly writeOk: (args?: object) => void
  readonly writeError: (args: { readonly code: number, readonly message: string }) => void
  readonly writeColumns: (columns: readonly object[]) => void
  readonly writeTextRow: (row: ReadonlyArray<string | null>) => void
  readonly writeEof: () => void
  readonly close: () => void
  /** Keeps the packets that were received, and reads no more. */
  readonly pause: () => void
  readonly resume: () => void
}

/** One caller: its connection, and what is accounted for. */
type MysqlCaller = {
  readonly connection: ServerConnection
  readonly guarded: GuardedSocket
  readonly inbox: Mailbox<CallerCommand>
  readonly meter: PacketMeter
  readonly work: CommandsInWork
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
 * @param spec - configuration and callbacks of the front end
 * @returns the listener; throws a `WireError` where the port is taken
 */
export async function listenForCallers (spec: FrontEndSpec): Promise<CallerListener> {
  const refused = new RefusedSockets()
  let nextId = 1
  const server = mysql.createServer((connection: unknown) => {
    const caller = connection as ServerConnection
    const guarded = GuardedSocket.accept(caller.stream, spec.guard, 'caller', { pause: () => { caller.pause() }, resume: () => { caller.resume() } })
    if (guarded === undefined) {
      rejectConnection(caller)
      refused.add(caller.stream)
      return
    }
    startHandshake({ connection: caller, guarded, inbox: new Mailbox(inboxCapacity), meter: new PacketMeter(spec.maxStatementBytes + packetSlackBytes), work: new CommandsInWork() }, nextId, spec)
    nextId = nextId % 0x7fffffff + 1
  })
  const netServer = (server as unknown as { readonly _server: net.Server })._server
  await new Promise<void>((resolve, reject) => {
    netServer.once('error', error => { reject(new WireError('rejected', `cannot listen on ${spec.address.ip}:${spec.address.port}`, error)) })
    netServer.listen(spec.address.port, spec.address.ip, resolve)
  })
  return {
    port: (netServer.address() as net.AddressInfo).port,
    stopAccepting: () => { netServer.close() }
  }
}

function rejectConnection (connection: ServerConnection): void {
  // An error event without a listener would be thrown.
  connection.on('error', () => {})
  connection.writeError({ code: 1040, message: 'not run (queueFull): too many connections' })
  connection.close()
}

function startHandshake (caller: MysqlCaller, connectionId: number, spec: FrontEndSpec): void {
  const { connection, guarded, inbox } = caller
  connection.on('error', () => { connection.stream.destroy() })
  connection.stream.on('close', () => { inbox.close() })
  connection.stream.prependListener('data', (chunk: Buffer) => { onReceived(caller, chunk, spec) })
  // Without a listener for its event, mysql2 responds to a command itself.
  for (const event of ['query', 'stmt_prepare', 'stmt_execute', 'init_db', 'ping', 'field_list']) connection.on(event, () => {})
  connection.on('quit', () => { finish(caller) })
  connection.on('packet', ((packet: RawPacket) => { onPacket(caller, packet, spec) }) as never)
  connection.serverHandshake({
    protocolVersion: 10,
    serverVersion,
    connectionId,
    statusFlags: serverStatusAutocommit,
    characterSet: latin1CharacterSet,
    capabilityFlags: Object.values(capabilities).reduce((flags, flag) => flags | flag, 0),
    authCallback: (params: AuthParams, done: AuthResult) => {
      const login = loginOf(connection, params)
      const decision = spec.decideLogin(login)
      if (decision.kind === 'refused') {
        done(null, { code: errorNumberOf(decision.outcome), message: messageOf(decision.outcome) })
        guarded.finish()
        return
      }
      done(null)
      connection.sequenceId = 0
      guarded.authenticated()
      caller.meter.loginHandled()
      spec.onCaller({
        login,
        inbox,
        write: outcome => {
          writeOutcome(connection, outcome)
          caller.work.remove()
          report(caller)
          return guarded.flushed()
        },
        // The session is idle, so this error answers no command.
        closeForStop: () => {
          writeOutcome(connection, notRun('stopping', 'this host is stopping'))
          finish(caller)
        },
        close: () => { finish(caller) }
      }, decision.caller)
    }
  })
}

function finish ({ guarded, inbox }: MysqlCaller): void {
  inbox.close()
  guarded.finish()
}

function report ({ guarded, meter, work }: MysqlCaller): void {
  guarded.report({ partialBytes: meter.heldBytes, ...work.use() })
}

// Runs before the library's parser, which keeps whatever arrives.
function onReceived (caller: MysqlCaller, chunk: Buffer, spec: FrontEndSpec): void {
  const { connection, meter } = caller
  meter.receive(chunk)
  switch (meter.fault) {
    case 'none': return report(caller)
    case 'tooLong': {
      if (connection.stream.writable) connection.writeError({ code: statementTooLongError, message: `not run (statementTooLong): a statement may have ${spec.maxStatementBytes} bytes` })
      return stopReading(caller)
    }
    case 'outOfOrder': return stopReading(caller)
  }
}

function stopReading (caller: MysqlCaller): void {
  caller.connection.stream.removeAllListeners('data')
  finish(caller)
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

function onPacket (caller: MysqlCaller, packet: RawPacket, spec: FrontEndSpec): void {
  const { connection, inbox, meter, work } = caller
  const bytes = packet.length()
  meter.handled(bytes)
  const command = readCommand(packet, spec.maxStatementBytes)
  // Commands may arrive before the answer to the one before, which the library does not expect.
  connection.sequenceId = 0
  if (command === undefined) return
  work.add(bytes)
  inbox.send(command)
  report(caller)
}

function readCommand (packet: RawPacket, maxStatementBytes: number): CallerCommand | undefined {
  const code = packet.readInt8()
  switch (code) {
    case commandCodes.quit: return undefined
    case commandCodes.statementClose: return undefined
    // Statements are UTF-8 text; latin1 is used for cells only.
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

// Packets of a command are numbered from 0: the response starts with 1, and the
// next command with 0.
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
      connection.writeError({ code: 1105, message: 'a signed answer cannot be encoded in MySQL' })
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
