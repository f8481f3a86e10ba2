// Who is in the fleet and answers. The platform's host list says who may be
// there; it lags, and during a store outage none comes. Heartbeats say who
// answers. A member is live where it is listed, not leaving, not stopping and
// not found silent.
//
// Up to `fullMeshHosts` members exchange heartbeats with all others; one
// exchange in a period serves both ends. A larger fleet stands on a ring in
// the order of hashed names, and a member exchanges heartbeats with those
// 1, 2, 4, 8 ... places away: about 2 log2(n) peers. Observers pass on what
// they saw of a silent host in their next heartbeats, at once when it changes,
// so it crosses the fleet in log2(n) hops. Two observers make an unobserved
// host silent. A link in use that fails starts an exchange at once.
//
// Views may differ for a while; whatever is built on them stays safe then.

import type { HostName, GossipEntry, MemberState } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import { ringNeighbours, watchersOf, type Member } from './rendezvous.js'

/** One host of the platform's list. */
export type ListedHost = Member & { readonly state: 'live' | 'leaving' }

/** Times and bounds of membership. */
export type MembershipSettings = {
  /** Time between two exchanges with a peer. */
  readonly periodMs: number
  /** Silence after which an observed peer is held to be gone. */
  readonly suspectAfterMs: number
  /** Time that a peer has to answer after a link to it failed. */
  readonly linkGraceMs: number
  /** Up to this size every member observes every other. */
  readonly fullMeshHosts: number
  readonly watchersPerDomain: number
}

/** Settings that suit the fleets of today. */
export const defaultMembershipSettings: MembershipSettings = {
  periodMs: 1000,
  suspectAfterMs: 2500,
  linkGraceMs: 300,
  fullMeshHosts: 24,
  watchersPerDomain: 2
}

/** How much slower a fleet above the full mesh exchanges heartbeats. */
const ringPeriodFactor = 4
/** A heartbeat that is not answered is repeated after this part of the period. */
const repeatPart = 0.4
/** Rumours are passed on for this many periods. */
const rumourPeriods = 5
/** Rumours that nobody renewed are forgotten after this many periods. */
const forgetPeriods = 30
/** Rumours in one heartbeat at most. */
const maxRumours = 16
/** Observers that must agree before an unobserved host is held to be gone. */
const agreeingObservers = 2

type PeerView = {
  /** Last sign of life, or when the host was first listed. */
  readonly lastContactMs: number
  readonly lastSentMs: number
  /** Since when a failed link casts doubt on the peer. */
  readonly linkFailedMs: number | undefined
  readonly stopping: boolean
  readonly unresponsive: boolean
}

function newPeer (nowMs: number): PeerView {
  return { lastContactMs: nowMs, lastSentMs: -Infinity, linkFailedMs: undefined, stopping: false, unresponsive: false }
}

type Sighting = { readonly host: HostName, readonly observer: HostName, readonly silent: boolean, readonly seenMs: number }

/** What a member knows of the fleet. */
export type MembershipState = {
  readonly settings: MembershipSettings
  readonly self: Member
  readonly stopping: boolean
  readonly listed: readonly ListedHost[]
  readonly listedByName: ReadonlyMap<HostName, ListedHost>
  readonly observed: ReadonlySet<HostName>
  /** Observed peers, and others that spoke up or were doubted. */
  readonly peers: ReadonlyMap<HostName, PeerView>
  readonly observations: ReadonlyMap<string, Sighting>
  readonly live: readonly Member[]
  readonly lastTickMs: number
}

/** What happens to membership. */
export type MembershipEvent =
  | { readonly kind: 'hostsListed', readonly hosts: readonly ListedHost[], readonly nowMs: number }
  | { readonly kind: 'heartbeatAnswered', readonly state: MemberState, readonly nowMs: number }
  | { readonly kind: 'heartbeatReceived', readonly state: MemberState, readonly nowMs: number }
  | { readonly kind: 'linkFailed', readonly host: HostName, readonly nowMs: number }
  | { readonly kind: 'stopping', readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What membership wants done. */
export type MembershipEffect =
  | { readonly kind: 'heartbeat', readonly to: readonly Member[], readonly rumours: readonly GossipEntry[] }
  | { readonly kind: 'membersChanged', readonly live: readonly Member[] }

type Next = Transition<MembershipState, MembershipEffect>

/**
 * The view of a member that has just started and knows only itself.
 * @param self - the member
 * @param settings - times and bounds
 * @param nowMs - the time
 * @returns the state
 */
export function initialMembership (self: Member, settings: MembershipSettings, nowMs: number): MembershipState {
  return {
    settings,
    self,
    stopping: false,
    listed: [],
    listedByName: new Map(),
    observed: new Set(),
    peers: new Map(),
    observations: new Map(),
    live: [self],
    lastTickMs: nowMs
  }
}

/**
 * Takes in one event.
 * @param state - what is known
 * @param event - what happened
 * @returns what is known then, and what to do
 */
export function membershipStep (state: MembershipState, event: MembershipEvent): Next {
  switch (event.kind) {
    case 'hostsListed': return isSameList(state.listed, event.hosts) ? { state, effects: [] } : announce(listHosts(state, event.hosts, event.nowMs), event.nowMs)
    case 'heartbeatAnswered': return heard(state, event.state, true, event.nowMs)
    case 'heartbeatReceived': return heard(state, event.state, false, event.nowMs)
    case 'linkFailed': return linkFailed(state, event.host, event.nowMs)
    case 'stopping': return announce({ ...state, stopping: true }, event.nowMs)
    case 'tick': return tick(state, event.nowMs)
  }
}

/**
 * The hosts whose majority may confirm a configuration while the store is
 * out: the watchers of each failure domain among the listed hosts, whether
 * they answer or not.
 * @param state - what is known
 * @returns the hosts
 */
export function quorumHosts (state: MembershipState): readonly HostName[] {
  return watchersOf(state.listed, state.settings.watchersPerDomain)
}

/**
 * The hosts that were found silent, by this member or by observers.
 * @param state - what is known
 * @returns the hosts; those that only stop are not among them
 */
export function unresponsiveHosts (state: MembershipState): ReadonlySet<HostName> {
  const own = [...state.peers].filter(([, peer]) => peer.unresponsive).map(([host]) => host)
  return new Set([...own, ...silentByRumour(state)])
}

/**
 * Tells whether the platform's list holds a host. A heartbeat of a host that
 * is not listed confirms nothing to it.
 * @param state - what is known
 * @param host - the host
 * @returns true where it is listed
 */
export function isListed (state: MembershipState, host: HostName): boolean {
  return state.listedByName.has(host)
}

/**
 * What this member passes on in a heartbeat or its answer.
 * @param state - what is known
 * @param nowMs - the time
 * @returns the newest rumours; none in a small fleet
 */
export function gossipEntries (state: MembershipState, nowMs: number): readonly GossipEntry[] {
  if (isFullMesh(state)) return []
  const freshMs = nowMs - rumourPeriods * periodOf(state)
  return [...state.observations.values()]
    .filter(sighting => sighting.seenMs >= freshMs)
    .sort((a, b) => b.seenMs - a.seenMs)
    .slice(0, maxRumours)
    .map(({ host, observer, silent, seenMs }) => ({ host, observer, silent, agoMs: Math.round(nowMs - seenMs) }))
}

function isFullMesh (state: MembershipState): boolean {
  return state.listed.length <= state.settings.fullMeshHosts
}

function periodOf (state: MembershipState): number {
  return state.settings.periodMs * (isFullMesh(state) ? 1 : ringPeriodFactor)
}

function suspectAfter (state: MembershipState): number {
  return state.settings.suspectAfterMs * (isFullMesh(state) ? 1 : ringPeriodFactor)
}

function withPeer (state: MembershipState, host: HostName, peer: PeerView): MembershipState {
  return { ...state, peers: new Map(state.peers).set(host, peer) }
}

function listHosts (state: MembershipState, hosts: readonly ListedHost[], nowMs: number): MembershipState {
  const listedByName = new Map(hosts.map(host => [host.host, host]))
  const names = hosts.map(({ host }) => host).filter(host => host !== state.self.host)
  const small = hosts.length <= state.settings.fullMeshHosts
  const observed = new Set(small ? names : ringNeighbours(state.self.host, names))
  const sightings = new Map([...state.observations].filter(([, { host }]) => listedByName.has(host)))
  const peers = new Map([...state.peers].filter(([host]) => listedByName.has(host)))
  for (const host of observed) {
    const peer = peers.get(host) ?? newPeer(nowMs)
    // Nobody listened to a host that was not observed until now.
    const isNew = !state.observed.has(host) && !peer.unresponsive
    peers.set(host, isNew ? { ...peer, lastContactMs: nowMs } : peer)
  }
  return { ...state, listed: hosts, listedByName, observed, peers, observations: sightings }
}

function isSameList (a: readonly ListedHost[], b: readonly ListedHost[]): boolean {
  return a === b || (a.length === b.length && a.length > 0 && a.every((host, at) => isSameHost(host, b[at])))
}

function isSameHost (a: ListedHost, b: ListedHost | undefined): boolean {
  return a.host === b?.host && a.state === b.state && a.ip === b.ip && a.port === b.port && a.failureDomain === b.failureDomain
}

function heard (state: MembershipState, from: MemberState, answered: boolean, nowMs: number): Next {
  if (!state.listedByName.has(from.host) || from.host === state.self.host) return { state, effects: [] }
  const peer = state.peers.get(from.host) ?? newPeer(nowMs)
  // Only an answer shows that the peer can be reached from here.
  const doubtedMs = answered ? undefined : peer.linkFailedMs
  const stopping = from.state === 'stopping'
  const known = withPeer(state, from.host, { ...peer, lastContactMs: nowMs, linkFailedMs: doubtedMs, stopping })
  const told = takeRumours(known, from.rumours ?? [], nowMs)
  const isNews = peer.unresponsive || peer.stopping !== stopping || told !== known
  return isNews ? announce(told, nowMs, state) : { state: told, effects: [] }
}

function takeRumours (state: MembershipState, rumours: readonly GossipEntry[], nowMs: number): MembershipState {
  if (rumours.length === 0) return state
  const sightings = new Map(state.observations)
  for (const { host, observer, silent, agoMs } of rumours) {
    const key = `${host}/${observer}`
    const seenMs = nowMs - agoMs
    const known = sightings.get(key)
    const isNews = known === undefined || (known.silent !== silent && known.seenMs < seenMs)
    if (isNews && observer !== state.self.host && host !== state.self.host && state.listedByName.has(host)) sightings.set(key, { host, observer, silent, seenMs })
  }
  const hasNews = [...sightings].some(([key, sighting]) => state.observations.get(key) !== sighting)
  return hasNews ? { ...state, observations: sightings } : state
}

function linkFailed (state: MembershipState, host: HostName, nowMs: number): Next {
  const listed = state.listedByName.get(host)
  const peer = state.peers.get(host) ?? newPeer(nowMs)
  if (listed === undefined || peer.linkFailedMs !== undefined) return { state, effects: [] }
  const asked = withPeer(state, host, { ...peer, linkFailedMs: nowMs, lastSentMs: nowMs })
  return { state: asked, effects: [{ kind: 'heartbeat', to: [listed], rumours: gossipEntries(state, nowMs) }] }
}

function tick (state: MembershipState, nowMs: number): Next {
  const current = { ...forgetOld(graceAfterPause(state, nowMs), nowMs), lastTickMs: nowMs }
  const isNews = current.observations !== state.observations || judge(current, nowMs) !== current
  const judged = isNews ? announce(current, nowMs) : { state: current, effects: [] }
  const due = [...judged.state.peers].filter(([host, peer]) => isDue(judged.state, host, peer, nowMs))
  if (due.length === 0) return judged
  const peers = new Map(judged.state.peers)
  for (const [host, peer] of due) peers.set(host, { ...peer, lastSentMs: nowMs })
  const to = due.flatMap(([host]) => state.listedByName.get(host) ?? [])
  const heartbeat: MembershipEffect = { kind: 'heartbeat', to, rumours: gossipEntries(judged.state, nowMs) }
  return { state: { ...judged.state, peers }, effects: [...judged.effects, heartbeat] }
}

// After a pause of its own a member has heard nobody, which says nothing of the others.
function graceAfterPause (state: MembershipState, nowMs: number): MembershipState {
  const pausedMs = nowMs - state.lastTickMs
  if (pausedMs < state.settings.suspectAfterMs / 2) return state
  const peers = [...state.peers].map(([host, peer]): readonly [HostName, PeerView] =>
    [host, peer.unresponsive ? peer : { ...peer, lastContactMs: nowMs, linkFailedMs: undefined }])
  return { ...state, peers: new Map(peers) }
}

function forgetOld (state: MembershipState, nowMs: number): MembershipState {
  const oldMs = nowMs - forgetPeriods * periodOf(state)
  const kept = [...state.observations].filter(([, sighting]) => sighting.seenMs >= oldMs)
  return kept.length === state.observations.size ? state : { ...state, observations: new Map(kept) }
}

function isDue (state: MembershipState, host: HostName, peer: PeerView, nowMs: number): boolean {
  const periodMs = periodOf(state)
  if (nowMs - peer.lastSentMs < periodMs * repeatPart) return false
  if (peer.linkFailedMs !== undefined) return true
  if (!state.observed.has(host)) return false
  // The end with the lower name asks; the other one only where that failed.
  const patience = state.self.host < host ? 1 : 1 + repeatPart
  return nowMs - peer.lastContactMs >= periodMs * patience || peer.lastSentMs === -Infinity
}

function isSilent (state: MembershipState, host: HostName, peer: PeerView, nowMs: number): boolean {
  if (peer.linkFailedMs !== undefined && nowMs - peer.linkFailedMs >= state.settings.linkGraceMs) return true
  if (state.observed.has(host)) return nowMs - peer.lastContactMs >= suspectAfter(state)
  return false
}

function silentByRumour (state: MembershipState): ReadonlySet<HostName> {
  const observers = new Map<HostName, number>()
  for (const { host, silent } of state.observations.values()) {
    if (silent && !state.observed.has(host)) observers.set(host, (observers.get(host) ?? 0) + 1)
  }
  return new Set([...observers].filter(([, count]) => count >= agreeingObservers).map(([host]) => host))
}

// Judges every peer anew, records what this member saw change, and tells of a new set of live members.
function announce (state: MembershipState, nowMs: number, before = state): Next {
  const judged = judge(state, nowMs)
  const gone = silentByRumour(judged)
  const live = judged.listed.filter(listed => isLive(judged, listed, gone))
  const members = isSelfAbsent(judged) ? [judged.self, ...live] : live
  const told = spread(judged, before, nowMs)
  if (sameHosts(members, judged.live)) return { state: judged, effects: told }
  return { state: { ...judged, live: members }, effects: [{ kind: 'membersChanged', live: members }, ...told] }
}

function judge (state: MembershipState, nowMs: number): MembershipState {
  const changed = [...state.peers].filter(([host, peer]) => isSilent(state, host, peer, nowMs) !== peer.unresponsive)
  if (changed.length === 0) return state
  const peers = new Map(state.peers)
  const sightings = new Map(state.observations)
  const observer = state.self.host
  for (const [host, peer] of changed) {
    peers.set(host, { ...peer, unresponsive: !peer.unresponsive })
    sightings.set(`${host}/${observer}`, { host, observer, silent: !peer.unresponsive, seenMs: nowMs })
  }
  return { ...state, peers, observations: sightings }
}

function spread (state: MembershipState, before: MembershipState, nowMs: number): readonly MembershipEffect[] {
  if (isFullMesh(state) || state.observations === before.observations) return []
  const reached = [...state.observed].filter(host => state.peers.get(host)?.unresponsive === false)
  const to = reached.flatMap(host => state.listedByName.get(host) ?? [])
  return [{ kind: 'heartbeat', to, rumours: gossipEntries(state, nowMs) }]
}

function isLive (state: MembershipState, listed: ListedHost, gone: ReadonlySet<HostName>): boolean {
  if (listed.state === 'leaving') return false
  if (listed.host === state.self.host) return !state.stopping
  const peer = state.peers.get(listed.host)
  const isOut = peer !== undefined && (peer.unresponsive || peer.stopping)
  return !isOut && !gone.has(listed.host)
}

function isSelfAbsent (state: MembershipState): boolean {
  return !state.stopping && !state.listedByName.has(state.self.host)
}

function sameHosts (a: readonly Member[], b: readonly Member[]): boolean {
  return a.length === b.length && a.every((member, at) => member.host === b[at]?.host && member.ip === b[at]?.ip && member.port === b[at]?.port)
}
