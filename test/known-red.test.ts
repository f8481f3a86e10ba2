import assert from 'node:assert/strict'
import { test } from 'node:test'
import { knownRedTests, classifyFailures } from './support/known-red.js'

test('only listed failures are passed over', () => {
  const known = knownRedTests('# comment\ntest: a fails\nseen: x\n')
  assert.deepEqual(classifyFailures(['a fails', 'b fails'], known), { passedOver: ['a fails'], unexpected: ['b fails'] })
})
