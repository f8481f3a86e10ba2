// A session on a database server, free of any encoding.

import type { AccountName, Answer, NotRunReason, Position, ServerStatement, SessionValues } from '../model/index.js'
import type { ContextStep, ServerContext } from './context.js'

/** What became of a statement on a session. */
export type QueryResult =
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  /** The server ran it and reports a failure. */
  | { readonly kind: 'failed', readonly detail: string }
  /** The server did not run it. */
  | { readonly kind: 'notRun', readonly reason: NotRunReason, readonly detail: string }
  | { readonly kind: 'lost', readonly failure: 'overdue' | 'lost' }

/** What the proxy itself asks of a session. */
export type ControlCall =
  /** The floor goes with it where the server checks floors. */
  | { readonly kind: 'begin', readonly access: 'read' | 'write', readonly minPosition: Position | undefined }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | ContextStep

/** A statement as it goes to a server. */
export type SentStatement = ServerStatement & {
  /** Sent along where the server checks floors. */
  readonly minPosition: Position | undefined
}

/** One session on a server. */
export type ServerSession = {
  /** Runs a statement; after `lost` the session is closed for good. */
  readonly query: (statement: SentStatement, timeoutMs: number) => Promise<QueryResult>
  readonly control: (call: ControlCall, timeoutMs: number) => Promise<QueryResult>
  /** Values and prepared statements that the session holds. */
  readonly context: () => ServerContext
  /** Position of the last commit or of the last read's snapshot; undefined where the session was lost. */
  readonly position: (timeoutMs: number) => Promise<Position | undefined>
  readonly isUsable: () => boolean
  readonly close: () => void
}

/** What a session is taken for. */
export type SessionRequest = {
  readonly account: AccountName
  readonly values: SessionValues
}

/** Sessions on one server. */
export type SessionPool = {
  /** Takes an idle session or opens one; undefined where the server takes none. */
  readonly acquire: (wish: SessionRequest, timeoutMs: number) => Promise<ServerSession | undefined>
  /** Gives a session back; one that may be in a transaction must be closed instead. */
  readonly release: (session: ServerSession) => void
  readonly discard: (session: ServerSession) => void
  /** Closes idle sessions: the way to the server may have lost track of them. */
  readonly closeIdle: () => void
  /** Closes the sessions that were taken before a time and not given back: their answers do not come. */
  readonly closeStuck: (beforeMs: number) => void
  /** Closes all sessions: what runs on them is of no use any more. */
  readonly closeAll: () => void
  readonly close: () => void
}
