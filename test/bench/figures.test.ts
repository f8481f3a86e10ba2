// Tests figures, their targets and the settings of the deployments.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { readDeployment } from '../../bench/deployment.js'
import { serviceGapMs } from '../../bench/measure-failover.js'
import { atLeast, atMost, withoutTarget, targetStatus } from '../../bench/measure.js'
import { percentile, slopeOf } from '../../bench/statistics.js'

test('a target is met up to its bound and missed beyond it', () => {
  const statuses = [atMost('a', '', 2, 2), atMost('a', '', 2.1, 2), atLeast('a', '', 2, 2), atLeast('a', '', 1.9, 2), withoutTarget('a', '', 1)].map(targetStatus)
  assert.deepEqual(statuses, ['met', 'missed', 'met', 'missed', 'no target'])
})

test('a figure that could not be measured misses its target', () => {
  assert.deepEqual([atMost('a', '', NaN, 2), atLeast('a', '', NaN, 2)].map(targetStatus), ['missed', 'missed'])
})

test('the service gap is the longest time without an answer around the kill', () => {
  assert.equal(serviceGapMs([1700, 1950, 2800, 2810, 100, 9000], 2000), 850)
})

test('the service gap is infinite if no answer follows the kill', () => {
  assert.equal(serviceGapMs([1700, 1950], 2000), Infinity)
})

test('a percentile is one of the samples, and a slope is the line through its points', () => {
  assert.equal(percentile([5, 1, 3, 2, 4], 50), 3)
  assert.equal(percentile([5, 1, 3, 2, 4], 99), 5)
  assert.deepEqual(slopeOf([[0, 10], [1, 12], [2, 14]]), { perUnit: 2, atZero: 10 })
})

test('both deployments have three databases, eight accounts and a noisy one among them', () => {
  for (const name of ['atelier', 'mission']) {
    const deployment = readDeployment(name)
    assert.deepEqual([deployment.databases.length, deployment.accounts.length, deployment.failureDomains.length], [3, 8, 3])
    assert.ok(deployment.accounts.some(account => account.name === deployment.noisyAccount))
  }
})
