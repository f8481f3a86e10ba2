import assert from 'node:assert/strict'
import { test } from 'node:test'
import { accountsManifest, capExceeded, idealAdmissions, limitFleet, randomFrom, type Fleet } from '../support/limit-fleet.js'

type Stream = { readonly account: string, readonly ratePerS: number, readonly hosts: readonly string[] }

/** Sends requests at random times of the given mean rate to the given hosts in turn. */
function load (fleet: Fleet, { account, ratePerS, hosts }: Stream, fromMs: number, toMs: number, seed: number): void {
  const random = randomFrom(seed)
  let at = 0
  for (let atMs = fromMs; atMs < toMs; atMs += -Math.log(1 - random()) * 1000 / ratePerS) {
    const host = hosts[at++ % hosts.length] as string
    fleet.at(atMs, () => fleet.ask(host, account))
  }
}

function outcome (fleet: Fleet, account: string, ratePerS: number, burst: number, fromMs: number) {
  const all = fleet.verdicts.filter(verdict => verdict.account === account)
  const ideal = idealAdmissions(all.filter(({ askedMs }) => askedMs >= fromMs), account, ratePerS, burst)
  const wronged = [...ideal].filter(({ isAdmitted }) => !isAdmitted).length
  const admitted = all.filter(({ isAdmitted, askedMs }) => isAdmitted && askedMs >= fromMs).length
  return { exceeded: capExceeded(all, account, ratePerS, burst), wronged, admitted, due: ideal.size }
}

for (const [name, count] of [['one host', 1], ['two hosts', 2], ['all hosts', 18]] as const) {
  test(`demand at 90% of the rate on ${name} is admitted`, () => {
    const fleet = limitFleet({ hosts: 18, seed: 1, manifest: accountsManifest(64, [{ name: 'mill', ratePerS: 100, burst: 100 }]) })
    load(fleet, { account: 'mill', ratePerS: 90, hosts: fleet.names.slice(0, count) }, 6000, 36_000, 7)
    fleet.run(37_000)
    const { exceeded, wronged } = outcome(fleet, 'mill', 100, 100, 6000)
    assert.ok(exceeded <= 1e-6)
    assert.equal(wronged, 0)
  })
}
