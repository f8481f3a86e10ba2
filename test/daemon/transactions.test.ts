import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { Transactions } from '../../src/daemon/transactions.js'
import type { OpenTransaction, ServerSession, TransactionOwner } from '../../src/dispatch/index.js'
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

const owner: TransactionOwner = { account: 'bindery', from: 'entry-1', callerSession: 's1' }

/** Opens a transaction and reserves it for a statement. */
function takenOf (transactions: Transactions, session: ServerSession): OpenTransaction {
  const result = transactions.take(transactions.open(owner, 'write', session) ?? assert.fail(), owner)
  return result.kind === 'taken' ? result.transaction : assert.fail(result.cause)
}

test('a host that is unresponsive for a moment keeps the transactions of its callers', () => {
  const { timers, transactions, rolledBack } = tableOf()
  const id = transactions.open(owner, 'write', sessionOf())
  transactions.recordUnresponsive(new Set(['entry-1']))
  timers.pass(1400)
  transactions.recordUnresponsive(new Set())
  timers.pass(6000)
  assert.deepEqual(rolledBack, [])
  assert.equal(transactions.take(id ?? '', owner).kind, 'taken')
})

test('a host that stays unresponsive loses them, a running statement excepted', () => {
  const { timers, transactions, rolledBack } = tableOf()
  const [idle, busy] = [sessionOf(), sessionOf()]
  transactions.open(owner, 'write', idle)
  takenOf(transactions, busy)
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
  const running = takenOf(transactions, busy)
  const commit = takenOf(transactions, committing)
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
  for (const { transactions } of [first, ...tables]) assert.deepEqual(transactions.take(ended, owner), { kind: 'refused', cause: 'unknown' })
})

// Guards against PINNED: where an id is known to another caller, only the account was compared.
test('only the session that began a transaction may use it, and one statement at a time', () => {
  const { transactions } = tableOf()
  const id = transactions.open(owner, 'write', sessionOf()) ?? assert.fail()
  const others: ReadonlyArray<Partial<TransactionOwner>> = [{ callerSession: 's2' }, { callerSession: undefined }, { from: 'entry-2' }, { account: 'mill' }]
  for (const other of others) assert.deepEqual(transactions.take(id, { ...owner, ...other }), { kind: 'refused', cause: 'otherOwner' })
  assert.equal(transactions.take(id, owner).kind, 'taken')
  assert.deepEqual(transactions.take(id, owner), { kind: 'refused', cause: 'busy' })
})

// Guards against transactions that nothing ends: a BEGIN that ran while its dispatcher ended left an open transaction on a connection that nobody closed.
test('a table that has ended keeps no transaction whose statement was running', () => {
  const { transactions, rolledBack } = tableOf()
  const [busy, late] = [sessionOf(), sessionOf()]
  const running = takenOf(transactions, busy)
  transactions.stop()
  assert.deepEqual(rolledBack, [busy])
  transactions.putBack(running)
  assert.equal(transactions.open(owner, 'write', late), undefined)
  assert.equal(transactions.size, 0)
})
