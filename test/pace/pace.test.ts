import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { seededRandom } from '../../bench/seeded-random.js'
import { gateStep, initialGate, initialPace, paceSlots, paceStep, usableSlots, type PaceEvent, type PaceState, type ServiceResult } from '../../src/pace/index.js'

/** Answers after which a server without trouble has all its slots, for each slot. */
const answersPerSlot = 4
/** The same after a fall. */
const answersPerSlotAfterFall = 32
const serviceMs = 10

function ended (result: ServiceResult, nowMs: number, tookMs = serviceMs): PaceEvent {
  return { kind: 'ended', result, serviceMs: tookMs, nowMs }
}

/** Good answers, one after the other. */
function answered (state: PaceState, count: number, fromMs = 0, tookMs = serviceMs): PaceState {
  return Array.from({ length: count }, (_, at) => ended('answered', fromMs + (at + 1) * 100, tookMs)).reduce(paceStep, state)
}

const slotCount = fc.oneof(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 10_000 }))
const anyEvent: fc.Arbitrary<(nowMs: number) => PaceEvent> = fc.oneof(
  fc.tuple(fc.constantFrom<ServiceResult>('answered', 'answered', 'busy', 'failed', 'none'), fc.oneof(fc.nat(5000), fc.double({ min: 0, max: 1e12, noNaN: true }))).map(([result, tookMs]) => (nowMs: number) => ended(result, nowMs, tookMs)),
  fc.constant((nowMs: number): PaceEvent => ({ kind: 'restarted', nowMs }))
)

function stepAll (slots: number, events: ReadonlyArray<(nowMs: number) => PaceEvent>): readonly PaceState[] {
  return events.reduce<readonly PaceState[]>((states, event, at) => [...states, paceStep(states.at(-1) ?? initialPace(slots), event(at * 50))], [initialPace(slots)])
}

// Guards against a server that is given more than its slots, or nothing while statements wait.
test('the pace is a whole number from 1 to the slots, whatever happens', () => {
  fc.assert(fc.property(slotCount, fc.array(anyEvent, { maxLength: 100 }), (slots, events) => {
    for (const state of stepAll(slots, events)) {
      const pace = paceSlots(state)
      assert.ok(Number.isInteger(pace) && pace >= 1 && pace <= slots, `${pace} of ${slots}`)
      const gate = { ...initialGate(slots, 'on', 0), pace: state }
      assert.ok(usableSlots(gate, 0, 0) >= 1)
    }
  }), { seed: 36, numRuns: 300 })
})

// Guards against a server that stays slow after trouble, or with few statements at its start value.
test('good answers bring all slots within a bounded number of statements, also far apart and after any trouble', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(anyEvent, { maxLength: 50 }), fc.array(fc.double({ min: 1, max: 1.3, noNaN: true }), { minLength: 1, maxLength: 20 }), (slots, events, factors) => {
    assert.equal(paceSlots(answered(initialPace(slots), answersPerSlot * slots)), slots)
    const troubled = paceStep(stepAll(slots, events).at(-1) ?? initialPace(slots), ended('failed', 1e6))
    const good = Array.from({ length: answersPerSlotAfterFall * slots + 64 }, (_, at) => ended('answered', 2e6 + at * 10_000, serviceMs * (factors[at % factors.length] ?? 1)))
    const fresh = { ...troubled, best: undefined }
    assert.equal(paceSlots(good.reduce(paceStep, fresh)), slots)
  }), { seed: 37, numRuns: 100 })
})

test('errors, busy answers and timeouts lower the pace at once; statements from before a fall lower it no further', () => {
  for (const result of ['failed', 'busy'] as const) {
    const full = answered(initialPace(5), 40)
    const fallen = paceStep(full, ended(result, 10_000))
    assert.ok(paceSlots(fallen) < 5)
    assert.equal(paceStep(fallen, ended(result, 10_005)), fallen)
    assert.ok(paceStep(fallen, ended(result, 10_050)).limit < fallen.limit)
    assert.equal(paceStep(fallen, ended('none', 10_050)), fallen)
  }
})

// Guards against a server that becomes slow under its load and is given as much as before, and one that is held back although its load is not the cause.
test('a rise of the service times lowers the pace; where that does not help, it is undone', () => {
  const full = answered(initialPace(5), 64)
  const slow = answered(full, 16, 10_000, 4 * serviceMs)
  assert.deepEqual([paceSlots(full), paceSlots(slow)], [5, 3])
  assert.equal(paceSlots(answered(slow, 16, 20_000, serviceMs)), 3)
  assert.equal(paceSlots(answered(slow, 16, 20_000, 4 * serviceMs)), 5)
  assert.equal(paceSlots(answered(slow, 16 + answersPerSlotAfterFall * 2, 20_000, serviceMs)), 5)
})

// Guards against a gradient that takes a mix of short and long statements for a slow server.
test('three long statements of ten cost less than a hundredth of the slots', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = seededRandom(seed, 4000)
    let [state, used] = [initialPace(5), 0]
    for (let at = 0; at < 2000; at += 1) {
      const tookMs = (random() < 0.3 ? 200 : 2) * (0.7 + 0.7 * random())
      state = paceStep(state, ended('answered', at * 1000, tookMs))
      used += paceSlots(state) / 2000
    }
    assert.ok(used > 5 * 0.99, `seed ${seed}: ${used}`)
  }
})

test('a server that becomes cold, returns or is promoted begins at its start value; without the setting all slots are used', () => {
  const events = Array.from({ length: 40 }, (_, at) => ended('answered', at * 100))
  const warm = events.reduce(gateStep, initialGate(5, 'on', 0))
  assert.equal(usableSlots(warm, 0, 10_000), 5)
  assert.equal(usableSlots(gateStep(warm, { kind: 'restarted', nowMs: 10_000 }), 0, 10_000), 1)
  assert.equal(usableSlots(gateStep(warm, { kind: 'coldBound', bound: { whole: 100, current: 100 }, nowMs: 10_000 }), 0, 10_000), 1)
  assert.equal(usableSlots(gateStep(initialGate(5, 'off', 0), ended('failed', 100)), 0, 10_000), 5)
})
