// Atomicity of transactions: each is stored entirely or not at all, also when a
// proxy crashes in the middle of one.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connectCaller } from '../../standins/set/caller.js'
import { queryServer } from '../../standins/set/controls.js'
import type { LocalProxy, LocalSet } from '../../standins/set/local-set.js'
import { loginOf, statementOutcome } from '../support/load.js'
import { startServingSet, proxyAt, untilServing } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

/** Number of rows that each transaction inserts. */
const rowsPerTransaction = 3

type TransactionEnd = 'committed' | 'rolledBack' | 'unknown' | 'never'

type TransactionLoop = {
  readonly ends: ReadonlyMap<number, TransactionEnd>
  readonly stop: () => Promise<void>
}

/** Starts a caller that runs transactions; every third is rolled back. */
function startTransactionLoop (set: LocalSet, proxy: LocalProxy, first: number): TransactionLoop {
  const ends = new Map<number, TransactionEnd>()
  const state = { stopping: false }
  const run = async (): Promise<void> => {
    for (let tag = first; !state.stopping; tag++) {
      const end = await runTransaction(set, proxy, tag)
      ends.set(tag, end)
      if (end === 'never') await new Promise(resolve => { setTimeout(resolve, 20) })
    }
  }
  const ended = run()
  return {
    ends,
    stop: async () => {
      state.stopping = true
      await ended
    }
  }
}

async function runTransaction (set: LocalSet, proxy: LocalProxy, tag: number): Promise<TransactionEnd> {
  const caller = await connectCaller(proxy.mysql, loginOf(set)).catch(() => undefined)
  if (caller === undefined) return 'never'
  try {
    const begun = await statementOutcome(caller.execute('BEGIN'))
    if (begun.kind !== 'answered') return 'never'
    for (let row = 0; row < rowsPerTransaction; row++) {
      const inserted = await statementOutcome(caller.execute(`INSERT INTO tills VALUES (${tag * 10 + row}, '${proxy.name}', ${tag})`))
      if (inserted.kind !== 'answered') return 'never'
    }
    if (tag % 3 === 0) {
      await statementOutcome(caller.execute('ROLLBACK'))
      return 'rolledBack'
    }
    const committed = await statementOutcome(caller.execute('COMMIT'))
    switch (committed.kind) {
      case 'answered': return 'committed'
      case 'notRun':
      case 'refused': return 'never'
      case 'unknown':
      case 'lost': return 'unknown'
    }
  } finally {
    caller.close()
  }
}

test('each transaction is stored entirely or not at all while a proxy crashes and restarts', async t => {
  const set = await startServingSet(t)
  const loops = Array.from({ length: 9 }, (_, index) =>
    startTransactionLoop(set, proxyAt(set, index % 3), (index + 1) * 1000))
  const committed = (of: readonly TransactionLoop[]): number => of.flatMap(each => [...each.ends.values()]).filter(end => end === 'committed').length
  const untilProgress = async (what: string, of: readonly TransactionLoop[]): Promise<void> => {
    const before = of.map(each => committed([each]))
    await until(`commits continue ${what}`, () => of.every((each, index) => committed([each]) > (before[index] ?? 0) + 3))
  }
  await untilProgress('at first', loops)
  const victim = proxyAt(set, 1)
  await victim.process.kill()
  await untilProgress('without one proxy', loops.filter((_, index) => index % 3 !== 1))
  const restarted = await set.startProxy(victim)
  await untilServing(set, restarted)
  await untilProgress('after the proxy restarted', loops)
  await Promise.all(loops.map(async each => { await each.stop() }))
  const rows = await queryServer((await primaryOf(set)).address, 'SELECT amount AS tag, COUNT(*) AS n FROM tills GROUP BY amount')
  const found = new Map(rows.map(row => [Number(row['tag']), Number(row['n'])]))
  for (const [tag, end] of loops.flatMap(each => [...each.ends])) {
    const count = found.get(tag) ?? 0
    switch (end) {
      case 'committed':
        assert.equal(count, rowsPerTransaction, `transaction ${tag} was committed`)
        break
      case 'rolledBack':
      case 'never':
        assert.equal(count, 0, `transaction ${tag} was ${end}`)
        break
      case 'unknown':
        assert.ok(count === 0 || count === rowsPerTransaction, `transaction ${tag} is stored entirely or not at all`)
    }
  }
})

test('a transaction of a proxy that crashes is rolled back', async t => {
  const set = await startServingSet(t)
  const primary = await primaryOf(set)
  const dispatcher = set.proxies.findIndex(proxy => proxy.failureDomain === primary.failureDomain)
  const [entry, other] = [proxyAt(set, (dispatcher + 1) % 3), proxyAt(set, (dispatcher + 2) % 3)]
  const caller = await connectCaller(entry.mysql, loginOf(set))
  await caller.execute('BEGIN')
  await caller.execute("INSERT INTO tills VALUES (1, 'dying', 1)")
  await entry.process.kill()
  const writer = await connectCaller(other.mysql, loginOf(set))
  t.after(() => { writer.close() })
  await until('a write succeeds', async () => (await statementOutcome(writer.execute("INSERT INTO tills VALUES (1, 'living', 1)"))).kind === 'answered')
  assert.deepEqual(await queryServer(primary.address, 'SELECT proxy FROM tills'), [{ proxy: 'living' }])
})
