// Unplanned failovers under load. Guards against lost acknowledged writes, a second
// primary in one term, and an old primary that commits after it was replaced.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { queryServer, serverStatus } from '../../standins/set/controls.js'
import { linkName, type LocalServer, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, startWriter, statementOutcome, type Write, type Writer } from '../support/load.js'
import { openCaller, startServingSet, proxyAt, fastControlSettings } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

const minWritesBefore = 60
const minWritesAfter = 60
/** The deadline ends statements that were sent to a lost primary. */
const settings = { limits: { default_deadline_ms: 3000 } }

type Load = {
  readonly writers: readonly Writer[]
  readonly written: () => readonly Write[]
  /** Waits until the writers together have written `count` more rows, in equal parts. */
  readonly untilProgress: (what: string, count: number) => Promise<void>
  readonly stop: () => Promise<void>
}

function startLoad (set: LocalSet): Load {
  const writers = set.proxies.flatMap((proxy, index) => [0, 1].map(turn => {
    const proxies = [proxy, ...set.proxies.filter(other => other !== proxy)]
    return startWriter({ set, login: loginOf(set), proxies, firstId: (index * 2 + turn + 1) * 100_000 })
  }))
  return {
    writers,
    written: () => writers.flatMap(writer => writer.writes),
    untilProgress: async (what, count) => {
      const before = writers.map(writer => writer.writes.length)
      await until(`writes continue ${what}`, () => writers.every((writer, index) => writer.writes.length >= (before[index] ?? 0) + count / writers.length), 40_000)
    },
    stop: async () => { await Promise.all(writers.map(async writer => { await writer.stop() })) }
  }
}

/** Asserts that each acknowledged write is stored once on the current primary. */
async function assertNoWriteLost (set: LocalSet, load: Load): Promise<void> {
  const rows = await queryServer((await primaryOf(set)).address, 'SELECT id FROM tills ORDER BY id')
  assert.deepEqual(rows.map(row => row['id']), load.written().map(write => write.id).sort((a, b) => a - b))
}

/** Waits until the server follows the current primary with the primary's log. */
async function untilFollows (set: LocalSet, server: LocalServer): Promise<void> {
  const primary = await primaryOf(set)
  await until(`${server.name} follows ${primary.name}`, async () => {
    const [status, primaryStatus] = [await serverStatus(server.address), await serverStatus(primary.address)]
    return status.role === 'replica' && status.fencedTerm === primaryStatus.fencedTerm && status.received.term === primaryStatus.received.term
  })
}

test('writes continue when the primary is paused, and it commits nothing when it resumes', async t => {
  const set = await startServingSet(t, { settings })
  const old = await primaryOf(set)
  const load = startLoad(set)
  await load.untilProgress('before the pause', minWritesBefore)
  old.process.pause()
  await load.untilProgress('under a new primary', minWritesAfter)
  old.process.resume()
  await untilFollows(set, old)
  await load.untilProgress('after the old primary resumed', minWritesAfter)
  await load.stop()
  assert.notEqual((await primaryOf(set)).name, old.name)
  await assertNoWriteLost(set, load)
})

test('writes continue when the primary crashes while the store is down', async t => {
  const set = await startServingSet(t, { settings })
  const old = await primaryOf(set)
  const load = startLoad(set)
  await load.untilProgress('before', minWritesBefore)
  await set.platform.faults({ down: true })
  await old.process.kill()
  await load.untilProgress('under a new primary', minWritesAfter)
  await set.platform.faults({})
  await load.stop()
  await assertNoWriteLost(set, load)
  const primary = await primaryOf(set)
  await until('the new primary is published', async () =>
    ((await set.platform.read('primary', 'ledger'))?.value as { readonly primary?: string } | undefined)?.primary === primary.name)
})

test('hosts that all promote at once leave one primary per term and lose no write', async t => {
  // A minimal promotion delay: each host proposes as soon as it finds the
  // primary unresponsive.
  const set = await startServingSet(t, { settings: { ...settings, control: { ...fastControlSettings, promotion_delay_ms: 10 } } })
  const load = startLoad(set)
  await load.untilProgress('before', minWritesBefore)
  for (const round of ['first', 'second']) {
    const old = await primaryOf(set)
    old.process.pause()
    await load.untilProgress(`under a new primary, ${round} failover`, minWritesAfter)
    old.process.resume()
    await untilFollows(set, old)
  }
  await load.stop()
  const statuses = await Promise.all(set.servers.map(async server => await serverStatus(server.address)))
  assert.equal(statuses.filter(status => status.role === 'primary').length, 1)
  await assertNoWriteLost(set, load)
})

test('a primary that is cut off from all hosts and servers is replaced and follows again later', async t => {
  const set = await startServingSet(t, { faultyLinks: true, settings })
  const old = await primaryOf(set)
  const others = [...set.proxies, ...set.servers.filter(server => server !== old)].map(other => other.name)
  const load = startLoad(set)
  await load.untilProgress('before', minWritesBefore)
  for (const other of others) await set.links?.set(linkName(other, old.name), { mode: 'silent' })
  await load.untilProgress('under a new primary', minWritesAfter)
  for (const other of others) await set.links?.set(linkName(other, old.name), { mode: 'pass' })
  await untilFollows(set, old)
  await load.untilProgress('with all servers', minWritesAfter)
  await load.stop()
  await assertNoWriteLost(set, load)
})

test('a write that no other server has received is not acknowledged', async t => {
  const set = await startServingSet(t, { faultyLinks: true, settings })
  const old = await primaryOf(set)
  const caller = await openCaller(t, set, proxyAt(set, 0))
  for (const server of set.servers.filter(other => other !== old)) await set.links?.set(linkName(server.name, old.name), { mode: 'silent' })
  const outcome = await statementOutcome(caller.execute("INSERT INTO tills VALUES (1, 'x', 1)"))
  assert.equal(outcome.kind, 'unknown')
  assert.deepEqual(await queryServer(old.address, 'SELECT id FROM tills'), [{ id: 1 }])
  await old.process.kill()
  const later = await openCaller(t, set, proxyAt(set, 1))
  assert.deepEqual(await until('a read is answered', async () => await later.rows('SELECT id FROM tills').catch(() => undefined)), [])
})

test('unresponsive open connections do not replace a primary', async t => {
  const set = await startServingSet(t, { faultyLinks: true, settings })
  const old = await primaryOf(set)
  const load = startLoad(set)
  await load.untilProgress('before', minWritesBefore)
  for (const proxy of set.proxies) await set.links?.set(linkName(proxy.name, old.name), { mode: 'halfOpen' })
  await load.untilProgress('over new connections', minWritesAfter)
  await load.stop()
  assert.equal((await serverStatus(old.address)).role, 'primary')
  assert.equal((await serverStatus(old.address)).fencedTerm, 1)
  await assertNoWriteLost(set, load)
})

test('a session reads its own write through another proxy after a failover', async t => {
  const set = await startServingSet(t, { lagMs: 300, settings })
  const [writer, other] = [await openCaller(t, set, proxyAt(set, 0)), proxyAt(set, 1)]
  await writer.execute("INSERT INTO tills VALUES (1, 'before', 1)")
  const token = await writer.token()
  const old = await primaryOf(set)
  old.process.pause()
  const reader = await openCaller(t, set, other, { token })
  assert.deepEqual(await until('a read is answered', async () => await reader.rows('SELECT id FROM tills').catch(() => undefined)), [{ id: 1 }])
  old.process.resume()
})
