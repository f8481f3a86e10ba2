import assert from 'node:assert/strict'
import { test } from 'node:test'
import { initialLineBudget, decideLine, maxLinesPerS, maxBufferedBytes, type LineDecision } from '../../src/report/index.js'

function decisionAfter (count: number, event: string, waitingBytes = 0): LineDecision {
  let decision = decideLine(initialLineBudget, event, waitingBytes, 10)
  for (let line = 1; line < count; line++) decision = decideLine(decision.budget, event, waitingBytes, 10)
  return decision
}

test('lines above an event\'s budget are dropped, other events are not, and the next second reports the count', () => {
  const flooded = decisionAfter(maxLinesPerS + 3, 'statementNotServed')
  assert.equal(flooded.isWritten, false)
  assert.equal(decideLine(flooded.budget, 'primaryChanged', 0, 11).isWritten, true)
  const later = decideLine(flooded.budget, 'statementNotServed', 0, 1100)
  assert.deepEqual([later.isWritten, [...later.droppedLastSecond]], [true, [['statementNotServed', 3]]])
})

test('no line is written while too many bytes wait for the reader of the log', () => {
  assert.equal(decisionAfter(1, 'primaryChanged', maxBufferedBytes).isWritten, false)
})
