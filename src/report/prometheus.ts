// The Prometheus metrics backend: serves metrics as text over HTTP, with
// prom-client.

import * as http from 'node:http'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { Address } from '../model/index.js'
import { boundConnections, boundedHttpOptions } from '../wire/bounded-http.js'
import { metricCatalogue, type MetricName, type Metrics } from './metrics.js'

/** Upper bounds of the buckets of latency histograms. */
const bucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000]
const path = '/metrics'

/**
 * Creates a metrics backend that serves the Prometheus text format.
 * @param address - address to listen on
 * @param host - name of this host, added to each metric as a label
 * @param onFailure - called if the server can't listen on the address
 * @returns the backend
 */
export function prometheusMetrics (address: Address, host: string, onFailure: (error: Error) => void): Metrics {
  const registry = new Registry()
  registry.setDefaultLabels({ host })
  const counters = new Map<MetricName, Counter>()
  const histograms = new Map<MetricName, Histogram>()
  const gauges = new Map<MetricName, Gauge>()
  for (const [name, { kind, meaning, tags }] of Object.entries(metricCatalogue) as ReadonlyArray<readonly [MetricName, (typeof metricCatalogue)[MetricName]]>) {
    const options = { name: prometheusName(name), help: meaning, labelNames: [...tags], registers: [registry] }
    switch (kind) {
      case 'counter': {
        counters.set(name, new Counter(options))
        break
      }
      case 'timing': {
        histograms.set(name, new Histogram({ ...options, buckets: bucketsMs }))
        break
      }
      case 'gauge': {
        gauges.set(name, new Gauge(options))
        break
      }
    }
  }
  const server = boundConnections(http.createServer(boundedHttpOptions, (request, response) => {
    if (request.url !== path) {
      response.writeHead(404).end()
      return
    }
    registry.metrics().then(
      text => { response.writeHead(200, { 'content-type': registry.contentType }).end(text) },
      () => { response.writeHead(500).end() }
    )
  }))
  server.on('error', onFailure)
  server.listen(address.port, address.ip)
  return {
    count: (name, tags, amount = 1) => { counters.get(name)?.inc(tags, amount) },
    time: (name, valueMs, tags) => { histograms.get(name)?.observe(tags, valueMs) },
    gauge: (name, value) => { gauges.get(name)?.set(value) },
    close: () => { server.close() }
  }
}

/**
 * Converts a metric's name to its name in the Prometheus text format.
 * @param name - name in the catalogue
 * @returns the name in the text format
 */
export function prometheusName (name: MetricName): string {
  return `limpetmoor_${name.replaceAll('.', '_')}`
}
