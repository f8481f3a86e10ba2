import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseOption, expectedWaitMs, nextBestOption, noEstimate, recordLoad, recordReplyTime, type RouteOption, type ServerEstimate } from '../../src/routing/index.js'

function option (server: string, change: Partial<RouteOption> = {}): RouteOption {
  return { server, dispatcher: `${server}-host`, isLocal: false, isPrimary: false, waitMs: 0, share: 1, ...change }
}

function estimateOf (tooksMs: readonly number[], atMs: number, before = noEstimate): ServerEstimate {
  return tooksMs.reduce((estimate, tookMs, at) => recordReplyTime(estimate, tookMs, atMs + at), before)
}

/** Fraction of evenly spread draws with which a statement goes to another server than the first option. */
function movedFraction (options: readonly RouteOption[]): number {
  const draws = Array.from({ length: 400 }, (_, at) => ({ other: (at % 20) / 20, move: Math.floor(at / 20) / 20, share: 0 }))
  return draws.filter(draw => chooseOption(options, 0, draw) !== options[0]).length / draws.length
}

// Guards against old reports that keep a server out of use.
test('a reported wait decays to none within seconds', () => {
  let estimate = noEstimate
  for (let atMs = 0; atMs < 100; atMs += 10) estimate = recordLoad(estimate, { expectedWaitMs: 200 }, atMs)
  assert.ok(expectedWaitMs(estimate, 100) > 150)
  assert.ok(expectedWaitMs(estimate, 2100) < 15)
  assert.equal(expectedWaitMs(estimate, 5000), 0)
})

// Guards against long statements being taken for a queue.
test('without reports a wait is inferred only if all latest replies were late', () => {
  const usual = estimateOf([5, 6, 5, 7, 5, 6, 5, 5], 0)
  assert.equal(expectedWaitMs(estimateOf([400, 5, 400, 400, 400], 2000, usual), 2010), 0)
  assert.ok(expectedWaitMs(estimateOf([100, 120, 110, 100, 130, 100, 110, 105], 2000, usual), 2010) > 80)
})

// Guards against bytes between failure domains for differences that a hop uses up.
test('a statement leaves the failure domain only for a difference above the margin', () => {
  const local = option('s1', { isLocal: true, waitMs: 25 })
  const far = [option('s2'), option('s3', { isPrimary: true })]
  assert.equal(movedFraction([local, ...far]), 0)
  assert.ok(movedFraction([{ ...local, waitMs: 200 }, ...far]) > 0.5)
  assert.ok(movedFraction([{ ...local, waitMs: 40 }, ...far]) < 0.2)
})

test('without load the nearest servers are used, whatever the draws', () => {
  assert.equal(movedFraction([option('s1', { isLocal: true }), option('s2'), option('s3', { isPrimary: true, isLocal: true })]), 0)
})

// Guards against a retry at a server that is known to be full.
test('a retry goes to the server with the lowest wait and cost', () => {
  const draws = { other: 0, move: 0, share: 0 }
  const options = [option('s1', { isLocal: true, waitMs: 300 }), option('s2', { waitMs: 90 }), option('s3', { isPrimary: true })]
  assert.equal(nextBestOption(options, 0, draws)?.server, 's3')
  assert.equal(nextBestOption(options.slice(0, 2), 0, draws)?.server, 's2')
  assert.equal(nextBestOption([], 0, draws), undefined)
})
