// Watches of one database's servers. For servers that report their status only when
// they are queried, this module also decides when a query is due.

import { redirectedAddress } from '../config/index.js'
import type { DatabaseDeclaration, ServerDeclaration, ServerName } from '../model/index.js'
import type { Port } from '../pipe/index.js'
import type { DaemonContext } from './context.js'
import type { DatabaseMessage, DatabaseView } from './database-step.js'
import { ServerWatch, type WatchHooks, type WatchReport } from './server-watch.js'

/** A primary without contact for this time is queried for its status. */
const primaryStatusPeriodMs = 250
/** The same for a replica. */
const replicaStatusPeriodMs = 600
/**
 * Time for which an observation of another host replaces status queries by this
 * host.
 */
const observedValidMs = 1000

/** Dependencies of the watches. */
export type WatchesSpec = {
  readonly context: DaemonContext
  readonly database: DatabaseDeclaration
  /**
   * A watched connection was unresponsive while a new one works; other
   * connections to that server may be unresponsive, too.
   */
  readonly onWasUnresponsive: (server: ServerName) => void
  /** Whether the status of the servers is needed on this host now. */
  readonly isWatched: () => boolean
  /** A connection to the server was lost. */
  readonly onConnectionLost: (server: ServerName) => void
  readonly view: () => DatabaseView
}

/** Watches of one database's servers. */
export class Watches {
  readonly #spec: WatchesSpec
  readonly #watches = new Map<ServerName, ServerWatch>()
  #declared: readonly ServerDeclaration[] = []

  /**
   * Starts without servers.
   * @param spec - dependencies of the watches
   */
  constructor (spec: WatchesSpec) {
    this.#spec = spec
  }

  /**
   * Finds the watch of a server.
   * @param server - the server
   * @returns the watch, or undefined where the server is not declared
   */
  get (server: ServerName): ServerWatch | undefined {
    return this.#watches.get(server)
  }

  /**
   * Finds the declaration of a server.
   * @param server - the server
   * @returns the declaration, or undefined where the server is not declared
   */
  declaredServer (server: ServerName): ServerDeclaration | undefined {
    return this.#declared.find(declared => declared.name === server)
  }

  /**
   * Starts and stops watches after a change of the servers.
   * @param servers - the servers
   * @param port - mailbox of the database's task, which receives the reports
   */
  change (servers: readonly ServerDeclaration[], port: Port<DatabaseMessage>): void {
    this.#declared = servers
    for (const [name, watch] of this.#watches) {
      const declared = servers.find(server => server.name === name)
      if (declared !== undefined && sameAddress(watch, redirectedAddress(this.#spec.context.settings.links, declared))) continue
      watch.stop()
      this.#watches.delete(name)
    }
    for (const server of servers) {
      if (!this.#watches.has(server.name)) this.#watches.set(server.name, this.#start(server, port))
    }
  }

  /** Stops all watches. */
  stop (): void {
    for (const watch of this.#watches.values()) watch.stop()
  }

  #start (server: ServerDeclaration, port: Port<DatabaseMessage>): ServerWatch {
    const { context, database, onWasUnresponsive } = this.#spec
    const { timers, settings } = context
    const onReport = (report: WatchReport): void => {
      const nowMs = timers.nowMs()
      switch (report.kind) {
        case 'status': {
          port.send({ kind: 'status', status: report.status, sentAtMs: report.sentAtMs, nowMs })
          break
        }
        case 'connectionLost': {
          port.send({ kind: 'failover', event: { kind: 'connectionLost', server: server.name, nowMs } })
          this.#spec.onConnectionLost(server.name)
          break
        }
        case 'wasUnresponsive': {
          onWasUnresponsive(server.name)
          break
        }
        case 'busy': {
          port.send({ kind: 'failover', event: { kind: 'probeAnswered', server: server.name, nowMs } })
          break
        }
      }
    }
    const hooks: WatchHooks = { report: onReport, dueInMs: () => this.#spec.isWatched() ? statusDueInMs(this.#spec.view(), server.name, timers.nowMs()) : Infinity }
    return new ServerWatch(context, database.name, server.name, redirectedAddress(settings.links, server), hooks)
  }
}

function sameAddress (watch: ServerWatch, address: { readonly ip: string, readonly port: number }): boolean {
  return watch.address.ip === address.ip && watch.address.port === address.port
}

// A status query is postponed by an observation of another host and by any contact
// with the server.
function statusDueInMs (view: DatabaseView, server: ServerName, nowMs: number): number {
  const observedForMs = nowMs - view.observedAtMs
  if (observedForMs < observedValidMs) return observedValidMs - observedForMs
  const periodMs = server === view.primary.primary ? primaryStatusPeriodMs : replicaStatusPeriodMs
  return (view.lastContactAtMs.get(server) ?? -Infinity) + periodMs - nowMs
}
