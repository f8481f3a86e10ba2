// The port of a database driver: sessions on servers and the calls that change
// a server's role.

import type { QueryResult, ServerSession } from '../dispatch/index.js'
import type { AccountName, Address, DatabaseName, Position, ServerName, ServerStatus } from '../model/index.js'
import type { TimerService } from '../pipe/index.js'

/** A fence, promotion or follow that a server answered. */
export type LedgerResponse = {
  readonly accepted: boolean
  readonly status: ServerStatus
}

/** Calls about a server's log and role; each rejects with a `WireError`. */
export type LedgerCalls = {
  readonly status: (timeoutMs: number) => Promise<ServerStatus>
  /** Answers when the status differs from `known`, or after `waitMs`. */
  readonly wait: (known: ServerStatus, waitMs: number, timeoutMs: number) => Promise<ServerStatus>
  readonly fence: (term: number, proposer: string, timeoutMs: number) => Promise<LedgerResponse>
  readonly promote: (term: number, proposer: string, timeoutMs: number) => Promise<LedgerResponse>
  readonly follow: (term: number, proposer: string, primary: Address, timeoutMs: number) => Promise<LedgerResponse>
  /** Position of the session's last commit, or of its last read's snapshot. */
  readonly position: (timeoutMs: number) => Promise<Position>
}

/** A session with the calls about the log. */
export type DatabaseSession = ServerSession & {
  readonly ledger: LedgerCalls
  /** The server's number of the session; undefined where it has none. */
  readonly connectionId: () => number | undefined
  /** Ends another session, which may hold locks that nobody can release. */
  readonly kill: (number: number, timeoutMs: number) => Promise<QueryResult>
}

/** Where a session is opened. */
export type SessionTarget = {
  readonly address: Address
  readonly database: DatabaseName
  readonly server: ServerName
  /** Whose statements run on the session; undefined for the proxy's own calls. */
  readonly account: AccountName | undefined
  /** Told of the position that an answer shows, and when the statement was sent. */
  readonly onAnswer?: (position: Position, askedAtMs: number) => void
}

/** A database driver. */
export type DatabaseDriver = {
  /** Opens a session; rejects with a `WireError`. */
  readonly openSession: (target: SessionTarget, timers: TimerService, timeoutMs: number) => Promise<DatabaseSession>
  /** Whether the server itself refuses a read whose floor it has not reached, or its home has to make sure. */
  readonly minPositionCheck: 'server' | 'home'
  /** Whether a server tells its position as it changes, or only when it is asked. */
  readonly statusDelivery: 'pushed' | 'polled'
  /** Whether a statement of a transaction may hold locks that other statements wait for. */
  readonly locking: 'locks' | 'none'
  /** Whether sessions of one server serve all accounts. */
  readonly sessionSharing: 'allAccounts' | 'oneAccount'
}
