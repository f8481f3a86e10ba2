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

import type { HostName, MemberRumour, MemberState } from '../model/index.js'
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
const repeatFraction = 0.4
/** Rumours are passed on for this many periods. */
const gossipPeriods = 5
/** Rumours that nobody renewed are forgotten after this many periods. */
const expiryPeriods = 30
/** Rumours in one heartbeat at most. */
const maxGossipEntries = 16
/** Observers that must agree before an unobserved host is held to be gone. */
const minObservers = 2

type PeerView = {
  /** Last sign of life, or when the host was first listed. */
  readonly heardMs: number
  readonly askedMs: number
  /** Since when a failed link casts doubt on the peer. */
  readonly doubtedMs: number | undefined
  readonly stopping: boolean
  readonly silent: boolean
}

function newPeer (nowMs: number): PeerView {
  return { heardMs: nowMs, askedMs: -Infinity, doubtedMs: undefined, stopping: false, silent: false }
}

type LivenessObservation = { readonly host: HostName, readonly observer: HostName, readonly unresponsive: boolean, readonly observedMs: number }

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
  readonly sightings: ReadonlyMap<string, LivenessObservation>
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
  | { readonly kind: 'heartbeat', readonly to: readonly Member[], readonly rumours: readonly MemberRumour[] }
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
    sightings: new Map(),
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
    case 'hostsListed': return isSameList(state.listed, event.hosts) ? { state, effects: [] } : updateLiveMembers(listHosts(state, event.hosts, event.nowMs), event.nowMs)
    case 'heartbeatAnswered': return recordContact(state, event.state, true, event.nowMs)
    case 'heartbeatReceived': return recordContact(state, event.state, false, event.nowMs)
    case 'linkFailed': return linkFailed(state, event.host, event.nowMs)
    case 'stopping': return updateLiveMembers({ ...state, stopping: true }, event.nowMs)
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
export function silentHosts (state: MembershipState): ReadonlySet<HostName> {
  const own = [...state.peers].filter(([, peer]) => peer.silent).map(([host]) => host)
  return new Set([...own, ...unresponsiveByGossip(state)])
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
export function rumoursOf (state: MembershipState, nowMs: number): readonly MemberRumour[] {
  if (isFullMesh(state)) return []
  const freshMs = nowMs - gossipPeriods * periodOf(state)
  return [...state.sightings.values()]
    .filter(sighting => sighting.observedMs >= freshMs)
    .sort((a, b) => b.observedMs - a.observedMs)
    .slice(0, maxGossipEntries)
    .map(({ host, observer, unresponsive: silent, observedMs: seenMs }) => ({ host, observer, silent, agoMs: Math.round(nowMs - seenMs) }))
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
  const sightings = new Map([...state.sightings].filter(([, { host }]) => listedByName.has(host)))
  const peers = new Map([...state.peers].filter(([host]) => listedByName.has(host)))
  for (const host of observed) {
    const peer = peers.get(host) ?? newPeer(nowMs)
    // Nobody listened to a host that was not observed until now.
    const isNew = !state.observed.has(host) && !peer.silent
    peers.set(host, isNew ? { ...peer, heardMs: nowMs } : peer)
  }
  return { ...state, listed: hosts, listedByName, observed, peers, sightings }
}

function isSameList (a: readonly ListedHost[], b: readonly ListedHost[]): boolean {
  return a === b || (a.length === b.length && a.length > 0 && a.every((host, at) => isSameHost(host, b[at])))
}

function isSameHost (a: ListedHost, b: ListedHost | undefined): boolean {
  return a.host === b?.host && a.state === b.state && a.ip === b.ip && a.port === b.port && a.failureDomain === b.failureDomain
}

function recordContact (state: MembershipState, from: MemberState, answered: boolean, nowMs: number): Next {
  if (!state.listedByName.has(from.host) || from.host === state.self.host) return { state, effects: [] }
  const peer = state.peers.get(from.host) ?? newPeer(nowMs)
  // Only an answer shows that the peer can be reached from here.
  const doubtedMs = answered ? undefined : peer.doubtedMs
  const stopping = from.state === 'stopping'
  const contacted = withPeer(state, from.host, { ...peer, heardMs: nowMs, doubtedMs, stopping })
  const withGossip = mergeGossip(contacted, from.rumours ?? [], nowMs)
  const isNews = peer.silent || peer.stopping !== stopping || withGossip !== contacted
  return isNews ? updateLiveMembers(withGossip, nowMs, state) : { state: withGossip, effects: [] }
}

function mergeGossip (state: MembershipState, rumours: readonly MemberRumour[], nowMs: number): MembershipState {
  if (rumours.length === 0) return state
  const sightings = new Map(state.sightings)
  for (const { host, observer, silent, agoMs } of rumours) {
    const key = `${host}/${observer}`
    const seenMs = nowMs - agoMs
    const before = sightings.get(key)
    const isNews = before === undefined || (before.unresponsive !== silent && before.observedMs < seenMs)
    if (isNews && observer !== state.self.host && host !== state.self.host && state.listedByName.has(host)) sightings.set(key, { host, observer, unresponsive: silent, observedMs: seenMs })
  }
  const hasNews = [...sightings].some(([key, sighting]) => state.sightings.get(key) !== sighting)
  return hasNews ? { ...state, sightings } : state
}

function linkFailed (state: MembershipState, host: HostName, nowMs: number): Next {
  const listed = state.listedByName.get(host)
  const peer = state.peers.get(host) ?? newPeer(nowMs)
  if (listed === undefined || peer.doubtedMs !== undefined) return { state, effects: [] }
  const asked = withPeer(state, host, { ...peer, doubtedMs: nowMs, askedMs: nowMs })
  return { state: asked, effects: [{ kind: 'heartbeat', to: [listed], rumours: rumoursOf(state, nowMs) }] }
}

function tick (state: MembershipState, nowMs: number): Next {
  const current = { ...expireObservations(resetAfterPause(state, nowMs), nowMs), lastTickMs: nowMs }
  const isNews = current.sightings !== state.sightings || assessPeers(current, nowMs) !== current
  const assessed = isNews ? updateLiveMembers(current, nowMs) : { state: current, effects: [] }
  const due = [...assessed.state.peers].filter(([host, peer]) => isDue(assessed.state, host, peer, nowMs))
  if (due.length === 0) return assessed
  const peers = new Map(assessed.state.peers)
  for (const [host, peer] of due) peers.set(host, { ...peer, askedMs: nowMs })
  const to = due.flatMap(([host]) => state.listedByName.get(host) ?? [])
  const heartbeat: MembershipEffect = { kind: 'heartbeat', to, rumours: rumoursOf(assessed.state, nowMs) }
  return { state: { ...assessed.state, peers }, effects: [...assessed.effects, heartbeat] }
}

// After a pause of its own a member has heard nobody, which says nothing of the others.
function resetAfterPause (state: MembershipState, nowMs: number): MembershipState {
  const pausedMs = nowMs - state.lastTickMs
  if (pausedMs < state.settings.suspectAfterMs / 2) return state
  const peers = [...state.peers].map(([host, peer]): readonly [HostName, PeerView] =>
    [host, peer.silent ? peer : { ...peer, heardMs: nowMs, doubtedMs: undefined }])
  return { ...state, peers: new Map(peers) }
}

function expireObservations (state: MembershipState, nowMs: number): MembershipState {
  const oldMs = nowMs - expiryPeriods * periodOf(state)
  const kept = [...state.sightings].filter(([, sighting]) => sighting.observedMs >= oldMs)
  return kept.length === state.sightings.size ? state : { ...state, sightings: new Map(kept) }
}

function isDue (state: MembershipState, host: HostName, peer: PeerView, nowMs: number): boolean {
  const periodMs = periodOf(state)
  if (nowMs - peer.askedMs < periodMs * repeatFraction) return false
  if (peer.doubtedMs !== undefined) return true
  if (!state.observed.has(host)) return false
  // The end with the lower name asks; the other one only where that failed.
  const periodFactor = state.self.host < host ? 1 : 1 + repeatFraction
  return nowMs - peer.heardMs >= periodMs * periodFactor || peer.askedMs === -Infinity
}

function isUnresponsive (state: MembershipState, host: HostName, peer: PeerView, nowMs: number): boolean {
  if (peer.doubtedMs !== undefined && nowMs - peer.doubtedMs >= state.settings.linkGraceMs) return true
  if (state.observed.has(host)) return nowMs - peer.heardMs >= suspectAfter(state)
  return false
}

function unresponsiveByGossip (state: MembershipState): ReadonlySet<HostName> {
  const observers = new Map<HostName, number>()
  for (const { host, unresponsive: silent } of state.sightings.values()) {
    if (silent && !state.observed.has(host)) observers.set(host, (observers.get(host) ?? 0) + 1)
  }
  return new Set([...observers].filter(([, count]) => count >= minObservers).map(([host]) => host))
}

// Judges every peer anew, records what this member saw change, and tells of a new set of live members.
function updateLiveMembers (state: MembershipState, nowMs: number, before = state): Next {
  const assessed = assessPeers(state, nowMs)
  const unresponsive = unresponsiveByGossip(assessed)
  const live = assessed.listed.filter(listed => isLive(assessed, listed, unresponsive))
  const members = isSelfAbsent(assessed) ? [assessed.self, ...live] : live
  const gossip = gossipChanges(assessed, before, nowMs)
  if (sameHosts(members, assessed.live)) return { state: assessed, effects: gossip }
  return { state: { ...assessed, live: members }, effects: [{ kind: 'membersChanged', live: members }, ...gossip] }
}

function assessPeers (state: MembershipState, nowMs: number): MembershipState {
  const changed = [...state.peers].filter(([host, peer]) => isUnresponsive(state, host, peer, nowMs) !== peer.silent)
  if (changed.length === 0) return state
  const peers = new Map(state.peers)
  const sightings = new Map(state.sightings)
  const observer = state.self.host
  for (const [host, peer] of changed) {
    peers.set(host, { ...peer, silent: !peer.silent })
    sightings.set(`${host}/${observer}`, { host, observer, unresponsive: !peer.silent, observedMs: nowMs })
  }
  return { ...state, peers, sightings }
}

function gossipChanges (state: MembershipState, before: MembershipState, nowMs: number): readonly MembershipEffect[] {
  if (isFullMesh(state) || state.sightings === before.sightings) return []
  const reached = [...state.observed].filter(host => state.peers.get(host)?.silent === false)
  const to = reached.flatMap(host => state.listedByName.get(host) ?? [])
  return [{ kind: 'heartbeat', to, rumours: rumoursOf(state, nowMs) }]
}

function isLive (state: MembershipState, listed: ListedHost, unresponsive: ReadonlySet<HostName>): boolean {
  if (listed.state === 'leaving') return false
  if (listed.host === state.self.host) return !state.stopping
  const peer = state.peers.get(listed.host)
  const isAbsent = peer !== undefined && (peer.silent || peer.stopping)
  return !isAbsent && !unresponsive.has(listed.host)
}

function isSelfAbsent (state: MembershipState): boolean {
  return !state.stopping && !state.listedByName.has(state.self.host)
}

function sameHosts (a: readonly Member[], b: readonly Member[]): boolean {
  return a.length === b.length && a.every((member, at) => member.host === b[at]?.host && member.ip === b[at]?.ip && member.port === b[at]?.port)
}
