import assert from 'node:assert/strict'
import net, { type AddressInfo } from 'node:net'
import { test } from 'node:test'
import { prometheusMetrics } from '../../src/report/prometheus.js'

async function freePort (): Promise<number> {
  const server = net.createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return port
}

test('counters and latency histograms are served in the Prometheus text format', async t => {
  const port = await freePort()
  const metrics = prometheusMetrics({ ip: '127.0.0.1', port }, 'h1', error => { assert.fail(error) })
  t.after(() => { metrics.close() })
  metrics.count('statement.count', { account: 'bindery', route: 'orders', outcome: 'answered' })
  metrics.time('statement.ms', 7, { account: 'bindery', route: 'orders' })
  const answer = await fetch(`http://127.0.0.1:${port}/metrics`, { headers: { connection: 'close' } })
  const text = await answer.text()
  assert.match(text, /limpetmoor_statement_count\{account="bindery",route="orders",outcome="answered",host="h1"\} 1/)
  assert.match(text, /limpetmoor_statement_ms_bucket\{le="10",host="h1",account="bindery",route="orders"\} 1/)
})
