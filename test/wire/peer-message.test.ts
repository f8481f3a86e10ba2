// The readers of frequent messages against the schemas: what a reader recognizes is
// what the schema makes of the same message, and a reader recognizes every valid one.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { PeerMethod } from '../../src/model/index.js'
import { executeReplyOf, executeRequestOf } from '../../src/wire/execute-message.js'
import { restore, shortText } from '../../src/wire/peer-codec.js'
import { receivedParams, receivedResult, recognized } from '../../src/wire/peer-message.js'
import { decodeParams, decodeResult } from '../../src/wire/peer-schema.js'
import { borrowCallOf, borrowReplyOf, memberStateOf } from '../../src/wire/quota-message.js'

type Case = { readonly method: PeerMethod, readonly part: 'params' | 'result', readonly read: (value: unknown) => unknown, readonly message: fc.Arbitrary<unknown> }

const name = fc.string({ minLength: 1, unit: 'binary' })
const text = fc.string()
const count = fc.maxSafeNat()
const amount = fc.double({ min: 0, noNaN: true, noDefaultInfinity: true })
const positive = fc.double({ min: 1e-9, max: 1e9, noNaN: true })
const finite = fc.double({ noNaN: true, noDefaultInfinity: true })
const access = fc.constantFrom('read', 'write')
const position = fc.record({ term: count, index: count })
const quota = { ratePerS: amount, capacity: amount }
const kind = <const K extends string>(value: K): fc.Arbitrary<K> => fc.constant(value)

/** An object of which the listed fields may be absent. */
function record (required: Readonly<Record<string, fc.Arbitrary<unknown>>>, absentAtTimes: Readonly<Record<string, fc.Arbitrary<unknown>>> = {}): fc.Arbitrary<unknown> {
  return fc.record({ ...required, ...absentAtTimes }, { requiredKeys: Object.keys(required) })
}

const consistency = fc.oneof(record({ kind: kind('floor'), position }), record({ kind: kind('newest') }), record({ kind: kind('age'), maxAgeMs: amount }), record({ kind: kind('floorAndAge'), position, maxAgeMs: amount }))
const mode = fc.oneof(
  record({ kind: kind('read'), freshness: consistency }),
  record({ kind: kind('write') }, { requestId: text }),
  record({ kind: kind('begin'), access, freshness: consistency }, { requestId: text }),
  record({ kind: fc.constantFrom('inTransaction', 'commit', 'rollback'), transaction: name })
)
const prepared = record({ statement: record({ access, shape: text }), argument: text })
const column = record({ name: text, type: count, flags: count, length: count, decimals: count, characterSet: count })
const answer = fc.oneof(
  record({ kind: kind('rows'), columns: fc.array(column, { maxLength: 2 }), rows: fc.array(fc.array(fc.option(text), { maxLength: 2 }), { maxLength: 3 }) }),
  record({ kind: kind('done'), affectedRows: amount, insertId: amount }),
  record({ kind: kind('signed'), rows: fc.array(text, { maxLength: 2 }), signature: text })
)
const outcome = fc.oneof(
  record({ kind: kind('answered'), answer, servedBy: fc.constantFrom('primary', 'replica', 'proxy') }, { position }),
  record({ kind: kind('refused'), errorNumber: count, sqlState: text, message: text }),
  record({ kind: kind('failed'), detail: text }),
  record({ kind: kind('notRun'), reason: fc.constantFrom('badKey', 'queueFull', 'behind', 'preparedUnknown'), detail: text }),
  record({ kind: kind('unknown'), reason: fc.constantFrom('connectionLost', 'answerOverdue', 'notConfirmed'), detail: text })
)

const cases: readonly Case[] = [
  {
    method: 'execute',
    part: 'params',
    read: executeRequestOf,
    message: record(
      { from: name, database: name, server: name, account: name, weight: positive, statement: record({ text }, { id: text, prepared }), values: fc.dictionary(text, text), mode, remainingMs: finite },
      { priority: count, goalLeftMs: finite, takesToken: fc.boolean(), callId: name, callerSession: name })
  },
  {
    method: 'execute',
    part: 'result',
    read: executeReplyOf,
    message: record(
      { outcome, primary: record({ database: name, term: count }, { primary: name }) },
      { transaction: name, newest: position, applied: position, tookToken: fc.boolean(), serverLoad: record({ expectedWaitMs: amount, serviceMs: amount, waiting: count, slots: count }) })
  },
  {
    method: 'borrow',
    part: 'params',
    read: borrowCallOf,
    message: record({ from: name, incarnation: name, request: record({ account: name, purpose: fc.constantFrom('use', 'collect'), sequence: count, held: record(quota), answered: count, want: record(quota), wantTokens: amount, aheadTokens: amount, returnedTokens: amount, isUrgent: fc.boolean() }) })
  },
  { method: 'borrow', part: 'result', read: borrowReplyOf, message: record({}, { grant: record({ ...quota, tokens: amount, validMs: amount }) }) },
  ...(['params', 'result'] as const).map(part => ({
    method: 'heartbeat' as const,
    part,
    read: memberStateOf,
    message: record(
      { host: name, failureDomain: name, incarnation: name, state: fc.constantFrom('serving', 'stopping'), generation: count },
      { storeConfirmedAgoMs: amount, holdsDuty: fc.boolean(), lease: record({ token: count, renewal: count }), rumours: fc.array(record({ host: name, observer: name, silent: fc.boolean(), agoMs: amount }), { maxLength: 2 }), load: fc.constantFrom('normal', 'busy', 'overloaded'), era: count, features: fc.array(fc.constantFrom('dispatcherAdmission', 'weightedPlacement', 'concentratedQuota', 'of a later version'), { maxLength: 3 }) })
  }))
]

/** The message as its receiver parses it. */
function sent (message: unknown): unknown {
  return JSON.parse(shortText(message))
}

/** What the schema makes of a message, with absent fields left out; undefined where it rejects it. */
function bySchema ({ method, part }: Case, value: unknown): unknown {
  try {
    return part === 'params' ? decodeParams(method, restore(value)) : decodeResult(method, restore(value))
  } catch {
    return undefined
  }
}

/** Leaves out fields that are undefined. */
function withoutAbsent (value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value))
}

/** Values that a mutation puts in the place of another one. */
const replacements = fc.oneof(fc.constantFrom<unknown>(null, '', 'x', -1, 0, 0.5, 2 ** 53, true, [], {}, [null], 'read', 'overloaded', { '~t': 'newest' }), fc.jsonValue({ maxDepth: 2 }))

/** Replaces or removes the value at one path of a message, or adds a field. */
function mutated (value: unknown, choices: readonly number[], replacement: unknown): unknown {
  const [choice = 0, ...further] = choices
  if (typeof value !== 'object' || value === null || further.length === 0) return replacement
  const entries: ReadonlyArray<readonly [string, unknown]> = Object.entries(value)
  const at = choice % (entries.length + 1)
  const changed = entries.map(([key, inner], index): readonly [string, unknown] => [key, index === at ? mutated(inner, further, replacement) : inner])
  if (Array.isArray(value)) return [...changed.map(([, inner]) => inner), ...(at === entries.length ? [replacement] : [])]
  if (at === entries.length) return Object.fromEntries([...entries, ['unknown', replacement]])
  return Object.fromEntries(choice % 5 === 0 ? entries.filter((_, index) => index !== at) : changed)
}

for (const each of cases) {
  const what = `${each.part} of ${each.method}`

  // Guards against messages that take the slow path: a reader that recognizes nothing costs time and shows no other fault.
  test(`${what}: each valid message is recognized and read as the schema reads it`, () => {
    fc.assert(fc.property(each.message, message => {
      const value = sent(message)
      const read = recognized(each.read, value)
      assert.notEqual(read, undefined)
      assert.deepEqual(withoutAbsent(read), withoutAbsent(bySchema(each, value)))
    }))
  })

  // Guards against a value that its type excludes and that reaches a task.
  test(`${what}: no reader recognizes what the schema rejects or reads otherwise`, () => {
    fc.assert(fc.property(each.message, fc.array(fc.nat(59), { minLength: 1, maxLength: 6 }), replacements, (message, choices, replacement) => {
      const value = mutated(sent(message), choices, replacement)
      const read = recognized(each.read, value)
      if (read !== undefined) assert.deepEqual(withoutAbsent(read), withoutAbsent(bySchema(each, value)))
    }), { numRuns: 2000 })
  })
}

// Guards against a link that fails for one message that is nested too deeply.
test('no received value makes decoding throw anything but its own error', () => {
  const deep = JSON.parse('['.repeat(20_000) + ']'.repeat(20_000)) as unknown
  for (const { method, part } of cases) {
    for (const value of [deep, { '~h': deep }, null, undefined]) {
      try {
        if (part === 'params') receivedParams(method, value)
        else receivedResult(method, value)
      } catch (error) {
        assert.equal((error as Error).name, 'WireError')
      }
    }
  }
})
