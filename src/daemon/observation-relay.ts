// Reduces the status queries that servers receive. The dispatcher of a database's
// primary is the observer, which watches the servers; the other hosts that are
// assigned to the database query the observer. Where it doesn't answer, each host
// queries the servers itself.

import type { DatabaseName, HostName, Observation } from '../model/index.js'
import type { DaemonContext } from './context.js'
import type { Databases } from './databases.js'
import type { PeerLinks } from './peers.js'
import type { RoutingTable } from './routing.js'

/** Dependencies of the observation relay. */
export type ObservationRelaySpec = {
  readonly context: DaemonContext
  readonly links: PeerLinks
  readonly databases: Databases
  readonly routing: RoutingTable
}

const queryPeriodMs = 300
const queryTimeoutMs = 300

/**
 * Starts to query the observers of all databases periodically.
 * @param spec - dependencies of the relay
 */
export function startObservationRelay (spec: ObservationRelaySpec): void {
  const { timers } = spec.context
  timers.every(queryPeriodMs, {
    send: () => {
      for (const { declaration } of spec.databases.all()) {
        if (spec.databases.isWatched(declaration.name)) void queryObserver(spec, declaration.name)
      }
      return 'accepted'
    }
  })
}

/**
 * Returns this host's observation of a database, where this host is the observer.
 * @param spec - dependencies of the relay
 * @param database - the database
 * @returns the observation, or undefined where another host is the observer
 */
export function localObservation (spec: ObservationRelaySpec, database: DatabaseName): Observation | undefined {
  const isObserver = observerOf(spec, database) === spec.context.settings.host.name
  return isObserver ? spec.databases.task(database)?.observation() : undefined
}

async function queryObserver (spec: ObservationRelaySpec, database: DatabaseName): Promise<void> {
  const observer = observerOf(spec, database)
  if (observer === undefined || observer === spec.context.settings.host.name) return
  const sentAtMs = spec.context.timers.nowMs()
  const { observation } = await spec.links.call(observer, 'observe', { database }, queryTimeoutMs).catch(() => ({ observation: undefined }))
  if (observation !== undefined) spec.databases.task(database)?.recordObservation(observation, sentAtMs)
}

function observerOf (spec: ObservationRelaySpec, database: DatabaseName): HostName | undefined {
  const primary = spec.databases.task(database)?.view.get().primary.primary
  return primary === undefined ? undefined : spec.routing.dispatchers(database).get(primary)
}
