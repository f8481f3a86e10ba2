import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Position } from '../../src/model/index.js'
import { quorumWaitStep, initialQuorumWait, hasQuorum, type QuorumWaitEffect, type QuorumWaitEvent, type QuorumWaitState } from '../../src/request/quorum-wait.js'
import { statusOf } from '../failover/fixtures.js'

const servers = ['a', 'b', 'c']

function at (term: number, index: number): Position {
  return { term, index }
}

function reported (server: string, received: Position, fencedTerm = received.term): QuorumWaitEvent {
  return { kind: 'statusReceived', status: statusOf(server, { received, fencedTerm }) }
}

function pending (id: string, position: Position, deadlineAtMs = 1000): QuorumWaitEvent {
  return { kind: 'pending', id, position, deadlineAtMs }
}

function run (...events: readonly QuorumWaitEvent[]): { readonly state: QuorumWaitState, readonly results: readonly string[] } {
  let state = initialQuorumWait(servers)
  const effects: QuorumWaitEffect[] = []
  for (const event of events) {
    const next = quorumWaitStep(state, event)
    state = next.state
    effects.push(...next.effects)
  }
  return { state, results: effects.map(({ kind, id }) => `${kind} ${id}`) }
}

test('a write has a quorum once a majority has received it', () => {
  const one = [pending('w', at(2, 5)), reported('a', at(2, 7)), reported('b', at(2, 4)), reported('c', at(2, 4))]
  assert.deepEqual(run(...one).results, [])
  assert.deepEqual(run(...one, reported('c', at(2, 5))).results, ['quorumReached w'])
})

test('statuses reported before the write is pending count too', () => {
  assert.deepEqual(run(reported('a', at(2, 5)), reported('b', at(2, 6)), pending('w', at(2, 5))).results, ['quorumReached w'])
})

test('a position of a later term does not count for a quorum', () => {
  const { results, state } = run(pending('w', at(2, 5)), reported('a', at(2, 5)), reported('b', at(3, 9)))
  assert.deepEqual(results, [])
  assert.equal(hasQuorum(state, at(2, 5)), false)
})

test('a write that no majority can receive any more fails before its deadline', () => {
  const { results } = run(pending('w', at(2, 5)), reported('a', at(2, 5)), reported('b', at(2, 4), 3), reported('c', at(2, 4), 3))
  assert.deepEqual(results, ['quorumNotReached w'])
})

test('a late status that shows the write still counts after a change of primary', () => {
  const { results } = run(pending('w', at(2, 5)), reported('a', at(2, 5), 3), reported('b', at(2, 5), 3))
  assert.deepEqual(results, ['quorumReached w'])
})

test('a write past its deadline gets no quorum', () => {
  const { results } = run(pending('w', at(2, 5), 100), { kind: 'tick', nowMs: 99 }, { kind: 'tick', nowMs: 100 }, reported('a', at(2, 5)), reported('b', at(2, 5)))
  assert.deepEqual(results, ['quorumNotReached w'])
})
