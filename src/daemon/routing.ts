// Routing table of this host: the live members, the primary of each database and
// the last observed applied position of each server. Replies from dispatchers keep
// it up to date.

import { dispatchersOf, type Member } from '../members/index.js'
import type { DatabaseDeclaration, DatabaseName, HostName, Position, PrimaryView, ServerName } from '../model/index.js'
import type { ObservedPosition, RoutingView } from '../request/index.js'

/** Routing table of this host. */
export class RoutingTable {
  #members: readonly Member[] = []
  #databases: ReadonlyMap<DatabaseName, DatabaseDeclaration> = new Map()
  readonly #dispatchers = new Map<DatabaseName, ReadonlyMap<ServerName, HostName>>()
  readonly #primaries = new Map<DatabaseName, PrimaryView>()
  readonly #applied = new Map<ServerName, ObservedPosition>()

  /**
   * Applies a change of the live members.
   * @param members - the members
   */
  updateMembers (members: readonly Member[]): void {
    this.#members = members
    this.#dispatchers.clear()
  }

  /**
   * Applies the databases of the manifest in force.
   * @param databases - the databases
   */
  updateDatabases (databases: readonly DatabaseDeclaration[]): void {
    this.#databases = new Map(databases.map(database => [database.name, database]))
    this.#dispatchers.clear()
  }

  /**
   * Records the primary of a database; an earlier term never replaces a later one.
   * @param view - the reported primary and its term
   */
  recordPrimary (view: PrimaryView): void {
    const recorded = this.#primaries.get(view.database)
    const isNewer = recorded === undefined || view.term > recorded.term || (view.term === recorded.term && view.primary !== undefined)
    if (isNewer) this.#primaries.set(view.database, view)
  }

  /**
   * Records the applied position of a server.
   * @param server - the server
   * @param applied - its applied position
   * @param nowMs - monotonic time
   */
  recordApplied (server: ServerName, applied: Position, nowMs: number): void {
    this.#applied.set(server, { applied, observedAtMs: nowMs })
  }

  /**
   * Finds the dispatcher of each server of a database.
   * @param database - the database
   * @returns the dispatchers; empty where the database is unknown
   */
  dispatchers (database: DatabaseName): ReadonlyMap<ServerName, HostName> {
    const cached = this.#dispatchers.get(database)
    if (cached !== undefined) return cached
    const declared = this.#databases.get(database)
    const dispatchers = declared === undefined ? new Map<ServerName, HostName>() : dispatchersOf(declared, this.#members)
    this.#dispatchers.set(database, dispatchers)
    return dispatchers
  }

  /**
   * Returns the data that the routing of a statement uses.
   * @param database - the database
   * @returns primary, dispatchers and applied positions
   */
  view (database: DatabaseName): RoutingView {
    const primary = this.#primaries.get(database) ?? { database, term: 0, primary: undefined }
    return { primary, dispatchers: this.dispatchers(database), applied: this.#applied }
  }
}
