// The gate in front of a server's slots: how many of them the queue may use now. It
// combines the limits of this folder into one number, so that the queue needs to
// know none of them.

import { coldAllowance, coldWaitMs, initialColdStarts, recordColdStarts, type ColdBound, type ColdStarts } from './cold.js'

/** State of the gate of one server. */
export type GateState = {
  readonly slots: number
  readonly cold: ColdStarts
  readonly coldBound: ColdBound | undefined
}

/** Events of the gate. Times are monotonic. */
export type GateEvent =
  /** The bound of the server while it is cold, as of now. */
  | { readonly kind: 'coldBound', readonly bound: ColdBound | undefined }
  | { readonly kind: 'started', readonly count: number, readonly nowMs: number }

/**
 * Creates the gate of a dispatcher that begins.
 * @param slots - slots of the server
 * @param nowMs - monotonic time
 * @returns the state
 */
export function initialGate (slots: number, nowMs: number): GateState {
  return { slots, cold: initialColdStarts(nowMs), coldBound: undefined }
}

/**
 * Step function of the gate.
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 */
export function gateStep (state: GateState, event: GateEvent): GateState {
  switch (event.kind) {
    case 'coldBound': return { ...state, coldBound: event.bound }
    case 'started': return { ...state, cold: recordColdStarts(state.cold, event.count, state.coldBound, event.nowMs) }
  }
}

/**
 * Number of slots that the queue may use now.
 * @param state - the gate
 * @param running - statements that run
 * @param nowMs - monotonic time
 * @returns the number, at most the slots of the server
 */
export function usableSlots (state: GateState, running: number, nowMs: number): number {
  return Math.min(state.slots, running + coldAllowance(state.cold, state.coldBound, nowMs))
}

/** Longest wait for the start on a cold server; another server may run the statement sooner. */
const maxColdWaitMs = 250

/**
 * Whether a further statement would wait too long for its start on a cold server.
 * @param state - the gate
 * @param waiting - statements that wait
 * @param nowMs - monotonic time
 * @returns true if it is better refused at once
 */
export function isColdWaitTooLong (state: GateState, waiting: number, nowMs: number): boolean {
  return coldWaitMs(state.cold, state.coldBound, waiting, nowMs) > maxColdWaitMs
}
