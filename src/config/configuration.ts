// State machine of the configuration: which accepted manifest is in force on this
// host, and whether its generation is confirmed recently enough to serve
// authenticated requests.
//
// A host never reverts to a lower generation. It serves authenticated requests
// only while its generation is confirmed: within `confirmWithinMs`, the store or
// a majority of the quorum has reported no higher generation. Heartbeats carry
// the age of a peer's confirmation by the store, so a few hosts that query the
// store confirm the generation for all others.
//
// A newly started host has no state. It does not count for majorities, neither
// its own nor those of others, until the store or a majority of other hosts has
// reported its generation after the start. Otherwise, replaced hosts without
// state could outvote the majority that holds a generation.
//
// A store that was restored from a copy (a higher era) may return an older manifest and
// knows of no newer one. Its answers confirm nothing until a majority of the quorum has
// reported its generation since the era was first seen, so that a host that starts then
// learns of a newer manifest before it serves by the old one. Where the majority does not
// answer for `eraTrustPeriods`, the store's answer counts without it.

import type { AcceptedManifest, Generation, HostName } from '../model/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'
import { checkManifest, type ManifestResult } from './manifest.js'

/**
 * Validities of a confirmation after which a store of a new era is trusted without a
 * majority of the quorum, so that a host is not refused for good while most of it is away.
 */
const eraTrustPeriods = 5

/** Parameters of the configuration state machine. */
export type ConfigurationSpec = {
  readonly host: HostName
  readonly startedAtMs: number
  /** Longest age of a confirmation; beyond it, authenticated requests are refused. */
  readonly confirmWithinMs: number
  /**
   * Time after which an unanswered pull is retried; also the minimum time between
   * two queries of the peers.
   */
  readonly pullMs: number
  /** Validates a manifest; `checkManifest` by default. */
  readonly check?: (manifest: unknown) => ManifestResult
}

/** Last confirmation from a peer. `askedAtMs`: time at which the request was sent. */
export type PeerConfirmation = {
  readonly generation: Generation
  readonly askedAtMs: number
}

/** An invalid manifest, which is rejected as a whole. */
export type RejectedManifest = {
  readonly generation: Generation
  readonly errors: readonly string[]
}

/** State of the configuration state machine. */
export type ConfigurationState = {
  readonly spec: ConfigurationSpec
  /**
   * The manifest in force. Every manifest here is accepted, which means stored
   * under a generation; it is in force once this host has found it valid.
   */
  readonly accepted: AcceptedManifest | undefined
  readonly rejected: RejectedManifest | undefined
  /**
   * Latest time for which the store is known to have had no higher generation
   * than the one in force.
   */
  readonly storeConfirmedAtMs: number | undefined
  /** Highest era of the store's answers, and when the first request with it was sent. */
  readonly era: number
  readonly eraSinceMs: number
  /** Last answer of the store that will confirm the generation in force once the era is trusted. */
  readonly untrusted: { readonly generation: Generation, readonly askedAtMs: number } | undefined
  readonly peers: Readonly<Record<HostName, PeerConfirmation>>
  /**
   * Hosts whose majority may confirm a generation, whether they respond or not;
   * `quorumHosts` in src/members selects them.
   */
  readonly quorum: readonly HostName[]
  /**
   * Highest generation that a peer or the store has advertised; `from`: the
   * peer that advertised it, undefined for an offer or the store.
   */
  readonly highestAdvertised: { readonly generation: Generation, readonly from: HostName | undefined }
  /** Whether the host counts for majorities. */
  readonly canVote: boolean
  readonly pulledAtMs: number | undefined
  readonly peersQueriedAtMs: number | undefined
}

/**
 * Events of the configuration state machine. `askedAtMs` is the time before the
 * request was sent: a response confirms nothing about later times.
 */
export type ConfigurationEvent =
  /** The store returned its manifest; undefined where it has none. `era`: that of the answer, 0 by default. */
  | { readonly kind: 'storeAnswered', readonly accepted: AcceptedManifest | undefined, readonly era?: number, readonly askedAtMs: number }
  /** A read or a watch of the store failed. */
  | { readonly kind: 'storeFailed', readonly nowMs: number }
  /** A peer pushed a manifest, or returned one for a pull. */
  | { readonly kind: 'peerOffered', readonly accepted: AcceptedManifest }
  /**
   * A peer reported its generation in the reply to a heartbeat; a higher one
   * than that in force leads to a pull. `storeConfirmedAgoMs`: time since the
   * store confirmed that generation to the peer.
   */
  | { readonly kind: 'peerConfirmed', readonly host: HostName, readonly generation: Generation, readonly storeConfirmedAgoMs: number | undefined, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'quorumChanged', readonly hosts: readonly HostName[] }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of the configuration state machine. */
export type ConfigurationEffect =
  /** Put a valid manifest in force on this host. */
  | { readonly kind: 'apply', readonly accepted: AcceptedManifest }
  /** Push the manifest to peers. */
  | { readonly kind: 'offer', readonly accepted: AcceptedManifest }
  /** Pull a manifest above a generation from a peer. */
  | { readonly kind: 'pull', readonly host: HostName, readonly above: Generation }
  /** Query peers for their generation; each response is a `peerConfirmed` event. */
  | { readonly kind: 'queryPeers', readonly hosts: readonly HostName[] }
  /** Read the manifest from the store immediately. */
  | { readonly kind: 'relist' }
  /** Report that a manifest is invalid and does not come into force. */
  | { readonly kind: 'rejected', readonly rejected: RejectedManifest }

type Decision = Transition<ConfigurationState, ConfigurationEffect>

/**
 * Creates the initial state of a newly started host.
 * @param spec - parameters of the state machine
 * @returns the state, in which no manifest is in force
 */
export function initialConfiguration (spec: ConfigurationSpec): ConfigurationState {
  return {
    spec,
    accepted: undefined,
    rejected: undefined,
    storeConfirmedAtMs: undefined,
    era: 0,
    eraSinceMs: -Infinity,
    untrusted: undefined,
    peers: {},
    quorum: [],
    highestAdvertised: { generation: 0, from: undefined },
    canVote: false,
    pulledAtMs: undefined,
    peersQueriedAtMs: undefined
  }
}

/**
 * Handles one event.
 * @param state - the current state
 * @param event - the event
 * @returns the next state and the effects
 */
export function configurationStep (state: ConfigurationState, event: ConfigurationEvent): Decision {
  switch (event.kind) {
    case 'storeAnswered': return onStoreResponse(state, event)
    case 'storeFailed': return catchUp(state, event.nowMs)
    case 'peerOffered': return processManifest(state, event.accepted, 'peer')
    case 'peerConfirmed': return onPeerConfirmation(state, event)
    case 'quorumChanged': return queryNewEra(state, enableVoting(trustStore({ ...state, quorum: event.hosts, peers: retainHosts(state.peers, event.hosts) })))
    case 'tick': return queryStalePeers(catchUp(state, event.nowMs), event.nowMs)
  }
}

/**
 * Returns the time at which the current confirmation expires, provided that no
 * higher generation is advertised before.
 * @param state - the state of the configuration
 * @returns monotonic time in milliseconds; -Infinity where the generation is not confirmed
 */
export function confirmedUntilMs (state: ConfigurationState): number {
  return isBehind(state) ? -Infinity : contactUntilMs(state)
}

/**
 * Returns the time until which the host counts as being in contact with the store or
 * a majority of the quorum. Unlike a confirmation it does not end when a higher
 * generation is advertised.
 * @param state - the state of the configuration
 * @returns monotonic time in milliseconds; -Infinity without a manifest
 */
export function contactUntilMs (state: ConfigurationState): number {
  if (state.accepted === undefined) return -Infinity
  const byStoreAtMs = state.storeConfirmedAtMs ?? -Infinity
  return Math.max(byStoreAtMs, majorityConfirmedAtMs(state)) + state.spec.confirmWithinMs
}

/**
 * Decides whether the host may serve authenticated requests. Called for each
 * statement.
 * @param state - the state of the configuration
 * @param nowMs - monotonic time
 * @returns false where the statement is refused with `unconfirmedConfiguration`
 */
export function canServeAuthenticated (state: ConfigurationState, nowMs: number): boolean {
  return nowMs <= confirmedUntilMs(state)
}

/**
 * Returns the generation that the host reports in heartbeats, and with which its
 * peers count it for majorities. Whether it is confirmed is not considered.
 * @param state - the state of the configuration
 * @returns the generation in force, or 0 while the host counts for no majority
 */
export function confirmedGeneration (state: ConfigurationState): Generation {
  return state.canVote ? generationInForce(state) : 0
}

/**
 * Returns the generation in force.
 * @param state - the state of the configuration
 * @returns the generation, or 0 where none is in force
 */
export function generationInForce (state: ConfigurationState): Generation {
  return state.accepted?.generation ?? 0
}

/**
 * Returns the time since the store confirmed the generation in force.
 * @param state - the state of the configuration
 * @param nowMs - monotonic time
 * @returns milliseconds, or undefined where the store has never confirmed it
 */
export function storeConfirmedAgoMs (state: ConfigurationState, nowMs: number): number | undefined {
  return state.storeConfirmedAtMs === undefined ? undefined : nowMs - state.storeConfirmedAtMs
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the state of the configuration
 * @returns monotonic time
 */
export function configurationDueAtMs (state: ConfigurationState): number {
  const { confirmWithinMs, pullMs, startedAtMs } = state.spec
  const pullAtMs = isBehind(state) ? (state.pulledAtMs ?? startedAtMs) + pullMs : Infinity
  const staleAtMs = (state.storeConfirmedAtMs ?? startedAtMs) + confirmWithinMs / 2
  const queryAtMs = Math.max(staleAtMs, (state.peersQueriedAtMs ?? -Infinity) + pullMs)
  return Math.min(pullAtMs, queryAtMs)
}

function onStoreResponse (before: ConfigurationState, { accepted, era = 0, askedAtMs }: ConfigurationEvent & { readonly kind: 'storeAnswered' }): Decision {
  if (era < before.era) return withoutEffects(before)
  const state = era === before.era ? before : { ...before, era, eraSinceMs: askedAtMs, untrusted: undefined }
  const decision = accepted === undefined ? withoutEffects<ConfigurationState, ConfigurationEffect>(state) : processManifest(state, accepted, 'store')
  const asked = queryNewEra(before, decision.state)
  const effects = [...decision.effects, ...asked.effects]
  // A generation below the one in force means that the response is stale.
  if ((accepted?.generation ?? 0) < generationInForce(state)) return { state: asked.state, effects }
  const untrusted = { generation: generationInForce(asked.state), askedAtMs }
  return { state: trustStore({ ...asked.state, untrusted }), effects }
}

// Asks the quorum at once, because no answer of the store counts before theirs.
function queryNewEra (before: ConfigurationState, state: ConfigurationState): Decision {
  const isNew = state.era > before.era || (state.era > 0 && state.quorum !== before.quorum && !isEraTrusted(state))
  const hosts = state.quorum.filter(host => host !== state.spec.host)
  return isNew && hosts.length > 0 ? { state, effects: [{ kind: 'queryPeers', hosts }] } : withoutEffects(state)
}

function isEraTrusted ({ spec, era, eraSinceMs, quorum, peers, untrusted }: ConfigurationState): boolean {
  if (era === 0 || (untrusted !== undefined && untrusted.askedAtMs - eraSinceMs >= spec.confirmWithinMs * eraTrustPeriods)) return true
  const answered = quorum.filter(host => host === spec.host || (peers[host]?.askedAtMs ?? -Infinity) >= eraSinceMs)
  return answered.length >= majority(quorum)
}

function trustStore (state: ConfigurationState): ConfigurationState {
  const { untrusted } = state
  if (untrusted === undefined || !isEraTrusted(state)) return state
  const trusted = { ...state, untrusted: undefined }
  return untrusted.generation === generationInForce(state) ? storeConfirmed(trusted, untrusted.askedAtMs) : trusted
}

function onPeerConfirmation (state: ConfigurationState, event: ConfigurationEvent & { readonly kind: 'peerConfirmed' }): Decision {
  const { host, generation, storeConfirmedAgoMs: agoMs, askedAtMs, nowMs } = event
  const inQuorum = host !== state.spec.host && state.quorum.includes(host)
  const peers = inQuorum ? { ...state.peers, [host]: { generation, askedAtMs } } : state.peers
  const highestAdvertised = generation > state.highestAdvertised.generation ? { generation, from: host } : state.highestAdvertised
  const updated = trustStore({ ...state, peers, highestAdvertised })
  // The peer's confirmation by the store applies to its higher generation, not
  // to the one in force here.
  if (generation > highestProcessed(state)) return catchUp(updated, nowMs)
  return withoutEffects(agoMs === undefined ? enableVoting(updated) : storeConfirmed(updated, askedAtMs - agoMs))
}

// A manifest from a peer is not pushed further: the host that read it from the
// store pushes it, and heartbeats advertise its generation. The first manifest after
// a start is not pushed, because the peers have it or start now, too.
function processManifest (state: ConfigurationState, accepted: AcceptedManifest, from: 'store' | 'peer'): Decision {
  if (accepted.generation <= highestProcessed(state)) return withoutEffects(state)
  const checked = (state.spec.check ?? checkManifest)(accepted.manifest)
  const highestAdvertised = accepted.generation > state.highestAdvertised.generation ? { generation: accepted.generation, from: undefined } : state.highestAdvertised
  switch (checked.kind) {
    case 'valid': {
      const inForce = { generation: accepted.generation, manifest: checked.manifest }
      const next = { ...state, accepted: inForce, rejected: undefined, highestAdvertised, pulledAtMs: undefined }
      const offers: readonly ConfigurationEffect[] = from === 'store' && state.accepted !== undefined ? [{ kind: 'offer', accepted: inForce }] : []
      return { state: enableVoting(next), effects: [{ kind: 'apply', accepted: inForce }, ...offers] }
    }
    case 'invalid': {
      const rejected = { generation: accepted.generation, errors: checked.errors }
      return { state: { ...state, rejected, highestAdvertised, pulledAtMs: undefined }, effects: [{ kind: 'rejected', rejected }] }
    }
  }
}

function catchUp (state: ConfigurationState, nowMs: number): Decision {
  if (!isBehind(state)) return withoutEffects(state)
  if (state.pulledAtMs !== undefined && nowMs - state.pulledAtMs < state.spec.pullMs) return withoutEffects(state)
  const { from } = state.highestAdvertised
  const pull: readonly ConfigurationEffect[] = from === undefined ? [] : [{ kind: 'pull', host: from, above: generationInForce(state) }]
  return { state: { ...state, pulledAtMs: nowMs }, effects: [...pull, { kind: 'relist' }] }
}

// Heartbeats alone do not reach every host of the quorum, and the age of a
// received heartbeat is unknown. Once the store's confirmation is older than
// half of its validity, the host therefore queries the quorum.
function queryStalePeers (decision: Decision, nowMs: number): Decision {
  const { state, effects } = decision
  const { host: self, confirmWithinMs, pullMs } = state.spec
  const staleBeforeMs = nowMs - confirmWithinMs / 2
  if (state.storeConfirmedAtMs !== undefined && state.storeConfirmedAtMs >= staleBeforeMs) return decision
  if (state.peersQueriedAtMs !== undefined && nowMs - state.peersQueriedAtMs < pullMs) return decision
  const hosts = state.quorum.filter(host => host !== self && (state.peers[host]?.askedAtMs ?? -Infinity) < staleBeforeMs)
  if (hosts.length === 0) return decision
  return { state: { ...state, peersQueriedAtMs: nowMs }, effects: [...effects, { kind: 'queryPeers', hosts }] }
}

function storeConfirmed (state: ConfigurationState, atMs: number): ConfigurationState {
  const storeConfirmedAtMs = Math.max(atMs, state.storeConfirmedAtMs ?? atMs)
  return enableVoting({ ...state, storeConfirmedAtMs })
}

function enableVoting (state: ConfigurationState): ConfigurationState {
  if (state.canVote || state.accepted === undefined || isBehind(state)) return state
  const { startedAtMs } = state.spec
  const byStore = state.storeConfirmedAtMs !== undefined && state.storeConfirmedAtMs >= startedAtMs
  const canVote = byStore || confirmationCount(state, startedAtMs) >= majority(state.quorum)
  return canVote ? { ...state, canVote } : state
}

// Request time of the oldest response among the latest ones that form a
// majority. At least one other host must have responded. A peer with generation
// 0 counts for no majority. A peer with a lower generation than the one in force
// counts, because it reports no higher one.
function majorityConfirmedAtMs (state: ConfigurationState): number {
  const localVote = state.canVote && state.quorum.includes(state.spec.host) ? 1 : 0
  const needed = Math.max(1, majority(state.quorum) - localVote)
  const answersAtMs = Object.values(state.peers)
    .filter(peer => peer.generation > 0)
    .map(peer => peer.askedAtMs)
    .sort((a, b) => b - a)
  return answersAtMs[needed - 1] ?? -Infinity
}

// Number of peers that have responded since a time, by the same rule.
function confirmationCount (state: ConfigurationState, sinceMs: number): number {
  return Object.values(state.peers).filter(peer => peer.generation > 0 && peer.askedAtMs >= sinceMs).length
}

function majority (quorum: readonly HostName[]): number {
  return Math.floor(quorum.length / 2) + 1
}

// The highest generation that was applied or rejected as invalid.
function highestProcessed (state: ConfigurationState): Generation {
  return Math.max(generationInForce(state), state.rejected?.generation ?? 0)
}

function isBehind (state: ConfigurationState): boolean {
  return state.highestAdvertised.generation > highestProcessed(state)
}

function retainHosts (peers: ConfigurationState['peers'], hosts: readonly HostName[]): ConfigurationState['peers'] {
  return Object.fromEntries(Object.entries(peers).filter(([host]) => hosts.includes(host)))
}
