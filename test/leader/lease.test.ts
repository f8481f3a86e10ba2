import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { defaultLeaseSettings, initialLease, leaseDueAtMs, leaseStep, heldToken, type LeaseEffect, type LeaseEvent, type LeaseRecord, type LeaseState } from '../../src/leader/index.js'

const { durationMs, marginMs } = defaultLeaseSettings

function hostOf (host: string, rank = 0): LeaseState {
  return leaseStep(initialLease({ host, incarnation: '1' }), { kind: 'rankChanged', rank, isWatcher: true }).state
}

function recordOf (changes: Partial<LeaseRecord> = {}): LeaseRecord {
  return { holder: 'other', incarnation: '1', token: 4, renewal: 9, released: false, ...changes }
}

function run (state: LeaseState, ...events: readonly LeaseEvent[]): { readonly state: LeaseState, readonly effects: readonly LeaseEffect[] } {
  return events.reduce<{ readonly state: LeaseState, readonly effects: readonly LeaseEffect[] }>((before, event) => {
    const next = leaseStep(before.state, event)
    return { state: next.state, effects: [...before.effects, ...next.effects] }
  }, { state, effects: [] })
}

test('a lease without a holder is acquired with the first token', () => {
  const { effects } = run(hostOf('a'), { kind: 'tick', nowMs: 0 }, { kind: 'read', record: undefined, version: 0, nowMs: 5 })
  assert.deepEqual(effects, [{ kind: 'read' }, { kind: 'write', version: 0, record: { holder: 'a', incarnation: '1', token: 1, renewal: 1, released: false } }])
})

test('another host takes over a lease only after it was unchanged for the lease duration, with a higher token', () => {
  const seen = run(hostOf('a'), { kind: 'tick', nowMs: 0 }, { kind: 'read', record: recordOf(), version: 7, nowMs: 5 })
  const early = run(seen.state, { kind: 'tick', nowMs: durationMs - 1 }, { kind: 'read', record: recordOf(), version: 7, nowMs: durationMs })
  assert.deepEqual(early.effects, [{ kind: 'read' }])
  const due = run(early.state, { kind: 'tick', nowMs: durationMs + 5 }, { kind: 'read', record: recordOf(), version: 7, nowMs: durationMs + 9 })
  assert.deepEqual(due.effects.map(effect => effect.kind === 'write' ? [effect.version, effect.record.token] : effect.kind), ['read', [7, 5]])
  const renewed = run(early.state, { kind: 'tick', nowMs: durationMs + 5 }, { kind: 'read', record: recordOf({ renewal: 10 }), version: 8, nowMs: durationMs + 9 })
  assert.deepEqual(renewed.effects, [{ kind: 'read' }])
})

test('a renewal that another host observes restarts its lease duration', () => {
  const { state } = run(hostOf('a'), { kind: 'tick', nowMs: 0 }, { kind: 'read', record: recordOf(), version: 7, nowMs: 5 },
    { kind: 'tick', nowMs: 2000 }, { kind: 'read', record: recordOf({ renewal: 10 }), version: 8, nowMs: 2005 })
  const { effects } = run(state, { kind: 'tick', nowMs: 2005 + durationMs - 1 })
  assert.deepEqual(effects, [{ kind: 'read' }])
})

test('the holder counts the lease duration from before it sent the renewal, less the margin', () => {
  const { state } = run(hostOf('a'), { kind: 'written', record: recordOf({ holder: 'a' }), version: 8, sentAtMs: 100, nowMs: 900 })
  assert.equal(heldToken(state, 100 + durationMs - marginMs - 1), 4)
  assert.equal(heldToken(state, 100 + durationMs - marginMs), undefined)
})

test('after a renewal without a response the holder reads the lease before it writes again', () => {
  const held = run(hostOf('a'), { kind: 'written', record: recordOf({ holder: 'a' }), version: 8, sentAtMs: 0, nowMs: 5 })
  const { effects } = run(held.state, { kind: 'tick', nowMs: 800 }, { kind: 'callFailed', nowMs: 1800 }, { kind: 'tick', nowMs: 2300 })
  assert.deepEqual(effects.map(effect => effect.kind), ['write', 'read'])
})

test('a host with recent contact to the holder does not call the store', () => {
  const { effects } = run(hostOf('a'), { kind: 'otherHolderReported', lease: { token: 4, renewal: 9 }, nowMs: 0 }, { kind: 'tick', nowMs: 500 })
  assert.deepEqual(effects, [])
})

test('a host that is no watcher reads the lease rarely, and ticks come no more often than something is due', () => {
  const read = (state: LeaseState): LeaseState => run(state, { kind: 'tick', nowMs: 0 }, { kind: 'read', record: recordOf(), version: 7, nowMs: 5 }).state
  const distant = read(leaseStep(hostOf('a'), { kind: 'rankChanged', rank: 1, isWatcher: false }).state)
  const watcher = read(hostOf('a', 1))
  assert.equal(leaseDueAtMs(watcher), 5 + defaultLeaseSettings.pollEveryMs)
  assert.equal(leaseDueAtMs(distant), 5 + durationMs + defaultLeaseSettings.rankDelayMs)
  assert.deepEqual(run(distant, { kind: 'tick', nowMs: 2000 }).effects, [])
})

test('a holder that is no watcher releases the lease instead of renewing it, and orders nothing after that', () => {
  const held = run(hostOf('a'), { kind: 'written', record: recordOf({ holder: 'a' }), version: 8, sentAtMs: 0, nowMs: 5 })
  const { state, effects } = run(held.state, { kind: 'rankChanged', rank: 3, isWatcher: false }, { kind: 'tick', nowMs: defaultLeaseSettings.renewEveryMs })
  const [write] = effects
  assert.ok(write?.kind === 'write' && write.record.released && write.version === 8)
  assert.equal(heldToken(state, defaultLeaseSettings.renewEveryMs), undefined)
  const released = run(state, { kind: 'written', record: write.record, version: 9, sentAtMs: 700, nowMs: 705 })
  assert.equal(heldToken(released.state, 706), undefined)
  const taken = run(hostOf('b'), { kind: 'tick', nowMs: 0 }, { kind: 'read', record: write.record, version: 9, nowMs: 5 })
  assert.deepEqual(taken.effects.map(effect => effect.kind === 'write' ? effect.record.token : effect.kind), ['read', write.record.token + 1])
})

test('a host without a rank does not acquire the lease', () => {
  const { effects } = run(initialLease({ host: 'a', incarnation: '1' }), { kind: 'tick', nowMs: 99_000 })
  assert.deepEqual(effects, [])
})

const heartbeatMs = 1000
const storeAnswerMs = 5
/** Longest time from the holder's last renewal to its successor: a heartbeat, the lease duration and the takeover itself. */
const maxSuccessionMs = heartbeatMs + durationMs + 200

/** When a host of rank 0 writes its takeover, if it hears from a holder that can't renew its lease after `lastRenewalMs`. */
function takeoverMs (lastRenewalMs: number, heartbeatAtMs: number): number {
  const heldUntilMs = lastRenewalMs + durationMs - marginMs
  const renewalAt = (nowMs: number): number => Math.floor(Math.min(nowMs, lastRenewalMs) / defaultLeaseSettings.renewEveryMs)
  let host = hostOf('b')
  for (let nowMs = 0; ; nowMs += 10) {
    const renewal = renewalAt(nowMs)
    const isHeartbeat = nowMs % heartbeatMs === heartbeatAtMs && nowMs < heldUntilMs
    const events: readonly LeaseEvent[] = isHeartbeat ? [{ kind: 'otherHolderReported', lease: { token: 4, renewal }, nowMs }] : []
    const { state, effects } = run(host, ...events, { kind: 'tick', nowMs })
    if (effects.some(effect => effect.kind === 'write')) return nowMs
    const read: LeaseEvent = { kind: 'read', record: recordOf({ renewal }), version: 100 + renewal, nowMs: nowMs + storeAnswerMs }
    const after = effects.some(effect => effect.kind === 'read') ? run(state, read) : { state, effects: [] }
    if (after.effects.some(effect => effect.kind === 'write')) return nowMs + storeAnswerMs
    host = after.state
  }
}

// Guards against DRAIN: the lease duration was counted only from the end of the contact with the old holder, so a leaving primary was replaced too late.
test('a host that heard of the last renewal takes over one lease duration after it heard of it', () => {
  const lastRenewalMs = 7 * defaultLeaseSettings.renewEveryMs
  for (const heartbeatAtMs of [0, 200, 400, 600, 800]) {
    const tookMs = takeoverMs(lastRenewalMs, heartbeatAtMs) - lastRenewalMs
    assert.ok(tookMs >= durationMs && tookMs <= maxSuccessionMs, `${tookMs} ms with heartbeats at ${heartbeatAtMs}`)
  }
})

/** One host of the model: its lease state, and until when it is suspended. */
type ModelHost = { readonly state: LeaseState, readonly suspendedUntilMs: number, readonly inFlight: readonly InFlight[] }
type InFlight = { readonly atMs: number, readonly sentAtMs: number, readonly effect: LeaseEffect, readonly delivery: 'answered' | 'lost' | 'never' }

test('two hosts never hold the lease at the same time, with lost, late or suspended calls', () => {
  const callPlans = fc.array(fc.record({ delayMs: fc.nat(1500), delivery: fc.constantFrom('answered' as const, 'answered' as const, 'lost' as const, 'never' as const), suspendMs: fc.constantFrom(0, 0, 0, 0, 3000) }), { minLength: 40, maxLength: 160 })
  fc.assert(fc.property(callPlans, plans => {
    let hosts: readonly ModelHost[] = ['a', 'b', 'c'].map((host, rank) => ({ state: hostOf(host, rank), suspendedUntilMs: 0, inFlight: [] }))
    let stored: { readonly record: LeaseRecord | undefined, readonly version: number } = { record: undefined, version: 0 }
    let next = 0
    let lastToken = 0
    for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
      hosts = hosts.map(host => {
        const due = host.inFlight.filter(call => call.atMs <= nowMs)
        const events = due.flatMap(call => {
          const result = performCall(call, stored, nowMs)
          stored = result.stored
          return result.events
        })
        if (nowMs < host.suspendedUntilMs) return { ...host, inFlight: host.inFlight.map(call => due.includes(call) ? { ...call, atMs: host.suspendedUntilMs } : call) }
        const reports = reportsTo(host.state, hosts, nowMs)
        const { state, effects } = run(host.state, ...events, ...reports, { kind: 'tick', nowMs })
        const plan = plans[next % plans.length]
        const calls = effects.map((effect): InFlight => {
          next += 1
          return { atMs: nowMs + (plan?.delayMs ?? 0), sentAtMs: nowMs, effect, delivery: plan?.delivery ?? 'answered' }
        })
        const suspendedUntilMs = calls.length > 0 ? nowMs + (plan?.suspendMs ?? 0) : 0
        return { state, suspendedUntilMs, inFlight: [...host.inFlight.filter(call => !due.includes(call)), ...calls] }
      })
      const tokens = hosts.flatMap(({ state }) => heldToken(state, nowMs) ?? [])
      assert.ok(tokens.length <= 1, `two holders at ${nowMs}`)
      for (const token of tokens) {
        assert.ok(token >= lastToken, `token ${token} after ${lastToken}`)
        lastToken = token
      }
    }
  }), { numRuns: 150 })
})

/** What the other hosts that hold the lease tell a host in their heartbeats. */
function reportsTo (self: LeaseState, hosts: readonly ModelHost[], nowMs: number): readonly LeaseEvent[] {
  return hosts.flatMap(({ state, suspendedUntilMs }): readonly LeaseEvent[] => {
    const record = state.observed?.record
    const isReporting = nowMs % 400 === 0 && nowMs >= suspendedUntilMs && state.self.host !== self.self.host
    if (!isReporting || record === undefined || heldToken(state, nowMs) === undefined) return []
    return [{ kind: 'otherHolderReported', lease: { token: record.token, renewal: record.renewal }, nowMs }]
  })
}

type Stored = { readonly record: LeaseRecord | undefined, readonly version: number }

function performCall (call: InFlight, stored: Stored, nowMs: number): { readonly stored: Stored, readonly events: readonly LeaseEvent[] } {
  const failed: LeaseEvent = { kind: 'callFailed', nowMs }
  if (call.delivery === 'never') return { stored, events: [failed] }
  switch (call.effect.kind) {
    case 'read': return { stored, events: [call.delivery === 'lost' ? failed : { kind: 'read', ...stored, nowMs }] }
    case 'write': {
      if (call.effect.version !== stored.version) return { stored, events: [failed] }
      const written = { record: call.effect.record, version: stored.version + 1 }
      const response: LeaseEvent = { kind: 'written', ...written, sentAtMs: call.sentAtMs, nowMs }
      return { stored: written, events: [call.delivery === 'lost' ? failed : response] }
    }
  }
}
