import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isSameDivision, layoutOf, partitionFractions, type QuotaLayout } from '../../src/limits/index.js'
import { accountsManifest, limitFleet, randomFrom } from '../support/limit-fleet.js'

const hosts = 16
const seconds = 30

/** Sixteen accounts of 2 requests a second, each used at 1 a second from random hosts. */
function smallAccounts (layout: QuotaLayout): { readonly refused: number, readonly messages: number, readonly requests: number } {
  const accounts = Array.from({ length: 16 }, (_, at) => ({ name: `shop-${at}`, ratePerS: 2, burst: 2 }))
  const fleet = limitFleet({ hosts, seed: 3, layout, manifest: accountsManifest(64, accounts) })
  const random = randomFrom(9)
  fleet.run(12_000)
  const before = fleet.counts.messages
  for (const { name } of accounts) {
    for (let second = 0; second < seconds; second += 1) {
      const host = fleet.names[Math.floor(random() * hosts)] ?? 'h0'
      fleet.at(12_000 + (second + random()) * 1000, () => { fleet.request(host, name) })
    }
  }
  fleet.run(12_000 + (seconds + 2) * 1000)
  return { refused: fleet.results.filter(({ isAdmitted }) => !isAdmitted).length, messages: fleet.counts.messages - before, requests: fleet.results.length }
}

// Guards against refusals within the rate and against calls to all owners for each
// request: an eighth of a small burst is less than one token.
test('small accounts are admitted with fewer messages where their quota is concentrated', () => {
  const spread = smallAccounts('spread')
  const concentrated = smallAccounts('concentrated')
  assert.equal(concentrated.requests, 16 * seconds)
  assert.ok(concentrated.refused <= spread.refused, `${concentrated.refused} refused, ${spread.refused} where spread`)
  assert.ok(concentrated.messages * 2 < spread.messages, `${concentrated.messages} messages, ${spread.messages} where spread`)
})

test('the fractions of a concentrated account sum to the whole limit', () => {
  for (const ratePerS of [0.5, 4, 11, 39, 500]) {
    const fractionOf = partitionFractions('shop', { ratePerS, partitionCount: 64, layout: 'concentrated' })
    const fractions = Array.from({ length: 64 }, (_, partition) => fractionOf(partition)).filter(fraction => fraction > 0)
    assert.ok(Math.abs(fractions.reduce((a, b) => a + b, 0) - 1) < 1e-9)
    assert.ok(fractions.length >= 2 && fractions.length <= 8, `${fractions.length} partitions at ${ratePerS}/s`)
  }
})

// Guards against two divisions at once: hosts of an earlier version know only one.
test('the layout is concentrated only where every listed host supports it', () => {
  const member = (host: string, features: readonly string[] | undefined) => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: 1, features })
  const known = member('a', ['concentratedQuota'])
  assert.equal(layoutOf([known, member('b', ['concentratedQuota'])]), 'concentrated')
  assert.equal(layoutOf([known, member('b', undefined)]), 'spread')
  assert.equal(isSameDivision({ ratePerS: 2, partitionCount: 64, layout: 'spread' }, { ratePerS: 2, partitionCount: 64, layout: 'concentrated' }), false)
})
