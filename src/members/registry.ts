// Hosts that register in the store, where the platform lists none. Nothing
// expires there by itself, so hosts that have been silent for long are
// forgotten by the others; one that comes back finds its entry missing and
// registers again.

import type { HostName } from '../model/index.js'
import type { ListedHost } from './membership.js'

/** A host that gave no sign of life for this time is forgotten. */
export const deregisterAfterMs = 20_000

/** A host as it registers. */
export type Registration = ListedHost & {
  /** Differs at each start of the process. */
  readonly incarnation: string
}

/** Since when each silent host has been silent, as one host saw it. */
export type UnresponsiveSince = ReadonlyMap<HostName, number>

/**
 * Notes which hosts are silent.
 * @param before - the silences so far
 * @param silent - the hosts that are silent now
 * @param nowMs - monotonic time
 * @returns the silences
 */
export function recordUnresponsive (before: UnresponsiveSince, silent: ReadonlySet<HostName>, nowMs: number): UnresponsiveSince {
  return new Map([...silent].map(host => [host, before.get(host) ?? nowMs]))
}

/**
 * Lists the hosts whose entries may be removed.
 * @param silences - since when hosts have been silent
 * @param nowMs - monotonic time
 * @returns the hosts
 */
export function hostsToDeregister (silences: UnresponsiveSince, nowMs: number): readonly HostName[] {
  return [...silences].filter(([, sinceMs]) => nowMs - sinceMs >= deregisterAfterMs).map(([host]) => host)
}

/**
 * Tells whether a host has to register again.
 * @param self - the host as it wants to stand there
 * @param listed - its entry, where there is one
 * @returns true where the entry is missing or of another start
 */
export function mustRegister (self: Registration, listed: Registration | undefined): boolean {
  return listed === undefined || listed.incarnation !== self.incarnation || listed.ip !== self.ip || listed.port !== self.port
}
