import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { applyContextStep, emptyContext, preparedStatementName, stepsTo, type NeededContext, type ServerContext } from '../../src/dispatch/index.js'

const values = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.constantFrom('1', '2'))
const prepared = fc.option(fc.record({ access: fc.constantFrom('read' as const, 'write' as const), shape: fc.constantFrom('q1', 'q2') }), { nil: undefined })
const needs = fc.array(fc.record({ values, prepared }), { minLength: 1, maxLength: 12 })

function broughtIntoLine (context: ServerContext, needed: NeededContext): ServerContext {
  return stepsTo(context, needed).reduce(applyContextStep, context)
}

test('whatever a session held, it then holds exactly the values and has the statement prepared', () => {
  fc.assert(fc.property(needs, list => {
    let context = emptyContext
    for (const needed of list) {
      context = broughtIntoLine(context, needed)
      assert.deepEqual({ ...context.values }, { ...needed.values })
      if (needed.prepared !== undefined) assert.ok(context.prepared.has(preparedStatementName(needed.prepared)))
    }
  }))
})

test('a session that is in line needs no step', () => {
  const needed: NeededContext = { values: { a: '1' }, prepared: { access: 'read', shape: 'q1' } }
  assert.deepEqual(stepsTo(broughtIntoLine(emptyContext, needed), needed), [])
})

test('a value that another caller left behind is dropped before anything is set', () => {
  const held = broughtIntoLine(emptyContext, { values: { a: '1' }, prepared: undefined })
  assert.deepEqual(stepsTo(held, { values: { b: '2' }, prepared: undefined }), [{ kind: 'reset' }, { kind: 'setValue', name: 'b', value: '2' }])
})

test('statements that read and that write one shape stand under two names', () => {
  assert.notEqual(preparedStatementName({ access: 'read', shape: 'q1' }), preparedStatementName({ access: 'write', shape: 'q1' }))
})
