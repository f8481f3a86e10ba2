// The port of a database driver: sessions on servers, and the calls that read a
// server's status and change its role. The ledger is the server's replicated
// log; for MySQL, its calls are the `ledger_*` procedures (docs/PROTOCOLS.md).

import type { QueryResult, ServerSession } from '../dispatch/index.js'
import type { AccountName, Address, DatabaseName, Position, ServerName, ServerStatus } from '../model/index.js'
import type { TimerService } from '../pipe/index.js'

/** Response of a server to a fence, promote or follow call. */
export type LedgerResponse = {
  /** Whether the call took effect. */
  readonly accepted: boolean
  readonly status: ServerStatus
}

/**
 * Calls that concern the log and the role of a server; each rejects with a
 * `WireError`. `term` is a replication term, which has at most one primary;
 * `proposer` identifies the proposer of that primary.
 */
export type LedgerCalls = {
  readonly status: (timeoutMs: number) => Promise<ServerStatus>
  /** Long poll: returns when the status differs from `lastStatus`, or after `waitMs`. */
  readonly wait: (lastStatus: ServerStatus, waitMs: number, timeoutMs: number) => Promise<ServerStatus>
  /**
   * Makes the server take no log entry of a lower term. A MySQL server accepts
   * only a term above its fenced one, or the same term from the same proposer.
   */
  readonly fence: (term: number, proposer: string, timeoutMs: number) => Promise<LedgerResponse>
  /** Makes the server the primary of the term for which this proposer has fenced it. */
  readonly promote: (term: number, proposer: string, timeoutMs: number) => Promise<LedgerResponse>
  /** Makes the server a replica, of `primary` where the driver can choose the primary. */
  readonly follow: (term: number, proposer: string, primary: Address, timeoutMs: number) => Promise<LedgerResponse>
  /**
   * Position of the last commit of the session, or of the snapshot of its last
   * read. The line protocol's driver returns the position that the server has
   * received. Unlike `ServerSession.position`, it rejects where the position
   * cannot be read.
   */
  readonly position: (timeoutMs: number) => Promise<Position>
}

/** A session on a server, with the log and role calls. */
export type DatabaseSession = ServerSession & {
  readonly ledger: LedgerCalls
  /**
   * Connection id that the server assigned to the session; undefined where it
   * assigns none.
   */
  readonly connectionId: () => number | undefined
  /** Ends another session, which may hold locks that no client can release. */
  readonly kill: (connectionId: number, timeoutMs: number) => Promise<QueryResult>
}

/** Target of a session. */
export type SessionTarget = {
  readonly address: Address
  readonly database: DatabaseName
  readonly server: ServerName
  /** Account whose statements run on the session; undefined for the proxy's own calls. */
  readonly account: AccountName | undefined
  /**
   * Called with the position that a response reports and the time at which the
   * statement was sent.
   */
  readonly onAnswer?: (position: Position, askedAtMs: number) => void
}

/** A database driver. */
export type DatabaseDriver = {
  /** Opens a session; rejects with a `WireError`. */
  readonly openSession: (target: SessionTarget, timers: TimerService, timeoutMs: number) => Promise<DatabaseSession>
  /**
   * Whether the server itself rejects a read whose minimum position it has not
   * reached, or its dispatcher has to check this.
   */
  readonly minPositionCheck: 'server' | 'dispatcher'
  /** Whether a server pushes its status when it changes, or has to be polled. */
  readonly statusDelivery: 'pushed' | 'polled'
  /** Whether a statement in a transaction may hold locks that block other statements. */
  readonly locking: 'locks' | 'none'
  /**
   * Whether a session on a server may run statements of all accounts, or of one
   * account only.
   */
  readonly sessionSharing: 'allAccounts' | 'oneAccount'
}
