import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { Transactions } from '../../src/daemon/transactions.js'
import type { ServerSession } from '../../src/dispatch/index.js'
import { uniqueIds } from '../../src/pipe/index.js'
import { fakeTimers, type FakeTimers } from '../support/timers.js'

type Table = { readonly timers: FakeTimers, readonly transactions: Transactions, readonly rolledBack: readonly ServerSession[] }

/** The context of a process; `incarnation` differs at each of its starts. */
function processContext (incarnation = 'a'): DaemonContext {
  return { timers: fakeTimers(), incarnation, uniqueId: uniqueIds(incarnation) } as unknown as DaemonContext
}

/** A table of transactions, with the sessions that it closed. */
function tableOf (context = processContext()): Table {
  const rolledBack: ServerSession[] = []
  return { timers: context.timers as FakeTimers, rolledBack, transactions: new Transactions(context, 10, session => { rolledBack.push(session) }) }
}

function sessionOf (): ServerSession {
  return {} as unknown as ServerSession
}

const owner = { account: 'bindery', from: 'entry-1' }

test('a host that is unresponsive for a moment keeps the transactions of its callers', () => {
  const { timers, transactions, rolledBack } = tableOf()
  const id = transactions.open(owner, 'write', sessionOf())
  transactions.recordUnresponsive(new Set(['entry-1']))
  timers.pass(1400)
  transactions.recordUnresponsive(new Set())
  timers.pass(6000)
  assert.deepEqual(rolledBack, [])
  assert.notEqual(transactions.take(id ?? '', 'bindery'), undefined)
})

test('a host that stays unresponsive loses them, a running statement excepted', () => {
  const { timers, transactions, rolledBack } = tableOf()
  const [idle, busy] = [sessionOf(), sessionOf()]
  transactions.open(owner, 'write', idle)
  transactions.take(transactions.open(owner, 'write', busy) ?? '', 'bindery')
  transactions.open({ ...owner, from: 'entry-2' }, 'write', sessionOf())
  transactions.recordUnresponsive(new Set(['entry-1']))
  timers.pass(1000)
  transactions.recordUnresponsive(new Set(['entry-1', 'entry-3']))
  timers.pass(2600)
  assert.deepEqual(rolledBack, [idle])
})

test('a stop rolls back open transactions, those with a running statement after it, and lets a COMMIT end', () => {
  const { transactions, rolledBack } = tableOf()
  const [idle, busy, committing, late] = [sessionOf(), sessionOf(), sessionOf(), sessionOf()]
  transactions.open(owner, 'write', idle)
  const running = transactions.take(transactions.open(owner, 'write', busy) ?? '', 'bindery') ?? assert.fail()
  const commit = transactions.take(transactions.open(owner, 'write', committing) ?? '', 'bindery') ?? assert.fail()
  transactions.remove(commit)
  assert.equal(transactions.rollBackAll(), 2)
  assert.deepEqual(rolledBack, [idle])
  transactions.putBack(running)
  assert.deepEqual(rolledBack, [idle, busy])
  assert.equal(transactions.open(owner, 'write', late), undefined)
  assert.equal(transactions.size, 0)
})

// Guards against PINNED and a lost write: after the entry of a server had lapsed and come back, a COMMIT ran in the transaction of another client, which had got the same id.
test('no id of a transaction is given out again: by the table that follows, at another server or after a restart', () => {
  const context = processContext()
  const first = tableOf(context)
  const ended = first.transactions.open(owner, 'write', sessionOf()) ?? assert.fail()
  first.transactions.stop()
  const tables = [tableOf(context), tableOf(context), tableOf(processContext('b'))]
  const later = tables.map(({ transactions }) => transactions.open(owner, 'write', sessionOf()))
  assert.equal(new Set([ended, ...later]).size, 1 + tables.length)
  for (const { transactions } of [first, ...tables]) assert.equal(transactions.take(ended, 'bindery'), undefined)
})
