// Hosts that register in the store, for platforms that list no hosts. Entries
// in the store do not expire by themselves, so one host deregisters those that
// have been unresponsive for long: the first watcher by name among the listed
// hosts, whether it responds or not. It relies on its own view and may be wrong if
// it is cut off itself. A host that returns or was deregistered by mistake finds
// its entry missing and registers again; its quota partitions are reclaimed only
// once it has been missing for `absenceMarginMs` (limits/partitions). After a restore of
// the store from a copy (a higher era) a list may lack hosts that registered since the
// copy; one that responds is kept until it has had time to register again.

import type { HostName } from '../model/index.js'
import type { ListedHost } from './membership.js'

/**
 * Time after which an unresponsive host is deregistered. Leaves time for a
 * restart, during which a host keeps its entry (daemon/stop). With the default
 * heartbeat period it is shorter than the time after which observations expire in
 * membership.
 */
export const deregisterAfterMs = 20_000

/** Registration of a host in the store. */
export type Registration = ListedHost & {
  /** Differs at each start of the process. */
  readonly incarnation: string
}

/**
 * Since when each unresponsive host has been unresponsive, as observed by one
 * host.
 */
export type UnresponsiveSince = ReadonlyMap<HostName, number>

/**
 * Records which hosts are unresponsive.
 * @param previous - the unresponsive hosts so far
 * @param unresponsive - the hosts that are unresponsive now
 * @param nowMs - monotonic time
 * @returns since when each of them has been unresponsive
 */
export function recordUnresponsive (previous: UnresponsiveSince, unresponsive: ReadonlySet<HostName>, nowMs: number): UnresponsiveSince {
  return new Map([...unresponsive].map(host => [host, previous.get(host) ?? nowMs]))
}

/**
 * Lists the hosts to deregister.
 * @param unresponsiveSince - since when hosts have been unresponsive
 * @param nowMs - monotonic time
 * @returns the hosts
 */
export function hostsToDeregister (unresponsiveSince: UnresponsiveSince, nowMs: number): readonly HostName[] {
  return [...unresponsiveSince].filter(([, sinceMs]) => nowMs - sinceMs >= deregisterAfterMs).map(([host]) => host)
}

/**
 * Checks whether a host has to register again.
 * @param self - the current registration of the host
 * @param listed - its entry in the store, if there is one
 * @returns true if the entry is missing, from an earlier incarnation or has
 *   another address
 */
export function mustRegister (self: Registration, listed: Registration | undefined): boolean {
  return listed === undefined || listed.incarnation !== self.incarnation || listed.ip !== self.ip || listed.port !== self.port
}

/** Time for which a host that a restored store lacks stays listed while it responds. */
export const restoredHostsMs = 15_000

/** The last host list, and when the era of the store rose. */
export type HostListMemory = {
  readonly era: number
  /** -Infinity where the first list is of the present era. */
  readonly eraSinceMs: number
  readonly hosts: readonly ListedHost[]
}

/**
 * Completes a host list of a store that was restored from a copy.
 * @param before - the previous list; undefined for the first one
 * @param listed - the hosts that the store lists, and its era
 * @param unresponsive - hosts that do not respond
 * @param nowMs - monotonic time
 * @returns the list with the responsive hosts of the previous one, for `restoredHostsMs`
 */
export function withRestoredHosts (before: HostListMemory | undefined, listed: { readonly hosts: readonly ListedHost[], readonly era: number }, unresponsive: ReadonlySet<HostName>, nowMs: number): HostListMemory {
  const { hosts, era } = listed
  if (before === undefined) return { era, eraSinceMs: -Infinity, hosts }
  const eraSinceMs = era > before.era ? nowMs : before.eraSinceMs
  if (nowMs - eraSinceMs >= restoredHostsMs) return { era, eraSinceMs, hosts }
  const names = new Set(hosts.map(({ host }) => host))
  const kept = before.hosts.filter(({ host }) => !names.has(host) && !unresponsive.has(host))
  return { era, eraSinceMs, hosts: [...hosts, ...kept] }
}
