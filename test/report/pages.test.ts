import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { eventCatalogue, metricCatalogue } from '../../src/report/index.js'

function tableRows (page: string): ReadonlyArray<readonly string[]> {
  const text = readFileSync(new URL(`../../../docs/${page}`, import.meta.url), 'utf8')
  return text.split('\n').filter(line => line.startsWith('| ')).slice(2).map(line => line.slice(2, -2).split(' | '))
}

test('EVENTS.md matches the event catalogue', () => {
  const expected = Object.entries(eventCatalogue).map(([name, event]) => [String(event.number), name, event.level, event.fields.join(', '), event.meaning])
  assert.deepEqual(tableRows('EVENTS.md'), expected)
})

test('event numbers are unique', () => {
  const numbers = Object.values(eventCatalogue).map(event => event.number)
  assert.equal(new Set(numbers).size, numbers.length)
})

test('METRICS.md matches the metric catalogue', () => {
  const expected = Object.entries(metricCatalogue).map(([name, metric]) => [`limpetmoor.${name}`, metric.kind, metric.tags.join(', '), metric.meaning])
  assert.deepEqual(tableRows('METRICS.md'), expected.map(row => row.map(cell => cell.trim())))
})
