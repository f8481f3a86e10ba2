// The effective manifest: the manifest in force, completed with the discovered
// servers. Statements are checked and routed by it. Where the manifest declares the
// servers itself, nothing is added.

import { noServers, withDiscoveredServers, type ServersState } from '../discovery/index.js'
import type { Manifest } from '../model/index.js'

/** The manifest in force, completed with the discovered servers. */
export class EffectiveManifest {
  readonly #drainMs: number
  readonly #onChange: (manifest: Manifest) => void
  #declared: Manifest | undefined
  #servers: ServersState | undefined
  #manifest: Manifest | undefined

  /**
   * Starts without a manifest.
   * @param drainMs - time for which a server gets new statements after it announced that it leaves
   * @param onChange - called with the manifest after each change
   */
  constructor (drainMs: number, onChange: (manifest: Manifest) => void) {
    this.#drainMs = drainMs
    this.#onChange = onChange
  }

  /**
   * Returns the effective manifest.
   * @returns the manifest, or undefined where none is in force
   */
  current (): Manifest | undefined {
    return this.#manifest
  }

  /**
   * Checks whether every database has a server.
   * @returns false also where no manifest is in force
   */
  hasServers (): boolean {
    return this.#manifest !== undefined && this.#manifest.databases.every(database => database.servers.length > 0)
  }

  /**
   * Applies the manifest in force.
   * @param manifest - the manifest
   */
  applyManifest (manifest: Manifest): void {
    this.#declared = manifest
    this.#recompute()
  }

  /**
   * Applies the discovered servers.
   * @param servers - the servers
   */
  applyServers (servers: ServersState): void {
    this.#servers = servers
    this.#recompute()
  }

  #recompute (): void {
    if (this.#declared === undefined) return
    const registered = this.#servers !== undefined || this.#declared.databases.some(database => database.maxConnections !== undefined)
    this.#manifest = registered ? { ...this.#declared, databases: withDiscoveredServers(this.#declared.databases, this.#servers ?? noServers, this.#drainMs) } : this.#declared
    this.#onChange(this.#manifest)
  }
}
