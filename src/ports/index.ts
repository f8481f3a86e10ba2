// Ports with which a proxy is configured: front end, database driver, store, and
// the sources of hosts, servers and the manifest. One set implements MySQL and
// the product's own store; another front end or platform provides its own set.

import type { ManifestResult } from '../config/index.js'
import type { AcceptedManifest, DatabaseName, DiscoveredServer, HostName, ListedMember, ServerName } from '../model/index.js'
import type { DatabaseDriver } from './database.js'
import type { FrontEnd } from './front.js'
import type { ObjectStore } from './store.js'

export * from './database.js'
export * from './errors.js'
export * from './front.js'
export * from './guard.js'
export * from './store.js'
export * from './store-era.js'
export * from './store-update.js'

/** Location of the manifest in the store. */
export type ManifestSource = {
  readonly kind: string
  readonly name: string
  /** Decodes a stored value; undefined where its format is invalid. */
  readonly decode: (value: unknown) => AcceptedManifest | undefined
  /** Validates the manifest before it is applied. */
  readonly check: (manifest: unknown) => ManifestResult
}

/** Source of the fleet's hosts. */
export type HostSource =
  /** The platform lists them. */
  | { readonly kind: 'listed', readonly list: () => Promise<readonly ListedMember[]> }
  /** Hosts register in the store, under this object kind. */
  | { readonly kind: 'registered', readonly objectKind: string }

/** Source of the servers of a database. */
export type ServerSource =
  /** The manifest declares them. */
  | { readonly kind: 'declared' }
  /**
   * Servers register in the store; `decode` returns undefined for an entry that
   * is not a usable server.
   */
  | { readonly kind: 'registered', readonly objectKind: string, readonly decode: (name: string, value: unknown) => DiscoveredServer | undefined }

/** Order to promote a server to primary. */
export type PromotionOrder = {
  readonly database: DatabaseName
  readonly server: ServerName
  readonly holder: HostName
  /** Fencing token; increases with each change of the holder. */
  readonly token: number
}

/** Result of a promotion order; `unknown`: the order may still take effect. */
export type PromotionResult = 'ordered' | 'refused' | 'unknown'

/** Method by which a server is promoted. */
export type PromotionMethod =
  /** The servers accept the promotion from the proposer that fenced a majority of them. */
  | { readonly kind: 'byQuorum' }
  /**
   * The platform promotes the server, on the order of the failover leader: the
   * host that holds the leader lease.
   */
  | { readonly kind: 'byLeader', readonly order: (order: PromotionOrder, timeoutMs: number) => Promise<PromotionResult> }

/** All ports of a proxy. */
export type ProxyPorts = {
  readonly frontEnd: FrontEnd
  readonly driver: DatabaseDriver
  readonly store: ObjectStore
  readonly manifest: ManifestSource
  readonly hosts: HostSource
  readonly servers: ServerSource
  readonly promotionMethod: PromotionMethod
}
