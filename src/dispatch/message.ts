// Messages of the home's pipe, and what it asks of the tasks around it.

import type { Access, ExecuteReply, ExecuteRequest, HostName, NotRunReason, Outcome, Position, PrimaryView } from '../model/index.js'
import type { ServerSession, SessionPool } from './server-session.js'

/** A statement that came to the home of a server. */
export type DispatchRequest = {
  readonly request: ExecuteRequest
  readonly deadlineAtMs: number
}

/** Whether the server may run a statement now. */
export type ServerCheck =
  /** `floor` goes to the server where it checks floors itself. */
  | { readonly kind: 'may', readonly role: 'primary' | 'replica', readonly minPosition: Position | undefined }
  | { readonly kind: 'mayNot', readonly reason: NotRunReason, readonly detail: string, readonly newest?: Position | undefined }

/** A statement that the server may run, as far as its home knows. */
export type CheckedRequest = DispatchRequest & {
  readonly role: 'primary' | 'replica'
  readonly floor: Position | undefined
}

/** What ran, before a majority has confirmed it. */
export type RanRequest = CheckedRequest & {
  readonly outcome: Outcome
  readonly transaction: string | undefined
  /** Position that a majority must have received before the answer goes out. */
  readonly confirm: Position | undefined
}

/** A turn in the fair queue: the statement may run until the turn is ended. */
export type Permit =
  | { readonly kind: 'turn', readonly release: () => void }
  | { readonly kind: 'refused', readonly reason: NotRunReason }

/** An open transaction at the home of its server. */
export type OpenTransaction = {
  readonly id: string
  readonly account: string
  /** The host that the caller is connected to. */
  readonly from: HostName
  readonly session: ServerSession
  /** Whether it may write. */
  readonly access: Access
}

/** Whose transaction it is. */
export type TransactionOwner = Pick<ExecuteRequest, 'account' | 'from'>

/** The open transactions of one server. */
export type TransactionTable = {
  /** Keeps a session for a transaction; undefined where too many are open. */
  readonly open: (owner: TransactionOwner, access: Access, session: ServerSession) => string | undefined
  /** Takes a transaction out while a statement of it runs; undefined where it is unknown or busy. */
  readonly take: (id: string, account: string) => OpenTransaction | undefined
  readonly putBack: (transaction: OpenTransaction) => void
  readonly remove: (transaction: OpenTransaction) => void
}

/** What the home's pipe asks of the tasks around it. */
export type DispatchServices = {
  readonly nowMs: () => number
  readonly check: (request: DispatchRequest) => Promise<ServerCheck>
  readonly acquirePermit: (request: DispatchRequest) => Promise<Permit>
  readonly pool: SessionPool
  readonly transactions: TransactionTable
  /** True once a majority has received the position in its own term. */
  readonly awaitQuorum: (position: Position, deadlineAtMs: number) => Promise<boolean>
  readonly primary: () => Promise<PrimaryView>
  readonly applied: () => Promise<Position | undefined>
}

/** What the home's pipe gives. */
export type DispatchReply = Pick<ExecuteReply, 'outcome' | 'transaction' | 'newest'>
