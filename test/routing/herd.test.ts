import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseOption, expectedWaitMs, noEstimate, recordLoad, type RouteDraws, type ServerEstimate } from '../../src/routing/index.js'

// A small model: hosts in three failure domains, one server in each, and a queue that
// is emptied at a fixed rate in front of each server. A host learns of a queue from the
// reply to its own statement, which comes late.

const stepMs = 10
const hostsPerDomain = 20
const servedPerStep = 10
const replyDelaySteps = 20
/** Statements that the hosts of each domain send in one step. The first domain asks for 1.6 times what its server can run, all together for 0.87 times. */
const sentPerStep = [16, 5, 5]

type Report = { readonly dueStep: number, readonly host: number, readonly server: number, readonly waitMs: number }

function randomSource (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

/** Runs the model for 20 s and returns the mean wait and the highest one of the last 15 s. */
function waits (draw: (random: () => number) => RouteDraws): { readonly meanMs: number, readonly maxMs: number } {
  const random = randomSource(7)
  const queues = [0, 0, 0]
  const estimates = Array.from({ length: 3 * hostsPerDomain }, () => [0, 0, 0].map((): ServerEstimate => noEstimate))
  const reports: Report[] = []
  let sumMs = 0
  let count = 0
  let maxMs = 0
  for (let step = 0; step < 2000; step += 1) {
    const nowMs = step * stepMs
    while (reports[0] !== undefined && reports[0].dueStep <= step) {
      const { host, server, waitMs } = reports.shift() as Report
      const known = estimates[host] as ServerEstimate[]
      known[server] = recordLoad(known[server] as ServerEstimate, { expectedWaitMs: waitMs }, nowMs)
    }
    for (const [domain, sent] of sentPerStep.entries()) {
      for (let each = 0; each < sent; each += 1) {
        const host = domain * hostsPerDomain + Math.floor(random() * hostsPerDomain)
        const options = queues.map((_, at) => ({ server: `s${at}`, dispatcher: `h${at}`, isLocal: at === domain, isPrimary: false, waitMs: expectedWaitMs(estimates[host]?.[at], nowMs), share: 1 }))
        const server = Number(chooseOption(options, 0, draw(random))?.server.slice(1))
        const waitMs = (queues[server] as number) / servedPerStep * stepMs
        queues[server] = (queues[server] as number) + 1
        reports.push({ dueStep: step + replyDelaySteps, host, server, waitMs })
        if (step < 500) continue
        sumMs += waitMs
        count += 1
        maxMs = Math.max(maxMs, waitMs)
      }
    }
    for (const [at, queue] of queues.entries()) queues[at] = Math.max(0, queue - servedPerStep)
  }
  return { meanMs: sumMs / count, maxMs }
}

// Guards against hosts that follow a late report all at once and overload one server
// after another.
test('hosts that see late reports of the same queues spread their statements', () => {
  const damped = waits(random => ({ other: random(), move: random(), share: 0 }))
  const allAtOnce = waits(random => ({ other: random(), move: 0, share: 0 }))
  const staying = waits(random => ({ other: random(), move: 1, share: 0 }))
  assert.ok(damped.maxMs < allAtOnce.maxMs * 0.6, `${damped.maxMs} ms against ${allAtOnce.maxMs} ms`)
  assert.ok(damped.meanMs < allAtOnce.meanMs * 0.5, `${damped.meanMs} ms against ${allAtOnce.meanMs} ms`)
  assert.ok(damped.meanMs < staying.meanMs * 0.05, `${damped.meanMs} ms against ${staying.meanMs} ms without moves`)
})
