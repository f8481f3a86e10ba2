import assert from 'node:assert/strict'
import { test } from 'node:test'
import { notRun, type HostReport, type Outcome } from '../../src/model/index.js'
import { AccountStatsTable } from '../../src/report/account-stats.js'
import { eventLog, reportCollectorStep, initialReportCollector, type ReportCollectorEvent, type ReportCollectorState } from '../../src/report/index.js'

const answered: Outcome = { kind: 'answered', answer: { kind: 'done', affectedRows: 1, insertId: 0 }, position: undefined, servedBy: 'primary' }

function reportOf (host: string, generation: number): HostReport {
  return { host, failureDomain: 'a', incarnation: 'i', generation, state: 'serving', rejectedManifest: undefined, databases: [], accounts: [] }
}

function collectAll (state: ReportCollectorState, events: readonly ReportCollectorEvent[]): { readonly state: ReportCollectorState, readonly writes: ReadonlyArray<readonly string[]> } {
  return events.reduce<{ readonly state: ReportCollectorState, readonly writes: ReadonlyArray<readonly string[]> }>((collected, event) => {
    const { state: next, effects } = reportCollectorStep(collected.state, event)
    return { state: next, writes: [...collected.writes, ...effects.map(effect => effect.hosts.map(report => `${report.host}:${report.generation}`))] }
  }, { state, writes: [] })
}

test('account statistics count admitted and rate-limited statements separately', () => {
  const table = new AccountStatsTable()
  for (const tookMs of [1, 2, 3]) table.record('b', answered, tookMs)
  table.record('a', notRun('rateExceeded', ''), 1)
  const [a, b] = table.reports()
  assert.deepEqual([a?.account, a?.admitted, a?.refusedByRate], ['a', 0, 1])
  assert.deepEqual([b?.account, b?.admitted, b?.latency.count], ['b', 3, 3])
  assert.ok(Math.abs((b?.latency.p50Ms ?? 0) - 2) < 0.1)
})

test('the report collector writes at most once per period and only after a change', () => {
  const { writes } = collectAll(initialReportCollector(100), [
    { kind: 'reported', report: reportOf('h1', 1), nowMs: 0 },
    { kind: 'reported', report: reportOf('h2', 1), nowMs: 10 },
    { kind: 'writeEnded', written: JSON.stringify([reportOf('h1', 1)]), nowMs: 20 },
    { kind: 'tick', nowMs: 50 },
    { kind: 'tick', nowMs: 100 },
    { kind: 'writeEnded', written: JSON.stringify([reportOf('h1', 1), reportOf('h2', 1)]), nowMs: 120 },
    { kind: 'reported', report: reportOf('h2', 1), nowMs: 250 }
  ])
  assert.deepEqual(writes, [['h1:1'], ['h1:1', 'h2:1']])
})

test('a failed write is retried, and the report of an unresponsive host expires', () => {
  const { writes } = collectAll(initialReportCollector(100), [
    { kind: 'reported', report: reportOf('h1', 1), nowMs: 0 },
    { kind: 'writeEnded', written: undefined, nowMs: 10 },
    { kind: 'tick', nowMs: 100 },
    { kind: 'writeEnded', written: JSON.stringify([reportOf('h1', 1)]), nowMs: 110 },
    { kind: 'tick', nowMs: 700 }
  ])
  assert.deepEqual(writes, [['h1:1'], ['h1:1'], []])
})

test('an event is one line with its number, and events below the log level are dropped', () => {
  const lines: string[] = []
  const log = eventLog({ host: 'h1', level: 'warn', format: 'json', writeLine: line => lines.push(line), bufferedBytes: () => 0, nowMs: () => 0 })
  log.write('manifestApplied', { generation: 3 })
  log.write('manifestRejected', { generation: 4, errors: 'accounts[0].name: found nothing' })
  assert.equal(lines.length, 1)
  const { time, ...rest } = JSON.parse(lines[0] ?? '{}')
  assert.match(time, /^\d{4}-/)
  assert.deepEqual(rest, { host: 'h1', level: 'ERROR', event: 2002, name: 'manifestRejected', generation: 4, errors: 'accounts[0].name: found nothing' })
})
