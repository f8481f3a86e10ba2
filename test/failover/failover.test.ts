import assert from 'node:assert/strict'
import { test } from 'node:test'
import { emptyGroupView, leaderFailoverSettings, recordStatus, nextPrimary, primaryView, type FailoverEffect, type FailoverEvent } from '../../src/failover/index.js'
import { originPosition } from '../../src/model/index.js'
import { databaseOf, dispatcherState, effectNames, applyEvents, healthyDispatcher, statuses, statusOf, tickAt } from './fixtures.js'

function refused (server: string, nowMs: number): FailoverEvent {
  return { kind: 'probeFailed', server, failure: 'refused', nowMs }
}

function fenced (server: string, term: number, index: number, nowMs: number): FailoverEvent {
  const status = statusOf(server, { fencedTerm: term, proposer: 'me#1', received: { term: 1, index } })
  return { kind: 'fenceAnswered', server, term, accepted: true, status, nowMs }
}

function fences (effects: readonly FailoverEffect[]): readonly string[] {
  return effectNames(effects).filter(kind => kind.startsWith('fence'))
}

test('late statuses never move the view back to a lower term', () => {
  const empty = emptyGroupView('ledger', ['a', 'b', 'c'])
  const withPrimary = recordStatus(empty, statusOf('b', { role: 'primary', fencedTerm: 5, received: { term: 5, index: 3 } }), 1)
  const late = recordStatus(withPrimary, statusOf('a', { role: 'primary' }), 2)
  assert.deepEqual(primaryView(late), { database: 'ledger', term: 5, primary: 'b' })
  const older = recordStatus(late, statusOf('b', { fencedTerm: 4 }), 3)
  assert.equal(older.lastStatuses['b']?.status.fencedTerm, 5)
})

test('a primary counts as replaced once a majority is fenced above it', () => {
  const { state } = applyEvents(healthyDispatcher(1, 1000), statuses(1001, statusOf('b', { fencedTerm: 2 })))
  assert.equal(primaryView(state.group).primary, 'a')
  const later = applyEvents(state, statuses(1002, statusOf('c', { fencedTerm: 2 })))
  assert.deepEqual(primaryView(later.state.group), { database: 'ledger', term: 2, primary: undefined })
})

test('the first dispatcher in rank replaces a primary that refuses connections', () => {
  const failed = applyEvents(healthyDispatcher(0, 1000), [refused('a', 1100), refused('a', 1200)])
  assert.deepEqual(effectNames(failed.effects), ['fence a', 'fence b', 'fence c'])
  const waited = applyEvents(failed.state, [fenced('b', 2, 10, 1203), fenced('c', 2, 12, 1204)])
  assert.deepEqual(effectNames(waited.effects), ['promote c', 'primaryChanged'])
  const status = statusOf('c', { role: 'primary', fencedTerm: 2, proposer: 'me#1', received: { term: 2, index: 13 } })
  const done = applyEvents(waited.state, [{ kind: 'promoteAnswered', server: 'c', term: 2, accepted: true, status, nowMs: 1206 }])
  assert.deepEqual(effectNames(done.effects), ['follow b', 'primaryChanged', 'publish'])
})

test('the second dispatcher in rank waits for its rank delay', () => {
  const failed = applyEvents(healthyDispatcher(1, 1000), [refused('a', 1100), refused('a', 1200)])
  assert.deepEqual(effectNames(failed.effects), [])
  const alive = [tickAt(1300), ...statuses(1499, statusOf('b'), statusOf('c'))]
  assert.deepEqual(fences(applyEvents(failed.state, [...alive, tickAt(1499)]).effects), [])
  assert.deepEqual(fences(applyEvents(failed.state, [...alive, tickAt(1500)]).effects), ['fence a', 'fence b', 'fence c'])
})

test('a dispatcher that reaches no majority does not propose', () => {
  const failed = applyEvents(healthyDispatcher(0, 1000), [refused('a', 1100), refused('b', 1100), refused('a', 1200), refused('b', 1200), tickAt(1300)])
  assert.deepEqual(fences(failed.effects), [])
})

test('an overdue primary whose replicas still receive entries is alive', () => {
  const overdue = (nowMs: number): FailoverEvent => ({ kind: 'probeFailed', server: 'a', failure: 'overdue', nowMs })
  const moving = statuses(1500, statusOf('b', { received: { term: 1, index: 11 } }), statusOf('c'))
  const held = applyEvents(healthyDispatcher(0, 1000), [overdue(1350), tickAt(1400), ...moving, overdue(1600), tickAt(1700)])
  assert.deepEqual(fences(held.effects), [])
  assert.deepEqual(fences(applyEvents(held.state, [tickAt(1760)]).effects), ['fence a', 'fence b', 'fence c'])
})

test('a first primary is promoted if all servers report the role of a replica', () => {
  const empty = { fencedTerm: 0, received: originPosition }
  const started = applyEvents(dispatcherState(0), statuses(10, statusOf('a', empty), statusOf('b', empty), statusOf('c', empty)))
  assert.deepEqual(fences(started.effects), ['fence a', 'fence b', 'fence c'])
})

test('a former primary that returns late is sent `follow`', () => {
  const view = healthyDispatcher(0, 1000)
  const withPrimary = statusOf('b', { role: 'primary', fencedTerm: 2, received: { term: 2, index: 11 } })
  const replaced = applyEvents(view, statuses(1100, statusOf('c', { fencedTerm: 2, received: { term: 2, index: 11 } }), withPrimary))
  assert.deepEqual(effectNames(replaced.effects), ['follow a', 'primaryChanged', 'publish'])
})

test('a promotion without an answer is sent again, then abandoned for a new term', () => {
  const failed = applyEvents(healthyDispatcher(0, 1000), [refused('a', 1100), refused('a', 1200), fenced('b', 2, 10, 1203), fenced('c', 2, 12, 1204)])
  const again = applyEvents(failed.state, [tickAt(1360)])
  assert.deepEqual(effectNames(again.effects).filter(kind => kind.startsWith('promote')), ['promote c'])
  const alive = statuses(2400, statusOf('b', { fencedTerm: 2 }), statusOf('c', { fencedTerm: 2 }))
  const next = applyEvents(again.state, [tickAt(1700), tickAt(2050), tickAt(2105), tickAt(2200), ...alive, tickAt(2510)])
  const terms = next.effects.flatMap(effect => effect.kind === 'fence' ? [effect.term] : [])
  assert.deepEqual(new Set(terms), new Set([3]))
})

test('a decommissioned primary is replaced once an active replica has received its whole log', () => {
  const decommissioned = databaseOf(['a', 'b', 'c'], ['a'])
  const started = applyEvents(healthyDispatcher(0, 1000), [{ kind: 'manifestChanged', database: decommissioned, nowMs: 1050 }])
  assert.deepEqual(effectNames(started.effects), ['fence a'])
  const waiting = applyEvents(started.state, [fenced('a', 2, 12, 1060), ...statuses(1061, statusOf('b', { received: { term: 1, index: 11 } }))])
  assert.deepEqual(effectNames(waiting.effects), [])
  const drained = applyEvents(waiting.state, statuses(1062, statusOf('b', { received: { term: 1, index: 12 } })))
  assert.deepEqual(effectNames(drained.effects), ['fence a', 'fence b', 'fence c'])
  const done = applyEvents(drained.state, [fenced('a', 2, 12, 1070), fenced('b', 2, 12, 1071), fenced('c', 2, 11, 1072)])
  assert.deepEqual(effectNames(done.effects), ['primaryChanged', 'promote b'])
})

// Guards against a promotion into a failure domain that was evacuated while the promotion ran.
test('a server that leaves while the servers are fenced is not promoted where an active one has the same log', () => {
  const leaving = (...names: readonly string[]): FailoverEvent => ({ kind: 'manifestChanged', database: databaseOf(['a', 'b', 'c'], names), nowMs: 1050 })
  const drained = applyEvents(healthyDispatcher(0, 1000), [leaving('a'), fenced('a', 2, 12, 1060), ...statuses(1062, statusOf('b', { received: { term: 1, index: 12 } }))])
  const done = applyEvents(drained.state, [leaving('a', 'b'), fenced('a', 2, 12, 1070), fenced('b', 2, 12, 1071), fenced('c', 2, 12, 1072)])
  assert.deepEqual(effectNames(done.effects), ['primaryChanged', 'promote c'])
})

test('the most advanced log is promoted; of equal logs, that of an active server', () => {
  const candidates = { servers: ['a', 'b', 'c'], active: ['b', 'c'], currentPrimary: 'a' }
  const at = (term: number, index: number) => ({ term, index })
  assert.equal(nextPrimary({ b: at(1, 20), c: at(2, 3) }, candidates), 'c')
  assert.equal(nextPrimary({ a: at(2, 4), c: at(2, 3) }, candidates), 'a')
  assert.equal(nextPrimary({ a: at(2, 3), c: at(2, 3) }, candidates), 'c')
  assert.equal(nextPrimary({ c: at(2, 3) }, candidates), undefined)
})

// Guards against probes over new connections to servers that another host watches:
// each occupies a slot of the server for the time of a login.
test('a leader that hears of the servers from other hosts opens no connection to them', () => {
  const leader = { ...healthyDispatcher(0, 1000), settings: leaderFailoverSettings }
  const events = Array.from({ length: 40 }, (_, at): readonly FailoverEvent[] => {
    const nowMs = 1100 + at * 100
    const relayed = ['a', 'b', 'c'].map((server): FailoverEvent => ({ kind: 'statusRelayed', status: statusOf(server, { role: server === 'a' ? 'primary' : 'replica' }), heardAgoMs: 300 + (at % 7) * 100, nowMs }))
    return [...relayed, tickAt(nowMs)]
  })
  assert.deepEqual(effectNames(applyEvents(leader, events.flat()).effects).filter(name => name.startsWith('probe')), [])
})

test('a server that failed a probe is probed again sooner than one without a contact', () => {
  const leader = { ...healthyDispatcher(0, 1000), settings: { ...leaderFailoverSettings, localPauseMs: Infinity } }
  const lost = applyEvents(leader, [{ kind: 'connectionLost', server: 'a', nowMs: 1050 }, tickAt(1100)])
  assert.deepEqual(effectNames(lost.effects), ['probe a'])
  const failed = applyEvents(lost.state, [refused('a', 1110), tickAt(1500)])
  assert.deepEqual(effectNames(failed.effects), [])
  assert.deepEqual(effectNames(applyEvents(failed.state, [tickAt(1600)]).effects), ['probe a'])
})
