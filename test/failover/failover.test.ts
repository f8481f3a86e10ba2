import assert from 'node:assert/strict'
import { test } from 'node:test'
import { emptyGroupView, learnStatus, nextPrimary, primaryView, type FailoverEffect, type FailoverEvent } from '../../src/failover/index.js'
import { originPosition } from '../../src/model/index.js'
import { databaseOf, homeOf, kinds, play, settledHome, statuses, statusOf, tickAt } from './fixtures.js'

function refused (server: string, nowMs: number): FailoverEvent {
  return { kind: 'probeFailed', server, failure: 'refused', nowMs }
}

function fenced (server: string, term: number, index: number, nowMs: number): FailoverEvent {
  const status = statusOf(server, { fencedTerm: term, proposer: 'me#1', received: { term: 1, index } })
  return { kind: 'fenceAnswered', server, term, accepted: true, status, nowMs }
}

function fences (effects: readonly FailoverEffect[]): readonly string[] {
  return kinds(effects).filter(kind => kind.startsWith('fence'))
}

test('late statuses never take the view back', () => {
  const empty = emptyGroupView('ledger', ['a', 'b', 'c'])
  const led = learnStatus(empty, statusOf('b', { role: 'primary', fencedTerm: 5, received: { term: 5, index: 3 } }), 1)
  const late = learnStatus(led, statusOf('a', { role: 'primary' }), 2)
  assert.deepEqual(primaryView(late), { database: 'ledger', term: 5, primary: 'b' })
  const older = learnStatus(late, statusOf('b', { fencedTerm: 4 }), 3)
  assert.equal(older.lastStatuses['b']?.status.fencedTerm, 5)
})

test('a primary counts as replaced once a majority is fenced above it', () => {
  const { state } = play(settledHome(1, 1000), statuses(1001, statusOf('b', { fencedTerm: 2 })))
  assert.equal(primaryView(state.group).primary, 'a')
  const later = play(state, statuses(1002, statusOf('c', { fencedTerm: 2 })))
  assert.deepEqual(primaryView(later.state.group), { database: 'ledger', term: 2, primary: undefined })
})

test('the first home replaces a primary that refuses connections', () => {
  const dead = play(settledHome(0, 1000), [refused('a', 1100), refused('a', 1200)])
  assert.deepEqual(kinds(dead.effects), ['fence a', 'fence b', 'fence c'])
  const waited = play(dead.state, [fenced('b', 2, 10, 1203), fenced('c', 2, 12, 1204)])
  assert.deepEqual(kinds(waited.effects), ['promote c', 'primaryChanged'])
  const status = statusOf('c', { role: 'primary', fencedTerm: 2, proposer: 'me#1', received: { term: 2, index: 13 } })
  const done = play(waited.state, [{ kind: 'promoteAnswered', server: 'c', term: 2, accepted: true, status, nowMs: 1206 }])
  assert.deepEqual(kinds(done.effects), ['follow b', 'primaryChanged', 'publish'])
})

test('the second home leaves the first one its turn', () => {
  const dead = play(settledHome(1, 1000), [refused('a', 1100), refused('a', 1200)])
  assert.deepEqual(kinds(dead.effects), [])
  const alive = [tickAt(1300), ...statuses(1499, statusOf('b'), statusOf('c'))]
  assert.deepEqual(fences(play(dead.state, [...alive, tickAt(1499)]).effects), [])
  assert.deepEqual(fences(play(dead.state, [...alive, tickAt(1500)]).effects), ['fence a', 'fence b', 'fence c'])
})

test('a home that reaches no majority starts nothing', () => {
  const dead = play(settledHome(0, 1000), [refused('a', 1100), refused('b', 1100), refused('a', 1200), refused('b', 1200), tickAt(1300)])
  assert.deepEqual(fences(dead.effects), [])
})

test('an overdue primary whose replicas still receive entries is alive', () => {
  const overdue = (nowMs: number): FailoverEvent => ({ kind: 'probeFailed', server: 'a', failure: 'overdue', nowMs })
  const moving = statuses(1500, statusOf('b', { received: { term: 1, index: 11 } }), statusOf('c'))
  const held = play(settledHome(0, 1000), [overdue(1350), tickAt(1400), ...moving, overdue(1600), tickAt(1700)])
  assert.deepEqual(fences(held.effects), [])
  assert.deepEqual(fences(play(held.state, [tickAt(1760)]).effects), ['fence a', 'fence b', 'fence c'])
})

test('servers that all say replica get a first primary', () => {
  const empty = { fencedTerm: 0, received: originPosition }
  const found = play(homeOf(0), statuses(10, statusOf('a', empty), statusOf('b', empty), statusOf('c', empty)))
  assert.deepEqual(fences(found.effects), ['fence a', 'fence b', 'fence c'])
})

test('a late old primary is told to follow', () => {
  const view = settledHome(0, 1000)
  const led = statusOf('b', { role: 'primary', fencedTerm: 2, received: { term: 2, index: 11 } })
  const replaced = play(view, statuses(1100, statusOf('c', { fencedTerm: 2, received: { term: 2, index: 11 } }), led))
  assert.deepEqual(kinds(replaced.effects), ['follow a', 'primaryChanged', 'publish'])
})

test('a lost promotion is asked for again, then given up for a new term', () => {
  const dead = play(settledHome(0, 1000), [refused('a', 1100), refused('a', 1200), fenced('b', 2, 10, 1203), fenced('c', 2, 12, 1204)])
  const again = play(dead.state, [tickAt(1360)])
  assert.deepEqual(kinds(again.effects).filter(kind => kind.startsWith('promote')), ['promote c'])
  const alive = statuses(2400, statusOf('b', { fencedTerm: 2 }), statusOf('c', { fencedTerm: 2 }))
  const next = play(again.state, [tickAt(1700), tickAt(2050), tickAt(2105), tickAt(2200), ...alive, tickAt(2510)])
  const terms = next.effects.flatMap(effect => effect.kind === 'fence' ? [effect.term] : [])
  assert.deepEqual(new Set(terms), new Set([3]))
})

test('a leaving primary hands over once an active replica has everything', () => {
  const leaving = databaseOf(['a', 'b', 'c'], ['a'])
  const started = play(settledHome(0, 1000), [{ kind: 'manifestChanged', database: leaving, nowMs: 1050 }])
  assert.deepEqual(kinds(started.effects), ['fence a'])
  const waiting = play(started.state, [fenced('a', 2, 12, 1060), ...statuses(1061, statusOf('b', { received: { term: 1, index: 11 } }))])
  assert.deepEqual(kinds(waiting.effects), [])
  const drained = play(waiting.state, statuses(1062, statusOf('b', { received: { term: 1, index: 12 } })))
  assert.deepEqual(kinds(drained.effects), ['fence a', 'fence b', 'fence c'])
  const done = play(drained.state, [fenced('a', 2, 12, 1070), fenced('b', 2, 12, 1071), fenced('c', 2, 11, 1072)])
  assert.deepEqual(kinds(done.effects), ['primaryChanged', 'promote b'])
})

test('the furthest log is chosen, an active server where both are as far', () => {
  const electorate = { servers: ['a', 'b', 'c'], active: ['b', 'c'], currentPrimary: 'a' }
  const at = (term: number, index: number) => ({ term, index })
  assert.equal(nextPrimary({ b: at(1, 20), c: at(2, 3) }, electorate), 'c')
  assert.equal(nextPrimary({ a: at(2, 4), c: at(2, 3) }, electorate), 'a')
  assert.equal(nextPrimary({ a: at(2, 3), c: at(2, 3) }, electorate), 'c')
  assert.equal(nextPrimary({ c: at(2, 3) }, electorate), undefined)
})
