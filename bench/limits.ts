// Compares three methods of rate limiting across hosts under the same demand
// and faults, in virtual time: quotas that hosts lend each other, one host that
// holds all quotas under a lease, and an even split without loans. Prints a
// table and writes all results as JSON. The JSON file stores the method as `way`
// and the names below; "home or keeper" in them is the account's quota
// coordinator or, with `leasedKeeper`, the leaseholder.
//
//   node dist/bench/limits.js [FILE]

import { writeFileSync } from 'node:fs'
import { confirmedUntil } from '../src/limits/index.js'
import { quotaCoordinator, type Member } from '../src/members/index.js'
import { accountsManifest, capExceeded, idealAdmissions, limitFleet, randomFrom, type Fleet, type Random, type AdmissionResult } from '../test/support/limit-fleet.js'

const hosts = 18
const partitionCount = 64
const fromMs = 10_000
const faultMs = 20_000
const healMs = 40_000
const toMs = 50_000
/** Lease duration of the leaseholder, and the time until its successor takes over. */
const leaseMs = 3000
const takeoverMs = 4000
/** Time until the other members detect a killed or an unresponsive host. */
const killDetectionMs = 400
const unresponsiveDetectionMs = 2500
const seeds = [1, 2, 3] as const

/**
 * Methods, named as in the JSON file: `lentShares` lends quotas between hosts,
 * `leasedKeeper` gives all quotas to one leaseholder, and `evenSplit` splits each
 * limit evenly without loans.
 */
const methods = ['lentShares', 'leasedKeeper', 'evenSplit'] as const
type Method = typeof methods[number]

type Account = { readonly name: string, readonly ratePerS: number, readonly burst: number }
type Stream = { readonly account: Account, readonly loadFraction: number, readonly hostIndexAt: (atMs: number, random: Random) => number }
type Fault = 'none' | 'storeOutage' | 'killCoordinator' | 'cutCoordinator' | 'pauseCoordinator'
type Scenario = { readonly name: string, readonly streams: readonly Stream[], readonly fault: Fault }

const mill: Account = { name: 'mill', ratePerS: 100, burst: 100 }
const inn: Account = { name: 'inn', ratePerS: 50, burst: 50 }

const anywhere: Stream['hostIndexAt'] = (_, random) => Math.floor(random() * hosts)
const skewed: Stream['hostIndexAt'] = (_, random) => Math.floor(hosts * random() ** 4)
const oneHost: Stream['hostIndexAt'] = () => 3
const roaming: Stream['hostIndexAt'] = atMs => Math.floor(atMs / 1000) % hosts

const scenarios: readonly Scenario[] = [
  { name: 'even demand', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: anywhere }], fault: 'none' },
  { name: 'skewed demand', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: skewed }], fault: 'none' },
  { name: 'all demand on one host', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: oneHost }], fault: 'none' },
  { name: 'demand that roams each second', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: roaming }], fault: 'none' },
  { name: 'another account sends 5 times its rate', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: skewed }, { account: inn, loadFraction: 5, hostIndexAt: anywhere }], fault: 'none' },
  { name: 'store outage of 20 s, skewed', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: skewed }], fault: 'storeOutage' },
  { name: 'home or keeper killed, skewed', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: skewed }], fault: 'killCoordinator' },
  { name: 'home or keeper cut off for 20 s, skewed', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: skewed }], fault: 'cutCoordinator' },
  { name: 'home or keeper paused for 20 s, skewed', streams: [{ account: mill, loadFraction: 0.9, hostIndexAt: skewed }], fault: 'pauseCoordinator' }
]

type Measured = {
  readonly scenario: string
  readonly way: Method
  readonly seed: number
  /** Largest excess of any account over burst + rate * window, in tokens. */
  readonly capExceededTokens: number
  /**
   * Fraction of the requests admitted by one bucket for the fleet that were
   * rejected; accounts within their rate.
   */
  readonly wrongfulRefusals: number
  /**
   * Lowest fraction that any account got of what one bucket for the fleet would
   * have admitted.
   */
  readonly worstServed: number
  readonly messagesPerHostPerS: number
}

function measure (scenario: Scenario, method: Method, seed: number): Measured {
  const accounts = [...new Set(scenario.streams.map(({ account }) => account))]
  const cut = new Set<string>()
  const isCut = (from: string, to: string): boolean => method === 'evenSplit' || cut.has(from) || cut.has(to)
  const fleet = limitFleet({
    hosts,
    seed,
    manifest: accountsManifest(partitionCount, accounts),
    link: (from, to) => ({ isCut: isCut(from, to), lossRate: 0, delayMs: 1.5 }),
    assignsPartitions: method !== 'leasedKeeper'
  })
  const coordinator = coordinatorOf(fleet)
  if (method === 'leasedKeeper') assignToLeaseholder(fleet, coordinator)
  for (const [at, stream] of scenario.streams.entries()) sendRequests(fleet, stream, randomFrom(seed * 100 + at))
  fleet.at(faultMs, () => injectFault(fleet, scenario.fault, method, coordinator, cut))
  fleet.run(fromMs)
  const before = fleet.counts.messages
  fleet.run(toMs + 1000)
  const perSecond = (fleet.counts.messages - before) / hosts / ((toMs - fromMs) / 1000)
  return { scenario: scenario.name, way: method, seed, messagesPerHostPerS: perSecond, ...summarize(scenario, fleet.results, coordinator) }
}

function coordinatorOf (fleet: Fleet): string {
  const members: readonly Member[] = fleet.stateOf('h0').members
  return quotaCoordinator(mill.name, members) as string
}

function assignToLeaseholder (fleet: Fleet, leaseholder: string): void {
  for (const host of fleet.names) fleet.setMembers(host, [leaseholder])
  fleet.assignPartitions(leaseholder, Array.from({ length: partitionCount }, (_, partition) => partition))
}

function sendRequests (fleet: Fleet, { account, loadFraction, hostIndexAt }: Stream, random: Random): void {
  for (let atMs = fromMs; atMs < toMs; atMs -= Math.log(1 - random()) * 1000 / (loadFraction * account.ratePerS)) {
    const host = fleet.names[hostIndexAt(atMs, random)] as string
    fleet.at(atMs, () => fleet.request(host, account.name))
  }
}

function injectFault (fleet: Fleet, fault: Fault, method: Method, coordinator: string, cut: { readonly add: (host: string) => void, readonly delete: (host: string) => void }): void {
  if (method === 'leasedKeeper' && fault !== 'none') endLease(fleet, coordinator)
  switch (fault) {
    case 'none': return
    case 'storeOutage': {
      if (method === 'leasedKeeper') fleet.at(healMs, () => renewLease(fleet, coordinator))
      return
    }
    case 'killCoordinator': {
      fleet.kill(coordinator)
      return replaceCoordinator(fleet, method, coordinator, killDetectionMs)
    }
    case 'cutCoordinator': {
      cut.add(coordinator)
      fleet.at(healMs, () => { cut.delete(coordinator) })
      return replaceCoordinator(fleet, method, coordinator, unresponsiveDetectionMs)
    }
    case 'pauseCoordinator': {
      fleet.pause(coordinator)
      fleet.at(healMs, () => fleet.resume(coordinator))
      return replaceCoordinator(fleet, method, coordinator, unresponsiveDetectionMs)
    }
  }
}

// Lets the lease expire after `leaseMs` without a renewal. The leaseholder compares
// the clock with the end of its lease at each admission.
function endLease (fleet: Fleet, leaseholder: string): void {
  fleet.deliver(leaseholder, nowMs => ({ kind: 'confirmationChanged', confirmation: confirmedUntil(nowMs + leaseMs), nowMs }))
}

function renewLease (fleet: Fleet, leaseholder: string): void {
  fleet.deliver(leaseholder, nowMs => ({ kind: 'confirmationChanged', confirmation: confirmedUntil(Infinity), nowMs }))
  assignToLeaseholder(fleet, leaseholder)
}

function replaceCoordinator (fleet: Fleet, method: Method, coordinator: string, detectionMs: number): void {
  const others = fleet.names.filter(host => host !== coordinator)
  switch (method) {
    case 'evenSplit': return
    case 'lentShares': return fleet.at(fleet.now() + detectionMs, () => { for (const host of others) fleet.setMembers(host, others) })
    case 'leasedKeeper': {
      return fleet.at(fleet.now() + Math.max(detectionMs, takeoverMs), () => { assignToLeaseholder(fleet, others[0] as string) })
    }
  }
}

function summarize (scenario: Scenario, results: readonly AdmissionResult[], coordinator: string): Pick<Measured, 'capExceededTokens' | 'wrongfulRefusals' | 'worstServed'> {
  // No method can admit a request that reaches a killed or paused host, so such
  // requests are left out.
  const isUnavailable = scenario.fault === 'killCoordinator' || scenario.fault === 'pauseCoordinator'
  const counted = results.filter(({ host, requestedMs }) => !(isUnavailable && host === coordinator && requestedMs >= faultMs - 200))
  const streamResults = scenario.streams.map(({ account: { name, ratePerS, burst }, loadFraction }) => {
    const ideal = idealAdmissions(counted, name, ratePerS, burst)
    const admitted = counted.filter(result => result.account === name && result.isAdmitted).length
    const wronglyRejected = [...ideal].filter(({ isAdmitted }) => !isAdmitted).length
    return {
      exceededTokens: capExceeded(results, name, ratePerS, burst),
      wronglyRejectedFraction: loadFraction <= 1 ? wronglyRejected / ideal.size : 0,
      servedFraction: Math.min(1, admitted / ideal.size)
    }
  })
  return {
    capExceededTokens: Math.max(...streamResults.map(({ exceededTokens }) => exceededTokens)),
    wrongfulRefusals: Math.max(...streamResults.map(({ wronglyRejectedFraction }) => wronglyRejectedFraction)),
    worstServed: Math.min(...streamResults.map(({ servedFraction }) => servedFraction))
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length
}

function tableRow (scenario: string, method: Method, all: readonly Measured[]): string {
  const runs = all.filter(measured => measured.scenario === scenario && measured.way === method)
  const exceededTokens = Math.max(...runs.map(({ capExceededTokens }) => capExceededTokens)).toFixed(2)
  const wronglyRejected = (100 * mean(runs.map(({ wrongfulRefusals }) => wrongfulRefusals))).toFixed(2)
  const servedFraction = (100 * Math.min(...runs.map(({ worstServed }) => worstServed))).toFixed(1)
  const messages = mean(runs.map(({ messagesPerHostPerS }) => messagesPerHostPerS)).toFixed(1)
  return `| ${scenario} | ${method} | ${exceededTokens} | ${wronglyRejected}% | ${servedFraction}% | ${messages} |`
}

const results = scenarios.flatMap(scenario => methods.flatMap(method => seeds.map(seed => measure(scenario, method, seed))))
console.log('| scenario | method | above the limit (tokens) | wrong rejections | worst-served account | messages per host and s |')
console.log('| --- | --- | --- | --- | --- | --- |')
for (const { name } of scenarios) for (const method of methods) console.log(tableRow(name, method, results))
const file = process.argv[2]
if (file !== undefined) writeFileSync(file, JSON.stringify({ hosts, seats: partitionCount, seeds, fromMs, toMs, results }, undefined, 1))
