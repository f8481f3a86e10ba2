import assert from 'node:assert/strict'
import { test } from 'node:test'
import { knownRedTests, verdict } from './support/known-red.js'

test('only listed failures are passed over', () => {
  const known = knownRedTests('# comment\ntest: a fails\nseen: x\n')
  assert.deepEqual(verdict(['a fails', 'b fails'], known), { passedOver: ['a fails'], unexpected: ['b fails'] })
})
