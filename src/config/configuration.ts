// Decisions of the configuration pipe: which accepted manifest is in force on
// this host, and whether the host knows enough to do keyed work.
//
// A host never goes back to a lower generation. It does keyed work only while
// it has confirmed, within a bound, that nothing above its generation is known
// to the store or to a majority of its quorum. Peers pass on how long ago the
// store confirmed them, so a few hosts that ask the store serve all others.
//
// A host that has just started remembers nothing. It counts for no majority,
// neither its own nor others', until the store or a majority of others has
// told it their generation after its start. Otherwise a majority that holds a
// generation could be outvoted by replaced members of itself.

import type { AcceptedManifest, Generation, HostName } from '../model/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'
import { checkManifest, type ManifestResult } from './manifest.js'

/** What the decisions are told at the start. */
export type ConfigurationSpec = {
  readonly host: HostName
  readonly startedAtMs: number
  /** Age of the last confirmation beyond which keyed work is refused. */
  readonly confirmWithinMs: number
  /** Time after which an unanswered pull is asked again. */
  readonly pullMs: number
  readonly check?: (manifest: unknown) => ManifestResult
}

/** What one peer confirmed last. */
export type PeerConfirmation = {
  readonly generation: Generation
  readonly askedAtMs: number
}

/** A manifest that was refused whole. */
export type RejectedManifest = {
  readonly generation: Generation
  readonly errors: readonly string[]
}

/** State of the configuration pipe. */
export type ConfigurationState = {
  readonly spec: ConfigurationSpec
  /** The manifest in force. */
  readonly accepted: AcceptedManifest | undefined
  readonly rejected: RejectedManifest | undefined
  /** A moment at which the store held nothing above the generation in force. */
  readonly storeConfirmedAtMs: number | undefined
  readonly peers: Readonly<Record<HostName, PeerConfirmation>>
  /** Hosts that the platform's list names, whether they answer or not. */
  readonly quorum: readonly HostName[]
  /** The highest generation that anybody spoke of, and who. */
  readonly highestAdvertised: { readonly generation: Generation, readonly from: HostName | undefined }
  /** Whether the host counts for majorities. */
  readonly canVote: boolean
  readonly pulledAtMs: number | undefined
  readonly askedPeersAtMs: number | undefined
}

/**
 * What the pipe is told. `askedAtMs` is the time before the question was sent:
 * an answer says nothing of what came later.
 */
export type ConfigurationEvent =
  | { readonly kind: 'storeAnswered', readonly accepted: AcceptedManifest | undefined, readonly askedAtMs: number }
  | { readonly kind: 'storeFailed', readonly nowMs: number }
  | { readonly kind: 'peerOffered', readonly accepted: AcceptedManifest }
  | { readonly kind: 'peerConfirmed', readonly host: HostName, readonly generation: Generation, readonly storeConfirmedAgoMs: number | undefined, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'quorumChanged', readonly hosts: readonly HostName[] }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the pipe wants done. */
export type ConfigurationEffect =
  | { readonly kind: 'apply', readonly accepted: AcceptedManifest }
  /** Push to peers. */
  | { readonly kind: 'offer', readonly accepted: AcceptedManifest }
  /** Ask a peer for what it holds above a generation. */
  | { readonly kind: 'pull', readonly host: HostName, readonly above: Generation }
  /** Ask peers for their generation; each answer is a `peerConfirmed`. */
  | { readonly kind: 'askPeers', readonly hosts: readonly HostName[] }
  /** Ask the store now. */
  | { readonly kind: 'relist' }
  | { readonly kind: 'rejected', readonly rejected: RejectedManifest }

type Decision = Transition<ConfigurationState, ConfigurationEffect>

/**
 * The state of a host that has just started.
 * @param spec - the host and its bounds
 * @returns the state; nothing is in force
 */
export function initialConfiguration (spec: ConfigurationSpec): ConfigurationState {
  return {
    spec,
    accepted: undefined,
    rejected: undefined,
    storeConfirmedAtMs: undefined,
    peers: {},
    quorum: [],
    highestAdvertised: { generation: 0, from: undefined },
    canVote: false,
    pulledAtMs: undefined,
    askedPeersAtMs: undefined
  }
}

/**
 * Decides on one event.
 * @param state - the state before
 * @param event - what happened
 * @returns the state after and what to do
 */
export function configurationStep (state: ConfigurationState, event: ConfigurationEvent): Decision {
  switch (event.kind) {
    case 'storeAnswered': return onStoreAnswer(state, event.accepted, event.askedAtMs)
    case 'storeFailed': return catchUp(state, event.nowMs)
    case 'peerOffered': return consider(state, event.accepted, 'peer')
    case 'peerConfirmed': return onPeer(state, event)
    case 'quorumChanged': return withoutEffects(settle({ ...state, quorum: event.hosts, peers: only(state.peers, event.hosts) }))
    case 'tick': return askWhereOld(catchUp(state, event.nowMs), event.nowMs)
  }
}

/**
 * Until when the host knows enough to do keyed work, if it hears of nothing.
 * @param state - the state of the pipe
 * @returns monotonic time in milliseconds; -Infinity where it does not know enough
 */
export function confirmedUntilMs (state: ConfigurationState): number {
  if (state.accepted === undefined || isBehind(state)) return -Infinity
  const byStoreAtMs = state.storeConfirmedAtMs ?? -Infinity
  return Math.max(byStoreAtMs, majorityConfirmedAtMs(state)) + state.spec.confirmWithinMs
}

/**
 * Tells whether the host knows enough to do keyed work. Asked at each statement.
 * @param state - the state of the pipe
 * @param nowMs - monotonic time
 * @returns false where the caller is to be told `unconfirmedConfiguration`
 */
export function canServeAuthenticated (state: ConfigurationState, nowMs: number): boolean {
  return nowMs <= confirmedUntilMs(state)
}

/**
 * The generation that the host tells in heartbeats.
 * @param state - the state of the pipe
 * @returns the generation in force, or 0 while the host counts for no majority
 */
export function confirmedGeneration (state: ConfigurationState): Generation {
  return state.canVote ? generationInForce(state) : 0
}

/**
 * The generation in force.
 * @param state - the state of the pipe
 * @returns the generation, or 0 where none is in force
 */
export function generationInForce (state: ConfigurationState): Generation {
  return state.accepted?.generation ?? 0
}

/**
 * How long ago the store confirmed the generation in force.
 * @param state - the state of the pipe
 * @param nowMs - monotonic time
 * @returns milliseconds, or undefined where it never did
 */
export function storeConfirmedAgoMs (state: ConfigurationState, nowMs: number): number | undefined {
  return state.storeConfirmedAtMs === undefined ? undefined : nowMs - state.storeConfirmedAtMs
}

function onStoreAnswer (state: ConfigurationState, accepted: AcceptedManifest | undefined, askedAtMs: number): Decision {
  const decision = accepted === undefined ? withoutEffects<ConfigurationState, ConfigurationEffect>(state) : consider(state, accepted, 'store')
  // A store that shows less than what is in force gave an old answer.
  if ((accepted?.generation ?? 0) < generationInForce(state)) return decision
  return { ...decision, state: storeConfirmed(decision.state, askedAtMs) }
}

function onPeer (state: ConfigurationState, event: ConfigurationEvent & { readonly kind: 'peerConfirmed' }): Decision {
  const { host, generation, storeConfirmedAgoMs: agoMs, askedAtMs, nowMs } = event
  const inQuorum = host !== state.spec.host && state.quorum.includes(host)
  const peers = inQuorum ? { ...state.peers, [host]: { generation, askedAtMs } } : state.peers
  const heard = generation > state.highestAdvertised.generation ? { generation, from: host } : state.highestAdvertised
  const told = { ...state, peers, heard }
  // What the store confirmed for a higher generation says nothing of this one.
  if (generation > handled(state)) return catchUp(told, nowMs)
  return withoutEffects(agoMs === undefined ? settle(told) : storeConfirmed(told, askedAtMs - agoMs))
}

// What came from a peer is not pushed on: whoever asked the store pushes it, and
// heartbeats tell of it.
function consider (state: ConfigurationState, accepted: AcceptedManifest, from: 'store' | 'peer'): Decision {
  if (accepted.generation <= handled(state)) return withoutEffects(state)
  const checked = (state.spec.check ?? checkManifest)(accepted.manifest)
  const heard = accepted.generation > state.highestAdvertised.generation ? { generation: accepted.generation, from: undefined } : state.highestAdvertised
  switch (checked.kind) {
    case 'valid': {
      const taken = { generation: accepted.generation, manifest: checked.manifest }
      const next = { ...state, accepted: taken, rejected: undefined, heard, pulledAtMs: undefined }
      const offers: readonly ConfigurationEffect[] = from === 'store' ? [{ kind: 'offer', accepted: taken }] : []
      return { state: settle(next), effects: [{ kind: 'apply', accepted: taken }, ...offers] }
    }
    case 'invalid': {
      const rejected = { generation: accepted.generation, errors: checked.errors }
      return { state: { ...state, rejected, highestAdvertised: heard, pulledAtMs: undefined }, effects: [{ kind: 'rejected', rejected }] }
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

// Heartbeats alone don't reach every host of the quorum, and a received one
// has no known age. Where the store's confirmation has grown old, the host asks.
function askWhereOld (decision: Decision, nowMs: number): Decision {
  const { state, effects } = decision
  const { host: self, confirmWithinMs, pullMs } = state.spec
  const oldMs = nowMs - confirmWithinMs / 2
  if (state.storeConfirmedAtMs !== undefined && state.storeConfirmedAtMs >= oldMs) return decision
  if (state.askedPeersAtMs !== undefined && nowMs - state.askedPeersAtMs < pullMs) return decision
  const hosts = state.quorum.filter(host => host !== self && (state.peers[host]?.askedAtMs ?? -Infinity) < oldMs)
  if (hosts.length === 0) return decision
  return { state: { ...state, askedPeersAtMs: nowMs }, effects: [...effects, { kind: 'askPeers', hosts }] }
}

function storeConfirmed (state: ConfigurationState, atMs: number): ConfigurationState {
  const storeConfirmedAtMs = Math.max(atMs, state.storeConfirmedAtMs ?? atMs)
  return settle({ ...state, storeConfirmedAtMs })
}

function settle (state: ConfigurationState): ConfigurationState {
  if (state.canVote || state.accepted === undefined || isBehind(state)) return state
  const { startedAtMs } = state.spec
  const byStore = state.storeConfirmedAtMs !== undefined && state.storeConfirmedAtMs >= startedAtMs
  const settled = byStore || confirmers(state, startedAtMs) >= majority(state.quorum)
  return settled ? { ...state, canVote: settled } : state
}

// The time of the oldest answer among the newest ones that make a majority.
// One other host at least must have answered.
function majorityConfirmedAtMs (state: ConfigurationState): number {
  const own = state.canVote && state.quorum.includes(state.spec.host) ? 1 : 0
  const needed = Math.max(1, majority(state.quorum) - own)
  const answersAtMs = Object.values(state.peers)
    .filter(peer => peer.generation > 0)
    .map(peer => peer.askedAtMs)
    .sort((a, b) => b - a)
  return answersAtMs[needed - 1] ?? -Infinity
}

function confirmers (state: ConfigurationState, sinceMs: number): number {
  return Object.values(state.peers).filter(peer => peer.generation > 0 && peer.askedAtMs >= sinceMs).length
}

function majority (quorum: readonly HostName[]): number {
  return Math.floor(quorum.length / 2) + 1
}

// The highest generation that was applied or refused as invalid.
function handled (state: ConfigurationState): Generation {
  return Math.max(generationInForce(state), state.rejected?.generation ?? 0)
}

function isBehind (state: ConfigurationState): boolean {
  return state.highestAdvertised.generation > handled(state)
}

function only (peers: ConfigurationState['peers'], hosts: readonly HostName[]): ConfigurationState['peers'] {
  return Object.fromEntries(Object.entries(peers).filter(([host]) => hosts.includes(host)))
}
