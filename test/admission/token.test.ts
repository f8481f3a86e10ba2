import assert from 'node:assert/strict'
import { test } from 'node:test'
import { noSupport, supportOf, supportStep, tokenAfter, tokenDelegated, tokenStep, tokenTaken, type SupportEvent, type SupportState, type TokenAttempt } from '../../src/admission/index.js'
import { notRun, type MemberState, type NotRunReason } from '../../src/model/index.js'

function replied (reason: NotRunReason, tookToken: boolean | undefined): TokenAttempt {
  return { kind: 'replied', reply: { outcome: notRun(reason, ''), tookToken } }
}

function supportAfter (...events: readonly SupportEvent[]): SupportState {
  return events.reduce(supportStep, noSupport)
}

function answered (features: MemberState['features'], nowMs: number): SupportEvent {
  const state: MemberState = { host: 'h1', failureDomain: 'a', incarnation: 'i', state: 'serving', generation: 1, storeConfirmedAgoMs: 0, features }
  return { kind: 'stateAnswered', state, nowMs }
}

// Guards against QUOTA, and against two tokens for one statement.
test('a token counts as taken after a lost attempt and after a reply that says so, not after others', () => {
  assert.deepEqual(tokenAfter(tokenDelegated, { kind: 'lost' }), tokenTaken)
  assert.deepEqual(tokenAfter(tokenDelegated, replied('serverBusy', true)), tokenTaken)
  for (const attempt of [replied('wrongHome', false), replied('stopping', false), replied('noServer', undefined)] as const) {
    assert.deepEqual(tokenAfter(tokenDelegated, attempt), tokenDelegated)
  }
  assert.deepEqual(tokenAfter(tokenDelegated, { kind: 'unsent' }), tokenDelegated)
  assert.deepEqual(tokenAfter(tokenTaken, replied('wrongHome', false)), tokenTaken)
})

// Guards against QUOTA in a rolling upgrade: an earlier version runs the statement without a token.
test('a token is left only to a dispatcher that is known to take it', () => {
  assert.deepEqual(tokenStep(tokenDelegated, 'supported'), { kind: 'send', takesToken: true })
  assert.deepEqual(tokenStep(tokenDelegated, 'unsupported'), { kind: 'takeHere' })
  assert.deepEqual(tokenStep(tokenDelegated, 'unknown'), { kind: 'takeHere' })
  assert.deepEqual(tokenStep(tokenTaken, 'unknown'), { kind: 'send', takesToken: false })
  assert.deepEqual(tokenStep(tokenTaken, 'supported'), { kind: 'send', takesToken: undefined })
})

// Guards against QUOTA where a host is restarted in an earlier version.
test('support is learnt from answers and forgotten with the link and after a time', () => {
  const known = supportAfter(answered(['dispatcherAdmission'], 0))
  assert.equal(supportOf(known, 'h1', 9_000), 'supported')
  assert.equal(supportOf(known, 'h1', 10_000), 'unknown')
  assert.equal(supportOf(supportStep(known, { kind: 'linkFailed', host: 'h1' }), 'h1', 1), 'unknown')
  assert.equal(supportOf(supportStep(known, answered(undefined, 1)), 'h1', 1), 'unsupported')
  assert.equal(supportOf(supportAfter({ kind: 'replied', host: 'h1', tookToken: false, nowMs: 0 }), 'h1', 1), 'supported')
  assert.equal(supportOf(supportAfter({ kind: 'replied', host: 'h1', tookToken: undefined, nowMs: 0 }), 'h1', 1), 'unsupported')
})
