// State, messages and effects of a database server. The sessions, the one write
// lock, the slots and the ledger are one state, so that commits and fences are
// decided in sequence.

import type { Address, Position } from '../../src/model/index.js'
import type { Reply, Transition } from '../../src/pipe/index.js'
import type { Ledger, LastStatus, Shipment } from './ledger.js'
import type { LogEntry } from './log.js'

export type SqlValue = string | number | bigint | Buffer | null

/** Reply to a statement. */
export type SqlReply =
  | { readonly kind: 'rows', readonly columns: readonly string[], readonly rows: ReadonlyArray<readonly SqlValue[]> }
  | { readonly kind: 'done', readonly affectedRows: number, readonly insertId: number }
  | { readonly kind: 'error', readonly code: number, readonly message: string }

export type ServerSettings = {
  readonly server: string
  readonly slots: number
  readonly maxConnections: number
  readonly lockWaitMs: number
  readonly idleTransactionMs: number
}

/** Settings that tests change while the server runs. */
export type Tuning = {
  readonly lagMs: number
  readonly serviceMs: number
  readonly connectDelayMs: number
}

/** Login data of a session. */
export type Login = {
  readonly session: number
  readonly user: string
  readonly schema: string
  readonly attributes: Readonly<Record<string, string>>
  readonly accepted: boolean
}

export type LoginResult = 'accepted' | 'denied' | 'tooMany'

export type SessionTransaction =
  | { readonly kind: 'none' }
  | { readonly kind: 'begun', readonly readOnly: boolean }
  | { readonly kind: 'open', readonly mode: 'read' | 'write', readonly snapshot: Position, readonly writes: readonly string[] }
  /** Rolled back by the server; the client has not yet received the error. */
  | { readonly kind: 'rolledBack' }

/** A statement that is queued or running. */
export type Work = {
  readonly id: number
  readonly kind: 'read' | 'write' | 'commit'
  readonly text: string
  readonly reply: Reply<SqlReply>
}

export type Session = {
  readonly id: number
  /** Whether it counts towards `maxConnections`; sessions of replicas do not. */
  readonly isCounted: boolean
  readonly transaction: SessionTransaction
  readonly position: Position
  readonly work: Work | undefined
  /** Id of the latest statement; an idle timeout set after an earlier one is ignored. */
  readonly lastWork: number
}

/** A ledger call that is answered on a change or on its timeout. */
export type LedgerWait = { readonly id: number, readonly reply: Reply<SqlReply> } & (
  | { readonly kind: 'status', readonly lastStatus: LastStatus }
  | { readonly kind: 'log', readonly term: number, readonly after: Position }
)

export type ServerState = {
  readonly settings: ServerSettings
  readonly tuning: Tuning
  readonly ledger: Ledger
  readonly sessions: ReadonlyMap<number, Session>
  /** Write lock: the session that holds it, and the queue. */
  readonly lock: { readonly holder: number | undefined, readonly waiting: readonly number[] }
  readonly slots: { readonly busy: number, readonly waiting: readonly number[] }
  readonly waits: readonly LedgerWait[]
  readonly logins: readonly Login[]
  readonly statements: readonly string[]
  readonly nextId: number
}

/** Which kind of transaction to begin before a statement. */
export type BeginMode = 'none' | 'read' | 'write'

export type ServerMessage =
  | { readonly kind: 'open', readonly login: Login, readonly reply: Reply<LoginResult> }
  | { readonly kind: 'close', readonly session: number }
  | { readonly kind: 'reset', readonly session: number, readonly reply: Reply<SqlReply> }
  | { readonly kind: 'run', readonly session: number, readonly text: string, readonly reply: Reply<SqlReply> }
  | { readonly kind: 'lockTimedOut', readonly session: number, readonly work: number }
  | { readonly kind: 'serviceTimeElapsed', readonly session: number, readonly work: number }
  | { readonly kind: 'executed', readonly session: number, readonly work: number, readonly result: SqlReply, readonly inTransaction: boolean }
  | { readonly kind: 'idleTimeout', readonly session: number, readonly lastWork: number }
  | { readonly kind: 'waitTimedOut', readonly id: number }
  | { readonly kind: 'shipmentReceived', readonly term: number, readonly shipment: Shipment, readonly nowMs: number, readonly reply: Reply<Position | undefined> }
  | { readonly kind: 'applyDue', readonly nowMs: number }

export type ServerEffect =
  | { readonly kind: 'reply', readonly reply: Reply<SqlReply>, readonly answer: SqlReply }
  | { readonly kind: 'loginResult', readonly reply: Reply<LoginResult>, readonly result: LoginResult }
  | { readonly kind: 'resumePull', readonly reply: Reply<Position | undefined>, readonly after: Position | undefined }
  | { readonly kind: 'sendAfter', readonly delayMs: number, readonly message: ServerMessage }
  | { readonly kind: 'applyAfter', readonly delayMs: number }
  | { readonly kind: 'execute', readonly session: number, readonly work: number, readonly text: string, readonly begin: BeginMode, readonly ownConnection: boolean }
  | { readonly kind: 'commit', readonly session: number }
  | { readonly kind: 'rollback', readonly session: number }
  | { readonly kind: 'closeSession', readonly session: number }
  | { readonly kind: 'disconnect', readonly session: number }
  | { readonly kind: 'apply', readonly entries: readonly LogEntry[] }
  | { readonly kind: 'rebuild', readonly entries: readonly LogEntry[] }
  | { readonly kind: 'follow', readonly term: number, readonly source: Address }
  | { readonly kind: 'unfollow' }

export type Next = Transition<ServerState, ServerEffect>

/** Extends a transition by a decision on its new state. */
export function andThen (next: Next, decide: (state: ServerState) => Next): Next {
  const further = decide(next.state)
  return { state: further.state, effects: [...next.effects, ...further.effects] }
}

export function withSession (state: ServerState, session: Session): ServerState {
  return { ...state, sessions: new Map(state.sessions).set(session.id, session) }
}

export const doneReply: SqlReply = { kind: 'done', affectedRows: 0, insertId: 0 }

export function errorReply (code: number, message: string): SqlReply {
  return { kind: 'error', code, message }
}

export function readOnlyReply (): SqlReply {
  return errorReply(1290, 'The server is a replica or has been fenced and accepts no writes')
}

export function replyWith (state: ServerState, reply: Reply<SqlReply>, answer: SqlReply): Next {
  return { state, effects: [{ kind: 'reply', reply, answer }] }
}
