// The effective manifest: the manifest in force, completed with the discovered
// servers and changed by the evacuations of failure domains. Statements are checked
// and routed by it. Where the manifest declares the servers itself, none is added.
// Where the settings have `evacuate_ms`, no server is used before the evacuations
// are known.

import type { ControlSettings } from '../config/index.js'
import { noServers, withDiscoveredServers, type ServersState } from '../discovery/index.js'
import { areEvacuationsKnown, unknownEvacuations, withEvacuations, type EvacuationsState } from '../evacuation/index.js'
import type { DatabaseDeclaration, Manifest } from '../model/index.js'

/** Settings of the effective manifest. */
export type EffectiveManifestSettings = Pick<ControlSettings, 'drainMs' | 'evacuateMs'>

/** The manifest in force, completed with the discovered servers. */
export class EffectiveManifest {
  readonly #settings: EffectiveManifestSettings
  readonly #onChange: (manifest: Manifest) => void
  #declared: Manifest | undefined
  #servers: ServersState | undefined
  #evacuations = unknownEvacuations
  #manifest: Manifest | undefined

  /**
   * Starts without a manifest.
   * @param settings - times for which a leaving or evacuated server gets new statements
   * @param onChange - called with the manifest after each change
   */
  constructor (settings: EffectiveManifestSettings, onChange: (manifest: Manifest) => void) {
    this.#settings = settings
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

  /**
   * Applies the evacuations of failure domains.
   * @param evacuations - the evacuations
   */
  applyEvacuations (evacuations: EvacuationsState): void {
    this.#evacuations = evacuations
    this.#recompute()
  }

  #recompute (): void {
    if (this.#declared === undefined) return
    const databases = this.#usable(this.#withServers(this.#declared.databases))
    this.#manifest = databases === this.#declared.databases ? this.#declared : { ...this.#declared, databases }
    this.#onChange(this.#manifest)
  }

  #withServers (databases: readonly DatabaseDeclaration[]): readonly DatabaseDeclaration[] {
    const registered = this.#servers !== undefined || databases.some(database => database.maxConnections !== undefined)
    return registered ? withDiscoveredServers(databases, this.#servers ?? noServers, this.#settings.drainMs) : databases
  }

  #usable (databases: readonly DatabaseDeclaration[]): readonly DatabaseDeclaration[] {
    const { evacuateMs } = this.#settings
    if (evacuateMs === undefined) return databases
    if (!areEvacuationsKnown(this.#evacuations)) return databases.map(database => ({ ...database, servers: [] }))
    return withEvacuations(databases, this.#evacuations, evacuateMs)
  }
}
