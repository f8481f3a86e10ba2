// What `limpetmoor status` shows, however it is written.

import type { Generation, HostName, HostReport } from '../model/index.js'

/** What the operators are shown. */
export type FleetStatus = {
  readonly acceptedGeneration: Generation
  readonly appliedBy: string | undefined
  /** Listed or reporting hosts that don't report the accepted generation. */
  readonly hostsBehind: readonly HostName[]
  /** Hosts of the platform's list that no report names. */
  readonly hostsSilent: readonly HostName[]
  readonly hosts: readonly HostReport[]
}
