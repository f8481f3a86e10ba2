// Membership of the fleet and liveness of its members. The platform's host list
// holds the hosts that may be members; it lags, and no list arrives during a
// store outage. Heartbeats show which members respond. A member is live if it is
// listed and neither decommissioning nor stopping nor unresponsive. A member that
// is not listed, for example because it has no list yet, counts itself as live
// until it stops.
//
// Up to `fullMeshHosts` members exchange heartbeats with all others; one
// exchange in a period serves both ends. A larger fleet forms a ring in the
// order of hashed names, and a member exchanges heartbeats with those 1, 2, 4,
// 8 ... places away: about 2 log2(n) peers. The watchers exchange heartbeats with
// each other, too, as often as the members of a small fleet. Observers gossip what
// they observed of an unresponsive host in their next heartbeats, and within
// `gossipSpacingMs` when it changes. Observations of capable hosts, which have tasks
// for others, are relayed, so they reach the whole fleet in log2(n) hops. Those of
// other hosts go from the observer to its peers and to the watchers only. Many changes
// at once cost no more messages than one. A member regards a
// host that it does not observe itself as unresponsive once two observers report it.
// The failure of a link in use starts an exchange at once.
//
// The views of members may differ for a while, so two of them may act for the same
// assignment. The leader lease and quota partitions change by conditional writes
// in the store; terms and majorities of the servers protect writes and promotions.

import { backgroundFactor } from '../load/index.js'
import type { HostLoad, HostName, GossipEntry, MemberState } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import { expireObservations, isRelayed, mergeGossip, unresponsiveByGossip, gossipEntries, type LivenessObservation } from './gossip.js'
import { isFullMesh, peerPeriodFactor } from './periods.js'
import { dispatcherHosts } from './placement.js'
import { capableMembers, ringNeighbours, watchersOf, type Member } from './rendezvous.js'

/**
 * A host in the platform's list. `leaving`: the platform is decommissioning the
 * host; `live`: it is not, whether the host responds or not.
 */
export type ListedHost = Member & { readonly state: 'live' | 'leaving' }

/** Intervals and bounds of membership. */
export type MembershipSettings = {
  /** Heartbeat period: time between two exchanges with a peer. */
  readonly periodMs: number
  /**
   * Time without contact after which an observed peer is regarded as
   * unresponsive.
   */
  readonly suspectAfterMs: number
  /** Time within which a peer has to answer after a link to it failed. */
  readonly linkGraceMs: number
  /** Maximum fleet size at which every member observes every other. */
  readonly fullMeshHosts: number
  readonly watchersPerDomain: number
}

/** Default settings. */
export const defaultMembershipSettings: MembershipSettings = {
  periodMs: 1000,
  suspectAfterMs: 2500,
  linkGraceMs: 300,
  fullMeshHosts: 24,
  watchersPerDomain: 2
}

/** Fraction of the period after which an unanswered heartbeat is repeated. */
const repeatFraction = 0.4
/**
 * A heartbeat that is due within this fraction of the period is sent with one that
 * is due now.
 */
const earlyFraction = 0.2
/** Bounds of the time between two ticks; a longer time means that the process was paused. */
const tickSpacingMs: { readonly min: number, readonly max: number } = { min: 50, max: 500 }
/** A tick may be joined with others that come this much later. */
const lateToleranceMs = 100
/** Shortest time between two heartbeats that are sent because of new observations. */
const gossipSpacingMs = 200

type PeerView = {
  /** Time of the last contact, or when the host was first listed. */
  readonly lastContactMs: number
  /** When the last heartbeat was sent. */
  readonly lastSentMs: number
  /** When a link to the peer failed; undefined once the peer has answered. */
  readonly linkFailedMs: number | undefined
  /** Lateness of this member since the last contact, which does not count for the peer. */
  readonly excusedMs: number
  readonly stopping: boolean
  readonly unresponsive: boolean
}

function newPeer (nowMs: number): PeerView {
  return { lastContactMs: nowMs, lastSentMs: -Infinity, linkFailedMs: undefined, excusedMs: 0, stopping: false, unresponsive: false }
}

/** A member's view of the fleet. */
export type MembershipState = {
  readonly settings: MembershipSettings
  readonly self: Member
  readonly stopping: boolean
  /** Load of this member's own processor. */
  readonly load: HostLoad
  readonly listed: readonly ListedHost[]
  readonly listedByName: ReadonlyMap<HostName, ListedHost>
  /** See `quorumHosts`; recomputed with each list. */
  readonly quorum: readonly HostName[]
  /** Hosts that may have tasks for other hosts. */
  readonly capable: ReadonlySet<HostName>
  /** Hosts whose heartbeats this member watches itself. */
  readonly observed: ReadonlySet<HostName>
  /** Observed peers, and other hosts with a contact or a failed link. */
  readonly peers: ReadonlyMap<HostName, PeerView>
  /** Latest observations of this member and of others, by `host/observer`. */
  readonly observations: ReadonlyMap<string, LivenessObservation>
  readonly live: readonly Member[]
  /** See `unresponsiveHosts`. */
  readonly unresponsive: ReadonlySet<HostName>
  readonly lastTickMs: number
  /** When new observations are sent to the peers; Infinity for none. */
  readonly gossipAtMs: number
  readonly lastGossipMs: number
}

/** Events of membership. Times are monotonic. */
export type MembershipEvent =
  | { readonly kind: 'hostsListed', readonly hosts: readonly ListedHost[], readonly nowMs: number }
  | { readonly kind: 'heartbeatAnswered', readonly state: MemberState, readonly nowMs: number }
  | { readonly kind: 'heartbeatReceived', readonly state: MemberState, readonly nowMs: number }
  | { readonly kind: 'linkFailed', readonly host: HostName, readonly nowMs: number }
  | { readonly kind: 'stopping', readonly nowMs: number }
  /** The load of this member's own processor has changed. */
  | { readonly kind: 'loadChanged', readonly load: HostLoad, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of membership. */
export type MembershipEffect =
  /** `rumours`: the gossip entries to send, named as the field of the heartbeat. */
  | { readonly kind: 'heartbeat', readonly to: readonly Member[], readonly rumours: readonly GossipEntry[] }
  | { readonly kind: 'membersChanged', readonly live: readonly Member[] }

type Next = Transition<MembershipState, MembershipEffect>

/**
 * Creates the view of a member that has just started, with itself only.
 * @param self - the member
 * @param settings - intervals and bounds
 * @param nowMs - monotonic time
 * @returns the initial state
 */
export function initialMembership (self: Member, settings: MembershipSettings, nowMs: number): MembershipState {
  return {
    settings,
    self,
    stopping: false,
    load: 'normal',
    listed: [],
    listedByName: new Map(),
    quorum: [],
    capable: new Set(),
    observed: new Set(),
    peers: new Map(),
    observations: new Map(),
    live: [self],
    unresponsive: new Set(),
    lastTickMs: nowMs,
    gossipAtMs: Infinity,
    lastGossipMs: -Infinity
  }
}

/**
 * Step function of membership.
 * @param state - the current state
 * @param event - the event
 * @returns the next state and the effects
 */
export function membershipStep (state: MembershipState, event: MembershipEvent): Next {
  switch (event.kind) {
    case 'hostsListed': return isSameList(state.listed, event.hosts) ? { state, effects: [] } : updateLiveMembers(listHosts(state, event.hosts, event.nowMs), event.nowMs)
    case 'heartbeatAnswered': return recordContact(state, event.state, true, event.nowMs)
    case 'heartbeatReceived': return recordContact(state, event.state, false, event.nowMs)
    case 'linkFailed': return linkFailed(state, event.host, event.nowMs)
    case 'stopping': return updateLiveMembers({ ...state, stopping: true }, event.nowMs)
    case 'loadChanged': return { state: { ...state, load: event.load }, effects: [] }
    case 'tick': return tick(state, event.nowMs)
  }
}

/**
 * Returns the hosts whose majority may confirm a configuration during a store
 * outage: the watchers of each failure domain among the listed hosts, whether
 * they respond or not. Watchers are the hosts that query the store; all others
 * query a watcher.
 * @param state - the current state
 * @returns the hosts
 */
export function quorumHosts (state: MembershipState): readonly HostName[] {
  return state.quorum
}

/**
 * Returns the hosts that are unresponsive according to this member or to other
 * observers.
 * @param state - the current state
 * @returns the hosts, without those that are only stopping
 */
export function unresponsiveHosts (state: MembershipState): ReadonlySet<HostName> {
  return state.unresponsive
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the current state
 * @returns monotonic time
 */
export function membershipDueAtMs (state: MembershipState): number {
  let dueAtMs = state.gossipAtMs
  for (const [host, peer] of state.peers) dueAtMs = Math.min(dueAtMs, heartbeatDueAtMs(state, host, peer), peer.unresponsive ? Infinity : suspectAtMs(state, host, peer))
  return Math.min(Math.max(dueAtMs, state.lastTickMs + tickSpacingMs.min), state.lastTickMs + tickSpacingMs.max)
}

/**
 * Checks whether a host is in the platform's list. The heartbeat of a host that
 * is not listed confirms no configuration to it.
 * @param state - the current state
 * @param host - the host
 * @returns true if it is listed
 */
export function isListed (state: MembershipState, host: HostName): boolean {
  return state.listedByName.has(host)
}

function withPeer (state: MembershipState, host: HostName, peer: PeerView): MembershipState {
  return { ...state, peers: new Map(state.peers).set(host, peer) }
}

function listHosts (state: MembershipState, hosts: readonly ListedHost[], nowMs: number): MembershipState {
  const listedByName = new Map(hosts.map(host => [host.host, host]))
  const names = hosts.map(({ host }) => host).filter(host => host !== state.self.host)
  const fullMesh = hosts.length <= state.settings.fullMeshHosts
  const quorum = watchersOf(hosts, state.settings.watchersPerDomain)
  const observed = new Set(fullMesh ? names : [...ringNeighbours(state.self.host, names), ...(quorum.includes(state.self.host) ? otherWatchers(state.self.host, quorum) : [])])
  const observations = new Map([...state.observations].filter(([, { host }]) => listedByName.has(host)))
  const peers = new Map([...state.peers].filter(([host]) => listedByName.has(host)))
  for (const host of observed) {
    const peer = peers.get(host) ?? newPeer(nowMs)
    // A host that was not observed until now may not have sent heartbeats to this
    // member, so its time of last contact starts now.
    const isNew = !state.observed.has(host) && !peer.unresponsive
    peers.set(host, isNew ? { ...peer, lastContactMs: nowMs } : peer)
  }
  const capable = new Set([...capableMembers(hosts), ...dispatcherHosts(hosts)].map(({ host }) => host))
  return { ...state, listed: hosts, listedByName, quorum, capable, observed, peers, observations }
}

function otherWatchers (self: HostName, quorum: readonly HostName[]): readonly HostName[] {
  return quorum.filter(host => host !== self)
}

function isSameList (a: readonly ListedHost[], b: readonly ListedHost[]): boolean {
  return a === b || (a.length === b.length && a.length > 0 && a.every((host, at) => isSameHost(host, b[at])))
}

function isSameHost (a: ListedHost, b: ListedHost | undefined): boolean {
  return a.host === b?.host && a.state === b.state && a.ip === b.ip && a.port === b.port && a.failureDomain === b.failureDomain && a.capacityCores === b.capacityCores && String(a.features) === String(b.features)
}

function recordContact (state: MembershipState, from: MemberState, answered: boolean, nowMs: number): Next {
  if (!state.listedByName.has(from.host) || from.host === state.self.host) return { state, effects: [] }
  const peer = state.peers.get(from.host) ?? newPeer(nowMs)
  // Only an answer proves that the peer can be reached from this host.
  const linkFailedMs = answered ? undefined : peer.linkFailedMs
  const stopping = from.state === 'stopping'
  const contacted = withPeer(state, from.host, { ...peer, lastContactMs: nowMs, linkFailedMs, excusedMs: 0, stopping })
  const withGossip = mergeGossip(contacted, from.rumours ?? [], nowMs)
  const isNews = peer.unresponsive || peer.stopping !== stopping || withGossip !== contacted
  return isNews ? updateLiveMembers(withGossip, nowMs, state) : { state: withGossip, effects: [] }
}

function linkFailed (state: MembershipState, host: HostName, nowMs: number): Next {
  const listed = state.listedByName.get(host)
  const peer = state.peers.get(host) ?? newPeer(nowMs)
  if (listed === undefined || peer.linkFailedMs !== undefined) return { state, effects: [] }
  const sent = withPeer(state, host, { ...peer, linkFailedMs: nowMs, lastSentMs: nowMs })
  return { state: sent, effects: [{ kind: 'heartbeat', to: [listed], rumours: gossipEntries(state, nowMs) }] }
}

function tick (state: MembershipState, nowMs: number): Next {
  const current = { ...expireObservations(withoutOwnLateness(state, nowMs), nowMs), lastTickMs: nowMs }
  const isNews = current.observations !== state.observations || assessPeers(current, nowMs) !== current
  const assessed = isNews ? updateLiveMembers(current, nowMs) : { state: current, effects: [] }
  const isGossipDue = assessed.state.gossipAtMs <= nowMs
  const recipients = [...assessed.state.peers].filter(([host, peer]) => isDue(assessed.state, host, peer, nowMs) || (isGossipDue && assessed.state.observed.has(host) && !peer.unresponsive))
  if (recipients.length === 0 && !isGossipDue) return assessed
  const peers = new Map(assessed.state.peers)
  for (const [host, peer] of recipients) peers.set(host, { ...peer, lastSentMs: nowMs })
  const watchers = isGossipDue ? otherWatchers(state.self.host, state.quorum) : []
  const to = [...new Set([...recipients.map(([host]) => host), ...watchers])].flatMap(host => state.listedByName.get(host) ?? [])
  const gossiped = isGossipDue ? { gossipAtMs: Infinity, lastGossipMs: nowMs } : {}
  const heartbeat: MembershipEffect = { kind: 'heartbeat', to, rumours: gossipEntries(assessed.state, nowMs) }
  return { state: { ...assessed.state, peers, ...gossiped }, effects: [...assessed.effects, heartbeat] }
}

// After a pause of its own process a member has received no heartbeats, which
// proves nothing about its peers. Peers that were unresponsive before the pause
// stay so until a contact shows otherwise. The threshold is the same in a ring,
// although the heartbeat period is longer there.
function resetAfterPause (state: MembershipState, nowMs: number): MembershipState {
  const peers = [...state.peers].map(([host, peer]): readonly [HostName, PeerView] =>
    [host, peer.unresponsive ? peer : { ...peer, lastContactMs: nowMs, linkFailedMs: undefined, excusedMs: 0 }])
  return { ...state, peers: new Map(peers) }
}

// The time by which a tick is later than ticks may be apart is this member's own: what
// its peers sent meanwhile waits to be read. It counts for no peer, so a member that is
// short of processor time finds an unresponsive peer later and suspects no other.
function withoutOwnLateness (state: MembershipState, nowMs: number): MembershipState {
  const sinceTickMs = nowMs - state.lastTickMs
  if (sinceTickMs >= state.settings.suspectAfterMs / 2) return resetAfterPause(state, nowMs)
  const lateMs = sinceTickMs - tickSpacingMs.max - lateToleranceMs
  if (lateMs <= 0) return state
  const peers = [...state.peers].map(([host, peer]): readonly [HostName, PeerView] =>
    [host, peer.unresponsive ? peer : { ...peer, excusedMs: peer.excusedMs + lateMs }])
  return { ...state, peers: new Map(peers) }
}

function isDue (state: MembershipState, host: HostName, peer: PeerView, nowMs: number): boolean {
  const earlyMs = peer.linkFailedMs === undefined ? state.settings.periodMs * earlyFraction : 0
  return heartbeatDueAtMs(state, host, peer) <= nowMs + earlyMs
}

function heartbeatDueAtMs (state: MembershipState, host: HostName, peer: PeerView): number {
  // A peer that does not answer is asked often, so that its return is found soon.
  if (peer.linkFailedMs !== undefined || (peer.unresponsive && state.observed.has(host))) return peer.lastSentMs + state.settings.periodMs * repeatFraction
  const periodMs = state.settings.periodMs * peerPeriodFactor(state, host)
  const repeatAtMs = peer.lastSentMs + periodMs * repeatFraction
  if (!state.observed.has(host)) return Infinity
  if (peer.lastSentMs === -Infinity) return -Infinity
  // The end with the lower name sends the heartbeat; the other end sends one only
  // if none arrived.
  const periodFactor = state.self.host < host ? 1 : 1 + repeatFraction
  return Math.max(repeatAtMs, peer.lastContactMs + periodMs * periodFactor)
}

function isUnresponsive (state: MembershipState, host: HostName, peer: PeerView, nowMs: number): boolean {
  return nowMs >= suspectAtMs(state, host, peer)
}

// Time from which a peer counts as unresponsive unless it answers.
function suspectAtMs (state: MembershipState, host: HostName, peer: PeerView): number {
  const byLinkMs = peer.linkFailedMs === undefined ? Infinity : peer.linkFailedMs + state.settings.linkGraceMs * backgroundFactor(state.load)
  const byContactMs = state.observed.has(host) ? peer.lastContactMs + state.settings.suspectAfterMs * peerPeriodFactor(state, host) : Infinity
  return Math.min(byLinkMs, byContactMs) + peer.excusedMs
}

// Assesses every peer, records the changes that this member observed, and emits
// the set of live members if it changed.
function updateLiveMembers (state: MembershipState, nowMs: number, before = state): Next {
  const assessed = assessPeers(state, nowMs)
  const byGossip = unresponsiveByGossip(assessed)
  const live = assessed.listed.filter(listed => isLive(assessed, listed, byGossip))
  const members = isSelfAbsent(assessed) ? [assessed.self, ...live] : live
  const local = [...assessed.peers].filter(([, peer]) => peer.unresponsive).map(([host]) => host)
  const unresponsive = new Set([...local, ...byGossip])
  const next = { ...assessed, unresponsive: isSameSet(unresponsive, state.unresponsive) ? state.unresponsive : unresponsive, gossipAtMs: nextGossipAtMs(assessed, before, nowMs) }
  if (sameHosts(members, assessed.live)) return { state: next, effects: [] }
  return { state: { ...next, live: members }, effects: [{ kind: 'membersChanged', live: members }] }
}

function assessPeers (state: MembershipState, nowMs: number): MembershipState {
  const changed = [...state.peers].filter(([host, peer]) => isUnresponsive(state, host, peer, nowMs) !== peer.unresponsive)
  if (changed.length === 0) return state
  const peers = new Map(state.peers)
  const observations = new Map(state.observations)
  const observer = state.self.host
  for (const [host, peer] of changed) {
    peers.set(host, { ...peer, unresponsive: !peer.unresponsive })
    observations.set(`${host}/${observer}`, { host, observer, unresponsive: !peer.unresponsive, observedMs: nowMs })
  }
  return { ...state, peers, observations }
}

function nextGossipAtMs (state: MembershipState, before: MembershipState, nowMs: number): number {
  if (isFullMesh(state) || state.observations === before.observations) return state.gossipAtMs
  const hasNews = [...state.observations].some(([key, observation]) => before.observations.get(key) !== observation && isRelayed(state, observation))
  if (!hasNews) return state.gossipAtMs
  return Math.min(state.gossipAtMs, Math.max(nowMs, state.lastGossipMs + gossipSpacingMs * backgroundFactor(state.load)))
}

function isLive (state: MembershipState, listed: ListedHost, unresponsive: ReadonlySet<HostName>): boolean {
  if (listed.state === 'leaving') return false
  if (listed.host === state.self.host) return !state.stopping
  const peer = state.peers.get(listed.host)
  const isAbsent = peer !== undefined && (peer.unresponsive || peer.stopping)
  return !isAbsent && !unresponsive.has(listed.host)
}

function isSelfAbsent (state: MembershipState): boolean {
  return !state.stopping && !state.listedByName.has(state.self.host)
}

function isSameSet (a: ReadonlySet<HostName>, b: ReadonlySet<HostName>): boolean {
  return a.size === b.size && [...a].every(host => b.has(host))
}

function sameHosts (a: readonly Member[], b: readonly Member[]): boolean {
  return a.length === b.length && a.every((member, at) => member.host === b[at]?.host && member.ip === b[at]?.ip && member.port === b[at]?.port)
}
