// The catalogue of metrics and who receives them. The receivers stand in
// modules of their own and are loaded only where the settings name them.

import type { Outcome } from '../model/index.js'

/** One entry of the metrics catalogue. */
export type MetricEntry = {
  readonly kind: 'counter' | 'timing' | 'gauge'
  readonly meaning: string
  readonly tags: readonly string[]
}

/** All metrics by name; docs/METRICS.md lists them. */
export const metricCatalogue = {
  'statement.count': metric('counter', 'Statements that were answered, by account, route and outcome.', ['account', 'route', 'outcome']),
  'statement.ms': metric('timing', 'Time from the arrival of a statement to its answer, in milliseconds.', ['account', 'route']),
  'read.served_by': metric('counter', 'Reads by the role of the server that served them.', ['role']),
  'configuration.generation': metric('gauge', 'Generation of the manifest in force.', []),
  'members.live': metric('gauge', 'Hosts that answer, this one included.', []),
  'callers.open': metric('gauge', 'Connections of callers that are open.', [])
} as const satisfies Readonly<Record<string, MetricEntry>>

/** Name of a metric. */
export type MetricName = keyof typeof metricCatalogue

/** Sends metrics. */
export type Metrics = {
  readonly count: (name: MetricName, tags: Readonly<Record<string, string>>) => void
  readonly time: (name: MetricName, valueMs: number, tags: Readonly<Record<string, string>>) => void
  readonly gauge: (name: MetricName, value: number) => void
  readonly close: () => void
}

/** Sends nothing. */
export const noMetrics: Metrics = { count: () => {}, time: () => {}, gauge: () => {}, close: () => {} }

/**
 * Sends each metric to several receivers.
 * @param receivers - the receivers
 * @returns the sender
 */
export function metricsToAll (receivers: readonly Metrics[]): Metrics {
  return {
    count: (name, tags) => { for (const each of receivers) each.count(name, tags) },
    time: (name, valueMs, tags) => { for (const each of receivers) each.time(name, valueMs, tags) },
    gauge: (name, value) => { for (const each of receivers) each.gauge(name, value) },
    close: () => { for (const each of receivers) each.close() }
  }
}

/**
 * The outcome of a statement as a tag.
 * @param outcome - the outcome
 * @returns one word
 */
export function outcomeTag (outcome: Outcome): string {
  switch (outcome.kind) {
    case 'answered':
    case 'refused':
    case 'failed':
    case 'unknown': return outcome.kind
    case 'notRun': return outcome.reason
  }
}

function metric<const T extends readonly string[]> (kind: MetricEntry['kind'], meaning: string, tags: T): { readonly kind: MetricEntry['kind'], readonly meaning: string, readonly tags: T } {
  return { kind, meaning, tags }
}
