// Which servers' dispatchers are assigned to this host, from the members and the
// declared databases.

import { dispatcherCandidates, placeDispatchers, placedDispatchers, rankDispatchers, type Member, type Placement } from '../members/index.js'
import type { DatabaseDeclaration, HostName, ServerName } from '../model/index.js'

/** The assignments of dispatchers, as one host sees them. */
export class Assignments {
  readonly #host: HostName
  #placement: Placement = placeDispatchers({ databases: [], live: [], listed: [] })

  /**
   * Starts without members and databases.
   * @param host - this host
   */
  constructor (host: HostName) {
    this.#host = host
  }

  /**
   * Applies the databases of the manifest in force.
   * @param databases - the databases
   */
  applyManifest (databases: readonly DatabaseDeclaration[]): void {
    this.#placement = placeDispatchers({ ...this.#placement.input, databases })
  }

  /**
   * Applies a change of the members.
   * @param live - members that answer
   * @param listed - all members of the host list
   * @returns whether a member has joined
   */
  updateMembers (live: readonly Member[], listed: readonly Member[]): boolean {
    const { input } = this.#placement
    this.#placement = placeDispatchers({ ...input, live, listed })
    return live.some(({ host }) => !input.live.some(other => other.host === host))
  }

  /**
   * Checks whether this host is the dispatcher of a server.
   * @param database - the database of the server
   * @param server - the server
   * @returns true if it is assigned here
   */
  isDispatcher (database: DatabaseDeclaration, server: ServerName): boolean {
    return placedDispatchers(this.#placement, database).get(server) === this.#host
  }

  /**
   * Checks whether this host is the dispatcher of any server of a database.
   * @param database - the database
   * @returns true if one is assigned here
   */
  isAssigned (database: DatabaseDeclaration): boolean {
    return [...placedDispatchers(this.#placement, database).values()].includes(this.#host)
  }

  /**
   * Checks whether this host accepts statements for a server. Membership views of
   * hosts may differ, so the host that would be next accepts them, too.
   * @param database - the database of the server
   * @param server - the server
   * @returns true for the assigned host and the next one
   */
  isCandidate (database: DatabaseDeclaration, server: ServerName): boolean {
    return dispatcherCandidates(this.#placement, database, server).includes(this.#host)
  }

  /**
   * Rank of this host among the dispatchers of a database.
   * @param database - the database
   * @returns 0 for the first; undefined where none is assigned here
   */
  rankOf (database: DatabaseDeclaration): number | undefined {
    const rank = rankDispatchers(database, placedDispatchers(this.#placement, database)).indexOf(this.#host)
    return rank < 0 ? undefined : rank
  }
}
