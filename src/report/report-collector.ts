// The report collector: one host of each failure domain collects the reports of
// the domain's hosts. It writes them to the store as one object, only after a
// change and at most once per period, so that the number of store calls grows
// with the number of failure domains and not of hosts.

import type { HostName, HostReport } from '../model/index.js'
import type { Transition } from '../pipe/index.js'

/** The latest report of a host. */
type CollectedReport = {
  readonly report: HostReport
  readonly receivedAtMs: number
}

/** State of the report collector. */
export type ReportCollectorState = {
  readonly periodMs: number
  readonly reports: ReadonlyMap<HostName, CollectedReport>
  readonly isWriting: boolean
  readonly lastWriteAtMs: number
  /** The reports of the last successful write, as JSON. */
  readonly written: string
}

/** Events of the report collector. */
export type ReportCollectorEvent =
  | { readonly kind: 'reported', readonly report: HostReport, readonly nowMs: number }
  /** `written`: the JSON text that was written; undefined after a failed write. */
  | { readonly kind: 'writeEnded', readonly written: string | undefined, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Effects of the report collector. */
export type ReportCollectorEffect =
  | { readonly kind: 'write', readonly hosts: readonly HostReport[], readonly text: string }

/** Periods without a report after which a host's last report is dropped. */
const expiryPeriods = 6

/**
 * Returns the state of a report collector without reports.
 * @param periodMs - minimum time between two writes
 * @returns the initial state
 */
export function initialReportCollector (periodMs: number): ReportCollectorState {
  return { periodMs, reports: new Map(), isWriting: false, lastWriteAtMs: -Infinity, written: '[]' }
}

/**
 * Applies one event.
 * @param state - the state before the event
 * @param event - the event
 * @returns the state after the event, and the write that is due, if any
 */
export function reportCollectorStep (state: ReportCollectorState, event: ReportCollectorEvent): Transition<ReportCollectorState, ReportCollectorEffect> {
  switch (event.kind) {
    case 'reported': {
      const reports = new Map(state.reports).set(event.report.host, { report: event.report, receivedAtMs: event.nowMs })
      return writeIfDue({ ...state, reports }, event.nowMs)
    }
    case 'writeEnded': return writeIfDue({ ...state, isWriting: false, written: event.written ?? state.written }, event.nowMs)
    case 'tick': return writeIfDue(dropExpired(state, event.nowMs), event.nowMs)
  }
}

function dropExpired (state: ReportCollectorState, nowMs: number): ReportCollectorState {
  const remaining = [...state.reports].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs < state.periodMs * expiryPeriods)
  return remaining.length === state.reports.size ? state : { ...state, reports: new Map(remaining) }
}

function writeIfDue (state: ReportCollectorState, nowMs: number): Transition<ReportCollectorState, ReportCollectorEffect> {
  if (state.isWriting || nowMs - state.lastWriteAtMs < state.periodMs) return { state, effects: [] }
  const hosts = [...state.reports.values()].map(({ report }) => report).sort((a, b) => a.host < b.host ? -1 : 1)
  const text = JSON.stringify(hosts)
  if (text === state.written) return { state, effects: [] }
  return { state: { ...state, isWriting: true, lastWriteAtMs: nowMs }, effects: [{ kind: 'write', hosts, text }] }
}
