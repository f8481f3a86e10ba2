import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { applyContextStep, contextDistance, emptyContext, preparedStatementName, contextSteps, type RequiredContext, type ServerContext } from '../../src/dispatch/index.js'

const values = fc.dictionary(fc.constantFrom('a', 'b', 'constructor', '__proto__'), fc.constantFrom('1', '2'))
const prepared = fc.option(fc.record({ access: fc.constantFrom('read' as const, 'write' as const), shape: fc.constantFrom('q1', 'q2') }), { nil: undefined })
const requirements = fc.array(fc.record({ values, prepared }), { minLength: 1, maxLength: 12 })

function applySteps (context: ServerContext, required: RequiredContext): ServerContext {
  return contextSteps(context, required).reduce(applyContextStep, context)
}

test('from any context, the steps lead to exactly the required values and the prepared statement', () => {
  fc.assert(fc.property(requirements, list => {
    let context = emptyContext
    for (const required of list) {
      context = applySteps(context, required)
      assert.deepEqual(Object.entries(context.values).sort(), Object.entries(required.values).sort())
      if (required.prepared !== undefined) assert.ok(context.prepared.has(preparedStatementName(required.prepared)))
    }
  }))
})

test('a session with the required context needs no step', () => {
  const required: RequiredContext = { values: { a: '1' }, prepared: { access: 'read', shape: 'q1' } }
  assert.deepEqual(contextSteps(applySteps(emptyContext, required), required), [])
})

test('a value left by another caller is removed before anything is set', () => {
  const current = applySteps(emptyContext, { values: { a: '1' }, prepared: undefined })
  assert.deepEqual(contextSteps(current, { values: { b: '2' }, prepared: undefined }), [{ kind: 'reset' }, { kind: 'setValue', name: 'b', value: '2' }])
})

test('a read and a write of the same shape have different names', () => {
  assert.notEqual(preparedStatementName({ access: 'read', shape: 'q1' }), preparedStatementName({ access: 'write', shape: 'q1' }))
})

// Guards against a PREPARE before most statements where callers share sessions.
test('of two sessions with the same values, the one that has the prepared statement is nearer', () => {
  const required: RequiredContext = { values: { a: '1' }, prepared: { access: 'read', shape: 'q1' } }
  const withValues = applySteps(emptyContext, { ...required, prepared: undefined })
  const withBoth = applySteps(emptyContext, required)
  assert.deepEqual([withValues, withBoth].map(context => contextDistance(context, required)), [1, 0])
})
