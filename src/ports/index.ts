// What a proxy is joined with: front end, database driver, store, and where
// hosts, servers and the manifest are found. One set speaks MySQL and the
// product's own store; another front end or platform brings a set of its own.

import type { ManifestResult } from '../config/index.js'
import type { AcceptedManifest, DatabaseName, DiscoveredServer, HostName, ListedMember, ServerName } from '../model/index.js'
import type { DatabaseDriver } from './database.js'
import type { FrontEnd } from './front.js'
import type { ObjectStore } from './store.js'

export * from './database.js'
export * from './errors.js'
export * from './front.js'
export * from './store.js'
export * from './store-update.js'

/** Where the manifest stands. */
export type ManifestSource = {
  readonly kind: string
  readonly name: string
  /** Reads a stored value; undefined where it is not of the agreed form. */
  readonly decode: (value: unknown) => AcceptedManifest | undefined
  /** Checks the manifest before it is applied. */
  readonly check: (manifest: unknown) => ManifestResult
}

/** Where the hosts of the fleet are found. */
export type HostSource =
  /** The platform lists them. */
  | { readonly kind: 'listed', readonly list: () => Promise<readonly ListedMember[]> }
  /** They register in the store, under this kind. */
  | { readonly kind: 'registered', readonly objectKind: string }

/** Where the servers of a database are found. */
export type ServerSource =
  /** The manifest declares them. */
  | { readonly kind: 'declared' }
  /** They register in the store; `decode` gives undefined for what names no server to use. */
  | { readonly kind: 'registered', readonly objectKind: string, readonly decode: (name: string, value: unknown) => DiscoveredServer | undefined }

/** An order to make a server primary. */
export type PromotionOrder = {
  readonly database: DatabaseName
  readonly server: ServerName
  readonly holder: HostName
  /** Rises with each change of the holder. */
  readonly token: number
}

/** What became of an order; `unknown`: it may still take effect. */
export type PromotionResult = 'ordered' | 'refused' | 'unknown'

/** Who makes a server primary. */
export type PromotionMethod =
  /** The servers themselves, for the proposer that fenced a majority. */
  | { readonly kind: 'byServers' }
  /** The platform, on the order of the one host that holds the duty. */
  | { readonly kind: 'byDuty', readonly order: (order: PromotionOrder, timeoutMs: number) => Promise<PromotionResult> }

/** Everything that a proxy is joined with. */
export type ProxyPorts = {
  readonly front: FrontEnd
  readonly driver: DatabaseDriver
  readonly store: ObjectStore
  readonly manifest: ManifestSource
  readonly hosts: HostSource
  readonly servers: ServerSource
  readonly promotionMethod: PromotionMethod
}
