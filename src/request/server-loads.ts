// What the replies of dispatchers tell about the servers' load, for the decisions about
// further attempts.

import type { HostName, ServerLoad, ServerName } from '../model/index.js'

/**
 * Fraction of a server's average service time that an attempt is assumed to take at
 * least. Many statements are faster than the average.
 */
const minServiceFraction = 0.5

/** Loads of the servers, as the last reply of each told. */
export class ServerLoads {
  readonly #serviceMs = new Map<ServerName, number>()
  readonly #reporters = new Set<HostName>()

  /**
   * Records the load in a reply.
   * @param dispatcher - host that sent the reply
   * @param server - the server
   * @param load - its load; undefined in a reply of an earlier version
   */
  record (dispatcher: HostName, server: ServerName, load: ServerLoad | undefined): void {
    if (load === undefined) return
    this.#serviceMs.set(server, load.serviceMs)
    this.#reporters.add(dispatcher)
  }

  /**
   * Shortest time that an attempt at a server is expected to take.
   * @param server - the server
   * @returns the time; 0 where nothing is known
   */
  minAttemptMs (server: ServerName): number {
    return (this.#serviceMs.get(server) ?? 0) * minServiceFraction
  }

  /**
   * Checks whether a dispatcher understands `cancel`, which came with the load in its
   * replies. An earlier version would answer it with an error, as a failed link does.
   * @param dispatcher - the host
   * @returns true once a reply of it contained a load
   */
  takesCancel (dispatcher: HostName): boolean {
    return this.#reporters.has(dispatcher)
  }
}
