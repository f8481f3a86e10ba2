// Gathers the reports of a failure domain's hosts. One host in each domain
// gathers; it writes one object to the store, only when something changed and
// not more often than a period, so that the store's calls grow with the number
// of domains and not of hosts.

import type { HostName, HostReport } from '../model/index.js'
import type { Transition } from '../pipe/index.js'

/** What is kept of a host. */
type Gathered = {
  readonly report: HostReport
  readonly receivedAtMs: number
}

/** What the gatherer knows. */
export type GatherState = {
  readonly periodMs: number
  readonly reports: ReadonlyMap<HostName, Gathered>
  readonly isWriting: boolean
  readonly lastWriteAtMs: number
  /** The reports as they were last written. */
  readonly written: string
}

/** What happens to the gatherer. */
export type GatherEvent =
  | { readonly kind: 'reported', readonly report: HostReport, readonly nowMs: number }
  | { readonly kind: 'writeEnded', readonly written: string | undefined, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** What the gatherer wants done. */
export type GatherEffect =
  | { readonly kind: 'write', readonly hosts: readonly HostReport[], readonly text: string }

/** A host that has not reported for this many periods is left out. */
const forgetPeriods = 6

/**
 * A gatherer that knows of no host.
 * @param periodMs - least time between two writes
 * @returns the state
 */
export function initialGather (periodMs: number): GatherState {
  return { periodMs, reports: new Map(), isWriting: false, lastWriteAtMs: -Infinity, written: '[]' }
}

/**
 * Takes in one event.
 * @param state - what is known
 * @param event - what happened
 * @returns what is known then, and what to write
 */
export function gatherStep (state: GatherState, event: GatherEvent): Transition<GatherState, GatherEffect> {
  switch (event.kind) {
    case 'reported': {
      const reports = new Map(state.reports).set(event.report.host, { report: event.report, receivedAtMs: event.nowMs })
      return considerWrite({ ...state, reports }, event.nowMs)
    }
    case 'writeEnded': return considerWrite({ ...state, isWriting: false, written: event.written ?? state.written }, event.nowMs)
    case 'tick': return considerWrite(forgetSilent(state, event.nowMs), event.nowMs)
  }
}

function forgetSilent (state: GatherState, nowMs: number): GatherState {
  const kept = [...state.reports].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs < state.periodMs * forgetPeriods)
  return kept.length === state.reports.size ? state : { ...state, reports: new Map(kept) }
}

function considerWrite (state: GatherState, nowMs: number): Transition<GatherState, GatherEffect> {
  if (state.isWriting || nowMs - state.lastWriteAtMs < state.periodMs) return { state, effects: [] }
  const hosts = [...state.reports.values()].map(({ report }) => report).sort((a, b) => a.host < b.host ? -1 : 1)
  const text = JSON.stringify(hosts)
  if (text === state.written) return { state, effects: [] }
  return { state: { ...state, isWriting: true, lastWriteAtMs: nowMs }, effects: [{ kind: 'write', hosts, text }] }
}
