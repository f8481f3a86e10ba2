// The manifest: the complete configuration that operators declare. Each version
// is accepted as a whole under a new, higher generation and is immutable.

import type { AccountName, DatabaseName, FailureDomain, Generation, RouteName, ServerName } from './ids.js'

/** One key of a client account; only its digest is stored. */
export type KeyDeclaration = {
  readonly id: string
  /** SHA1(SHA1(key)) in hex: what MySQL's native password check compares. */
  readonly digest: string
}

/** One client account. */
export type AccountDeclaration = {
  readonly name: AccountName
  readonly keys: readonly KeyDeclaration[]
  readonly ratePerS: number
  readonly burst: number
  /** Weight in weighted fair queueing. */
  readonly weight: number
}

/** One server of a database. */
export type ServerDeclaration = {
  readonly name: ServerName
  readonly ip: string
  readonly port: number
  readonly failureDomain: FailureDomain
  /** Maximum number of statements that the server runs concurrently. */
  readonly slots: number
  readonly maxConnections: number
  /** `leaving`: the server is being decommissioned; it serves no reads as a replica. */
  readonly state: 'active' | 'leaving'
  /**
   * Monotonic time of this host until which the server may get new statements, where
   * it registered itself and leaves; undefined: no end is known.
   */
  readonly newWorkUntilMs?: number | undefined
  /**
   * Monotonic time of this host until which the server is cold: slow after its start
   * or return; undefined: it is not.
   */
  readonly coldUntilMs?: number | undefined
}

/**
 * Whether a server may get new statements: single ones, and the first of a
 * transaction.
 * @param server - the server; undefined: not known here
 * @param nowMs - monotonic time
 * @returns false once the drain time of the server is over
 */
export function acceptsNewWork (server: Pick<ServerDeclaration, 'newWorkUntilMs'> | undefined, nowMs: number): boolean {
  return server?.newWorkUntilMs === undefined || nowMs < server.newWorkUntilMs
}

/** One database: a group of servers that replicate one log. */
export type DatabaseDeclaration = {
  readonly name: DatabaseName
  /** Empty where the servers register themselves in the store. */
  readonly servers: readonly ServerDeclaration[]
  /** Connection limit of each server that registers itself. */
  readonly maxConnections?: number | undefined
  /** Time for which a server is cold after it returned, in seconds; undefined or 0: no bound for cold servers. */
  readonly coldS?: number | undefined
  /** Statements per second that a cold server is given; undefined or 0: no bound. */
  readonly coldPerS?: number | undefined
  /** `leaving`: the database is being decommissioned; only open transactions continue. */
  readonly state: 'active' | 'leaving'
}

/**
 * Whether a database declares a bound for cold servers; a value of 0 means none.
 * @param database - the database
 * @returns true if both values are above 0
 */
export function hasColdBound (database: Pick<DatabaseDeclaration, 'coldS' | 'coldPerS'>): boolean {
  return (database.coldS ?? 0) > 0 && (database.coldPerS ?? 0) > 0
}

/** Access control of a route. */
export type RouteAccess =
  | { readonly kind: 'open' }
  | { readonly kind: 'anyAccount' }
  | { readonly kind: 'accounts', readonly accounts: readonly AccountName[] }

/** Read consistency that a route declares. */
export type RouteConsistency =
  /** Strong read: covers every write acknowledged before the read arrived. */
  | { readonly kind: 'newest' }
  /** Bounded-staleness read: covers all writes older than `maxAgeMs`. */
  | { readonly kind: 'age', readonly maxAgeMs: number }
  /** Covers the session's own writes and all writes older than `maxAgeMs`. */
  | { readonly kind: 'ownWrites', readonly maxAgeMs: number }

/** Consistency, timeout and priority of the statements of a route. */
export type RoutePolicy = {
  /** Read consistency; `freshness` is its field name in the manifest. */
  readonly freshness: RouteConsistency
  /** Timeout of one statement. */
  readonly timeoutMs: number
  /** Latency objective of a whole request. */
  readonly goalMs: number
  /** 0 is the highest priority. */
  readonly priority: number
}

/** One route: a schema name that callers connect to, and the database behind it. */
export type RouteDeclaration = {
  readonly name: RouteName
  readonly database: DatabaseName
  readonly access: RouteAccess
  /**
   * Undefined: the default deadline of the host and the read level that the
   * caller asks for apply.
   */
  readonly policy?: RoutePolicy | undefined
}

/** The complete configuration of the fleet. */
export type Manifest = {
  readonly accounts: readonly AccountDeclaration[]
  readonly databases: readonly DatabaseDeclaration[]
  readonly routes: readonly RouteDeclaration[]
  /** Rate limit of all callers without a key together, on open routes. */
  readonly anonymous: { readonly ratePerS: number, readonly burst: number }
  /**
   * Number of quota partitions into which every rate and burst is divided; at
   * least one per host. `seats` is the operators' field name.
   */
  readonly seats: number
  /**
   * Time after which an idle transaction is rolled back; undefined: the default
   * of the host applies.
   */
  readonly idleTransactionMs?: number | undefined
}

/** A manifest with the generation under which it was accepted. */
export type AcceptedManifest = {
  readonly generation: Generation
  readonly manifest: Manifest
}
