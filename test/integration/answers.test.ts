// Each caller gets complete answers to its own queries while links delay, hold and
// lose bytes. Guards against an answer that is matched to another request, or cut
// off, after a connection was lost or an answer came late.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { linkName, type LocalProxy, type LocalSet } from '../../standins/set/local-set.js'
import { loginOf, statementOutcome } from '../support/load.js'
import { startServingSet } from '../support/local-set.js'
import { until } from '../support/until.js'

const callerCount = 12
const padLength = 3000
const reconnectDelayMs = 20
/** Answers required over the other links while some links hold data. */
const minAnswersWhileHeld = 30

type QueryLoop = {
  /** Number of answers that were complete and the caller's own. */
  readonly correct: () => number
  /** All other answers. */
  readonly wrong: () => readonly unknown[]
  readonly stop: () => Promise<void>
}

/** Starts a caller that queries a unique text repeatedly and checks each answer. */
function startQueryLoop (set: LocalSet, proxy: LocalProxy, name: string): QueryLoop {
  const wrong: unknown[] = []
  const state = { stopping: false, correct: 0, sequence: 0 }
  const query = async (caller: LocalCaller, sequence: number): Promise<void> => {
    const expected = `${name}-${sequence}-${String.fromCharCode(97 + sequence % 26).repeat(padLength)}`
    const rows = await caller.rows(`SELECT '${expected}' AS mine, ${sequence} AS sequence`)
    if (rows.length === 1 && rows[0]?.['mine'] === expected && rows[0]['sequence'] === sequence) state.correct += 1
    else wrong.push(rows)
  }
  const queryUntilLost = async (caller: LocalCaller): Promise<void> => {
    while (!state.stopping) {
      state.sequence += 1
      const outcome = await statementOutcome(query(caller, state.sequence))
      if (outcome.kind === 'refused') wrong.push(outcome)
      if (outcome.kind === 'lost') return
    }
  }
  const run = async (): Promise<void> => {
    while (!state.stopping) {
      const caller = await connectCaller(proxy.mysql, loginOf(set)).catch(() => undefined)
      if (caller !== undefined) await queryUntilLost(caller)
      caller?.close()
      await new Promise(resolve => { setTimeout(resolve, reconnectDelayMs) })
    }
  }
  const ended = run()
  return {
    correct: () => state.correct,
    wrong: () => wrong,
    stop: async () => {
      state.stopping = true
      await ended
    }
  }
}

test('every answer is complete and the caller\'s own over delayed, held and half-open links', async t => {
  const set = await startServingSet(t, { faultyLinks: true, settings: { limits: { default_deadline_ms: 2000 } } })
  const links = set.links
  assert.ok(links !== undefined)
  const loops = Array.from({ length: callerCount }, (_, index) => startQueryLoop(set, set.proxies[index % set.proxies.length] as LocalProxy, `c${index}`))
  const answered = (): number => loops.reduce((sum, each) => sum + each.correct(), 0)
  const untilProgress = async (what: string): Promise<void> => {
    const before = loops.map(each => each.correct())
    await until(`answers continue ${what}`, () => loops.every((each, index) => each.correct() > (before[index] ?? 0) + 3))
  }
  await untilProgress('without faults')
  const toServers = set.proxies.flatMap(proxy => set.servers.map(server => linkName(proxy.name, server.name)))
  const toPeers = set.proxies.flatMap(proxy => set.proxies.filter(other => other !== proxy).map(other => linkName(proxy.name, other.name)))
  for (const [index, link] of [...toServers, ...toPeers].entries()) await links.set(link, { delayMs: (index % 5) * 8 })
  await untilProgress('under unequal delays')
  for (const link of toServers) {
    await links.set(link, { mode: 'halfOpen' })
  }
  await untilProgress('after server connections became unresponsive')
  for (const link of toPeers) await links.set(link, { mode: 'halfOpen' })
  await untilProgress('after peer connections became unresponsive')
  for (const link of toServers.slice(0, 3)) await links.set(link, { mode: 'hold' })
  const answersBefore = answered()
  await until('other queries are answered while some links hold data', () => answered() > answersBefore + minAnswersWhileHeld)
  for (const link of toServers.slice(0, 3)) await links.set(link, { mode: 'pass' })
  await untilProgress('after held answers arrived late')
  await Promise.all(loops.map(async each => { await each.stop() }))
  assert.deepEqual(loops.flatMap(each => each.wrong()), [])
  assert.ok(answered() > 0)
})
