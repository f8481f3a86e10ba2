// Transactions of resting callers whose dispatcher ends and is made anew meanwhile,
// with real processes. Callers that write are connected to all hosts, so that one is on
// the dispatcher's own host and the others reach it through a link.

import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import type { LineAnswer, LineCaller } from '../../standins/fleet/caller.js'
import type { Fleet } from '../../standins/fleet/set.js'
import type { LineServer } from '../../standins/fleet/server.js'
import { defaultFleetOptions } from '../../standins/fleet/set.js'
import type { ExecuteReply, ExecuteRequest, ExecutionMode } from '../../src/model/index.js'
import { systemTimers } from '../../src/pipe/index.js'
import { peerClient, type PeerClient } from '../../src/wire/peer-link.js'
import { openSession, startServingFleet } from '../support/fleet.js'
import { until } from '../support/until.js'

const callTimeoutMs = 5000
/** Longer than a test, so that only what the test does ends a transaction. */
const idleTransactionMs = 600_000

async function startFleet (t: TestContext): Promise<Fleet> {
  return await startServingFleet(t, { configuration: { ...defaultFleetOptions.configuration, idleTransactionMs } })
}

/** Begins a transaction that writes an item named after it, on each of the hosts. */
async function beginWrites (fleet: Fleet, name: string, hosts = [...fleet.proxies.keys()]): Promise<readonly LineCaller[]> {
  return await Promise.all(hosts.map(async at => {
    const caller = await openSession(fleet, at)
    await until(`a transaction of ${name} on host ${at}`, async () => (await caller.query('BEGIN')).state === 'T')
    assert.notEqual((await caller.query(`WRITE ${name}-${at} 1`, `${name}-write-${at}`)).signature, undefined)
    return caller
  }))
}

/** Begins transactions that read at a replica, on the host of its failure domain, which prefers it. */
async function beginReadsAt (fleet: Fleet, server: LineServer, name: string): Promise<readonly LineCaller[]> {
  const near = fleet.servers.indexOf(server)
  return await Promise.all(fleet.proxies.map(async (_, at) => await until(`a transaction of ${name} at ${server.id}`, async () => {
    const caller = await openSession(fleet, near, 'lookup')
    await caller.query('BEGIN READ')
    const id = `${name}-${at}-${server.runs.length}`
    await caller.query('READ folio', id)
    if (server.runs.some(run => run.id === id && run.inTransaction)) return caller
    caller.disconnect()
    return undefined
  })))
}

async function commitAll (callers: readonly LineCaller[], name: string): Promise<readonly LineAnswer[]> {
  return await Promise.all(callers.map(async (caller, at) => await caller.query('COMMIT', `${name}-commit-${at}`)))
}

/** Ids of the commits that ran at a server. */
function ranCommits (fleet: Fleet, name: string): readonly string[] {
  return fleet.servers.flatMap(({ runs }) => runs).map(({ id }) => id).filter(id => id.startsWith(`${name}-commit-`)).sort()
}

function committedItems (fleet: Fleet): readonly string[] {
  return fleet.servers[0]?.node.log.map(({ item }) => item).filter(item => item !== 'start').sort() ?? []
}

async function untilLogged (fleet: Fleet, event: string, change: () => void): Promise<void> {
  const counts = (): readonly number[] => fleet.proxies.map(proxy => proxy.output().filter(line => line.includes(event)).length)
  const before = counts()
  change()
  await until(`${event} on all hosts`, () => counts().every((count, at) => count > (before[at] ?? 0)))
}

// Guards against PINNED and a lost write: the COMMIT of a caller that rested ran in the transaction of another one and was answered with success.
test('callers that rested while the connection limit of their server changed learn that their transactions are lost', async t => {
  const fleet = await startFleet(t)
  const resting = await beginWrites(fleet, 'first')
  await untilLogged(fleet, '"manifestApplied"', () => { fleet.configure({ maxConnections: 61 }) })
  const others = await beginWrites(fleet, 'second')
  const lost = await commitAll(resting, 'first')
  assert.deepEqual(lost.map(({ code, state }) => [code, state]), resting.map(() => ['ABORTED', 'I']))
  const kept = await commitAll(others, 'second')
  assert.deepEqual(kept.map(({ code }) => code), others.map(() => undefined))
  assert.deepEqual(ranCommits(fleet, 'first'), [])
  assert.deepEqual(committedItems(fleet), ['second-0', 'second-1', 'second-2'])
})

// Guards against BUSY for a transaction that is gone: its caller could go on in it as if it were open.
test('while the entry of their server is missing, callers learn at once that their transactions are lost', async t => {
  const fleet = await startFleet(t)
  const [, , replica] = fleet.servers
  assert.ok(replica !== undefined)
  const [reading, ...committing] = await beginReadsAt(fleet, replica, 'first')
  await untilLogged(fleet, '"serversChanged","servers":2', () => { fleet.store.remove('servers', replica.id) })
  const ended = fleet.proxies.flatMap(proxy => proxy.output()).flatMap(line => line.match(/"dispatcherEnded",.*"server":"i-c","cause":"serverGone","transactions":(\d+)/)?.[1] ?? [])
  assert.equal(ended.reduce((sum, count) => sum + Number(count), 0), 3)
  const read = await reading?.query('READ folio')
  assert.deepEqual([read?.code, read?.state], ['ABORTED', 'E'])
  const lost = await commitAll(committing, 'first')
  assert.deepEqual(lost.map(({ code, state }) => [code, state]), committing.map(() => ['ABORTED', 'I']))
})

// Guards against PINNED, where the entry of a server lapses and comes back.
test('callers that rested while the entry of their server was missing learn that their transactions are lost', async t => {
  const fleet = await startFleet(t)
  const [, , replica] = fleet.servers
  assert.ok(replica !== undefined)
  const resting = await beginReadsAt(fleet, replica, 'first')
  await untilLogged(fleet, '"serversChanged","servers":2', () => { fleet.store.remove('servers', replica.id) })
  await untilLogged(fleet, '"serversChanged","servers":3', () => { fleet.register(replica, 'ready') })
  const others = await beginReadsAt(fleet, replica, 'second')
  const lost = await commitAll(resting, 'first')
  assert.deepEqual(lost.map(({ code, state }) => [code, state]), resting.map(() => ['ABORTED', 'I']))
  const kept = await commitAll(others, 'second')
  assert.deepEqual(kept.map(({ code }) => code), others.map(() => undefined))
  assert.deepEqual(ranCommits(fleet, 'first'), [])
})

// Guards against PINNED: a server that is back under its id and address knows no session, no value and no prepared name of before.
test('a server that restarts at its address gets the values and prepared names again, and its transactions are lost', async t => {
  const fleet = await startFleet(t)
  const [primary] = fleet.servers
  assert.ok(primary !== undefined)
  const resting = await beginWrites(fleet, 'first')
  const caller = await openSession(fleet, 0)
  await caller.query('SET tone warm')
  await caller.query('PREPARE p1 READ shape')
  await until('a run of the prepared statement', async () => (await caller.query('EXECUTE p1 folio', 'before')).signature !== undefined)
  await primary.crash()
  await primary.start()
  await until('a run after the restart', async () => (await caller.query('EXECUTE p1 folio', 'after')).signature !== undefined)
  const runs = fleet.servers.flatMap(server => server.runs).filter(({ id }) => id === 'after')
  assert.deepEqual(runs.map(({ values }) => values), runs.map(() => ({ tone: 'warm' })))
  const lost = await commitAll(resting, 'first')
  assert.deepEqual(lost.filter(({ signature }) => signature !== undefined), [])
  assert.deepEqual(committedItems(fleet), [])
})

// Guards against PINNED and against a false promise: a host that restarts gives out ids again, and the answer to a COMMIT may be lost with it.
test('while any one host restarts, a transaction through another host is committed, or its caller is told that it is not', async t => {
  const fleet = await startFleet(t)
  for (const at of fleet.proxies.keys()) {
    const others = [...fleet.proxies.keys()].filter(other => other !== at)
    const resting = await beginWrites(fleet, `first-${at}`, others)
    const name = (await fleet.restartProxy(at)).name
    await until(`a transaction on ${name}`, async () => {
      const caller = await openSession(fleet, at).catch(() => undefined)
      return (await caller?.query('BEGIN'))?.state === 'T'
    })
    const answers = await commitAll(resting, `first-${at}`)
    const committed = committedItems(fleet)
    for (const [index, other] of others.entries()) assert.equal(committed.includes(`first-${at}-${other}`), answers[index]?.signature !== undefined, answers[index]?.code)
    const ownIds = answers.flatMap(({ signature }, index) => signature === undefined ? [] : [`first-${at}-commit-${index}`])
    assert.deepEqual(ranCommits(fleet, `first-${at}`), ownIds)
  }
})

/** Links to the hosts of a fleet, as another host has them. */
function linksTo (t: TestContext, fleet: Fleet): readonly PeerClient[] {
  const timers = systemTimers()
  const links = fleet.proxies.map(({ peerPort }) => peerClient({ ip: '127.0.0.1', port: peerPort }, timers, undefined))
  t.after(() => {
    for (const link of links) link.close()
    timers.stop()
  })
  return links
}

type Sender = Pick<ExecuteRequest, 'from' | 'callerSession'>

/** A statement of a caller for the primary's dispatcher. */
function statementOf (sender: Sender, text: string, mode: ExecutionMode): ExecuteRequest {
  return { ...sender, database: 'ledger-group', server: 'i-a', account: 'bindery', weight: 1, statement: { id: mode.kind, text, prepared: undefined }, values: {}, mode, remainingMs: callTimeoutMs }
}

/** Finds the dispatcher, the only host that begins a transaction. */
async function beginAt (links: readonly PeerClient[], sender: Sender): Promise<{ readonly link: PeerClient, readonly transaction: string }> {
  const mode = { kind: 'begin', requestId: undefined, access: 'write', freshness: { kind: 'newest' } } as const
  for (const link of links) {
    const { transaction } = await link.call('execute', statementOf(sender, 'BEGIN', mode), callTimeoutMs)
    if (transaction !== undefined) return { link, transaction }
  }
  return assert.fail('no host began a transaction')
}

// Guards against PINNED: a statement ran in the transaction that it named, whoever had begun it.
test('a host runs a statement in a transaction only for the session that began it', async t => {
  const fleet = await startFleet(t)
  const owner: Sender = { from: 'entry-9', callerSession: 'own' }
  const { link, transaction } = await beginAt(linksTo(t, fleet), owner)
  const send = async (sender: Sender, text: string, mode: 'inTransaction' | 'commit' | 'rollback'): Promise<ExecuteReply> => await link.call('execute', statementOf(sender, text, { kind: mode, transaction }), callTimeoutMs)
  const strangers: readonly Sender[] = [{ ...owner, callerSession: 'other' }, { ...owner, from: 'entry-8' }]
  for (const stranger of strangers) {
    for (const [text, mode] of [['WRITE stolen 1', 'inTransaction'], ['COMMIT', 'commit'], ['ROLLBACK', 'rollback']] as const) {
      const { outcome } = await send(stranger, text, mode)
      assert.equal(outcome.kind === 'notRun' && outcome.reason, 'transactionLost')
    }
  }
  assert.equal((await send(owner, 'WRITE own 1', 'inTransaction')).outcome.kind, 'answered')
  assert.equal((await send(owner, 'COMMIT', 'commit')).outcome.kind, 'answered')
  assert.deepEqual(committedItems(fleet), ['own'])
})
