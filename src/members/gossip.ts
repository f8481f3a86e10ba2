// Gossip: observations of unresponsive hosts that members relay in heartbeats.

import type { GossipEntry, HostName } from '../model/index.js'
import type { MembershipState } from './membership.js'
import { isFullMesh, periodOf } from './periods.js'

/** Number of periods for which an observation is gossiped. */
const gossipPeriods = 5
/**
 * Number of periods after which an observation expires. Observations are made
 * on a change only and not renewed, so a host that stays unresponsive and listed
 * then counts as live again to members that do not observe it, until a link of
 * theirs to it fails.
 */
const expiryPeriods = 30
/** Maximum number of gossip entries in one heartbeat. */
const maxGossipEntries = 16
/**
 * Number of observers that have to agree before a host that this member does
 * not observe is regarded as unresponsive.
 */
const minObservers = 2

/** Whether a host is unresponsive, as one observer reported it. */
export type LivenessObservation = { readonly host: HostName, readonly observer: HostName, readonly unresponsive: boolean, readonly observedMs: number }

/**
 * Returns the gossip entries for a heartbeat or its answer.
 * @param state - the current state
 * @param nowMs - monotonic time
 * @returns the latest entries; none in a full mesh
 */
export function gossipEntries (state: MembershipState, nowMs: number): readonly GossipEntry[] {
  if (isFullMesh(state)) return []
  const sinceMs = nowMs - gossipPeriods * periodOf(state)
  return [...state.observations.values()]
    .filter(observation => observation.observedMs >= sinceMs && isRelayed(state, observation))
    .sort((a, b) => b.observedMs - a.observedMs)
    .slice(0, maxGossipEntries)
    // `silent` is the wire name of `unresponsive`.
    .map(({ host, observer, unresponsive, observedMs }) => ({ host, observer, silent: unresponsive, agoMs: Math.round(nowMs - observedMs) }))
}

/**
 * Checks whether this member sends an observation to its peers.
 * @param state - the current state
 * @param observation - the observation
 * @returns true for its own observations, and for all of capable hosts
 */
export function isRelayed (state: MembershipState, { host, observer }: LivenessObservation): boolean {
  return observer === state.self.host || state.capable.has(host)
}

/**
 * Records the observations of other members.
 * @param state - the current state
 * @param entries - the received gossip entries
 * @param nowMs - monotonic time
 * @returns the next state, the same object without news
 */
export function mergeGossip (state: MembershipState, entries: readonly GossipEntry[], nowMs: number): MembershipState {
  const news = entries.map(entry => observationFrom(entry, nowMs)).filter(observation => isNewObservation(state, observation))
  if (news.length === 0) return state
  const observations = new Map(state.observations)
  for (const observation of news) observations.set(observationKey(observation), observation)
  return { ...state, observations }
}

function observationFrom ({ host, observer, silent, agoMs }: GossipEntry, nowMs: number): LivenessObservation {
  return { host, observer, unresponsive: silent, observedMs: nowMs - agoMs }
}

function observationKey ({ host, observer }: LivenessObservation): string {
  return `${host}/${observer}`
}

function isNewObservation (state: MembershipState, observation: LivenessObservation): boolean {
  const { host, observer, unresponsive, observedMs } = observation
  if (observer === state.self.host || host === state.self.host || !state.listedByName.has(host)) return false
  const before = state.observations.get(observationKey(observation))
  return before === undefined || (before.unresponsive !== unresponsive && before.observedMs < observedMs)
}

/**
 * Drops the observations that have expired.
 * @param state - the current state
 * @param nowMs - monotonic time
 * @returns the next state, the same object where none has
 */
export function expireObservations (state: MembershipState, nowMs: number): MembershipState {
  const oldMs = nowMs - expiryPeriods * periodOf(state)
  const kept = [...state.observations].filter(([, observation]) => observation.observedMs >= oldMs)
  return kept.length === state.observations.size ? state : { ...state, observations: new Map(kept) }
}

/**
 * Lists the hosts that other members found unresponsive, of those that this member
 * does not observe itself.
 * @param state - the current state
 * @returns the hosts that enough observers agree on
 */
export function unresponsiveByGossip (state: MembershipState): ReadonlySet<HostName> {
  const observers = new Map<HostName, number>()
  for (const { host, unresponsive } of state.observations.values()) {
    if (unresponsive && !state.observed.has(host)) observers.set(host, (observers.get(host) ?? 0) + 1)
  }
  return new Set([...observers].filter(([, count]) => count >= minObservers).map(([host]) => host))
}
