import assert from 'node:assert/strict'
import { test } from 'node:test'
import { freshBudget, judgeLine, linesPerS, maxWaitingBytes, type LineVerdict } from '../../src/report/index.js'

function judged (count: number, event: string, waitingBytes = 0): LineVerdict {
  let verdict = judgeLine(freshBudget, event, waitingBytes, 10)
  for (let line = 1; line < count; line++) verdict = judgeLine(verdict.budget, event, waitingBytes, 10)
  return verdict
}

test('an event above its budget is left out, another one is not, and the next second tells how many', () => {
  const flooded = judged(linesPerS + 3, 'statementNotServed')
  assert.equal(flooded.isWritten, false)
  assert.equal(judgeLine(flooded.budget, 'primaryChanged', 0, 11).isWritten, true)
  const later = judgeLine(flooded.budget, 'statementNotServed', 0, 1100)
  assert.deepEqual([later.isWritten, [...later.leftOut]], [true, [['statementNotServed', 3]]])
})

test('nothing is written while nobody reads the log', () => {
  assert.equal(judged(1, 'primaryChanged', maxWaitingBytes).isWritten, false)
})
