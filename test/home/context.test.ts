import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { afterStep, emptyContext, serverName, contextSteps, type RequiredContext, type ServerContext } from '../../src/home/index.js'

const values = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.constantFrom('1', '2'))
const prepared = fc.option(fc.record({ access: fc.constantFrom('read' as const, 'write' as const), shape: fc.constantFrom('q1', 'q2') }), { nil: undefined })
const needs = fc.array(fc.record({ values, prepared }), { minLength: 1, maxLength: 12 })

function applySteps (context: ServerContext, needed: RequiredContext): ServerContext {
  return contextSteps(context, needed).reduce(afterStep, context)
}

test('whatever a session held, it then holds exactly the values and has the statement prepared', () => {
  fc.assert(fc.property(needs, list => {
    let context = emptyContext
    for (const needed of list) {
      context = applySteps(context, needed)
      assert.deepEqual({ ...context.values }, { ...needed.values })
      if (needed.prepared !== undefined) assert.ok(context.prepared.has(serverName(needed.prepared)))
    }
  }))
})

test('a session that is in line needs no step', () => {
  const needed: RequiredContext = { values: { a: '1' }, prepared: { access: 'read', shape: 'q1' } }
  assert.deepEqual(contextSteps(applySteps(emptyContext, needed), needed), [])
})

test('a value that another caller left behind is dropped before anything is set', () => {
  const held = applySteps(emptyContext, { values: { a: '1' }, prepared: undefined })
  assert.deepEqual(contextSteps(held, { values: { b: '2' }, prepared: undefined }), [{ kind: 'reset' }, { kind: 'setValue', name: 'b', value: '2' }])
})

test('statements that read and that write one shape stand under two names', () => {
  assert.notEqual(serverName({ access: 'read', shape: 'q1' }), serverName({ access: 'write', shape: 'q1' }))
})
