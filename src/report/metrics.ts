// The catalogue of metrics and the interface of the metrics backends. Each
// backend is a module of its own and is loaded only if the settings enable it.

import type { Outcome } from '../model/index.js'

/** Definition of a metric. */
export type MetricDefinition = {
  readonly kind: 'counter' | 'timing' | 'gauge'
  readonly meaning: string
  readonly tags: readonly string[]
}

/**
 * All metrics by name; docs/METRICS.md lists them. `statement.count` and
 * `statement.ms` include statements with every outcome; the tag `outcome` is
 * that of `outcomeTag`.
 */
export const metricCatalogue = {
  'statement.count': defineMetric('counter', 'Statements that were answered, by account, route and outcome.', ['account', 'route', 'outcome']),
  'statement.ms': defineMetric('timing', 'Time from the arrival of a statement to its answer, in milliseconds.', ['account', 'route']),
  'read.served_by': defineMetric('counter', 'Reads by the role of the server that served them.', ['role']),
  'route.sent': defineMetric('counter', 'Statements that this host sent to dispatchers, retries included, by server, its role, and its failure domain (`local` or `other`).', ['server', 'role', 'domain']),
  'route.ejections': defineMetric('counter', 'Servers that this host ejected because their statements failed.', ['database', 'server']),
  'server.pace_falls': defineMetric('counter', 'Falls of the number of statements that a server is given at once, by server and cause (busy, failed, slow).', ['server', 'cause']),
  'configuration.generation': defineMetric('gauge', 'Generation of the manifest in force.', []),
  'store.era': defineMetric('gauge', 'Era of the store that this host knows; rises with each restore of the store from a copy.', []),
  'members.live': defineMetric('gauge', 'Hosts that answer, this one included.', []),
  'process.cpu_ms': defineMetric('counter', 'Processor time of this process, in milliseconds.', []),
  'process.wakes': defineMetric('counter', 'Iterations of the event loop.', []),
  'process.activity': defineMetric('counter', 'Timers, statements, calls and decisions of the rate limiter, by kind and name.', ['kind', 'name']),
  'task.failures': defineMetric('counter', 'Unexpected errors that a task survived; each is event 1005. Alarm on any, and on a rate above 0.1 a second at once.', ['task']),
  'retry.count': defineMetric('counter', 'Retries of statements that the retry budget of the host allowed (`made`) or not (`refused`).', ['result']),
  'host.load': defineMetric('gauge', 'Load of the host: 0 normal, 1 busy, 2 overloaded.', []),
  'host.lag_ms': defineMetric('gauge', 'How late the event loop of the process is, in milliseconds, smoothed.', []),
  'host.cpu_fraction': defineMetric('gauge', 'Processor time of the process in relation to `host.cpu_share`, smoothed.', []),
  'host.shed_fraction': defineMetric('gauge', 'Fraction of the new statements that this host refuses as `overloaded`.', []),
  'scheduler.waiting': defineMetric('gauge', 'Statements that wait for a slot of the servers that this host dispatches for.', []),
  'scheduler.expected_wait_ms': defineMetric('gauge', 'Longest expected wait at the servers that this host dispatches for, in milliseconds.', []),
  'guard.closed': defineMetric('counter', 'Connections that this host closed to protect its memory and descriptors, by reason.', ['reason']),
  'guard.bytes': defineMetric('gauge', 'Bytes received from clients that are in work, and answers that they have not read.', []),
  'guard.kept_bytes': defineMetric('gauge', 'Bytes of session values and prepared statements.', []),
  'guard.connections': defineMetric('gauge', 'Connections of callers and other proxies.', []),
  'callers.open': defineMetric('gauge', 'Connections of callers that are open.', [])
} as const satisfies Readonly<Record<string, MetricDefinition>>

/** Name of a metric. */
export type MetricName = keyof typeof metricCatalogue

/** A metrics backend. */
export type Metrics = {
  /** Adds to a counter; `amount` defaults to 1. */
  readonly count: (name: MetricName, tags: Readonly<Record<string, string>>, amount?: number) => void
  readonly time: (name: MetricName, valueMs: number, tags: Readonly<Record<string, string>>) => void
  readonly gauge: (name: MetricName, value: number) => void
  readonly close: () => void
}

/** A backend that discards all metrics. */
export const noMetrics: Metrics = { count: () => {}, time: () => {}, gauge: () => {}, close: () => {} }

/**
 * Combines several backends into one.
 * @param backends - the backends
 * @returns a backend that passes each metric to all of them
 */
export function combineMetrics (backends: readonly Metrics[]): Metrics {
  return {
    count: (name, tags, amount) => { for (const backend of backends) backend.count(name, tags, amount) },
    time: (name, valueMs, tags) => { for (const backend of backends) backend.time(name, valueMs, tags) },
    gauge: (name, value) => { for (const backend of backends) backend.gauge(name, value) },
    close: () => { for (const backend of backends) backend.close() }
  }
}

/**
 * Converts the outcome of a statement to a tag value.
 * @param outcome - the outcome
 * @returns the kind of the outcome; for a statement that was not run, the reason
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

function defineMetric<const T extends readonly string[]> (kind: MetricDefinition['kind'], meaning: string, tags: T): { readonly kind: MetricDefinition['kind'], readonly meaning: string, readonly tags: T } {
  return { kind, meaning, tags }
}
