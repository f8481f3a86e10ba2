// Changes of primary that nobody orders, under load.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { onServer, serverStatus } from '../../standins/set/controls.js'
import { linkName, type LocalServer, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, startWriter, told, type Write, type Writer } from '../support/load.js'
import { callerOf, localSet, proxyAt, quickControl } from '../support/local-set.js'
import { primaryOf } from '../support/servers.js'
import { until } from '../support/until.js'

const writesBefore = 60
const writesAfter = 60
/** Statements that were sent to a lost primary end by this. */
const settings = { limits: { default_deadline_ms: 3000 } }

type Load = {
  readonly writers: readonly Writer[]
  readonly written: () => readonly Write[]
  /** Waits until each writer has written so many more rows. */
  readonly goOn: (what: string, count: number) => Promise<void>
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
    goOn: async (what, count) => {
      const before = writers.map(writer => writer.writes.length)
      await until(`writes go on ${what}`, () => writers.every((writer, index) => writer.writes.length >= (before[index] ?? 0) + count / writers.length), 40_000)
    },
    stop: async () => { await Promise.all(writers.map(async writer => { await writer.stop() })) }
  }
}

/** Each acknowledged write is there once, on the server that leads now. */
async function assertKept (set: LocalSet, load: Load): Promise<void> {
  const rows = await onServer((await primaryOf(set)).address, 'SELECT id FROM tills ORDER BY id')
  assert.deepEqual(rows.map(row => row['id']), load.written().map(write => write.id).sort((a, b) => a - b))
}

/** The server follows the one that leads, with its log. */
async function untilFollows (set: LocalSet, server: LocalServer): Promise<void> {
  const primary = await primaryOf(set)
  await until(`${server.name} follows ${primary.name}`, async () => {
    const [own, leader] = [await serverStatus(server.address), await serverStatus(primary.address)]
    return own.role === 'replica' && own.fencedTerm === leader.fencedTerm && own.received.term === leader.received.term
  })
}

test('writes go on when the primary is paused, and it commits nothing when it wakes', async t => {
  const set = await localSet(t, { settings })
  const old = await primaryOf(set)
  const load = startLoad(set)
  await load.goOn('before the pause', writesBefore)
  old.process.pause()
  await load.goOn('under a new primary', writesAfter)
  old.process.resume()
  await untilFollows(set, old)
  await load.goOn('after the old one woke', writesAfter)
  await load.stop()
  assert.notEqual((await primaryOf(set)).name, old.name)
  await assertKept(set, load)
})

test('writes go on when the primary dies while the store is down', async t => {
  const set = await localSet(t, { settings })
  const old = await primaryOf(set)
  const load = startLoad(set)
  await load.goOn('before', writesBefore)
  await set.platform.faults({ down: true })
  await old.process.kill()
  await load.goOn('under a new primary', writesAfter)
  await set.platform.faults({})
  await load.stop()
  await assertKept(set, load)
  const primary = await primaryOf(set)
  await until('the new primary is published', async () =>
    ((await set.platform.read('primary', 'ledger'))?.value as { readonly primary?: string } | undefined)?.primary === primary.name)
})

test('homes that all promote at once leave one primary a term and lose nothing', async t => {
  // Homes do not wait for each other: each proposes as soon as it finds the primary dead.
  const set = await localSet(t, { settings: { ...settings, control: { ...quickControl, promotion_delay_ms: 10 } } })
  const load = startLoad(set)
  await load.goOn('before', writesBefore)
  for (const turn of ['first', 'second']) {
    const old = await primaryOf(set)
    old.process.pause()
    await load.goOn(`under a new primary, ${turn} turn`, writesAfter)
    old.process.resume()
    await untilFollows(set, old)
  }
  await load.stop()
  const statuses = await Promise.all(set.servers.map(async server => await serverStatus(server.address)))
  assert.equal(statuses.filter(status => status.role === 'primary').length, 1)
  await assertKept(set, load)
})

test('a primary that is cut off from everybody is replaced and joins again', async t => {
  const set = await localSet(t, { faultyLinks: true, settings })
  const old = await primaryOf(set)
  const others = [...set.proxies, ...set.servers.filter(server => server !== old)].map(other => other.name)
  const load = startLoad(set)
  await load.goOn('before', writesBefore)
  for (const other of others) await set.links?.set(linkName(other, old.name), { mode: 'silent' })
  await load.goOn('under a new primary', writesAfter)
  for (const other of others) await set.links?.set(linkName(other, old.name), { mode: 'pass' })
  await untilFollows(set, old)
  await load.goOn('with all servers', writesAfter)
  await load.stop()
  await assertKept(set, load)
})

test('a write that no other server has received is not acknowledged', async t => {
  const set = await localSet(t, { faultyLinks: true, settings })
  const old = await primaryOf(set)
  const caller = await callerOf(t, set, proxyAt(set, 0))
  for (const server of set.servers.filter(other => other !== old)) await set.links?.set(linkName(server.name, old.name), { mode: 'silent' })
  const outcome = await told(caller.changed("INSERT INTO tills VALUES (1, 'x', 1)"))
  assert.equal(outcome.kind, 'unknown')
  assert.deepEqual(await onServer(old.address, 'SELECT id FROM tills'), [{ id: 1 }])
  await old.process.kill()
  const later = await callerOf(t, set, proxyAt(set, 1))
  assert.deepEqual(await until('a read is answered', async () => await later.rows('SELECT id FROM tills').catch(() => undefined)), [])
})

test('silent open connections are no reason to replace a primary', async t => {
  const set = await localSet(t, { faultyLinks: true, settings })
  const old = await primaryOf(set)
  const load = startLoad(set)
  await load.goOn('before', writesBefore)
  for (const proxy of set.proxies) await set.links?.set(linkName(proxy.name, old.name), { mode: 'halfOpen' })
  await load.goOn('over new connections', writesAfter)
  await load.stop()
  assert.equal((await serverStatus(old.address)).role, 'primary')
  assert.equal((await serverStatus(old.address)).fencedTerm, 1)
  await assertKept(set, load)
})

test('a session reads its own write through another proxy after a failover', async t => {
  const set = await localSet(t, { lagMs: 300, settings })
  const [writer, other] = [await callerOf(t, set, proxyAt(set, 0)), proxyAt(set, 1)]
  await writer.changed("INSERT INTO tills VALUES (1, 'before', 1)")
  const token = await writer.token()
  const old = await primaryOf(set)
  old.process.pause()
  const reader = await callerOf(t, set, other, { token })
  assert.deepEqual(await until('a read is answered', async () => await reader.rows('SELECT id FROM tills').catch(() => undefined)), [{ id: 1 }])
  old.process.resume()
})
