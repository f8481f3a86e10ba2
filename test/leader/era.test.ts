// The leader lease while the store returns from copies.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { defaultLeaseSettings, heldToken, initialLease, leaseStep, tokensPerEra, type LeaseEffect, type LeaseEvent, type LeaseRecord, type LeaseState } from '../../src/leader/index.js'
import { eraStore, type EraStore } from '../support/era-store.js'

const { durationMs, marginMs } = defaultLeaseSettings
const stepMs = 50

function hostOf (host: string, rank: number, incarnation = '1'): LeaseState {
  return leaseStep(initialLease({ host, incarnation }), { kind: 'rankChanged', rank, isWatcher: true }).state
}

function recordOf (changes: Partial<LeaseRecord> = {}): LeaseRecord {
  return { holder: 'other', incarnation: '1', token: 4, renewal: 9, released: false, ...changes }
}

type Run = { readonly state: LeaseState, readonly effects: readonly LeaseEffect[] }

function run (state: LeaseState, ...events: readonly LeaseEvent[]): Run {
  return events.reduce<Run>((before, event) => {
    const next = leaseStep(before.state, event)
    return { state: next.state, effects: [...before.effects, ...next.effects] }
  }, { state, effects: [] })
}

// Guards against two leaders: the copy shows the lease as released, but another host took it in what was lost.
test('a record of an earlier era, released, missing or of this host, is taken over only after a lease duration in the new era', () => {
  for (const record of [undefined, recordOf(), recordOf({ released: true }), recordOf({ holder: 'a' })]) {
    const read = (nowMs: number): LeaseEvent => ({ kind: 'read', record, version: 7, era: 1, nowMs })
    const early = run(hostOf('a', 0), { kind: 'tick', nowMs: 0 }, read(100), { kind: 'tick', nowMs: durationMs }, read(durationMs + 99))
    assert.deepEqual(early.effects.map(({ kind }) => kind), ['read', 'read'])
    const due = run(early.state, { kind: 'tick', nowMs: durationMs + 500 }, read(durationMs + 501))
    const [write] = due.effects.slice(-1)
    assert.ok(write?.kind === 'write' && write.record.era === 1)
    assert.equal(write.record.token, tokensPerEra + 8)
  }
})

// Guards against an order of the previous leader after the restore.
test('a holder that sees a higher era holds the lease no longer', () => {
  const { state } = run(hostOf('a', 0), { kind: 'written', record: recordOf({ holder: 'a' }), version: 8, sentAtMs: 0, nowMs: 5 })
  assert.equal(heldToken(state, 10), 4)
  const seen = run(state, { kind: 'eraSeen', era: 1, nowMs: 10 })
  assert.equal(heldToken(seen.state, 10), undefined)
  const late = run(seen.state, { kind: 'written', record: recordOf({ holder: 'a', renewal: 10 }), version: 9, sentAtMs: 8, nowMs: 12 })
  assert.equal(heldToken(late.state, 12), undefined)
})

// Guards against two leaders: the previous leader reported the same renewal long before its late write replaced the record of the present one.
test('the lease duration after a late write of an earlier era counts from when it was read', () => {
  const late = recordOf()
  const { effects } = run(hostOf('a', 0), { kind: 'eraSeen', era: 1, nowMs: 0 },
    { kind: 'otherHolderReported', lease: { token: late.token, renewal: late.renewal }, nowMs: 100 },
    { kind: 'tick', nowMs: 6000 }, { kind: 'read', record: late, version: 20, era: 1, nowMs: 6005 }, { kind: 'tick', nowMs: 6000 + durationMs })
  assert.deepEqual(effects.map(({ kind }) => kind), ['read', 'read'])
})

type InFlight = { readonly atMs: number, readonly sentAtMs: number, readonly effect: LeaseEffect, readonly delivery: 'answered' | 'lost' | 'never' }
type Model = { readonly state: LeaseState, readonly inFlight: readonly InFlight[], readonly awayUntilMs: number }

function performCall (call: InFlight, store: EraStore<LeaseRecord>, nowMs: number): readonly LeaseEvent[] {
  const failed: LeaseEvent = { kind: 'callFailed', nowMs }
  if (call.delivery === 'never') return [failed]
  switch (call.effect.kind) {
    case 'read': return [call.delivery === 'lost' ? failed : { kind: 'read', ...store.get(), nowMs }]
    case 'write': {
      const { record } = call.effect
      const isWritten = store.put(call.effect.version, record, nowMs)
      const { version, era } = store.get()
      // As putObjectInEra: the answer of another era is no success.
      const isKnown = isWritten && era === (record.era ?? 0) && call.delivery === 'answered'
      return [isKnown ? { kind: 'written', record, version, sentAtMs: call.sentAtMs, nowMs } : failed]
    }
  }
}

/** Answers that arrive while a host is away reach it when it returns. */
function advance (host: Model, store: EraStore<LeaseRecord>, nowMs: number, plan: () => Plan): Model {
  const due = host.inFlight.filter(call => call.atMs <= nowMs)
  const events = due.flatMap(call => performCall(call, store, nowMs))
  if (nowMs < host.awayUntilMs) return { ...host, inFlight: host.inFlight.map(call => due.includes(call) ? { ...call, delivery: 'never', atMs: host.awayUntilMs } : call) }
  const { state, effects } = run(host.state, ...events, { kind: 'tick', nowMs })
  const calls = effects.map((effect): InFlight => {
    const { delayMs, delivery } = plan()
    return { atMs: nowMs + delayMs, sentAtMs: nowMs, effect, delivery }
  })
  return { ...host, state, inFlight: [...host.inFlight.filter(call => !due.includes(call)), ...calls] }
}

type Plan = { readonly delayMs: number, readonly delivery: InFlight['delivery'] }
const plans = fc.array(fc.record({
  // Some writes reach the store long after a restore.
  delayMs: fc.oneof({ weight: 6, arbitrary: fc.nat(300) }, { weight: 1, arbitrary: fc.nat(5000) }),
  delivery: fc.constantFrom('answered' as const, 'answered' as const, 'answered' as const, 'lost' as const, 'never' as const)
}), { minLength: 40, maxLength: 120 })
const events = fc.array(fc.record({
  atMs: fc.nat(20_000),
  event: fc.oneof(
    fc.record({ kind: fc.constant('restore' as const), ageMs: fc.nat(6000) }),
    fc.record({ kind: fc.constant('restart' as const), host: fc.nat(2) }),
    fc.record({ kind: fc.constant('away' as const), host: fc.nat(2), forMs: fc.nat(6000) })
  )
}), { maxLength: 10 })

test('over restores, late writes, restarts and cut-off hosts there are never two holders, and tokens rise with each holder', () => {
  fc.assert(fc.property(plans, events, (plan, occurrences) => {
    const store = eraStore<LeaseRecord>()
    let hosts: readonly Model[] = ['a', 'b', 'c'].map((host, rank) => ({ state: hostOf(host, rank), inFlight: [], awayUntilMs: 0 }))
    let next = 0
    let last: { readonly token: number, readonly holder: string } = { token: 0, holder: '' }
    const nextPlan = (): Plan => plan[next++ % plan.length] ?? { delayMs: 0, delivery: 'answered' }
    for (let nowMs = 0; nowMs < 24_000; nowMs += stepMs) {
      for (const { event } of occurrences.filter(({ atMs }) => Math.floor(atMs / stepMs) * stepMs === nowMs)) {
        switch (event.kind) {
          case 'restore': { store.restore(event.ageMs, nowMs); break }
          case 'restart': {
            // Calls of the ended process may still take effect; their answers reach nobody.
            hosts = hosts.map((host, at) => at !== event.host ? host : { ...host, state: hostOf(host.state.self.host, at, String(nowMs)), inFlight: [] })
            break
          }
          case 'away': { hosts = hosts.map((host, at) => at === event.host ? { ...host, awayUntilMs: nowMs + event.forMs } : host); break }
        }
      }
      hosts = hosts.map(host => advance(host, store, nowMs, nextPlan))
      const holders = hosts.flatMap(({ state }) => {
        const token = heldToken(state, nowMs)
        return token === undefined ? [] : [{ token, holder: `${state.self.host}/${state.self.incarnation}` }]
      })
      assert.ok(holders.length <= 1, `two holders at ${nowMs}`)
      for (const each of holders) {
        assert.ok(each.token > last.token || (each.token === last.token && each.holder === last.holder), `token ${each.token} of ${each.holder} after ${last.token} of ${last.holder}`)
        last = each
      }
    }
  }), { numRuns: 300 })
})

// Guards against a deployment that never has a leader after a restore.
test('after a restore a leader is found within two lease durations', () => {
  const store = eraStore<LeaseRecord>()
  let hosts: readonly Model[] = ['a', 'b'].map((host, rank) => ({ state: hostOf(host, rank), inFlight: [], awayUntilMs: 0 }))
  for (let nowMs = 0; nowMs < 4000; nowMs += stepMs) hosts = hosts.map(host => advance(host, store, nowMs, () => ({ delayMs: 0, delivery: 'answered' })))
  store.restore(3000, 4000)
  for (let nowMs = 4000; nowMs < 4000 + 2 * durationMs + marginMs; nowMs += stepMs) hosts = hosts.map(host => advance(host, store, nowMs, () => ({ delayMs: 0, delivery: 'answered' })))
  assert.equal(hosts.filter(({ state }) => heldToken(state, 4000 + 2 * durationMs) !== undefined).length, 1)
})
