// State, events and effects of the failover of one database at one home.

import type { DatabaseDeclaration, DatabaseName, HostName, Position, PrimaryView, ServerName, ServerStatus } from '../model/index.js'
import { emptyGroupView, primaryView, type GroupView } from './group-view.js'
import type { Health, ProbeFailure } from './health.js'
import { idleProposal, type Proposal } from './proposal.js'
import type { FailoverSettings } from './settings.js'

/** A server that does not follow the primary. */
export type OutOfLine = {
  readonly sinceMs: number
  readonly followSentAtMs: number | undefined
}

/** What a home keeps for the failover of one database. */
export type FailoverState = {
  readonly settings: FailoverSettings
  /** Host and incarnation: no two processes ever share it. */
  readonly proposer: string
  readonly group: GroupView
  readonly active: readonly ServerName[]
  /** Place among the homes of the database; undefined: no duty. */
  readonly rank: number | undefined
  readonly health: Health
  readonly proposal: Proposal
  readonly lastProposedTerm: number
  readonly failureSinceMs: number | undefined
  readonly retryAtMs: number
  readonly lastTickMs: number | undefined
  readonly outOfLine: Readonly<Record<ServerName, OutOfLine>>
  /** The view that was last announced. */
  readonly announced: PrimaryView
}

/** A call to a server that changes its role. */
export type ServerCall = 'fence' | 'promote' | 'follow'

/** A server answered a call. */
export type CallAnswered = {
  readonly server: ServerName
  readonly term: number
  readonly accepted: boolean
  readonly status: ServerStatus
  readonly nowMs: number
}

/** A call broke off; nobody can tell whether it took effect. */
export type CallFailed = {
  readonly call: ServerCall
  readonly server: ServerName
  readonly term: number
  readonly nowMs: number
}

/** What happens to the failover of a database. Times are monotonic. */
export type FailoverEvent =
  | { readonly kind: 'statusReceived', readonly status: ServerStatus, readonly nowMs: number }
  | { readonly kind: 'connectionLost', readonly server: ServerName, readonly nowMs: number }
  /** A statement was answered; the position is what the server has applied. */
  | { readonly kind: 'answerSeen', readonly server: ServerName, readonly position: Position, readonly nowMs: number }
  /** Another host told a status. */
  | { readonly kind: 'statusRelayed', readonly status: ServerStatus, readonly heardAgoMs: number, readonly nowMs: number }
  | { readonly kind: 'probeAnswered', readonly server: ServerName, readonly nowMs: number }
  | { readonly kind: 'probeFailed', readonly server: ServerName, readonly failure: ProbeFailure, readonly nowMs: number }
  | { readonly kind: 'ranksChanged', readonly rank: number | undefined, readonly nowMs: number }
  | { readonly kind: 'manifestChanged', readonly database: DatabaseDeclaration, readonly nowMs: number }
  | { readonly kind: 'fenceAnswered' } & CallAnswered
  | { readonly kind: 'promoteAnswered' } & CallAnswered
  | { readonly kind: 'followAnswered' } & CallAnswered
  | { readonly kind: 'callFailed' } & CallFailed
  /** `random` is drawn evenly from [0, 1). */
  | { readonly kind: 'tick', readonly nowMs: number, readonly random: number }

/** What is to be done about it. */
export type FailoverEffect =
  /** Open a fresh connection and ask for the status. */
  | { readonly kind: 'probe', readonly server: ServerName }
  | { readonly kind: 'fence', readonly server: ServerName, readonly term: number, readonly proposer: string }
  | { readonly kind: 'promote', readonly server: ServerName, readonly term: number, readonly proposer: string }
  | { readonly kind: 'follow', readonly server: ServerName, readonly term: number, readonly proposer: string, readonly primary: ServerName }
  /** Write the view to the store, unless it holds a later term; may fail. */
  | { readonly kind: 'publish', readonly view: PrimaryView }
  | { readonly kind: 'primaryChanged', readonly view: PrimaryView }

/**
 * Names a proposer.
 * @param host - the host
 * @param incarnation - differs at each start of the process
 * @returns a name that no other process has
 */
export function proposerName (host: HostName, incarnation: string): string {
  return `${host}#${incarnation}`
}

/**
 * The state before anything is known.
 * @param database - the database as the manifest declares it
 * @param proposer - from `proposerName`
 * @param settings - times and counts
 * @returns a state without duty until `ranksChanged`
 */
export function initialFailoverState (database: DatabaseDeclaration, proposer: string, settings: FailoverSettings): FailoverState {
  const group = emptyGroupView(database.name, serverNames(database))
  return {
    settings,
    proposer,
    group,
    active: activeNames(database),
    rank: undefined,
    health: {},
    proposal: idleProposal,
    lastProposedTerm: 0,
    failureSinceMs: undefined,
    retryAtMs: 0,
    lastTickMs: undefined,
    outOfLine: {},
    announced: noView(database.name)
  }
}

function noView (database: DatabaseName): PrimaryView {
  return primaryView(emptyGroupView(database, []))
}

/**
 * Names all servers of a database.
 * @param database - the database as the manifest declares it
 * @returns the names in the order of the manifest
 */
export function serverNames (database: DatabaseDeclaration): readonly ServerName[] {
  return database.servers.map(server => server.name)
}

/**
 * Names the servers of a database that may become primary.
 * @param database - the database as the manifest declares it
 * @returns the names in the order of the manifest
 */
export function activeNames (database: DatabaseDeclaration): readonly ServerName[] {
  return database.servers.filter(server => server.state === 'active').map(server => server.name)
}
