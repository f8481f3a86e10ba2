// Evacuations of failure domains. An object of the kind `evacuations` in the store,
// named after a failure domain, requests that its servers get nothing new until the
// object is removed. The bound for this counts from the store's acknowledgement of
// the request. Nobody tells this host when that was, so it keeps the earliest
// possible time: the one as of which the domain was last known not to be evacuated.
// Hosts send these times along with their lists as ages, so they don't grow with
// the hops. While the store is unavailable, the last known state applies.
//
// A list of a higher era of the store comes from a copy and may lack requests that were
// written after it. Such a request stays in force until the store has been readable in
// the new era for `eraRestorationMs`, in which the operator writes the request again, or
// until the removal of its object is seen in the new era.

import { eraRestorationMs, isOlderList, maxResponseGapMs, type ListVersion } from '../discovery/index.js'
import type { EvacuationList, FailureDomain } from '../model/index.js'

/** Kind of the requests in the store; the object's name is the failure domain. */
export const evacuationKind = 'evacuations'
/** Longest name that counts as that of a failure domain. */
export const maxDomainLength = 256
/** Names in one message; a fleet has far fewer failure domains. Of more, hosts read the store themselves. */
export const maxListedDomains = 1000

/** An ended evacuation is kept for this time, the longest that a server is slow after its return. */
const endedRetentionMs = 86_400_000

/** All evacuations known to a host; `asOfMs` is -Infinity before the first list. */
export type EvacuationsState = ListVersion & {
  /** Earliest possible time of each request; -Infinity where nothing is known. */
  readonly requestedSinceMs: ReadonlyMap<FailureDomain, number>
  /** Latest possible time at which each ended evacuation ended. */
  readonly endedAtMs: ReadonlyMap<FailureDomain, number>
  /**
   * Since when the store has been readable without a long gap in the present era;
   * undefined: this host knows of no restore.
   */
  readonly eraSinceMs?: number | undefined
}

/** Events of the evacuations. Times are monotonic. */
export type EvacuationsEvent =
  /** All evacuations that the store holds. */
  | { readonly kind: 'listed', readonly domains: readonly FailureDomain[], readonly version: ListVersion, readonly nowMs: number }
  /** Changes since the last listing or change, from a watch of the store. */
  | { readonly kind: 'changed', readonly domains: readonly FailureDomain[], readonly removed: readonly FailureDomain[], readonly version: ListVersion, readonly nowMs: number }
  /** The list of another host, which was asked for it at `sentAtMs`. */
  | { readonly kind: 'reported', readonly list: EvacuationList, readonly sentAtMs: number, readonly nowMs: number }

/** The initial state, before anything is known. */
export const unknownEvacuations: EvacuationsState = { asOfMs: -Infinity, revision: undefined, requestedSinceMs: new Map(), endedAtMs: new Map() }

/**
 * Whether the evacuations are known: a host serves no server before.
 * @param state - the evacuations
 * @returns false before the first list
 */
export function areEvacuationsKnown (state: EvacuationsState): boolean {
  return state.asOfMs !== -Infinity
}

/**
 * Step function of the evacuations.
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 */
export function evacuationsStep (state: EvacuationsState, event: EvacuationsEvent): EvacuationsState {
  switch (event.kind) {
    case 'listed': return isOlderList(event.version, state) ? state : withList(state, event.domains, event.version, event.nowMs)
    case 'changed': {
      if (isOlderList(event.version, state)) return state
      const removed = new Set(event.removed)
      const kept = [...state.requestedSinceMs.keys()].filter(domain => !removed.has(domain))
      return withDomains(inEra(state, event.version, event.nowMs), [...kept, ...event.domains.filter(domain => !removed.has(domain))], event.version, event.nowMs)
    }
    case 'reported': return onReport(state, event)
  }
}

// A host that has just started takes the first list as it is: it knows nothing that a
// copy could lack. After a long gap the time counts anew, as the operator could not write.
function inEra (state: EvacuationsState, version: ListVersion, nowMs: number): EvacuationsState {
  const isRestored = areEvacuationsKnown(state) && (version.era ?? 0) > (state.era ?? 0)
  const isInterrupted = isRestoring(state, nowMs) && nowMs - state.asOfMs > maxResponseGapMs
  return isRestored || isInterrupted ? { ...state, eraSinceMs: nowMs } : state
}

function isRestoring ({ eraSinceMs }: EvacuationsState, nowMs: number): boolean {
  return eraSinceMs !== undefined && nowMs - eraSinceMs < eraRestorationMs
}

// A complete list: what it lacks has ended, except after a restore of the store.
function withList (state: EvacuationsState, domains: readonly FailureDomain[], version: ListVersion, nowMs: number): EvacuationsState {
  const current = inEra(state, version, nowMs)
  const held = isRestoring(current, nowMs) ? [...current.requestedSinceMs.keys()] : []
  return withDomains(current, [...held, ...domains], version, nowMs)
}

// The times in an older list still count: whatever host knows them, they are true.
function onReport (state: EvacuationsState, { list, sentAtMs, nowMs }: Extract<EvacuationsEvent, { readonly kind: 'reported' }>): EvacuationsState {
  const version = { asOfMs: sentAtMs - list.agoMs, revision: list.revision, era: list.era }
  const next = isOlderList(version, state) ? state : withList(state, list.domains.map(({ domain }) => domain), version, nowMs)
  const since = new Map(list.domains.map(({ domain, agoMs }) => [domain, sentAtMs - agoMs]))
  // An end that the other host saw is later than any that this host assumed.
  const ended = list.ended.filter(({ domain }) => !next.requestedSinceMs.has(domain)).map(({ domain, agoMs }) => [domain, nowMs - agoMs] as const)
  return {
    ...next,
    requestedSinceMs: mapValues(next.requestedSinceMs, (domain, sinceMs) => Math.max(sinceMs, since.get(domain) ?? -Infinity)),
    endedAtMs: withLatest(next.endedAtMs, ended)
  }
}

function withDomains (state: EvacuationsState, names: readonly FailureDomain[], version: ListVersion, nowMs: number): EvacuationsState {
  const domains = new Set(names.filter(isDomainName))
  const ended = [...state.requestedSinceMs.keys()].filter(domain => !domains.has(domain)).map(domain => [domain, nowMs] as const)
  const requestedSinceMs = new Map([...domains].map(domain => [domain, state.requestedSinceMs.get(domain) ?? state.asOfMs]))
  const stillEnded = [...state.endedAtMs].filter(([domain, atMs]) => !domains.has(domain) && nowMs - atMs < endedRetentionMs)
  return {
    asOfMs: Math.max(state.asOfMs, version.asOfMs),
    revision: version.revision,
    era: version.era,
    eraSinceMs: state.eraSinceMs,
    requestedSinceMs: isSameMap(requestedSinceMs, state.requestedSinceMs) ? state.requestedSinceMs : requestedSinceMs,
    endedAtMs: withLatest(stillEnded.length === state.endedAtMs.size ? state.endedAtMs : new Map(stillEnded), ended)
  }
}

function isDomainName (name: string): boolean {
  return name.length > 0 && name.length <= maxDomainLength
}

/** Ends that differ by less are the same one, seen through different hosts. */
const sameEndMs = 5000

function withLatest (endedAtMs: EvacuationsState['endedAtMs'], more: ReadonlyArray<readonly [FailureDomain, number]>): EvacuationsState['endedAtMs'] {
  const later = more.filter(([domain, atMs]) => atMs > (endedAtMs.get(domain) ?? -Infinity) + sameEndMs)
  return later.length === 0 ? endedAtMs : new Map([...endedAtMs, ...later])
}

function mapValues (map: ReadonlyMap<FailureDomain, number>, change: (domain: FailureDomain, value: number) => number): ReadonlyMap<FailureDomain, number> {
  const changed = new Map([...map].map(([domain, value]) => [domain, change(domain, value)]))
  return isSameMap(changed, map) ? map : changed
}

function isSameMap (a: ReadonlyMap<FailureDomain, number>, b: ReadonlyMap<FailureDomain, number>): boolean {
  return a.size === b.size && [...a].every(([domain, value]) => b.get(domain) === value)
}

/**
 * Whether two states hold the same evacuations with the same times.
 * @param a - the first state
 * @param b - the second state
 * @returns false if an evacuation began or ended, or one of its times changed
 */
export function hasSameEvacuations (a: EvacuationsState, b: EvacuationsState): boolean {
  return areEvacuationsKnown(a) === areEvacuationsKnown(b) && a.requestedSinceMs === b.requestedSinceMs && a.endedAtMs === b.endedAtMs
}

/**
 * Makes the list for another host.
 * @param state - the evacuations
 * @param nowMs - monotonic time
 * @returns the list, or undefined where nothing is known yet or the list is too long
 */
export function evacuationListOf (state: EvacuationsState, nowMs: number): EvacuationList | undefined {
  if (!areEvacuationsKnown(state) || state.requestedSinceMs.size > maxListedDomains) return undefined
  const ages = (times: ReadonlyMap<FailureDomain, number>): EvacuationList['domains'] =>
    [...times].slice(0, maxListedDomains).map(([domain, atMs]) => ({ domain, agoMs: nowMs - atMs }))
  return {
    agoMs: nowMs - state.asOfMs,
    revision: state.revision,
    era: state.era,
    domains: ages(state.requestedSinceMs),
    ended: ages(new Map([...state.endedAtMs].filter(([, atMs]) => nowMs - atMs < endedRetentionMs)))
  }
}
