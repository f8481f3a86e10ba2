// Weighs three ways to keep accounts within their limits under the same
// demands and faults, in virtual time: shares that are lent, one leased
// keeper, and an even split. Prints a table and writes all results as JSON.
//
//   node dist/bench/limits.js [FILE]

import { writeFileSync } from 'node:fs'
import { quotaCoordinator, type Member } from '../src/members/index.js'
import { accountsManifest, capExceeded, idealAdmissions, limitFleet, randomFrom, type Fleet, type Random, type AdmissionResult } from '../test/support/limit-fleet.js'

const hosts = 18
const seats = 64
const fromMs = 10_000
const faultMs = 20_000
const healMs = 40_000
const toMs = 50_000
/** A lease of the keeper, and the time after which the next one takes over. */
const leaseMs = 3000
const takeoverMs = 4000
/** Time after which the members notice. */
const noticeKillMs = 400
const noticeSilenceMs = 2500
const seeds = [1, 2, 3] as const

const ways = ['lentShares', 'leasedKeeper', 'evenSplit'] as const
type Way = typeof ways[number]

type Account = { readonly name: string, readonly ratePerS: number, readonly burst: number }
type Stream = { readonly account: Account, readonly part: number, readonly pick: (atMs: number, random: Random) => number }
type Fault = 'none' | 'storeOutage' | 'killHome' | 'cutHome' | 'pauseHome'
type Scenario = { readonly name: string, readonly streams: readonly Stream[], readonly fault: Fault }

const mill: Account = { name: 'mill', ratePerS: 100, burst: 100 }
const inn: Account = { name: 'inn', ratePerS: 50, burst: 50 }

const anywhere: Stream['pick'] = (_, random) => Math.floor(random() * hosts)
const skewed: Stream['pick'] = (_, random) => Math.floor(hosts * random() ** 4)
const oneHost: Stream['pick'] = () => 3
const roaming: Stream['pick'] = atMs => Math.floor(atMs / 1000) % hosts

const scenarios: readonly Scenario[] = [
  { name: 'even demand', streams: [{ account: mill, part: 0.9, pick: anywhere }], fault: 'none' },
  { name: 'skewed demand', streams: [{ account: mill, part: 0.9, pick: skewed }], fault: 'none' },
  { name: 'all demand on one host', streams: [{ account: mill, part: 0.9, pick: oneHost }], fault: 'none' },
  { name: 'demand that roams each second', streams: [{ account: mill, part: 0.9, pick: roaming }], fault: 'none' },
  { name: 'another account sends 5 times its rate', streams: [{ account: mill, part: 0.9, pick: skewed }, { account: inn, part: 5, pick: anywhere }], fault: 'none' },
  { name: 'store outage of 20 s, skewed', streams: [{ account: mill, part: 0.9, pick: skewed }], fault: 'storeOutage' },
  { name: 'home or keeper killed, skewed', streams: [{ account: mill, part: 0.9, pick: skewed }], fault: 'killHome' },
  { name: 'home or keeper cut off for 20 s, skewed', streams: [{ account: mill, part: 0.9, pick: skewed }], fault: 'cutHome' },
  { name: 'home or keeper paused for 20 s, skewed', streams: [{ account: mill, part: 0.9, pick: skewed }], fault: 'pauseHome' }
]

type Measured = {
  readonly scenario: string
  readonly way: Way
  readonly seed: number
  /** Tokens above burst + rate * window in the worst window of any account. */
  readonly capExceededTokens: number
  /** Part of what one bucket for the fleet would have admitted; accounts within their rate. */
  readonly wrongfulRefusals: number
  /** Least part of its due that any account got. */
  readonly worstServed: number
  readonly messagesPerHostPerS: number
}

function measure (scenario: Scenario, way: Way, seed: number): Measured {
  const accounts = [...new Set(scenario.streams.map(({ account }) => account))]
  const cut = new Set<string>()
  const isCut = (from: string, to: string): boolean => way === 'evenSplit' || cut.has(from) || cut.has(to)
  const fleet = limitFleet({
    hosts,
    seed,
    manifest: accountsManifest(seats, accounts),
    link: (from, to) => ({ isCut: isCut(from, to), lossRate: 0, delayMs: 1.5 }),
    assignsPartitions: way !== 'leasedKeeper'
  })
  const home = homeOf(fleet)
  if (way === 'leasedKeeper') giveKeeper(fleet, home)
  for (const [at, stream] of scenario.streams.entries()) send(fleet, stream, randomFrom(seed * 100 + at))
  fleet.at(faultMs, () => breakDown(fleet, scenario.fault, way, home, cut))
  fleet.run(fromMs)
  const before = fleet.counts.messages
  fleet.run(toMs + 1000)
  const perSecond = (fleet.counts.messages - before) / hosts / ((toMs - fromMs) / 1000)
  return { scenario: scenario.name, way, seed, messagesPerHostPerS: perSecond, ...judge(scenario, fleet.verdicts, home) }
}

function homeOf (fleet: Fleet): string {
  const members: readonly Member[] = fleet.stateOf('h0').members
  return quotaCoordinator(mill.name, members) as string
}

function giveKeeper (fleet: Fleet, keeper: string): void {
  for (const host of fleet.names) fleet.setMembers(host, [keeper])
  fleet.setSeats(keeper, Array.from({ length: seats }, (_, seat) => seat))
}

function send (fleet: Fleet, { account, part, pick }: Stream, random: Random): void {
  for (let atMs = fromMs; atMs < toMs; atMs -= Math.log(1 - random()) * 1000 / (part * account.ratePerS)) {
    const host = fleet.names[pick(atMs, random)] as string
    fleet.at(atMs, () => fleet.ask(host, account.name))
  }
}

function breakDown (fleet: Fleet, fault: Fault, way: Way, home: string, cut: { readonly add: (host: string) => void, readonly delete: (host: string) => void }): void {
  if (way === 'leasedKeeper' && fault !== 'none') endLease(fleet, home)
  switch (fault) {
    case 'none': return
    case 'storeOutage': {
      if (way === 'leasedKeeper') fleet.at(healMs, () => renewLease(fleet, home))
      return
    }
    case 'killHome': {
      fleet.kill(home)
      return replaceHome(fleet, way, home, noticeKillMs)
    }
    case 'cutHome': {
      cut.add(home)
      fleet.at(healMs, () => { cut.delete(home) })
      return replaceHome(fleet, way, home, noticeSilenceMs)
    }
    case 'pauseHome': {
      fleet.pause(home)
      fleet.at(healMs, () => fleet.resume(home))
      return replaceHome(fleet, way, home, noticeSilenceMs)
    }
  }
}

// The keeper knows when its lease ends and checks it at each admission.
function endLease (fleet: Fleet, keeper: string): void {
  fleet.tell(keeper, nowMs => ({ kind: 'confirmationChanged', confirmedUntilMs: nowMs + leaseMs, nowMs }))
}

function renewLease (fleet: Fleet, keeper: string): void {
  fleet.tell(keeper, nowMs => ({ kind: 'confirmationChanged', confirmedUntilMs: Infinity, nowMs }))
  giveKeeper(fleet, keeper)
}

function replaceHome (fleet: Fleet, way: Way, home: string, noticeMs: number): void {
  const others = fleet.names.filter(host => host !== home)
  switch (way) {
    case 'evenSplit': return
    case 'lentShares': return fleet.at(fleet.now() + noticeMs, () => { for (const host of others) fleet.setMembers(host, others) })
    case 'leasedKeeper': {
      return fleet.at(fleet.now() + Math.max(noticeMs, takeoverMs), () => { giveKeeper(fleet, others[0] as string) })
    }
  }
}

function judge (scenario: Scenario, verdicts: readonly AdmissionResult[], home: string): Pick<Measured, 'capExceededTokens' | 'wrongfulRefusals' | 'worstServed'> {
  // A request that came to a dead or frozen host could not have been admitted by anybody.
  const isGone = scenario.fault === 'killHome' || scenario.fault === 'pauseHome'
  const counted = verdicts.filter(({ host, askedMs }) => !(isGone && host === home && askedMs >= faultMs - 200))
  const results = scenario.streams.map(({ account: { name, ratePerS, burst }, part }) => {
    const ideal = idealAdmissions(counted, name, ratePerS, burst)
    const admitted = counted.filter(verdict => verdict.account === name && verdict.isAdmitted).length
    const wronged = [...ideal].filter(({ isAdmitted }) => !isAdmitted).length
    return {
      exceeded: capExceeded(verdicts, name, ratePerS, burst),
      wrongful: part <= 1 ? wronged / ideal.size : 0,
      served: Math.min(1, admitted / ideal.size)
    }
  })
  return {
    capExceededTokens: Math.max(...results.map(({ exceeded }) => exceeded)),
    wrongfulRefusals: Math.max(...results.map(({ wrongful }) => wrongful)),
    worstServed: Math.min(...results.map(({ served }) => served))
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length
}

function row (scenario: string, way: Way, all: readonly Measured[]): string {
  const runs = all.filter(measured => measured.scenario === scenario && measured.way === way)
  const exceeded = Math.max(...runs.map(({ capExceededTokens }) => capExceededTokens)).toFixed(2)
  const wrongful = (100 * mean(runs.map(({ wrongfulRefusals }) => wrongfulRefusals))).toFixed(2)
  const served = (100 * Math.min(...runs.map(({ worstServed }) => worstServed))).toFixed(1)
  const messages = mean(runs.map(({ messagesPerHostPerS }) => messagesPerHostPerS)).toFixed(1)
  return `| ${scenario} | ${way} | ${exceeded} | ${wrongful}% | ${served}% | ${messages} |`
}

const results = scenarios.flatMap(scenario => ways.flatMap(way => seeds.map(seed => measure(scenario, way, seed))))
console.log('| scenario | way | cap exceeded (tokens) | wrongful refusals | worst served | messages per host and s |')
console.log('| --- | --- | --- | --- | --- | --- |')
for (const { name } of scenarios) for (const way of ways) console.log(row(name, way, results))
const file = process.argv[2]
if (file !== undefined) writeFileSync(file, JSON.stringify({ hosts, seats, seeds, fromMs, toMs, results }, undefined, 1))
