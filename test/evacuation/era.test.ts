// The evacuations while the store returns from a copy.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { eraRestorationMs, maxResponseGapMs } from '../../src/discovery/index.js'
import { evacuationListOf, evacuationsStep, unknownEvacuations, type EvacuationsEvent, type EvacuationsState } from '../../src/evacuation/index.js'

type Version = { readonly era?: number, readonly revision: number }

function listed (nowMs: number, version: Version, ...domains: readonly string[]): EvacuationsEvent {
  return { kind: 'listed', domains, version: { asOfMs: nowMs, ...version }, nowMs }
}

function changed (nowMs: number, version: Version, domains: readonly string[], removed: readonly string[] = []): EvacuationsEvent {
  return { kind: 'changed', domains, removed, version: { asOfMs: nowMs, ...version }, nowMs }
}

function after (...events: readonly EvacuationsEvent[]): EvacuationsState {
  return events.reduce(evacuationsStep, unknownEvacuations)
}

function domainsOf (state: EvacuationsState): readonly string[] {
  return [...state.requestedSinceMs.keys()].sort()
}

/** Listings of a restored store without requests, one a second. */
function emptyLists (fromMs: number, untilMs: number): readonly EvacuationsEvent[] {
  return Array.from({ length: Math.ceil((untilMs - fromMs) / 1000) }, (_, at) => listed(fromMs + at * 1000, { era: 1, revision: 80 }))
}

// Guards against new statements for an evacuated domain because the copy lacks the request.
test('a request that the copy lacks stays in force, with its time, while the operator writes it again', () => {
  const requested = [listed(0, { revision: 90 }), listed(1000, { revision: 91 }, 'medina')]
  const restoring = after(...requested, ...emptyLists(2000, 2000 + eraRestorationMs))
  assert.deepEqual([...restoring.requestedSinceMs], [['medina', 0]])
  assert.deepEqual(restoring.endedAtMs.size, 0)
  assert.deepEqual(domainsOf(evacuationsStep(restoring, listed(2000 + eraRestorationMs, { era: 1, revision: 80 }))), [])
  const again = after(...requested, listed(2000, { era: 1, revision: 80 }), changed(5000, { era: 1, revision: 81 }, ['medina']), listed(3000 + eraRestorationMs, { era: 1, revision: 81 }, 'medina'))
  assert.deepEqual([...again.requestedSinceMs], [['medina', 0]])
})

// Guards against a time that passes while the operator can't write either.
test('the time counts anew after a gap in the answers of the store', () => {
  const requested = listed(0, { revision: 90 }, 'medina')
  const gapEndMs = 1000 + maxResponseGapMs + 1000
  const lists = emptyLists(gapEndMs, gapEndMs + eraRestorationMs)
  assert.deepEqual(domainsOf(after(requested, listed(1000, { era: 1, revision: 80 }), ...lists)), ['medina'])
  assert.deepEqual(domainsOf(after(requested, listed(1000, { era: 1, revision: 80 }), ...lists, listed(gapEndMs + eraRestorationMs, { era: 1, revision: 80 }))), [])
})

// Guards against an evacuation that an operator can't end after a restore.
test('a removal that is seen in the new era ends the evacuation at once', () => {
  const restored = after(listed(0, { revision: 90 }, 'medina'), listed(1000, { era: 1, revision: 80 }, 'medina'))
  const ended = evacuationsStep(restored, changed(2000, { era: 1, revision: 81 }, [], ['medina']))
  assert.deepEqual([domainsOf(ended), [...ended.endedAtMs]], [[], [['medina', 2000]]])
})

// Guards against a late list of the earlier era that replaces a newer one, and against peers that compare revisions alone.
test('of two lists that state their eras the one of the higher era is newer, whatever the revisions', () => {
  const current = after(listed(0, { era: 2, revision: 10 }, 'hlm'))
  assert.deepEqual(domainsOf(evacuationsStep(current, listed(100, { era: 1, revision: 500 }))), ['hlm'])
  const list = evacuationListOf(after(listed(0, { era: 3, revision: 5 }, 'hlm', 'medina')), 100)
  assert.ok(list !== undefined)
  assert.deepEqual(domainsOf(evacuationsStep(current, { kind: 'reported', list, sentAtMs: 100, nowMs: 110 })), ['hlm', 'medina'])
})

const lists = fc.array(fc.record({ afterMs: fc.nat(3000), raisesEra: fc.boolean(), isReported: fc.boolean(), holds: fc.boolean() }), { maxLength: 20 })

test('over any lists of restored stores, also those of other hosts, no evacuation ends before the restoration time is over', () => {
  fc.assert(fc.property(lists, plan => {
    let state = after(listed(0, { era: 1, revision: 50 }, 'hlm', 'medina'))
    let [era, restoredMs, nowMs] = [1, -Infinity, 0]
    for (const [at, step] of plan.entries()) {
      nowMs += step.afterMs
      if (at === 0 || step.raisesEra) [era, restoredMs] = [era + 1, nowMs]
      if (nowMs - restoredMs >= eraRestorationMs) return
      const domains = step.holds ? ['hlm'] : []
      const list = { agoMs: 0, era, revision: at, domains: domains.map(domain => ({ domain, agoMs: 10 })), ended: [] }
      state = evacuationsStep(state, step.isReported ? { kind: 'reported', list, sentAtMs: nowMs, nowMs } : listed(nowMs, { era, revision: at }, ...domains))
      assert.deepEqual(domainsOf(state), ['hlm', 'medina'])
    }
  }), { seed: 35, numRuns: 500 })
})
