// The accounting of connections. The properties guard against bytes that are never
// freed, and against a sum above the budget.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { guardLimits, KeptBytes, Ledger, noUse, type GuardAction, type GuardLimits, type HolderUse } from '../../src/guard/index.js'

const limits: GuardLimits = { budgetBytes: 1_000_000, keptBytes: 1000, keptSessionBytes: 600, maxCallers: 3, loginMs: 10_000, messageMs: 30_000, unreadMs: 30_000 }

function use (changes: Partial<HolderUse>): HolderUse {
  return { ...noUse, ...changes }
}

/** Opens callers that have logged in. */
function sessions (ledger: Ledger, count: number): readonly number[] {
  return Array.from({ length: count }, () => {
    const id = ledger.open('caller', 0).id ?? assert.fail()
    ledger.enter(id, 'authenticated', 0)
    return id
  })
}

type Step = { readonly kind: 'open' | 'report' | 'enter' | 'close' | 'sweep', readonly at: number, readonly bytes: number }

const steps = fc.array(fc.record<Step>({ kind: fc.constantFrom('open', 'report', 'report', 'enter', 'close', 'sweep'), at: fc.nat(9), bytes: fc.nat(300_000) }), { maxLength: 80 })

test('any order of opening, reading, writing and closing ends at zero and stays within the budget and one message', () => {
  fc.assert(fc.property(steps, script => {
    const ledger = new Ledger({ ...limits, maxCallers: 10 })
    const opened: number[] = []
    for (const [atMs, { kind, at, bytes }] of script.entries()) {
      const id = opened[at] ?? 0
      switch (kind) {
        case 'open': opened.push(ledger.open(at % 3 === 0 ? 'peer' : 'caller', atMs * 500).id ?? 0); break
        case 'report': ledger.report(id, use({ partialBytes: bytes, workBytes: at * 1000, unreadBytes: at * 100, messages: at }), atMs * 500); break
        case 'enter': ledger.enter(id, at % 2 === 0 ? 'authenticated' : 'closing', atMs * 500); break
        case 'close': ledger.close(id, atMs * 500); break
        case 'sweep': ledger.sweep(atMs * 500); break
      }
      assert.ok(ledger.totals().bytes <= limits.budgetBytes + 310_000)
    }
    for (const id of opened) ledger.close(id, 100_000)
    assert.deepEqual(ledger.totals(), { connections: 0, bytes: 0, paused: 0 })
  }))
})

// Guards against messages that all wait for each other, because each has a part of the budget.
test('with the budget used up, one message can be completed and small ones are still read', () => {
  const ledger = new Ledger(limits)
  const [first = 0, second = 0, small = 0] = sessions(ledger, 3)
  ledger.report(second, use({ partialBytes: 400_000 }), 0)
  assert.deepEqual(ledger.report(first, use({ partialBytes: 500_000 }), 0), [])
  assert.deepEqual(ledger.report(second, use({ partialBytes: 400_001 }), 0), [{ kind: 'pause', id: second }])
  assert.deepEqual(ledger.report(small, use({ partialBytes: 900 }), 0), [])
  assert.deepEqual(ledger.report(first, use({ messages: 1 }), 0), [{ kind: 'resume', id: second }])
})

test('above the budget, connections before their login are closed first, then the largest', () => {
  const ledger = new Ledger({ ...limits, maxCallers: 9 })
  const [favoured = 0, large = 0, small = 0] = sessions(ledger, 3)
  const stranger = ledger.open('caller', 0).id ?? 0
  ledger.report(stranger, use({ partialBytes: 100_000 }), 0)
  ledger.report(favoured, use({ partialBytes: 700_000 }), 0)
  ledger.report(small, use({ partialBytes: 100_000 }), 0)
  const closed = (actions: readonly GuardAction[]): readonly number[] => actions.filter(({ kind }) => kind === 'close').map(({ id }) => id)
  assert.deepEqual(closed(ledger.report(large, use({ partialBytes: 150_000 }), 0)), [stranger])
  assert.deepEqual(closed(ledger.report(large, use({ partialBytes: 250_000 }), 0)), [large])
})

test('a full host closes the oldest connection before its login for a new one, and no idle session', () => {
  const ledger = new Ledger(limits)
  sessions(ledger, 2)
  const stranger = ledger.open('caller', 0).id ?? 0
  const { id = 0, actions } = ledger.open('caller', 0)
  assert.deepEqual(actions, [{ kind: 'close', id: stranger, reason: 'connections' }])
  ledger.enter(id, 'authenticated', 0)
  assert.equal(ledger.open('caller', 0).id, undefined)
})

test('logins, begun messages and unread answers have deadlines; idle sessions and paused messages have none', () => {
  const ledger = new Ledger({ ...limits, maxCallers: 9 })
  const [, begun = 0, unread = 0, paused = 0] = sessions(ledger, 4)
  const stranger = ledger.open('caller', 0).id ?? 0
  ledger.report(begun, use({ partialBytes: 1 }), 0)
  ledger.report(unread, use({ unreadBytes: 1 }), 0)
  ledger.report(paused, use({ partialBytes: 1, queued: 9 }), 0)
  assert.deepEqual(ledger.sweep(10_001), [{ kind: 'close', id: stranger, reason: 'loginOverdue' }])
  assert.deepEqual(ledger.sweep(30_001), [{ kind: 'close', id: begun, reason: 'messageOverdue' }, { kind: 'close', id: unread, reason: 'answerUnread' }])
  assert.deepEqual(ledger.sweep(1e9), [])
})

test('kept bytes have a bound for one session and one for all, and what is released can be used again', () => {
  const kept = new KeptBytes(limits)
  assert.deepEqual([kept.change(0, 601), kept.change(0, 600), kept.change(600, 1), kept.change(0, 500)], [false, true, false, false])
  assert.equal(kept.change(600, -600), true)
  assert.equal(kept.total, 0)
})

test('budgets follow the smaller of memory and heap, and hold some messages of 1 MiB whatever it is', () => {
  const settings = { maxConnections: 10_000, loginMs: 1, messageMs: 1, unreadMs: 1 }
  const of = (memoryMb: number, heapMb: number): number => guardLimits({ memoryBytes: memoryMb * 2 ** 20, heapBytes: heapMb * 2 ** 20, descriptors: 1024 }, settings).budgetBytes / 2 ** 20
  assert.deepEqual([of(480, 208), of(160, 208), of(16, 208)], [18, 12, 6])
  assert.equal(guardLimits({ memoryBytes: 1, heapBytes: 1, descriptors: 1024 }, settings).maxCallers, 512)
  // A small limit still leaves half of it to callers.
  assert.equal(guardLimits({ memoryBytes: 1, heapBytes: 1, descriptors: 200 }, settings).maxCallers, 100)
})
