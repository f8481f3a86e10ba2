// Which hosts take tokens for entry hosts, as far as this host knows. The knowledge
// comes from answers on this host's own links: the `features` of a heartbeat's answer,
// and `tookToken` in the reply to a statement, because in a large fleet an entry host
// exchanges heartbeats with few dispatchers. It is forgotten when the link fails and
// after `supportValidMs`, because the host may have been restarted in an earlier version.

import type { HostName, MemberState, PeerFeature } from '../model/index.js'

/** The features of this version, sent in heartbeats. */
export const ownFeatures: readonly PeerFeature[] = ['dispatcherAdmission']

/** Whether a host takes tokens for entry hosts. */
export type PeerSupport = 'supported' | 'unsupported' | 'unknown'

type Evidence = { readonly support: Exclude<PeerSupport, 'unknown'>, readonly atMs: number }

/** The newest evidence of each host. */
export type SupportState = ReadonlyMap<HostName, Evidence>

/** Events from which the support of other hosts follows. */
export type SupportEvent =
  | { readonly kind: 'stateAnswered', readonly state: MemberState, readonly nowMs: number }
  /** Reply to a statement that was sent with the field `takesToken`. */
  | { readonly kind: 'replied', readonly host: HostName, readonly tookToken: boolean | undefined, readonly nowMs: number }
  | { readonly kind: 'linkFailed', readonly host: HostName }

/** The state of a host that has just started. */
export const noSupport: SupportState = new Map()

/** Time for which evidence is used; an idle link stays open for longer. */
const supportValidMs = 10_000
/** Evidence that changes nothing is recorded again after this time. */
const refreshMs = 1000

/**
 * Applies one event.
 * @param state - the state
 * @param event - the event
 * @returns the new state; the same object where nothing changed
 */
export function supportStep (state: SupportState, event: SupportEvent): SupportState {
  switch (event.kind) {
    case 'stateAnswered': return withEvidence(state, event.state.host, event.state.features?.includes('dispatcherAdmission') === true, event.nowMs)
    case 'replied': return withEvidence(state, event.host, event.tookToken !== undefined, event.nowMs)
    case 'linkFailed': return state.has(event.host) ? new Map([...state].filter(([host]) => host !== event.host)) : state
  }
}

/**
 * Looks up whether a host takes tokens for entry hosts.
 * @param state - the state
 * @param host - the host
 * @param nowMs - the time
 * @returns `unknown` where there is no recent evidence
 */
export function supportOf (state: SupportState, host: HostName, nowMs: number): PeerSupport {
  const known = state.get(host)
  return known === undefined || nowMs - known.atMs >= supportValidMs ? 'unknown' : known.support
}

function withEvidence (state: SupportState, host: HostName, isSupported: boolean, nowMs: number): SupportState {
  const support = isSupported ? 'supported' : 'unsupported'
  const known = state.get(host)
  if (known?.support === support && nowMs - known.atMs < refreshMs) return state
  const recent = [...state].filter(([, { atMs }]) => nowMs - atMs < supportValidMs)
  return new Map(recent).set(host, { support, atMs: nowMs })
}
