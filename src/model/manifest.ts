// The manifest: everything that operators declare. It is accepted as a whole
// under a rising generation and never changed in place.

import type { AccountName, DatabaseName, FailureDomain, Generation, RouteName, ServerName } from './ids.js'

/** One key of a client account; only the digest is ever stored. */
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
  /** Weight in the fair queue. */
  readonly weight: number
}

/** One server of a database. */
export type ServerDeclaration = {
  readonly name: ServerName
  readonly ip: string
  readonly port: number
  readonly failureDomain: FailureDomain
  /** Statements that the server runs at a time. */
  readonly slots: number
  readonly maxConnections: number
  readonly state: 'active' | 'leaving'
}

/** One database: a group of servers that replicate one log. */
export type DatabaseDeclaration = {
  readonly name: DatabaseName
  /** Empty where servers register themselves. */
  readonly servers: readonly ServerDeclaration[]
  /** Bound of each server that registers itself. */
  readonly maxConnections?: number | undefined
  readonly state: 'active' | 'leaving'
}

/** Who may use a route. */
export type RouteAccess =
  | { readonly kind: 'open' }
  | { readonly kind: 'anyAccount' }
  | { readonly kind: 'accounts', readonly accounts: readonly AccountName[] }

/** What reads of a route have to cover. */
export type RouteConsistency =
  /** Every write acknowledged before the read came in. */
  | { readonly kind: 'newest' }
  | { readonly kind: 'age', readonly maxAgeMs: number }
  /** The session's own writes, and all writes older than the age. */
  | { readonly kind: 'ownWrites', readonly maxAgeMs: number }

/** How statements of a route are treated. */
export type RoutePolicy = {
  readonly freshness: RouteConsistency
  /** Longest time of one statement. */
  readonly timeoutMs: number
  /** Time in which a whole request should be answered. */
  readonly goalMs: number
  /** 0 is the most important. */
  readonly priority: number
}

/** One route: the schema name that a caller asks for. */
export type RouteDeclaration = {
  readonly name: RouteName
  readonly database: DatabaseName
  readonly access: RouteAccess
  /** Undefined: the host's own deadline, and the read level that the caller asks for. */
  readonly policy?: RoutePolicy | undefined
}

/** Everything that operators declare. */
export type Manifest = {
  readonly accounts: readonly AccountDeclaration[]
  readonly databases: readonly DatabaseDeclaration[]
  readonly routes: readonly RouteDeclaration[]
  /** Rate of all callers without a key together, on open routes. */
  readonly anonymous: { readonly ratePerS: number, readonly burst: number }
  /** Seats among which every rate and burst is divided; at least one a host. */
  readonly seats: number
  /** A transaction that is idle for this time is rolled back; undefined: the host's own bound. */
  readonly idleTransactionMs?: number | undefined
}

/** A manifest under the generation that it was accepted with. */
export type AcceptedManifest = {
  readonly generation: Generation
  readonly manifest: Manifest
}
