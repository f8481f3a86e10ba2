import assert from 'node:assert/strict'
import { test } from 'node:test'
import { stalenessOf, emptyStaleness, recordResponse, isWithinStaleness, type StalenessState } from '../../src/request/staleness.js'

type Response = readonly [server: string, index: number, queriedAtMs: number]

function stateAfter (...responses: readonly Response[]): StalenessState {
  return responses.reduce((state, [server, index, queriedAtMs]) =>
    recordResponse(state, server, { received: { term: 1, index }, queriedAtMs }), emptyStaleness(['a', 'b', 'c']))
}

function at (index: number) {
  return { term: 1, index }
}

test('staleness is measured from the time before a majority was queried', () => {
  const state = stateAfter(['a', 10, 100], ['b', 8, 120])
  assert.equal(stalenessOf(state, at(10), 150), 50)
  assert.equal(isWithinStaleness(state, at(10), 50, 150), true)
  assert.equal(isWithinStaleness(state, at(10), 49, 150), false)
  assert.equal(isWithinStaleness(state, at(9), 5000, 150), false)
})

test('the response of one server, even of a primary, gives no bound', () => {
  assert.equal(stalenessOf(stateAfter(['a', 10, 100], ['a', 11, 200]), at(99), 250), undefined)
})

test('the staleness of a replica that applies nothing grows while others advance', () => {
  const state = stateAfter(['a', 10, 100], ['b', 10, 100], ['a', 20, 200], ['b', 19, 210])
  assert.equal(stalenessOf(state, at(10), 300), 200)
  assert.equal(stalenessOf(state, at(20), 300), 100)
})

test('a late response to an earlier query is dropped', () => {
  const state = stateAfter(['a', 10, 100], ['a', 5, 50], ['b', 10, 110])
  assert.equal(stalenessOf(state, at(9), 300), undefined)
  assert.equal(stalenessOf(state, at(10), 300), 200)
})
