// A session on a database server, free of any encoding.

import type { Answer, Position } from '../model/index.js'

/** What became of a statement on a session. */
export type QueryResult =
  | { readonly kind: 'answered', readonly answer: Answer }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly sqlState: string, readonly message: string }
  | { readonly kind: 'lost', readonly failure: 'overdue' | 'lost' }

/** One session on a server. */
export type ServerSession = {
  /** Runs a statement; after `lost` the session is closed for good. */
  readonly query: (sql: string, timeoutMs: number) => Promise<QueryResult>
  /** Position of the last commit or of the last read's snapshot; undefined where the session was lost. */
  readonly position: (timeoutMs: number) => Promise<Position | undefined>
  readonly usable: () => boolean
  readonly close: () => void
}

/** Sessions on one server. */
export type SessionPool = {
  /** Takes an idle session or opens one; undefined where the server takes none. */
  readonly acquire: (timeoutMs: number) => Promise<ServerSession | undefined>
  /** Gives a session back; one that may be in a transaction must be closed instead. */
  readonly release: (session: ServerSession) => void
  readonly discard: (session: ServerSession) => void
  /** Closes idle sessions: the way to the server may have lost track of them. */
  readonly retireIdle: () => void
  /** Closes the sessions that were taken before a time and not given back: their answers do not come. */
  readonly giveUpStuck: (beforeMs: number) => void
  /** Closes all sessions: what runs on them is of no use any more. */
  readonly abandon: () => void
  readonly close: () => void
}
