// The bounds of cold servers on this host: they follow from the declarations in force,
// and from whether this host can be sure to be the only dispatcher.

import type { Member } from '../members/index.js'
import type { DatabaseDeclaration, DatabaseName, HostName, ServerDeclaration, ServerName } from '../model/index.js'
import { coldBoundOf, isSoleDispatcher, soleAfterMembers, soleFromStart, type ColdBound, type PaceFall, type SoleDispatcher } from '../pace/index.js'
import type { DaemonContext } from './context.js'
import type { QueueLimits } from './dispatcher-queue.js'

/** Dependencies of the bounds. */
export type ColdBoundsSpec = {
  readonly context: Pick<DaemonContext, 'settings' | 'timers'>
  /** The declaration in force. */
  readonly declared: (database: DatabaseName) => DatabaseDeclaration | undefined
  /** The limit of statement starts per second for a cold server has changed; undefined: there is none. */
  readonly onColdLimit: (server: ServerName, perS: number | undefined) => void
  /** The number of statements that a server is given at once has fallen, to `slots`. */
  readonly onPaceFall: (server: ServerName, cause: PaceFall, slots: number) => void
}

/** The bounds of cold servers. */
export class ColdBounds {
  readonly #spec: ColdBoundsSpec
  #sole: SoleDispatcher = soleFromStart

  /**
   * Starts without members.
   * @param spec - dependencies of the bounds
   */
  constructor (spec: ColdBoundsSpec) {
    this.#spec = spec
  }

  /**
   * Applies a change of the members.
   * @param live - members that answer
   * @param unresponsive - members that were found unresponsive
   */
  updateMembers (live: readonly Member[], unresponsive: ReadonlySet<HostName>): void {
    this.#sole = soleAfterMembers(this.#sole, live, unresponsive, this.#spec.context.timers.nowMs())
  }

  /**
   * Whether a server is cold now and has a bound.
   * @param database - the database
   * @param server - the server
   * @returns false also where the configuration has no bound
   */
  isCold (database: DatabaseDeclaration, server: ServerDeclaration): boolean {
    return this.#boundOf(database, server)?.current !== undefined
  }

  /**
   * Makes the limits of a server's queue, which read the declaration in force.
   * @param database - the database
   * @param server - the server
   * @returns the limits
   */
  limitsOf (database: DatabaseName, server: ServerName): QueueLimits {
    const { declared, onColdLimit, onPaceFall } = this.#spec
    return {
      coldBound: () => {
        const current = declared(database)
        const currentServer = current?.servers.find(({ name }) => name === server)
        return current === undefined || currentServer === undefined ? undefined : this.#boundOf(current, currentServer)
      },
      onColdLimit: perS => { onColdLimit(server, perS) },
      onPaceFall: (cause, slots) => { onPaceFall(server, cause, slots) }
    }
  }

  #boundOf (database: DatabaseDeclaration, server: ServerDeclaration): ColdBound | undefined {
    const { settings, timers } = this.#spec.context
    const nowMs = timers.nowMs()
    return coldBoundOf({ database, server, settings: settings.control, isAlone: isSoleDispatcher(this.#sole, nowMs), nowMs })
  }
}
