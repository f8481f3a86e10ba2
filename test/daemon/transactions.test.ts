import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { Transactions } from '../../src/daemon/transactions.js'
import type { ServerSession } from '../../src/dispatch/index.js'
import { fakeTimers, type FakeTimers } from '../support/timers.js'

type Table = { readonly timers: FakeTimers, readonly transactions: Transactions, readonly rolledBack: readonly ServerSession[] }

/** A table of transactions, with the sessions that it closed. */
function tableOf (): Table {
  const timers = fakeTimers()
  const rolledBack: ServerSession[] = []
  const context = { timers, incarnation: 'a' } as unknown as DaemonContext
  return { timers, rolledBack, transactions: new Transactions(context, 10, session => { rolledBack.push(session) }) }
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
