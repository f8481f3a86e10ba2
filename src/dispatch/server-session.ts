// A session on a database server, independent of the wire protocol.

import type { AccountName, Answer, NotRunReason, Position, ServerStatement, SessionValues } from '../model/index.js'
import type { ContextStep, ServerContext } from './context.js'

/** Result of a statement on a session. */
export type QueryResult =
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  /** The server ran the statement and reports a failure. */
  | { readonly kind: 'failed', readonly detail: string }
  /** The server did not run the statement. */
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly detail: string }
  /** No answer: the statement timed out or the connection was lost. */
  | { readonly kind: 'lost', readonly failure: 'overdue' | 'lost' }

/** Statements that the proxy itself issues on a session. */
export type ControlCall =
  /** `minPosition` is sent along if the server checks minimum positions. */
  | { readonly kind: 'begin', readonly access: 'read' | 'write', readonly minPosition: Position | undefined }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | ContextStep

/** A statement as it is sent to a server. */
export type SentStatement = ServerStatement & {
  /** Minimum position of a read, sent along if the server checks minimum positions. */
  readonly minPosition: Position | undefined
}

/** One session on a server. */
export type ServerSession = {
  /** Runs a statement; after `lost` the session is closed. */
  readonly query: (statement: SentStatement, timeoutMs: number) => Promise<QueryResult>
  readonly control: (call: ControlCall, timeoutMs: number) => Promise<QueryResult>
  /** The session's current values and prepared statements. */
  readonly context: () => ServerContext
  /** Position of the last commit or of the last read's snapshot; undefined if the session was lost. */
  readonly position: (timeoutMs: number) => Promise<Position | undefined>
  readonly isUsable: () => boolean
  readonly close: () => void
}

/** Client account and context that a session is acquired for. */
export type SessionRequest = {
  readonly account: AccountName
  readonly values: SessionValues
  /** The statement; its prepared statement, if it has one, has to exist on the session. */
  readonly statement: Pick<ServerStatement, 'prepared'>
}

/** Pool of the sessions on one server. */
export type SessionPool = {
  /** Takes an idle session or opens one; undefined if the server accepts no more. */
  readonly acquire: (request: SessionRequest, timeoutMs: number) => Promise<ServerSession | undefined>
  /** Returns a session to the pool; one that may be in a transaction must be discarded instead. */
  readonly release: (session: ServerSession) => void
  /** Closes a session. */
  readonly discard: (session: ServerSession) => void
  /** Closes idle sessions, whose connections may have been dropped on the way to the server. */
  readonly closeIdle: () => void
  /** Closes the sessions that were acquired before a time and not released: their answers are overdue. */
  readonly closeStuck: (beforeMs: number) => void
  /** Closes all sessions, for a server that is no longer primary; statements that run on them are lost. */
  readonly closeAll: () => void
  readonly close: () => void
}
