// Status of database servers and their roles.

import type { DatabaseName, ServerName } from './ids.js'
import type { ServerDeclaration } from './manifest.js'
import type { Position } from './position.js'

/**
 * Status that a server reports. On a replica, `applied` is behind `received` by
 * its apply lag.
 */
export type ServerStatus = {
  readonly server: ServerName
  readonly role: 'primary' | 'replica'
  /** Highest term for which the server has accepted a fence. */
  readonly fencedTerm: number
  /** Proposer of that fence. */
  readonly proposer: string
  readonly received: Position
  readonly applied: Position
  /**
   * Current term of the server, where it reports one: a newly promoted primary
   * may have no log entry of its term yet.
   */
  readonly term?: number | undefined
  /**
   * Whether replication to the server is paused; undefined where it does not
   * report this.
   */
  readonly isPaused?: boolean | undefined
  /** Replication lag that the server reports; undefined where it does not report one. */
  readonly lagMs?: number | undefined
}

/** A server that registered itself in the store. */
export type DiscoveredServer = Omit<ServerDeclaration, 'maxConnections' | 'newWorkUntilMs' | 'coldUntilMs'> & {
  readonly database: DatabaseName
  /** Time for which the server is still cold, as of its entry; undefined: it is not, or the entry does not say. */
  readonly coldLeftMs?: number | undefined
  /** Identifies the start of the server, where its entry does. */
  readonly startId?: string | undefined
}

/** The primary of a database, as one host last observed it. */
export type PrimaryView = {
  readonly database: DatabaseName
  readonly term: number
  readonly primary: ServerName | undefined
}
