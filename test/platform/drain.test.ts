// Servers that announce that they leave, with real processes.

import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import type { LineAnswer, LineCaller } from '../../standins/fleet/caller.js'
import type { Fleet } from '../../standins/fleet/set.js'
import { openSession, startServingFleet, untilServed } from '../support/fleet.js'
import { until } from '../support/until.js'

/** Time after its announcement in which a server may get new statements. */
const drainMs = 7000
/** Within this time of the announcement, statements are served although no successor exists. */
const servedMs = 3000
const statementSpacingMs = 50
/** A statement that can't be served is refused within this time. */
const refusedWithinMs = 500
/** Shorter than the idle timeout of transactions. */
const transactionSpacingMs = 400

/** A fleet whose database has one server left; the others' entries have expired. */
async function startWithOneServer (t: TestContext): Promise<Fleet> {
  const fleet = await startServingFleet(t)
  for (const server of fleet.servers.slice(1)) {
    fleet.store.remove('servers', server.id)
    await server.crash()
  }
  await until('the list holds one server', async () => fleet.proxies.every(proxy => proxy.output().some(line => line.includes('"serversChanged","servers":1'))) ? true : undefined)
  await untilServed(fleet, 0, 'WRITE one left')
  return fleet
}

type Sent = { readonly atMs: number, readonly tookMs: number, readonly answer: LineAnswer }

/** Sends a statement now and then until a time after `startMs`. */
async function sendUntil (caller: LineCaller, startMs: number, untilMs: number, text: string): Promise<readonly Sent[]> {
  let sent: readonly Sent[] = []
  while (performance.now() - startMs < untilMs) {
    const atMs = performance.now() - startMs
    const answer = await caller.query(text)
    sent = [...sent, { atMs, tookMs: performance.now() - startMs - atMs, answer }]
    await delay(statementSpacingMs)
  }
  return sent
}

// Guards against DRAIN: the only server of a database got statements until it ended, however long ago it had announced that it leaves.
test('the last server of a database gets no new statement after the drain time, and callers are refused at once', async t => {
  const fleet = await startWithOneServer(t)
  const [last] = fleet.servers
  assert.ok(last !== undefined)
  const callers = await Promise.all(fleet.proxies.map(async (_, at) => await openSession(fleet, at, at === 1 ? 'notes' : 'orders')))
  const startMs = performance.now()
  fleet.register(last, 'draining')
  const arrived = delay(drainMs).then(() => last.runs.length)
  const sent = await Promise.all(callers.map(async (caller, at) => await sendUntil(caller, startMs, drainMs + 1500, at === 1 ? 'READ one' : 'WRITE one more')))
  assert.equal(last.runs.length, await arrived)
  for (const list of sent) {
    assert.deepEqual(list.filter(({ atMs, answer }) => atMs < servedMs && answer.signature === undefined), [])
    const late = list.filter(({ atMs }) => atMs >= drainMs)
    assert.deepEqual([...new Set(late.map(({ answer }) => answer.code))], ['BUSY'])
    assert.deepEqual(late.filter(({ tookMs }) => tookMs > refusedWithinMs), [])
  }
})

/** Keeps a transaction busy until a time after `startMs`, then commits it. */
async function commitAfter (caller: LineCaller, startMs: number, untilMs: number): Promise<readonly LineAnswer[]> {
  let answers: readonly LineAnswer[] = [await caller.query('BEGIN')]
  while (performance.now() - startMs < untilMs) {
    answers = [...answers, await caller.query('WRITE kept 1')]
    await delay(transactionSpacingMs)
  }
  return [...answers, await caller.query('COMMIT')]
}

/** Opens transactions until BEGIN is refused; returns the caller of the last one. */
async function openUntilRefused (fleet: Fleet, startMs: number): Promise<LineCaller | undefined> {
  let last: LineCaller | undefined
  while (performance.now() - startMs < drainMs) {
    const caller = await openSession(fleet, 2)
    if ((await caller.query('BEGIN')).state !== 'T') return last
    await last?.query('ROLLBACK')
    last = caller
    await delay(statementSpacingMs)
  }
  return undefined
}

// Guards against DRAIN and aborted work: only a transaction without a statement counts as new.
test('a transaction on a leaving server continues after the drain time, and one without a statement is aborted', async t => {
  const fleet = await startWithOneServer(t)
  const [last] = fleet.servers
  assert.ok(last !== undefined)
  const working = await openSession(fleet, 0)
  fleet.register(last, 'draining')
  const startMs = performance.now()
  const committed = commitAfter(working, startMs, drainMs + 500)
  const empty = await openUntilRefused(fleet, startMs)
  await delay(transactionSpacingMs)
  const late = await empty?.query('WRITE never 1', 'late-1')
  assert.deepEqual([late?.code, late?.state], ['ABORTED', 'E'])
  assert.deepEqual((await committed).filter(({ code }) => code !== undefined), [])
  assert.equal(last.runs.some(run => run.id === 'late-1'), false)
})
