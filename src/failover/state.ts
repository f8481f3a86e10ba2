// State, events and effects of the failover of one database at one dispatcher.

import type { DatabaseDeclaration, DatabaseName, HostName, Position, PrimaryView, ServerName, ServerStatus } from '../model/index.js'
import { emptyGroupView, primaryView, type GroupView } from './group-view.js'
import type { Health, ProbeFailure } from './health.js'
import { idleProposal, type Proposal } from './proposal.js'
import type { FailoverSettings } from './settings.js'

/** A server that does not follow the primary. */
export type NotFollowing = {
  /** When it was first observed not to follow. */
  readonly sinceMs: number
  readonly followSentAtMs: number | undefined
}

/** Failover state of one database at one dispatcher. */
export type FailoverState = {
  readonly settings: FailoverSettings
  /** From `proposerName`. */
  readonly proposer: string
  readonly group: GroupView
  /** Servers that may become primary. */
  readonly active: readonly ServerName[]
  /**
   * Rank among the hosts that may drive failover: with `byQuorum` the dispatchers
   * of the database, with `byLeader` only the failover leader, with rank 0.
   * Undefined: this host does not drive it.
   */
  readonly rank: number | undefined
  readonly health: Health
  readonly proposal: Proposal
  /**
   * Term of the last attempt. With `byQuorum`, the next attempt takes a higher
   * term, so an attempt is never repeated in its term. Ignored with `byLeader`,
   * where the new term is the one after the term of the log.
   */
  readonly lastProposedTerm: number
  /** Since when a new primary has been needed; cleared when a proposal starts. */
  readonly failureSinceMs: number | undefined
  /** No proposal starts before this time. */
  readonly retryAtMs: number
  readonly lastTickMs: number | undefined
  readonly notFollowing: Readonly<Record<ServerName, NotFollowing>>
  /** The view that was last announced. */
  readonly announcedView: PrimaryView
}

/** A call to a server that changes its role. */
export type ServerCall = 'fence' | 'promote' | 'follow'

/** A server's answer to a call. */
export type CallAnswered = {
  readonly server: ServerName
  readonly term: number
  readonly accepted: boolean
  readonly status: ServerStatus
  readonly nowMs: number
}

/** A call that failed; it is unknown whether it took effect. */
export type CallFailed = {
  readonly call: ServerCall
  readonly server: ServerName
  readonly term: number
  readonly nowMs: number
}

/** Events of the failover state machine. Times are monotonic. */
export type FailoverEvent =
  | { readonly kind: 'statusReceived', readonly status: ServerStatus, readonly nowMs: number }
  | { readonly kind: 'connectionLost', readonly server: ServerName, readonly nowMs: number }
  /** A statement was answered; `position` is the server's applied position. */
  | { readonly kind: 'positionObserved', readonly server: ServerName, readonly position: Position, readonly nowMs: number }
  /** Another host relayed a status; its last contact with the server was `heardAgoMs` ago. */
  | { readonly kind: 'statusRelayed', readonly status: ServerStatus, readonly heardAgoMs: number, readonly nowMs: number }
  | { readonly kind: 'probeAnswered', readonly server: ServerName, readonly nowMs: number }
  | { readonly kind: 'probeFailed', readonly server: ServerName, readonly failure: ProbeFailure, readonly nowMs: number }
  | { readonly kind: 'ranksChanged', readonly rank: number | undefined, readonly nowMs: number }
  | { readonly kind: 'manifestChanged', readonly database: DatabaseDeclaration, readonly nowMs: number }
  | { readonly kind: 'fenceAnswered' } & CallAnswered
  | { readonly kind: 'promoteAnswered' } & CallAnswered
  | { readonly kind: 'followAnswered' } & CallAnswered
  | { readonly kind: 'callFailed' } & CallFailed
  /** `random` is uniformly distributed over [0, 1). */
  | { readonly kind: 'tick', readonly nowMs: number, readonly random: number }

/** Effects of the failover state machine. */
export type FailoverEffect =
  /** Query the server's status over a fresh connection. */
  | { readonly kind: 'probe', readonly server: ServerName }
  | { readonly kind: 'fence', readonly server: ServerName, readonly term: number, readonly proposer: string }
  | { readonly kind: 'promote', readonly server: ServerName, readonly term: number, readonly proposer: string }
  | { readonly kind: 'follow', readonly server: ServerName, readonly term: number, readonly proposer: string, readonly primary: ServerName }
  /** Write the view to the store unless the store holds a later term; the write may fail. */
  | { readonly kind: 'publish', readonly view: PrimaryView }
  | { readonly kind: 'primaryChanged', readonly view: PrimaryView }

/**
 * Returns the name of a proposer.
 * @param host - the host
 * @param id - differs for each state, also within a process: a later one does not
 *   know which terms were proposed
 * @returns a name that no other proposer uses
 */
export function proposerName (host: HostName, id: string): string {
  return `${host}#${id}`
}

/**
 * Creates the state before any event.
 * @param database - the database as the manifest declares it
 * @param proposer - from `proposerName`
 * @param settings - durations and counts
 * @returns a state without a rank, which sends nothing until `ranksChanged` sets one
 */
export function initialFailoverState (database: DatabaseDeclaration, proposer: string, settings: FailoverSettings): FailoverState {
  const group = emptyGroupView(database.name, serverNames(database))
  return {
    settings,
    proposer,
    group,
    active: activeServerNames(database),
    rank: undefined,
    health: {},
    proposal: idleProposal,
    lastProposedTerm: 0,
    failureSinceMs: undefined,
    retryAtMs: 0,
    lastTickMs: undefined,
    notFollowing: {},
    announcedView: emptyView(database.name)
  }
}

function emptyView (database: DatabaseName): PrimaryView {
  return primaryView(emptyGroupView(database, []))
}

/**
 * Lists the names of all servers of a database.
 * @param database - the database as the manifest declares it
 * @returns the names in the order of the manifest
 */
export function serverNames (database: DatabaseDeclaration): readonly ServerName[] {
  return database.servers.map(server => server.name)
}

/**
 * Lists the names of the servers that may become primary.
 * @param database - the database as the manifest declares it
 * @returns the names in the order of the manifest
 */
export function activeServerNames (database: DatabaseDeclaration): readonly ServerName[] {
  return database.servers.filter(server => server.state === 'active').map(server => server.name)
}
