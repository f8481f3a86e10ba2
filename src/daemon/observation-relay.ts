// Spares the servers questions: the home of a database's primary watches its
// servers, and the other hosts with a duty for the database ask that home.
// Where it does not answer, each asks the servers itself.

import type { DatabaseName, HostName, Observation } from '../model/index.js'
import type { DaemonContext } from './context.js'
import type { Databases } from './databases.js'
import type { PeerLinks } from './peers.js'
import type { RoutingTable } from './routing.js'

/** What observing needs. */
export type ObservationRelaySpec = {
  readonly context: DaemonContext
  readonly links: PeerLinks
  readonly databases: Databases
  readonly routing: RoutingTable
}

const askEveryMs = 300
const askTimeoutMs = 300

/**
 * Starts to ask the homes of primaries.
 * @param spec - what it needs
 */
export function startObservationRelay (spec: ObservationRelaySpec): void {
  const { timers } = spec.context
  timers.every(askEveryMs, {
    send: () => {
      for (const { declaration } of spec.databases.all()) void askObserver(spec, declaration.name)
      return 'accepted'
    }
  })
}

/**
 * Tells what this host knows, where it watches the servers itself.
 * @param spec - the parts
 * @param database - the database
 * @returns the observation, or undefined where another host watches
 */
export function localObservation (spec: ObservationRelaySpec, database: DatabaseName): Observation | undefined {
  const isObserver = observerOf(spec, database) === spec.context.settings.host.name
  return isObserver ? spec.databases.task(database)?.observation() : undefined
}

async function askObserver (spec: ObservationRelaySpec, database: DatabaseName): Promise<void> {
  const observer = observerOf(spec, database)
  if (observer === undefined || observer === spec.context.settings.host.name) return
  const askedAtMs = spec.context.timers.nowMs()
  const { observation } = await spec.links.call(observer, 'observe', { database }, askTimeoutMs).catch(() => ({ observation: undefined }))
  if (observation !== undefined) spec.databases.task(database)?.recordObservation(observation, askedAtMs)
}

function observerOf (spec: ObservationRelaySpec, database: DatabaseName): HostName | undefined {
  const primary = spec.databases.task(database)?.view.get().primary.primary
  return primary === undefined ? undefined : spec.routing.dispatchers(database).get(primary)
}
