// Messages of the dispatcher's pipe, and the services that it uses.

import type { ServiceResult } from '../pace/index.js'
import type { Access, ExecuteReply, ExecuteRequest, NotRunReason, Outcome, Position, PrimaryView } from '../model/index.js'
import type { ServerSession, SessionPool } from './server-session.js'

/** A statement that arrived at the dispatcher of a server. */
export type DispatchRequest = {
  readonly request: ExecuteRequest
  readonly deadlineAtMs: number
}

/** Result of the check whether the server may run a statement now. */
export type ServerCheck =
  /**
   * The server may run it. `minPosition` is sent along if the server itself
   * checks minimum positions; else it is undefined.
   */
  | { readonly kind: 'allowed', readonly role: 'primary' | 'replica', readonly minPosition: Position | undefined }
  /** `newest`: position that a strong read must cover, if the server has not applied it. */
  | { readonly kind: 'rejected', readonly reason: NotRunReason, readonly detail: string, readonly newest?: Position | undefined }

/** A statement that has passed the dispatcher's check. */
export type CheckedRequest = DispatchRequest & {
  readonly role: 'primary' | 'replica'
  readonly minPosition: Position | undefined
}

/** A statement that has run, before a majority has received its position. */
export type ExecutedRequest = CheckedRequest & {
  readonly outcome: Outcome
  readonly transaction: string | undefined
  /** Position that a majority must receive before the caller is answered; undefined: none. */
  readonly quorumPosition: Position | undefined
}

/**
 * Result of waiting for a slot. `granted`: the statement may run; `release` frees the
 * server's slot, and tells how the statement ended on the server. `detail`: text for the
 * caller; by default a general one.
 */
export type Permit =
  | { readonly kind: 'granted', readonly release: (result: ServiceResult) => void }
  | { readonly kind: 'refused', readonly reason: NotRunReason, readonly detail?: string }

/** An open transaction at the dispatcher of its server. */
export type OpenTransaction = {
  readonly id: string
  readonly owner: TransactionOwner
  readonly session: ServerSession
  /** Whether it may write. */
  readonly access: Access
  /** Whether one of its statements has reached the server. */
  readonly hasStarted: boolean
}

/** Client account, host and session that a transaction belongs to; only they may use it. */
export type TransactionOwner = Pick<ExecuteRequest, 'account' | 'from' | 'callerSession'>

/** Result of reserving a transaction for a statement. */
export type TakeResult =
  | { readonly kind: 'taken', readonly transaction: OpenTransaction }
  /**
   * `unknown`: it has ended, or was opened elsewhere. `busy`: another statement of it
   * runs. `otherOwner`: it belongs to another caller.
   */
  | { readonly kind: 'refused', readonly cause: 'unknown' | 'busy' | 'otherOwner' }

/** The open transactions of one server. */
export type TransactionTable = {
  /** Reserves a session for a transaction and returns its id; undefined if too many are open. */
  readonly open: (owner: TransactionOwner, access: Access, session: ServerSession) => string | undefined
  /** Marks a transaction as busy, where it belongs to the caller of the statement. */
  readonly take: (id: string, owner: TransactionOwner) => TakeResult
  /** Marks a transaction as idle again. */
  readonly putBack: (transaction: OpenTransaction) => void
  readonly remove: (transaction: OpenTransaction) => void
}

/** Services that the dispatcher's pipe uses. */
export type DispatchServices = {
  readonly nowMs: () => number
  readonly check: (request: DispatchRequest) => Promise<ServerCheck>
  /** False once the server leaves and its drain time is over: it gets no new statements. */
  readonly acceptsNewWork: () => boolean
  readonly acquirePermit: (request: DispatchRequest) => Promise<Permit>
  readonly pool: SessionPool
  readonly transactions: TransactionTable
  /**
   * Resolves to true once a majority has received a position of the same term at
   * or above this one, else to false (see request/quorum-wait.ts).
   */
  readonly awaitQuorum: (position: Position, deadlineAtMs: number) => Promise<boolean>
  /** The database's primary, as this host last observed it. */
  readonly primary: () => Promise<PrimaryView>
  /** Applied position of the dispatcher's server; undefined without a status of it. */
  readonly applied: () => Promise<Position | undefined>
}

/** Reply of the dispatcher's pipe. */
export type DispatchReply = Pick<ExecuteReply, 'outcome' | 'transaction' | 'newest'>
