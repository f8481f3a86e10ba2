// What this host tells its operators: events, metrics, histograms, and the
// report that the gatherer of its failure domain writes to the store.

import type { Settings } from '../config/index.js'
import type { Caller, HostReport, Outcome } from '../model/index.js'
import type { TimerService } from '../pipe/index.js'

/** What the reports are made of. */
export type ReportsSpec = {
  readonly settings: Settings
  readonly timers: TimerService
}

/** The running reports. */
export type Reports = {
  readonly event: (name: string, fields: Readonly<Record<string, string | number>>) => void
  readonly served: (caller: Caller, outcome: Outcome, tookMs: number) => void
  /** Takes a report of another host; true where this host gathers. */
  readonly gathered: (report: HostReport) => boolean
  readonly attach: (parts: unknown) => void
  readonly stop: () => Promise<void>
}

/**
 * Starts the reports.
 * @param spec - what they are made of
 * @returns the running reports
 */
export function startReports (spec: ReportsSpec): Reports {
  return {
    event (name, fields) { process.stderr.write(JSON.stringify({ host: spec.settings.host.name, atMs: Math.round(spec.timers.nowMs()), name, ...fields }) + '\n') },
    served: () => {},
    gathered: () => false,
    attach: () => {},
    stop: async () => {}
  }
}
