import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { encodeMessage, maxMessageBytes } from '../../platform/framing.js'
import { controlFields, parseQuery } from '../../platform/statement.js'
import type { PreparedStatement } from '../../src/model/index.js'
import { openSession, startServingFleet } from '../support/fleet.js'

const shapes = fc.array(fc.oneof(fc.constantFrom(' ', '\r', '\n', 'q2c', '.'), fc.integer({ min: 0, max: 255 }).map(code => String.fromCharCode(code))), { minLength: 1, maxLength: 20 })
  .map(parts => parts.join(''))
  .filter(shape => !shape.includes('\r\n'))

/** The statement that a PREPARE defines. */
function preparedOf (shape: string): PreparedStatement {
  const { statementClass } = parseQuery('a', `PREPARE s WRITE ${shape}`)
  return statementClass.kind === 'prepare' ? statementClass.prepared : assert.fail(statementClass.kind)
}

test('a prepared statement has a name of one word, equal for equal shapes only', () => {
  const nameOf = (shape: string): string => controlFields({ kind: 'prepare', statement: preparedOf(shape) })[1] ?? ''
  fc.assert(fc.property(shapes, shapes, (shape, other) => {
    assert.match(nameOf(shape), /^[A-Za-z0-9_.-]{2,65}$/)
    assert.equal(nameOf(shape) === nameOf(other), shape === other)
  }))
})

test('a shape that is accepted fits into a message beside its name', () => {
  const longest = preparedOf('x'.repeat(maxMessageBytes - 1024))
  assert.equal(encodeMessage('QUERY', '-', ...controlFields({ kind: 'prepare', statement: longest })).kind, 'encoded')
  assert.equal(parseQuery('a', `PREPARE s WRITE ${'x'.repeat(maxMessageBytes - 1023)}`).statementClass.kind, 'malformed')
})

// Guards against UNASKED: a shape with blanks once shifted the fields of EXECUTE.
test('a prepared statement whose shape holds blanks runs with the fields that its caller sent', async t => {
  const fleet = await startServingFleet(t, { hosts: 1 })
  const caller = await openSession(fleet, 0)
  await caller.query('PREPARE p WRITE shape with blanks')
  assert.notEqual((await caller.query('EXECUTE p folio-1 resewn twice', 'e1')).signature, undefined)
  assert.deepEqual((await caller.query('READ folio-1', 'r1')).rows, ['resewn twice'])
  const run = fleet.servers.flatMap(server => server.runs).find(({ id }) => id === 'e1')
  assert.match(run?.text ?? '', /^EXECUTE \S+ folio-1 resewn twice$/)
})
