// The lease of a duty that one host at a time may carry. The lease is an object
// of the store that is written by conditional updates only. Its holder renews
// it; whoever sees it unchanged for a whole term may take it, with a token above
// the one before.
//
// Why two hosts never both hold it. The holder counts its term from before it
// sent the renewal that the store answered. Another host counts the term from
// an answer that showed it the renewal, which is later, and its takeover is
// conditional on the version that it saw. A renewal without an answer extends
// nothing; where it takes effect late, it only makes the others wait longer.
// All times go on while a host is suspended (see the timer service).

import type { HostName } from '../model/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'

/** The lease as the store holds it. */
export type LeaseRecord = {
  readonly holder: HostName
  /** Differs at each start of the holder's process. */
  readonly incarnation: string
  /** Rises with each change of the holder. */
  readonly token: number
  /** Rises with each renewal. */
  readonly renewal: number
  /** The holder has stopped and gives the lease up. */
  readonly released: boolean
}

/** Times of a lease. */
export type LeaseSettings = {
  /** How long a renewal holds. */
  readonly durationMs: number
  readonly renewEveryMs: number
  /** The holder counts its term shorter by this, so that its last call ends within it. */
  readonly marginMs: number
  /** A holder that was heard this recently is left alone. */
  readonly recentContactMs: number
  /** How often a host without the lease looks at it, where it hears of no holder. */
  readonly pollEveryMs: number
  /** Each later candidate waits this much longer before it takes the lease. */
  readonly rankDelayMs: number
}

/** Times that suit a store that answers within milliseconds. */
export const defaultLeaseSettings: LeaseSettings = {
  durationMs: 2500,
  renewEveryMs: 700,
  marginMs: 500,
  recentContactMs: 1200,
  pollEveryMs: 400,
  rankDelayMs: 250
}

type Sighting = {
  readonly record: LeaseRecord | undefined
  readonly version: number
  /** When an answer first showed this version. */
  readonly sinceMs: number
}

/** What a host knows of the lease. */
export type LeaseState = {
  readonly self: { readonly host: HostName, readonly incarnation: string }
  readonly settings: LeaseSettings
  readonly observed: Sighting | undefined
  /** Set while this host holds the lease. */
  readonly held: { readonly token: number, readonly untilMs: number } | undefined
  /** A call of the store is under way. */
  readonly callInProgress: boolean
  readonly nextCallMs: number
  /** Last time that a holder was heard. */
  readonly lastContactAtMs: number
  /** Place among the candidates; undefined: none, for example while it stops. */
  readonly rank: number | undefined
}

/** What happens to the lease. Times are monotonic; `askedAtMs` is before the call was sent. */
export type LeaseEvent =
  | { readonly kind: 'tick', readonly nowMs: number }
  | { readonly kind: 'read', readonly record: LeaseRecord | undefined, readonly version: number, readonly nowMs: number }
  | { readonly kind: 'written', readonly record: LeaseRecord, readonly version: number, readonly sentAtMs: number, readonly nowMs: number }
  /** The write or the read failed; a write may still take effect. */
  | { readonly kind: 'callFailed', readonly nowMs: number }
  /** Another member says that it holds the lease. */
  | { readonly kind: 'holderHeard', readonly nowMs: number }
  | { readonly kind: 'rankChanged', readonly rank: number | undefined }

/** What is to be done. */
export type LeaseEffect =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly version: number, readonly record: LeaseRecord }

type Next = Transition<LeaseState, LeaseEffect>

/**
 * The state of a host that has just started.
 * @param self - the host
 * @param settings - times
 * @returns the state; nothing is held
 */
export function initialLease (self: LeaseState['self'], settings: LeaseSettings = defaultLeaseSettings): LeaseState {
  return { self, settings, observed: undefined, held: undefined, callInProgress: false, nextCallMs: 0, lastContactAtMs: -Infinity, rank: undefined }
}

/**
 * The decision on the lease.
 * @param state - what is known
 * @param event - what happened
 * @returns what is known then, and what to do
 */
export function leaseStep (state: LeaseState, event: LeaseEvent): Next {
  switch (event.kind) {
    case 'tick': return act(lapse(state, event.nowMs), event.nowMs)
    case 'read': return act(see({ ...state, callInProgress: false }, event.record, event.version, event.nowMs), event.nowMs)
    case 'written': return withoutEffects(takeWritten(state, event))
    // Whoever failed looks again before anything else: its own write may have taken effect.
    case 'callFailed': return withoutEffects({ ...state, callInProgress: false, observed: undefined, nextCallMs: event.nowMs + state.settings.pollEveryMs })
    case 'holderHeard': return withoutEffects({ ...state, lastContactAtMs: event.nowMs })
    case 'rankChanged': return withoutEffects({ ...state, rank: event.rank })
  }
}

/**
 * The token of the lease, where this host holds it. Asked right before each
 * call that needs the lease.
 * @param state - what is known
 * @param nowMs - monotonic time
 * @returns the token, or undefined where another host may hold the lease
 */
export function heldToken (state: LeaseState, nowMs: number): number | undefined {
  return state.held !== undefined && nowMs < state.held.untilMs ? state.held.token : undefined
}

/**
 * The record that gives the lease up.
 * @param state - what is known
 * @returns the write, or undefined where there is nothing to give up
 */
export function releaseEffect (state: LeaseState): Extract<LeaseEffect, { readonly kind: 'write' }> | undefined {
  const { observed: sighting } = state
  if (state.held === undefined || sighting?.record === undefined) return undefined
  return { kind: 'write', version: sighting.version, record: { ...sighting.record, renewal: sighting.record.renewal + 1, released: true } }
}

function lapse (state: LeaseState, nowMs: number): LeaseState {
  return state.held !== undefined && nowMs >= state.held.untilMs ? { ...state, held: undefined } : state
}

function see (state: LeaseState, record: LeaseRecord | undefined, version: number, nowMs: number): LeaseState {
  const isKnown = state.observed?.version === version
  return { ...state, observed: { record, version, sinceMs: isKnown ? state.observed.sinceMs : nowMs }, nextCallMs: nowMs + state.settings.pollEveryMs }
}

function takeWritten (state: LeaseState, event: Extract<LeaseEvent, { readonly kind: 'written' }>): LeaseState {
  const { settings } = state
  const { record, version, sentAtMs: askedAtMs, nowMs } = event
  return {
    ...state,
    callInProgress: false,
    observed: { record, version, sinceMs: nowMs },
    held: { token: record.token, untilMs: askedAtMs + settings.durationMs - settings.marginMs },
    nextCallMs: askedAtMs + settings.renewEveryMs
  }
}

function act (state: LeaseState, nowMs: number): Next {
  if (state.callInProgress || state.rank === undefined) return withoutEffects(state)
  const { observed: sighting } = state
  if (sighting === undefined) return nowMs < state.nextCallMs || isHeard(state, nowMs) ? withoutEffects(state) : call(state, { kind: 'read' })
  if (isOwn(state, sighting.record)) return nowMs < state.nextCallMs ? withoutEffects(state) : call(state, renewal(sighting.version, sighting.record))
  if (mayTake(state, sighting, state.rank, nowMs)) return call(state, takeover(state, sighting))
  return nowMs < state.nextCallMs || isHeard(state, nowMs) ? withoutEffects(state) : call(state, { kind: 'read' })
}

function call (state: LeaseState, effect: LeaseEffect): Next {
  return { state: { ...state, callInProgress: true }, effects: [effect] }
}

function isHeard (state: LeaseState, nowMs: number): boolean {
  return nowMs - state.lastContactAtMs < state.settings.recentContactMs
}

function isOwn (state: LeaseState, record: LeaseRecord | undefined): record is LeaseRecord {
  return record !== undefined && !record.released && record.holder === state.self.host && record.incarnation === state.self.incarnation
}

// A process that was restarted knows that the one before it is gone.
function mayTake (state: LeaseState, sighting: Sighting, rank: number, nowMs: number): boolean {
  const { record } = sighting
  const { settings } = state
  const turnMs = rank * settings.rankDelayMs
  if (record === undefined || record.released || record.holder === state.self.host) return nowMs - sighting.sinceMs >= turnMs
  return nowMs - sighting.sinceMs >= settings.durationMs + turnMs
}

function renewal (version: number, record: LeaseRecord): LeaseEffect {
  return { kind: 'write', version, record: { ...record, renewal: record.renewal + 1 } }
}

function takeover (state: LeaseState, sighting: Sighting): LeaseEffect {
  const token = (sighting.record?.token ?? 0) + 1
  return { kind: 'write', version: sighting.version, record: { holder: state.self.host, incarnation: state.self.incarnation, token, renewal: 1, released: false } }
}
