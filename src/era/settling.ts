// When an era of the store is settled: no host uses a quota partition any more on the
// ground of what the store held in an earlier era.
//
// A host that does not reach the store learns of a new era from the state that other
// hosts send it. A host in contact hears from a majority of the quorum within the
// validity of a confirmation. Once a majority of the quorum has stated the new era, each
// such majority contains a host that states it, so every other host hears of the era or
// loses its contact within that time. A host that hears of it stops within
// `eraGraceMs` unless it has read the table of the new era before. Its process may be
// paused meanwhile, for less than a confirmation is valid; after a longer pause it has
// lost its contact and reads the table anew.

import type { HostName } from '../model/index.js'

/** Time for which a host that hears of a higher era may use what it knows of the earlier one. */
export const eraGraceMs = 1500

/** What a host knows of the store's eras. */
export type EraKnowledge = {
  readonly self: HostName
  readonly confirmWithinMs: number
  /** Highest era that the store's answers have shown to this host. */
  readonly era: number
  /** Highest era that any answer of the store or any other host has stated. */
  readonly heardEra: number
  /** Highest era that each host has stated. */
  readonly stated: ReadonlyMap<HostName, number>
  readonly quorum: readonly HostName[]
  /** Since when a majority of the quorum knows `era`; undefined: not known. */
  readonly knownSinceMs: number | undefined
  readonly settledEra: number
}

/** Events of the eras. Times are monotonic. */
export type EraEvent =
  | { readonly kind: 'storeAnswered', readonly era: number, readonly nowMs: number }
  | { readonly kind: 'hostStated', readonly host: HostName, readonly era: number, readonly nowMs: number }
  | { readonly kind: 'quorumChanged', readonly hosts: readonly HostName[], readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of the eras. */
export type EraEffect =
  /** The store has been restored; sent once for each higher era of its answers. */
  | { readonly kind: 'raised', readonly era: number }
  /** A higher era was heard of, from the store or another host. */
  | { readonly kind: 'heard', readonly era: number }
  | { readonly kind: 'settled', readonly era: number }

type Next = { readonly state: EraKnowledge, readonly effects: readonly EraEffect[] }

/**
 * Creates the state of a host that has just started.
 * @param self - the host
 * @param confirmWithinMs - validity of a confirmation
 * @returns the state, in era 0, which needs no settling
 */
export function initialEraKnowledge (self: HostName, confirmWithinMs: number): EraKnowledge {
  return { self, confirmWithinMs, era: 0, heardEra: 0, stated: new Map(), quorum: [], knownSinceMs: undefined, settledEra: 0 }
}

/**
 * Step function of the eras.
 * @param state - the state
 * @param event - the event
 * @returns the next state and the effects
 */
export function eraStep (state: EraKnowledge, event: EraEvent): Next {
  switch (event.kind) {
    case 'storeAnswered': return storeAnswered(state, event.era, event.nowMs)
    case 'hostStated': return hostStated(state, event.host, event.era, event.nowMs)
    case 'quorumChanged': return settle({ ...state, quorum: event.hosts }, event.nowMs)
    case 'tick': return settle(state, event.nowMs)
  }
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the state
 * @returns monotonic time; Infinity while nothing is due
 */
export function eraDueAtMs (state: EraKnowledge): number {
  return state.settledEra >= state.era || state.knownSinceMs === undefined ? Infinity : settledAtMs(state, state.knownSinceMs)
}

function settledAtMs (state: EraKnowledge, knownSinceMs: number): number {
  return knownSinceMs + 2 * state.confirmWithinMs + eraGraceMs
}

function storeAnswered (state: EraKnowledge, era: number, nowMs: number): Next {
  if (era <= state.era) return { state, effects: [] }
  const { state: raised, effects } = heard({ ...state, era, knownSinceMs: undefined }, era)
  const settled = settle(raised, nowMs)
  return { state: settled.state, effects: [{ kind: 'raised', era }, ...effects, ...settled.effects] }
}

function hostStated (state: EraKnowledge, host: HostName, era: number, nowMs: number): Next {
  if (era <= (state.stated.get(host) ?? 0)) return { state, effects: [] }
  const { state: next, effects } = heard({ ...state, stated: new Map(state.stated).set(host, era) }, era)
  const settled = settle(next, nowMs)
  return { state: settled.state, effects: [...effects, ...settled.effects] }
}

function heard (state: EraKnowledge, era: number): Next {
  return era <= state.heardEra ? { state, effects: [] } : { state: { ...state, heardEra: era }, effects: [{ kind: 'heard', era }] }
}

function settle (state: EraKnowledge, nowMs: number): Next {
  if (state.settledEra >= state.era) return { state, effects: [] }
  const knownSinceMs = state.knownSinceMs ?? (isKnownToMajority(state) ? nowMs : undefined)
  if (knownSinceMs === undefined || nowMs < settledAtMs(state, knownSinceMs)) return { state: { ...state, knownSinceMs }, effects: [] }
  return { state: { ...state, knownSinceMs, settledEra: state.era }, effects: [{ kind: 'settled', era: state.era }] }
}

function isKnownToMajority ({ self, era, stated, quorum }: EraKnowledge): boolean {
  const knowing = quorum.filter(host => host === self || (stated.get(host) ?? 0) >= era)
  return knowing.length >= Math.floor(quorum.length / 2) + 1
}
