// Metrics, sent to statsd by hot-shots. Without an address they go nowhere.

import { StatsD } from 'hot-shots'
import type { Address, Outcome } from '../model/index.js'

/** One entry of the metrics catalogue. */
export type MetricEntry = {
  readonly kind: 'counter' | 'timing' | 'gauge'
  readonly meaning: string
  readonly tags: readonly string[]
}

/** All metrics by name; docs/METRICS.md lists them. */
export const metricCatalogue = {
  'statement.count': metric('counter', 'Statements that were answered, by account and outcome.', ['account', 'outcome']),
  'statement.ms': metric('timing', 'Time from the arrival of a statement to its answer, in milliseconds.', ['account']),
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

const prefix = 'limpetmoor.'
/** The library wants a port, also where nothing is sent. */
const unusedPort = 8125

/**
 * Makes the sender of metrics.
 * @param address - of the statsd server; undefined sends nothing
 * @param host - this host, added to each metric
 * @returns the sender
 */
export function metricsTo (address: Address | undefined, host: string): Metrics {
  const client = new StatsD({
    host: address?.ip ?? '127.0.0.1',
    port: address?.port ?? unusedPort,
    mock: address === undefined,
    prefix,
    globalTags: { host },
    // A lost packet is no reason to do anything.
    errorHandler: () => {}
  })
  return {
    count: (name, tags) => { client.increment(name, 1, tags) },
    time: (name, valueMs, tags) => { client.timing(name, valueMs, tags) },
    gauge: (name, value) => { client.gauge(name, value) },
    close: () => { client.close(() => {}) }
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
