// The gate in front of a server's slots: how many of them the queue may use now. It
// combines the limits of this folder into one number, so that the queue needs to
// know none of them.

import { coldAllowance, coldWaitMs, initialColdStarts, recordColdStarts, type ColdBound, type ColdStarts } from './cold.js'
import { initialPace, paceSlots, paceStep, type PaceState, type ServiceResult } from './pace.js'

/** State of the gate of one server. */
export type GateState = {
  readonly slots: number
  readonly cold: ColdStarts
  readonly coldBound: ColdBound | undefined
  /** Undefined where the settings have no server pace: all slots are used. */
  readonly pace: PaceState | undefined
}

/** Events of the gate. Times are monotonic. */
export type GateEvent =
  /** The bound of the server while it is cold, as of now. */
  | { readonly kind: 'coldBound', readonly bound: ColdBound | undefined, readonly nowMs: number }
  | { readonly kind: 'started', readonly count: number, readonly nowMs: number }
  | { readonly kind: 'ended', readonly result: ServiceResult, readonly serviceMs: number, readonly nowMs: number }
  /** The server has returned or been promoted. */
  | { readonly kind: 'restarted', readonly nowMs: number }

/**
 * Creates the gate of a dispatcher that begins.
 * @param slots - slots of the server
 * @param serverPace - whether the number of statements follows the server's answers
 * @param nowMs - monotonic time
 * @returns the state
 */
export function initialGate (slots: number, serverPace: 'on' | 'off', nowMs: number): GateState {
  return { slots, cold: initialColdStarts(nowMs), coldBound: undefined, pace: serverPace === 'on' ? initialPace(slots) : undefined }
}

/**
 * Step function of the gate.
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 */
export function gateStep (state: GateState, event: GateEvent): GateState {
  switch (event.kind) {
    case 'coldBound': {
      const becomesCold = state.coldBound?.current === undefined && event.bound?.current !== undefined
      const next = { ...state, coldBound: event.bound }
      return becomesCold ? gateStep(next, { kind: 'restarted', nowMs: event.nowMs }) : next
    }
    case 'ended':
    case 'restarted': return state.pace === undefined ? state : { ...state, pace: paceStep(state.pace, event) }
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
  const slots = state.pace === undefined ? state.slots : paceSlots(state.pace)
  return Math.min(slots, running + coldAllowance(state.cold, state.coldBound, nowMs))
}

/**
 * Longest wait for the start on a cold server that is stated to other hosts. They
 * average what they are told, so a bound of 0 must not be stated as infinite.
 */
const maxStatedWaitMs = 2000

/**
 * Time until a further statement may start on a cold server, for other hosts.
 * @param state - the gate
 * @param waiting - statements that wait
 * @param nowMs - monotonic time
 * @returns milliseconds, 0 where the server is not cold
 */
export function statedColdWaitMs (state: GateState, waiting: number, nowMs: number): number {
  return Math.min(maxStatedWaitMs, coldWaitMs(state.cold, state.coldBound, waiting, nowMs))
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

/**
 * Time at which a further statement may start on a cold server.
 * @param state - the gate
 * @param nowMs - monotonic time
 * @returns monotonic time; Infinity where the cold bound holds nothing back
 */
export function gateDueAtMs (state: GateState, nowMs: number): number {
  const waitMs = coldWaitMs(state.cold, state.coldBound, 0, nowMs)
  return waitMs === 0 ? Infinity : nowMs + waitMs
}
