// Metrics as text over HTTP, by prom-client.

import * as http from 'node:http'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { Address } from '../model/index.js'
import { metricCatalogue, type MetricName, type Metrics } from './metrics.js'

/** Bounds of the latency histograms. */
const bucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000]
const path = '/metrics'

/**
 * Serves metrics.
 * @param address - where to listen
 * @param host - this host, added to each metric
 * @param onFailure - told where the address can't be listened on
 * @returns the sender
 */
export function textMetrics (address: Address, host: string, onFailure: (error: Error) => void): Metrics {
  const registry = new Registry()
  registry.setDefaultLabels({ host })
  const counters = new Map<MetricName, Counter>()
  const histograms = new Map<MetricName, Histogram>()
  const gauges = new Map<MetricName, Gauge>()
  for (const [name, { kind, meaning, tags }] of Object.entries(metricCatalogue) as ReadonlyArray<readonly [MetricName, (typeof metricCatalogue)[MetricName]]>) {
    const made = { name: textName(name), help: meaning, labelNames: [...tags], registers: [registry] }
    switch (kind) {
      case 'counter': {
        counters.set(name, new Counter(made))
        break
      }
      case 'timing': {
        histograms.set(name, new Histogram({ ...made, buckets: bucketsMs }))
        break
      }
      case 'gauge': {
        gauges.set(name, new Gauge(made))
        break
      }
    }
  }
  const server = http.createServer((request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end()
      return
    }
    registry.metrics().then(
      text => { response.writeHead(200, { 'content-type': registry.contentType }).end(text) },
      () => { response.writeHead(500).end() }
    )
  })
  server.on('error', onFailure)
  server.listen(address.port, address.ip)
  return {
    count: (name, tags) => { counters.get(name)?.inc(tags) },
    time: (name, valueMs, tags) => { histograms.get(name)?.observe(tags, valueMs) },
    gauge: (name, value) => { gauges.get(name)?.set(value) },
    close: () => { server.close() }
  }
}

/**
 * Names a metric as the text has it.
 * @param name - its name in the catalogue
 * @returns the name
 */
export function textName (name: MetricName): string {
  return `limpetmoor_${name.replaceAll('.', '_')}`
}
