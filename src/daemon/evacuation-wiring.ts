// Connects the evacuation task to the settings and the events of a proxy.

import { unknownDomains, type EvacuationsState } from '../evacuation/index.js'
import type { Member } from '../members/index.js'
import type { DatabaseDeclaration, FailureDomain } from '../model/index.js'
import { startEvacuation, type EvacuationSpec, type EvacuationTask } from './evacuation-task.js'
import type { Reports } from './reports.js'

/** Names of other writers' objects may be long. */
const maxLoggedNameLength = 64
/** Unknown names that are logged while they are requested. */
const maxLoggedNames = 20

/** Dependencies of the evacuation task that follow from the proxy. */
export type EvacuationWiring = Pick<EvacuationSpec, 'context' | 'links' | 'isWatcher' | 'watchers' | 'onEvacuations'> & {
  readonly reports: Pick<Reports, 'event'>
}

/**
 * Starts the evacuation task where the settings call for it.
 * @param wiring - dependencies of the task
 * @returns the task, or undefined where the settings have no `evacuate_ms`
 */
export function createEvacuation (wiring: EvacuationWiring): EvacuationTask | undefined {
  const { reports, ...spec } = wiring
  const { evacuateMs } = wiring.context.settings.control
  if (evacuateMs === undefined) return undefined
  return startEvacuation({
    ...spec,
    evacuateMs,
    onBegun: (domain, sinceAgoMs) => { reports.event('evacuationBegun', { domain: loggedName(domain), sinceAgoMs: Number.isFinite(sinceAgoMs) ? Math.round(sinceAgoMs) : 'unknown' }) },
    onEnded: domain => { reports.event('evacuationEnded', { domain: loggedName(domain) }) },
    onStoreFailure: () => { reports.event('storeUnreachable', { what: 'evacuations' }) }
  })
}

/** Reports the evacuations of names that are no failure domain, each once. */
export class UnknownDomains {
  readonly #reports: Pick<Reports, 'event'>
  #reported: ReadonlySet<FailureDomain> = new Set()

  /**
   * Starts without reported names.
   * @param reports - where the events go
   */
  constructor (reports: Pick<Reports, 'event'>) {
    this.#reports = reports
  }

  /**
   * Reports the unknown names, except those that were reported before. Before the
   * servers are known, nothing is reported.
   * @param evacuations - the evacuations
   * @param databases - the databases with their servers
   * @param listed - the listed hosts
   */
  check (evacuations: EvacuationsState, databases: readonly DatabaseDeclaration[], listed: readonly Member[]): void {
    if (evacuations.requestedSinceMs.size === 0 || databases.every(({ servers }) => servers.length === 0)) return
    const unknown = unknownDomains(evacuations, databases, new Set(listed.map(({ failureDomain }) => failureDomain))).slice(0, maxLoggedNames)
    for (const domain of unknown) {
      if (!this.#reported.has(domain)) this.#reports.event('evacuationIgnored', { domain: loggedName(domain) })
    }
    this.#reported = new Set(unknown)
  }
}

function loggedName (domain: FailureDomain): string {
  return domain.slice(0, maxLoggedNameLength)
}
