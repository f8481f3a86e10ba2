import assert from 'node:assert/strict'
import { test } from 'node:test'
import { freshBudget, judgeLine, linesPerS, maxWaitingBytes, type LineVerdict } from '../../src/report/index.js'

function decisionAfter (count: number, event: string, waitingBytes = 0): LineVerdict {
  let decision = judgeLine(freshBudget, event, waitingBytes, 10)
  for (let line = 1; line < count; line++) decision = judgeLine(decision.budget, event, waitingBytes, 10)
  return decision
}

test('lines above an event\'s budget are dropped, other events are not, and the next second reports the count', () => {
  const flooded = decisionAfter(linesPerS + 3, 'statementNotServed')
  assert.equal(flooded.isWritten, false)
  assert.equal(judgeLine(flooded.budget, 'primaryChanged', 0, 11).isWritten, true)
  const later = judgeLine(flooded.budget, 'statementNotServed', 0, 1100)
  assert.deepEqual([later.isWritten, [...later.leftOut]], [true, [['statementNotServed', 3]]])
})

test('no line is written while too many bytes wait for the reader of the log', () => {
  assert.equal(decisionAfter(1, 'primaryChanged', maxWaitingBytes).isWritten, false)
})
