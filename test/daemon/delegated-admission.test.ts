import assert from 'node:assert/strict'
import { test } from 'node:test'
import { runAdmitted, type AdmittedReply, type DelegatedAdmissionSpec } from '../../src/daemon/delegated-admission.js'
import type { DispatchReply } from '../../src/dispatch/index.js'
import { notRun, type ExecuteRequest, type NotRunReason, type Outcome } from '../../src/model/index.js'

const served: Outcome = { kind: 'answered', answer: { kind: 'done', affectedRows: 1, insertId: 0 }, position: undefined, servedBy: 'primary' }
const tokenWaitMs = 40

function replyOf (outcome: Outcome): DispatchReply {
  return { outcome, transaction: undefined, newest: undefined }
}

function statement (takesToken: boolean | undefined): ExecuteRequest {
  return { from: 'h9', database: 'orders', server: 's1', account: 'mill', weight: 1, statement: { id: undefined, text: 'DELETE FROM t', prepared: undefined }, values: {}, mode: { kind: 'write', requestId: undefined }, remainingMs: 100, takesToken }
}

type Admission = { readonly reply: AdmittedReply, readonly tokens: number, readonly ran: readonly ExecuteRequest[] }

/** Runs a statement at a dispatcher's host on which a token takes 40 ms to obtain. */
async function admit (request: ExecuteRequest, changes: Partial<DelegatedAdmissionSpec> = {}): Promise<Admission> {
  const counts = { tokens: 0, nowMs: 0 }
  const ran: ExecuteRequest[] = []
  const reply = await runAdmitted({
    nowMs: () => counts.nowMs,
    takeToken: async () => {
      counts.tokens += 1
      counts.nowMs += tokenWaitMs
      return undefined
    },
    refusal: () => undefined,
    run: async one => {
      ran.push(one)
      return replyOf(served)
    },
    ...changes
  }, request)
  return { reply, tokens: counts.tokens, ran }
}

// Guards against QUOTA: a statement ran without a token, or took two.
test('the dispatcher takes one token before the statement runs, within its deadline', async () => {
  const { reply, tokens, ran } = await admit(statement(true))
  assert.deepEqual([reply.tookToken, tokens, ran.map(({ remainingMs }) => remainingMs)], [true, 1, [100 - tokenWaitMs]])
  const taken = await admit(statement(false))
  assert.deepEqual([taken.reply.tookToken, taken.tokens, taken.ran.length], [false, 0, 1])
  assert.equal('tookToken' in (await admit(statement(undefined))).reply, false)
})

// Guards against tokens that are lost where the host can't run the statement.
test('a host that stops or does not dispatch for the server takes no token', async () => {
  for (const reason of ['stopping', 'wrongHome'] as const satisfies readonly NotRunReason[]) {
    const { reply, tokens, ran } = await admit(statement(true), { refusal: () => replyOf(notRun(reason, '')) })
    assert.deepEqual([reply.tookToken, reply.outcome, tokens, ran.length], [false, notRun(reason, ''), 0, 0])
  }
})

// Guards against QUOTA and against a second token in the retry.
test('a statement without a token does not run, and one refused after its token says that it took it', async () => {
  const refused = await admit(statement(true), { takeToken: async () => notRun('rateExceeded', '') })
  assert.deepEqual([refused.reply.tookToken, refused.reply.outcome, refused.ran.length], [false, notRun('rateExceeded', ''), 0])
  const stopped = await admit(statement(true), { run: async () => replyOf(notRun('stopping', '')) })
  assert.deepEqual([stopped.reply.tookToken, stopped.reply.outcome], [true, notRun('stopping', '')])
})
