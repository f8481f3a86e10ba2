import assert from 'node:assert/strict'
import { test } from 'node:test'
import { stalenessOf, emptyStaleness, recordResponse, isWithinStaleness, type StalenessState } from '../../src/request/staleness.js'

type Answer = readonly [server: string, index: number, askedAtMs: number]

function recordOf (...answers: readonly Answer[]): StalenessState {
  return answers.reduce((record, [server, index, askedAtMs]) =>
    recordResponse(record, server, { received: { term: 1, index }, queriedAtMs: askedAtMs }), emptyStaleness(['a', 'b', 'c']))
}

function at (index: number) {
  return { term: 1, index }
}

test('the age counts from the time before a majority was asked', () => {
  const record = recordOf(['a', 10, 100], ['b', 8, 120])
  assert.equal(stalenessOf(record, at(10), 150), 50)
  assert.equal(isWithinStaleness(record, at(10), 50, 150), true)
  assert.equal(isWithinStaleness(record, at(10), 49, 150), false)
  assert.equal(isWithinStaleness(record, at(9), 5000, 150), false)
})

test('one server alone, even a primary, vouches for nothing', () => {
  assert.equal(stalenessOf(recordOf(['a', 10, 100], ['a', 11, 200]), at(99), 250), undefined)
})

test('a replica that stands still ages while others go on', () => {
  const record = recordOf(['a', 10, 100], ['b', 10, 100], ['a', 20, 200], ['b', 19, 210])
  assert.equal(stalenessOf(record, at(10), 300), 200)
  assert.equal(stalenessOf(record, at(20), 300), 100)
})

test('a late answer to an earlier question changes nothing', () => {
  const record = recordOf(['a', 10, 100], ['a', 5, 50], ['b', 10, 110])
  assert.equal(stalenessOf(record, at(9), 300), undefined)
  assert.equal(stalenessOf(record, at(10), 300), 200)
})
