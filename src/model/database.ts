// What is known of database servers.

import type { DatabaseName, ServerName } from './ids.js'
import type { ServerDeclaration } from './manifest.js'
import type { Position } from './position.js'

/** What a server says of itself. Received and applied differ by its lag. */
export type ServerStatus = {
  readonly server: ServerName
  readonly role: 'primary' | 'replica'
  /** Highest term that the server has accepted a fence for. */
  readonly fencedTerm: number
  /** Who fenced it. */
  readonly proposer: string
  readonly received: Position
  readonly applied: Position
  /** The term that it stands in, where it tells one: a promoted primary may have no entry of its term yet. */
  readonly term?: number | undefined
  /** Whether it was told to receive nothing, where it tells so. */
  readonly isPaused?: boolean | undefined
  /** How far the server says that it is behind in time; undefined where it does not tell. */
  readonly lagMs?: number | undefined
}

/** A server that registered itself. */
export type DiscoveredServer = Omit<ServerDeclaration, 'maxConnections'> & {
  readonly database: DatabaseName
}

/** Which server leads a database, as far as somebody knows. */
export type PrimaryView = {
  readonly database: DatabaseName
  readonly term: number
  readonly primary: ServerName | undefined
}
