// Data of `limpetmoor status`, for both output formats.

import type { Generation, HostName, HostReport } from '../model/index.js'

/** Status of the fleet. */
export type FleetStatus = {
  readonly acceptedGeneration: Generation
  readonly appliedBy: string | undefined
  /** Hosts whose report has another generation than the accepted one. */
  readonly hostsBehind: readonly HostName[]
  /** Hosts in the platform's host list without a report. */
  readonly hostsSilent: readonly HostName[]
  readonly hosts: readonly HostReport[]
}
