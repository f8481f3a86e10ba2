// Statements of different transactions never mix, proxies that die included.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connectCaller } from '../../standins/set/caller.js'
import { onServer } from '../../standins/set/controls.js'
import type { LocalProxy, LocalSet } from '../../standins/set/local-set.js'
import { loginOf, told } from '../support/load.js'
import { localSet, proxyAt, untilServing } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

/** Rows that each transaction inserts. */
const rowsEach = 3

type Ended = 'committed' | 'rolledBack' | 'unknown' | 'never'

type Transactor = {
  readonly ends: ReadonlyMap<number, Ended>
  readonly stop: () => Promise<void>
}

/** A caller that runs transactions; every third is rolled back. */
function startTransactor (set: LocalSet, proxy: LocalProxy, first: number): Transactor {
  const ends = new Map<number, Ended>()
  const state = { stopping: false }
  const run = async (): Promise<void> => {
    for (let tag = first; !state.stopping; tag++) {
      const end = await transact(set, proxy, tag)
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

async function transact (set: LocalSet, proxy: LocalProxy, tag: number): Promise<Ended> {
  const caller = await connectCaller(proxy.mysql, loginOf(set)).catch(() => undefined)
  if (caller === undefined) return 'never'
  try {
    const begun = await told(caller.changed('BEGIN'))
    if (begun.kind !== 'answered') return 'never'
    for (let row = 0; row < rowsEach; row++) {
      const inserted = await told(caller.changed(`INSERT INTO tills VALUES (${tag * 10 + row}, '${proxy.name}', ${tag})`))
      if (inserted.kind !== 'answered') return 'never'
    }
    if (tag % 3 === 0) {
      await told(caller.changed('ROLLBACK'))
      return 'rolledBack'
    }
    const committed = await told(caller.changed('COMMIT'))
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

test('each transaction is there whole or not at all while a proxy dies and comes back', async t => {
  const set = await localSet(t)
  const transactors = Array.from({ length: 9 }, (_, index) =>
    startTransactor(set, proxyAt(set, index % 3), (index + 1) * 1000))
  const committed = (of: readonly Transactor[]): number => of.flatMap(each => [...each.ends.values()]).filter(end => end === 'committed').length
  const goOn = async (what: string, of: readonly Transactor[]): Promise<void> => {
    const before = of.map(each => committed([each]))
    await until(`commits go on ${what}`, () => of.every((each, index) => committed([each]) > (before[index] ?? 0) + 3))
  }
  await goOn('at first', transactors)
  const victim = proxyAt(set, 1)
  await victim.process.kill()
  await goOn('without one proxy', transactors.filter((_, index) => index % 3 !== 1))
  const again = await set.startProxy(victim)
  await untilServing(set, again)
  await goOn('with the proxy back', transactors)
  await Promise.all(transactors.map(async each => { await each.stop() }))
  const rows = await onServer((await primaryOf(set)).address, 'SELECT amount AS tag, COUNT(*) AS n FROM tills GROUP BY amount')
  const found = new Map(rows.map(row => [Number(row['tag']), Number(row['n'])]))
  for (const [tag, end] of transactors.flatMap(each => [...each.ends])) {
    const count = found.get(tag) ?? 0
    switch (end) {
      case 'committed':
        assert.equal(count, rowsEach, `transaction ${tag} was committed`)
        break
      case 'rolledBack':
      case 'never':
        assert.equal(count, 0, `transaction ${tag} was ${end}`)
        break
      case 'unknown':
        assert.ok(count === 0 || count === rowsEach, `transaction ${tag} is whole or not there`)
    }
  }
})

test('a proxy that dies in a transaction leaves nothing of it behind', async t => {
  const set = await localSet(t)
  const primary = await primaryOf(set)
  const home = set.proxies.findIndex(proxy => proxy.failureDomain === primary.failureDomain)
  const [entry, other] = [proxyAt(set, (home + 1) % 3), proxyAt(set, (home + 2) % 3)]
  const caller = await connectCaller(entry.mysql, loginOf(set))
  await caller.changed('BEGIN')
  await caller.changed("INSERT INTO tills VALUES (1, 'dying', 1)")
  await entry.process.kill()
  const writer = await connectCaller(other.mysql, loginOf(set))
  t.after(() => { writer.close() })
  await until('a write goes through', async () => (await told(writer.changed("INSERT INTO tills VALUES (1, 'living', 1)"))).kind === 'answered')
  assert.deepEqual(await onServer(primary.address, 'SELECT proxy FROM tills'), [{ proxy: 'living' }])
})
