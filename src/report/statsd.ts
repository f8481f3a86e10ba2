// The statsd metrics backend, which uses hot-shots.

import { StatsD } from 'hot-shots'
import type { Address } from '../model/index.js'
import type { Metrics } from './metrics.js'

const prefix = 'limpetmoor.'

/**
 * Creates a metrics backend that sends to statsd.
 * @param address - address of the statsd server
 * @param host - name of this host, added to each metric as a tag
 * @returns the backend
 */
export function statsdMetrics (address: Address, host: string): Metrics {
  const client = new StatsD({
    host: address.ip,
    port: address.port,
    prefix,
    globalTags: { host },
    // Metrics are sent on a best-effort basis, so lost packets are ignored.
    errorHandler: () => {}
  })
  return {
    count: (name, tags, amount = 1) => { client.increment(name, amount, tags) },
    time: (name, valueMs, tags) => { client.timing(name, valueMs, tags) },
    gauge: (name, value) => { client.gauge(name, value) },
    close: () => { client.close(() => {}) }
  }
}
