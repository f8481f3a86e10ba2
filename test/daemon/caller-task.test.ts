// A planned stop as one caller sees it, step by step with a timer that the test moves:
// every command that was read gets its whole answer before the grace time ends.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CommandReader } from '../../src/daemon/command-reader.js'
import { serveCaller } from '../../src/daemon/caller-task.js'
import { StopSignal, stopSchedule } from '../../src/daemon/stop-signal.js'
import { noHints, notRun, type Outcome, type ParsedStatement, type StatementClass } from '../../src/model/index.js'
import { end, Mailbox } from '../../src/pipe/index.js'
import type { CallerCommand, SessionStatus } from '../../src/ports/index.js'
import { openSessionState, proxyAnswer, type OpenTransaction, type RequestResult, type SessionRules, type SessionState } from '../../src/request/index.js'
import { fakeTimers } from '../support/timers.js'

const graceMs = 6000
const stepMs = 100
const answered = proxyAnswer({ kind: 'done', affectedRows: 1, insertId: 0 })
const transaction: OpenTransaction = { id: 't1', database: 'orders', server: 's1', dispatcher: 'h2', account: 'bindery', callerSession: 'session-1', route: { name: 'orders', database: 'orders', access: { kind: 'open' } }, state: 'open' }

type Answer = { readonly atMs: number, readonly outcome: Outcome['kind'] | string, readonly transaction: SessionStatus['transaction'] }

/** A session whose statements end when the test says so. */
type StoppingCaller = {
  readonly send: (kind: 'read' | 'write' | 'begin' | 'commit' | 'rollback') => Promise<void>
  /** Ends the running statement. */
  readonly finish: (session: SessionState) => Promise<void>
  /** Lets the time pass in steps, after each of which the session's task runs. */
  readonly pass: (untilMs: number) => Promise<void>
  readonly answers: readonly Answer[]
  readonly rolledBack: readonly string[]
  readonly closedAtMs: () => number | undefined
  readonly idle: SessionState
  readonly open: SessionState
}

const settle = async (): Promise<void> => { await new Promise(resolve => { setImmediate(resolve) }) }

/** Starts a session, in a transaction or not, on a host that is stopped at 0 ms. */
function startCaller (inTransaction: boolean, afterError: SessionRules['afterError'] = 'fails'): StoppingCaller {
  const timers = fakeTimers()
  const stopSignal = new StopSignal()
  const inbox = new Mailbox<CallerCommand>(16)
  const idle = openSessionState('session-1', { kind: 'anonymous' }, 'orders', undefined)
  const open: SessionState = { ...idle, transaction }
  const answers: Answer[] = []
  const rolledBack: string[] = []
  let finishRunning: ((result: RequestResult) => void) | undefined
  let closedAtMs: number | undefined
  const close = (): void => { closedAtMs ??= timers.nowMs() }
  void serveCaller({
    connection: {
      login: { route: 'orders', credential: { kind: 'key', key: undefined }, attributes: {} },
      inbox,
      write: (outcome, status) => {
        answers.push({ atMs: timers.nowMs(), outcome: outcome.kind === 'notRun' || outcome.kind === 'unknown' ? outcome.reason : outcome.kind, transaction: status.transaction })
        return undefined
      },
      closeForStop: close,
      close
    },
    session: inTransaction ? open : idle,
    // The statements of a transaction that this host rolled back need no server.
    pipe: async message => {
      const { session, statement } = message as { readonly session: SessionState, readonly statement: ParsedStatement }
      if (session.transaction?.state === 'rolledBack') return end({ outcome: notRun('transactionLost', 'rolled back'), session: { ...session, transaction: statement.statementClass.kind === 'commit' ? undefined : { ...session.transaction, state: 'failed' } } })
      if (session.transaction?.state === 'failed') return end({ outcome: answered, session: { ...session, transaction: undefined } })
      return end(await new Promise<RequestResult>(resolve => { finishRunning = resolve }))
    },
    rules: { rateUnit: 'operation', afterError },
    nowMs: timers.nowMs,
    configuration: () => ({ manifest: undefined, confirmed: true }),
    stopSignal,
    rollBack: async ({ id }) => { rolledBack.push(id) },
    releaseKept: () => {},
    onServed: () => {}
  })
  stopSignal.begin(timers, stopSchedule(graceMs))
  return {
    async send (kind) {
      const statementClass = (kind === 'read' ? { kind, level: { kind: 'route' } } : kind === 'begin' ? { kind, access: 'write' } : { kind }) as StatementClass
      inbox.send({ kind: 'query', statement: { id: 'q', text: kind, statementClass, hints: noHints } })
      await settle()
    },
    async finish (session) {
      finishRunning?.({ outcome: answered, session })
      await settle()
    },
    async pass (untilMs) {
      while (timers.nowMs() < untilMs) {
        timers.pass(timers.nowMs() + stepMs)
        await settle()
      }
    },
    answers,
    rolledBack,
    closedAtMs: () => closedAtMs,
    idle,
    open
  }
}

// Guards against LOST: requests of open transactions were read until the process was killed.
test('a transaction that outlives half of the grace time gets the error at its next statement', async () => {
  const caller = startCaller(true)
  await caller.pass(2900)
  await caller.send('read')
  await caller.finish(caller.open)
  await caller.pass(3100)
  assert.deepEqual(caller.rolledBack, ['t1'])
  await caller.send('write')
  await caller.send('rollback')
  assert.deepEqual(caller.answers, [
    { atMs: 2900, outcome: 'answered', transaction: 'open' },
    { atMs: 3100, outcome: 'transactionLost', transaction: 'failed' },
    { atMs: 3100, outcome: 'answered', transaction: 'none' }
  ])
  assert.equal(caller.closedAtMs(), 3100)
})

test('a transaction may end in the first half of the grace time, and then its session closes', async () => {
  const caller = startCaller(true)
  await caller.pass(2900)
  await caller.send('commit')
  await caller.pass(3500)
  assert.deepEqual([caller.answers, caller.rolledBack], [[], []])
  await caller.finish(caller.idle)
  assert.deepEqual(caller.answers, [{ atMs: 3500, outcome: 'answered', transaction: 'none' }])
  assert.deepEqual([caller.closedAtMs(), caller.rolledBack], [3500, []])
})

test('a statement that never ends is answered before the grace time ends, as not run only where nothing is kept', async () => {
  const results: unknown[] = []
  for (const [kind, inTransaction] of [['read', true], ['write', true], ['rollback', true], ['commit', true], ['read', false], ['write', false], ['begin', false]] as const) {
    const caller = startCaller(inTransaction)
    await caller.send(kind)
    await caller.pass(graceMs)
    results.push([kind, caller.answers.map(({ atMs, outcome }) => [atMs, outcome]), caller.closedAtMs()])
  }
  assert.deepEqual(results, [
    ['read', [[5000, 'transactionLost']], 5000],
    ['write', [[5000, 'transactionLost']], 5000],
    ['rollback', [[5000, 'transactionLost']], 5000],
    ['commit', [[5000, 'answerOverdue']], 5000],
    ['read', [[5000, 'answerOverdue']], 5000],
    ['write', [[5000, 'answerOverdue']], 5000],
    ['begin', [[5000, 'stopping']], 5000]
  ])
})

test('a transaction whose caller rests closes before the grace time ends', async () => {
  for (const afterError of ['fails', 'continues'] as const) {
    const caller = startCaller(true, afterError)
    await caller.pass(graceMs)
    assert.deepEqual([caller.answers, caller.rolledBack, caller.closedAtMs()], [[], ['t1'], 5000])
  }
})

test('an idle session closes at once', async () => {
  const caller = startCaller(false)
  await settle()
  assert.equal(caller.closedAtMs(), 0)
})

test('commands that were sent at once all get their answers', async () => {
  const caller = startCaller(false)
  await Promise.all([caller.send('write'), caller.send('read'), caller.send('begin'), caller.send('write')])
  await caller.pass(2000)
  await caller.finish(caller.idle)
  await caller.pass(3500)
  await caller.finish(caller.idle)
  assert.deepEqual(caller.answers.map(({ atMs, outcome }) => [atMs, outcome]), [[2000, 'answered'], [3500, 'answered'], [3500, 'stopping'], [3500, 'stopping']])
  assert.equal(caller.closedAtMs(), 3500)
})

// Guards against work for callers that have gone: it kept the slots of servers.
test('the end of a connection is found while a command runs, after all commands that were read', async () => {
  const inbox = new Mailbox<CallerCommand>(16)
  let hasClosed = false
  const commands = new CommandReader(inbox, () => { hasClosed = true })
  for (const command of [{ kind: 'ping' }, { kind: 'reset' }] as const) inbox.send(command)
  const kinds: string[] = []
  for (let at = 0; at < 2; at += 1) {
    const received = await commands.next()
    kinds.push(received.kind === 'message' ? received.message.kind : received.kind)
    commands.readAhead()
    inbox.send({ kind: 'stopPhaseChanged' })
    if (at === 0) inbox.close()
    await settle()
    assert.equal(hasClosed, at === 1)
  }
  assert.deepEqual([...kinds, (await commands.next()).kind], ['ping', 'reset', 'closed'])
})
