// Data of `limpetmoor status`, for both output formats.

import type { FailureDomain, Generation, HostName, HostReport } from '../model/index.js'

/** A failure domain whose evacuation is requested; `requestedBy`: undefined where the request does not say. */
export type EvacuatedDomain = { readonly domain: FailureDomain, readonly requestedBy: string | undefined }

/** Status of the fleet. */
export type FleetStatus = {
  readonly acceptedGeneration: Generation
  readonly appliedBy: string | undefined
  /** Hosts whose report has another generation than the accepted one. */
  readonly hostsBehind: readonly HostName[]
  /** Hosts in the platform's host list without a report. */
  readonly hostsSilent: readonly HostName[]
  /** Failure domains whose evacuation is requested. */
  readonly evacuated: readonly EvacuatedDomain[]
  readonly hosts: readonly HostReport[]
}
