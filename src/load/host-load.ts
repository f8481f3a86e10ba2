// Load of the host's own processor: normal, busy or overloaded. It follows from how late
// a periodic tick comes and from the processor time of the process in relation to what
// the host may use. Both are smoothed, and a state is left only below lower bounds than
// those at which it is entered, so that it doesn't change with each sample.
//
// Lateness makes a host overloaded only while the process uses a good part of its time:
// where others take the processor away, refusing statements doesn't end the lateness.
// Processor time alone makes it only busy: a process that uses all of its time and still
// keeps up serves its callers well. One long turn of the event loop doesn't count as
// load, since a sample counts up to a bound.

import type { HostLoad } from '../model/index.js'

/** Settings of the load of a host. */
export type HostLoadSettings = {
  /** Processors that the process may use. */
  readonly cpuShare: number
}

/** Load of a host. Times are monotonic. */
export type HostLoadState = {
  readonly settings: HostLoadSettings
  readonly load: HostLoad
  /** Smoothed lateness of the ticks. */
  readonly lagMs: number
  /** Smoothed processor time in relation to the share. */
  readonly cpuFraction: number
  /** Fraction of the new statements that is refused. */
  readonly shedFraction: number
  /** When the next tick is expected. */
  readonly expectedAtMs: number
  readonly sampledAtMs: number
  readonly cpuMs: number
}

/**
 * A sample. `tick`: the periodic one; `check`: taken by the work that an event loop does
 * while its tick is overdue.
 */
export type HostLoadSample = {
  readonly kind: 'tick' | 'check'
  readonly nowMs: number
  /** Processor time of the process since its start. */
  readonly cpuMs: number
}

/** Time between two samples; a multiple of the shared wakes of the timer service. */
export const samplePeriodMs = 300
/** A tick after a missed one may be joined with other ticks, up to this later. */
const sharedWakeMs = 100
/** Weight of the latest sample. */
const smoothing = 0.5
/** Lateness that one sample counts at most; below two of them no host is overloaded. */
const maxSampleLagMs = 400
/**
 * Bounds of the lateness. A process with a fraction of a processor is stopped for up to
 * 100 ms at a time by its limit, without being overloaded.
 */
const lagBoundsMs = { busy: 100, overloaded: 250 }
/** Bounds of the processor time. */
const cpuBounds = { busy: 0.8, overloaded: 0.95, overloadedWhenLate: 0.5 }
/** A state is left below this fraction of its bounds. */
const leaveFraction = 0.7
/**
 * Change of the refused fraction with each sample. While the processor is in full use it
 * falls slowly, so that the backlog does not return.
 */
const shedSteps = { up: 0.15, hold: 0.01, down: 0.05, downFactor: 0.7 }
const maxShedFraction = 0.95

/**
 * Creates the load of a host that has just started.
 * @param settings - share of the processor
 * @param sample - the first sample
 * @returns the initial state
 */
export function initialHostLoad (settings: HostLoadSettings, { nowMs, cpuMs }: Omit<HostLoadSample, 'kind'>): HostLoadState {
  return { settings, load: 'normal', lagMs: 0, cpuFraction: 0, shedFraction: 0, expectedAtMs: nowMs + samplePeriodMs + sharedWakeMs, sampledAtMs: nowMs, cpuMs }
}

/**
 * Step function of the load.
 * @param state - the current state
 * @param sample - the sample
 * @returns the next state
 */
export function hostLoadStep (state: HostLoadState, { kind, nowMs, cpuMs }: HostLoadSample): HostLoadState {
  const lateMs = Math.max(0, nowMs - state.expectedAtMs)
  const elapsedMs = Math.max(1, nowMs - state.sampledAtMs)
  const usedFraction = (cpuMs - state.cpuMs) / elapsedMs / state.settings.cpuShare
  const lagMs = smoothed(state.lagMs, Math.min(lateMs, maxSampleLagMs))
  const cpuFraction = smoothed(state.cpuFraction, usedFraction)
  const load = nextLoad(state.load, lagMs, cpuFraction)
  return {
    settings: state.settings,
    load,
    lagMs,
    cpuFraction,
    shedFraction: nextShedFraction(state.shedFraction, load, cpuFraction),
    expectedAtMs: kind === 'tick' ? nextTickAtMs(state.expectedAtMs, lateMs, nowMs) : state.expectedAtMs,
    sampledAtMs: nowMs,
    cpuMs
  }
}

/**
 * Checks whether the work of an event loop should take a sample, because the tick is
 * overdue: a loop that reads all that has arrived runs no timer meanwhile.
 * @param state - the current state
 * @param nowMs - monotonic time
 * @returns true if a sample is due
 */
export function isCheckDue (state: HostLoadState, nowMs: number): boolean {
  return nowMs >= state.expectedAtMs + sharedWakeMs && nowMs >= state.sampledAtMs + samplePeriodMs
}

// Ticks keep their phase unless one is missed. A tick that comes early shows that the
// phase was taken from a late one.
function nextTickAtMs (expectedAtMs: number, lateMs: number, nowMs: number): number {
  if (lateMs >= samplePeriodMs) return nowMs + samplePeriodMs + sharedWakeMs
  return Math.min(expectedAtMs, nowMs) + samplePeriodMs
}

function smoothed (before: number, sample: number): number {
  return before + smoothing * (sample - before)
}

function nextLoad (load: HostLoad, lagMs: number, cpuFraction: number): HostLoad {
  switch (load) {
    case 'normal': return isOverloaded(lagMs, cpuFraction, 1) ? 'overloaded' : isBusy(lagMs, cpuFraction, 1) ? 'busy' : 'normal'
    case 'busy': return isOverloaded(lagMs, cpuFraction, 1) ? 'overloaded' : isBusy(lagMs, cpuFraction, leaveFraction) ? 'busy' : 'normal'
    case 'overloaded': return isOverloaded(lagMs, cpuFraction, leaveFraction) ? 'overloaded' : 'busy'
  }
}

function isOverloaded (lagMs: number, cpuFraction: number, fraction: number): boolean {
  const isLate = lagMs >= lagBoundsMs.overloaded * fraction && cpuFraction >= cpuBounds.overloadedWhenLate * fraction
  return isLate || (cpuFraction >= cpuBounds.overloaded * fraction && lagMs >= lagBoundsMs.busy * fraction)
}

function isBusy (lagMs: number, cpuFraction: number, fraction: number): boolean {
  return lagMs >= lagBoundsMs.busy * fraction || cpuFraction >= cpuBounds.busy * fraction
}

// Grows step by step while the host is overloaded, so that it refuses no more than it
// has to, and ends within two seconds.
function nextShedFraction (before: number, load: HostLoad, cpuFraction: number): number {
  switch (load) {
    case 'overloaded': return Math.min(maxShedFraction, before + shedSteps.up)
    case 'busy':
    case 'normal': return Math.max(0, cpuFraction >= cpuBounds.busy ? before - shedSteps.hold : before * shedSteps.downFactor - shedSteps.down)
  }
}

/**
 * Returns how much longer the periods of background work are.
 * @param load - load of the host
 * @returns a factor of at least 1
 */
export function backgroundFactor (load: HostLoad): number {
  switch (load) {
    case 'normal': return 1
    case 'busy': return 2
    case 'overloaded': return 4
  }
}
