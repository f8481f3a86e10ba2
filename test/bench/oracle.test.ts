// The bench's oracles find each kind of violation, and find none in a history
// without violations.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { staleReads, wrongWrites } from '../../bench/oracle.js'
import { checkAccount } from '../../bench/rate-oracle.js'
import { scheduleOf, defaultMix } from '../../bench/schedule.js'
import { operationOf, rejectedByRate, rowOf, writeOf } from './fixtures.js'

const sessionRead = { kind: 'sessionRead', register: 1 } as const
const limit = { account: 'bench', ratePerS: 10, burst: 5 }

test('a session read that does not see an acknowledged write is stale', () => {
  const write = writeOf(1, 7)
  const stale = operationOf(2, sessionRead, { outcome: { kind: 'answered', value: 6 } })
  const fresh = operationOf(3, sessionRead, { outcome: { kind: 'answered', value: 7 } })
  assert.deepEqual(staleReads([write, stale, fresh]).map(found => found.operation.id), [2])
})

test('a read that began before the acknowledgement of a write need not see it', () => {
  const write = writeOf(1, 7, { endMs: 50 })
  const read = operationOf(2, sessionRead)
  assert.deepEqual(staleReads([write, read]), [])
})

test('no read has to see a write of unknown outcome', () => {
  const write = writeOf(1, 7, { outcome: { kind: 'unknown', reason: 'connectionLost' } })
  assert.deepEqual(staleReads([write, operationOf(2, sessionRead)]), [])
})

test('a bounded-staleness read need not see writes within its bound, but all older ones', () => {
  const write = writeOf(1, 7)
  const boundedRead = (id: number, startMs: number): ReturnType<typeof operationOf> => operationOf(id, { kind: 'boundedStalenessRead', register: 1, maxAgeMs: 100 }, { startMs, endMs: startMs + 1 })
  assert.deepEqual(staleReads([write, boundedRead(2, 110), boundedRead(3, 116)]).map(found => found.operation.id), [3])
})

test('the same register number in another database is another register', () => {
  const elsewhere = writeOf(1, 7, { database: 'stock' })
  assert.deepEqual(staleReads([elsewhere, operationOf(2, sessionRead)]), [])
})

test('an acknowledged write without a row is lost', () => {
  const kept = writeOf(1, 1)
  const lost = writeOf(2, 2)
  assert.deepEqual(wrongWrites([kept, lost], [rowOf(kept)]), [{ kind: 'lostWrite', operation: lost }])
})

test('a write with two rows is duplicated, whatever its outcome', () => {
  const acknowledged = writeOf(1, 1)
  const unknown = writeOf(2, 2, { outcome: { kind: 'unknown', reason: 'connectionLost' } })
  const found = wrongWrites([acknowledged, unknown], [acknowledged, acknowledged, unknown, unknown].map(each => rowOf(each)))
  assert.deepEqual(found.map(each => [each.kind, each.operation.id]), [['duplicatedWrite', 1], ['duplicatedWrite', 2]])
})

test('a write of unknown outcome may have one row or none', () => {
  const unknown = writeOf(1, 1, { outcome: { kind: 'unknown', reason: 'connectionLost' } })
  assert.deepEqual(wrongWrites([unknown], []), [])
  assert.deepEqual(wrongWrites([unknown], [rowOf(unknown)]), [])
})

test('a write reported as not run that has a row is a false rejection', () => {
  const rejected = writeOf(1, 1, { outcome: { kind: 'notRun', reason: 'noPrimary' } })
  assert.deepEqual(wrongWrites([rejected], [rowOf(rejected)]).map(found => found.kind), ['falseRejection'])
})

test('a transaction with only one of its rows is torn', () => {
  const transaction = operationOf(1, { kind: 'transaction', register: 1, value: 1 })
  const first = rowOf(transaction)
  assert.deepEqual(wrongWrites([transaction], [first]).map(found => found.kind), ['tornTransaction'])
  assert.deepEqual(wrongWrites([transaction], [first, { ...first, part: 1 }]), [])
})

test('a rejection while the bucket holds tokens is wrong', () => {
  const first = operationOf(1, sessionRead, rejectedByRate)
  assert.equal(checkAccount(limit, [first]).wrongRejections, 1)
})

test('a rejection after the burst is used up is correct', () => {
  const burst = [1, 2, 3, 4, 5].map(id => operationOf(id, sessionRead, { startMs: id, scheduledMs: id }))
  const late = operationOf(6, sessionRead, { startMs: 6, scheduledMs: 6, ...rejectedByRate })
  const result = checkAccount(limit, [...burst, late])
  assert.deepEqual([result.wrongRejections, result.rejectedByRate, result.admissible, result.servedFraction], [0, 1, 5, 1])
})

test('a rejection that waited while the bucket was empty is correct', () => {
  const burst = [1, 2, 3, 4, 5].map(id => operationOf(id, sessionRead, { startMs: 50, scheduledMs: 50, endMs: 60 }))
  const waited = operationOf(6, sessionRead, { startMs: 40, scheduledMs: 40, endMs: 500, ...rejectedByRate })
  assert.equal(checkAccount(limit, [waited, ...burst]).wrongRejections, 0)
})

test('statements in flight for long do not exceed the limit, wherever they were counted', () => {
  const slow = Array.from({ length: 14 }, (_, at) => operationOf(at, sessionRead, { startMs: 0, scheduledMs: 0, endMs: 1000 }))
  assert.equal(checkAccount(limit, slow).overLimit, 0)
})

test('statements above rate and burst exceed the limit', () => {
  const many = Array.from({ length: 8 }, (_, at) => operationOf(at, sessionRead, { startMs: 0, scheduledMs: 0, endMs: 0 }))
  assert.equal(checkAccount(limit, many).overLimit, 2.5)
})

test('an account with fewer answers than admissible operations is reported', () => {
  const answered = operationOf(1, sessionRead)
  const dropped = operationOf(2, sessionRead, { outcome: { kind: 'notRun', reason: 'queueFull' } })
  const result = checkAccount(limit, [answered, dropped])
  assert.deepEqual([result.admissible, result.servedFraction, result.otherNotRun], [2, 0.5, 1])
})

test('the same seed gives the same schedule, and another seed another schedule', () => {
  const spec = { durationMs: 2000, demands: [{ account: 'bench', ratePerS: 50 }], mix: defaultMix, maxAgeMs: 200, databases: 2, proxies: [0, 1, 2], roamingFraction: 0.2, firstId: 1 }
  const first = scheduleOf({ ...spec, seed: 5 })
  assert.deepEqual(scheduleOf({ ...spec, seed: 5 }), first)
  assert.notDeepEqual(scheduleOf({ ...spec, seed: 6 }), first)
  assert.ok(first.every((arrival, at) => at === 0 || arrival.atMs >= (first[at - 1]?.atMs ?? 0)))
})
