// What this host knows for routing: the live members, the primary of each
// database and how far replicas were seen. Answers from homes keep it fresh.

import { dispatchersOf, type Member } from '../members/index.js'
import type { DatabaseDeclaration, DatabaseName, HostName, Position, PrimaryView, ServerName } from '../model/index.js'
import type { ObservedPosition, RoutingView } from '../request/index.js'

/** What this host knows for routing. */
export class RoutingTable {
  #members: readonly Member[] = []
  #databases: ReadonlyMap<DatabaseName, DatabaseDeclaration> = new Map()
  readonly #homes = new Map<DatabaseName, ReadonlyMap<ServerName, HostName>>()
  readonly #primaries = new Map<DatabaseName, PrimaryView>()
  readonly #applied = new Map<ServerName, ObservedPosition>()

  /**
   * Takes the live members.
   * @param members - the members
   */
  updateMembers (members: readonly Member[]): void {
    this.#members = members
    this.#homes.clear()
  }

  /**
   * Takes the databases of the manifest in force.
   * @param databases - the databases
   */
  updateDatabases (databases: readonly DatabaseDeclaration[]): void {
    this.#databases = new Map(databases.map(database => [database.name, database]))
    this.#homes.clear()
  }

  /**
   * Learns who leads a database; an earlier term never replaces a later one.
   * @param view - what somebody said
   */
  recordPrimary (view: PrimaryView): void {
    const known = this.#primaries.get(view.database)
    const isNews = known === undefined || view.term > known.term || (view.term === known.term && view.primary !== undefined)
    if (isNews) this.#primaries.set(view.database, view)
  }

  /**
   * Learns how far a server has applied its log.
   * @param server - the server
   * @param applied - its applied position
   * @param nowMs - the time
   */
  recordApplied (server: ServerName, applied: Position, nowMs: number): void {
    this.#applied.set(server, { applied, observedAtMs: nowMs })
  }

  /**
   * The home of each server of a database.
   * @param database - the database
   * @returns the homes; empty where the database is unknown
   */
  dispatchers (database: DatabaseName): ReadonlyMap<ServerName, HostName> {
    const known = this.#homes.get(database)
    if (known !== undefined) return known
    const declared = this.#databases.get(database)
    const homes = declared === undefined ? new Map<ServerName, HostName>() : dispatchersOf(declared, this.#members)
    this.#homes.set(database, homes)
    return homes
  }

  /**
   * Everything that routing one statement needs.
   * @param database - the database
   * @returns the view
   */
  view (database: DatabaseName): RoutingView {
    const primary = this.#primaries.get(database) ?? { database, term: 0, primary: undefined }
    return { primary, dispatchers: this.dispatchers(database), applied: this.#applied }
  }
}
