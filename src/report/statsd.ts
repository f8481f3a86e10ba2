// Metrics to statsd, by hot-shots.

import { StatsD } from 'hot-shots'
import type { Address } from '../model/index.js'
import type { Metrics } from './metrics.js'

const prefix = 'limpetmoor.'

/**
 * Makes the sender to statsd.
 * @param address - of the statsd server
 * @param host - this host, added to each metric
 * @returns the sender
 */
export function statsdMetrics (address: Address, host: string): Metrics {
  const client = new StatsD({
    host: address.ip,
    port: address.port,
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
