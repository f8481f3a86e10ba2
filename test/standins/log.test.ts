import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { appendEntry, emptyLog, entriesAfter, entryAt, lastAtOrBelow, lastPosition, logLength, mergeEntries, truncateLog, type Log, type LogEntry } from '../../standins/database/log.js'

/** Entries of up to four terms, enough of them to seal chunks. */
const logEntries = fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 4 }).map(lengths =>
  lengths.flatMap((length, term) => Array.from({ length }, () => term + 1))
    .map((term, offset): LogEntry => ({ position: { term, index: offset + 1 }, statements: [`${term}`] })))

function logOf (entries: readonly LogEntry[]): Log {
  return entries.reduce(appendEntry, emptyLog)
}

function allOf (log: Log): readonly LogEntry[] {
  return entriesAfter(log, 0, logLength(log))
}

test('reading, truncating and searching a chunked log gives the results of a plain array', () => {
  fc.assert(fc.property(logEntries, fc.nat({ max: 1300 }), fc.nat({ max: 5 }), (entries, index, term) => {
    const log = logOf(entries)
    assert.deepEqual(entryAt(log, index), index === 0 ? undefined : entries[index - 1])
    assert.deepEqual(lastPosition(log), entries.at(-1)?.position)
    assert.deepEqual(allOf(truncateLog(log, index)), entries.slice(0, index))
    const found = entries.findLast(entry => entry.position.index <= index && entry.position.term <= term)
    assert.deepEqual(lastAtOrBelow(log, { term, index }), found?.position ?? { term: 0, index: 0 })
  }), { seed: 20_261_205, numRuns: 200 })
})

test('a merge keeps entries that agree and replaces the log from the first that differs', () => {
  fc.assert(fc.property(logEntries, fc.nat({ max: 400 }), fc.nat({ max: 400 }), fc.boolean(), (entries, shared, added, differs) => {
    const after = Math.min(shared, entries.length)
    const term = (entries.at(-1)?.position.term ?? 0) + 1
    const own = entries.slice(after, after + (differs ? 0 : added))
    const foreign = Array.from({ length: differs ? added : 0 }, (_, offset): LogEntry => ({ position: { term, index: after + offset + 1 }, statements: ['new'] }))
    const merged = mergeEntries(logOf(entries), [...own, ...foreign])
    assert.deepEqual(allOf(merged.log), foreign.length === 0 ? entries : [...entries.slice(0, after), ...foreign])
    assert.equal(merged.changedFrom, foreign.length === 0 ? undefined : after + 1)
  }), { seed: 20_261_206, numRuns: 200 })
})

test('a merge that would leave a gap changes nothing', () => {
  const log = logOf([{ position: { term: 1, index: 1 }, statements: [] }])
  assert.deepEqual(mergeEntries(log, [{ position: { term: 1, index: 3 }, statements: [] }]), { log, changedFrom: undefined })
})
