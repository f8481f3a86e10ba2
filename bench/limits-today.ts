// Measures the cost of the rate limits and their wrong rejections for accounts
// of the sizes in production: 18 hosts in three failure domains, eight accounts,
// each with callers that do not change hosts. Virtual time, one seed or more.
//
//   node dist/bench/limits-today.js [SEED...]

import { accountsManifest, capExceeded, idealAdmissions, limitFleet, randomFrom, type Fleet, type Link, type Random } from '../test/support/limit-fleet.js'

const hosts = 18
const failureDomains = 3
const partitionCount = 64
/** Rates of the accounts; each has a burst of one second. */
const ratesPerS = [130, 90, 60, 45, 30, 20, 16, 12] as const
/** Usual demand of an account, as a fraction of its rate. */
const usualLoadFraction = 0.62
/** An account has one caller for each 3 requests per second of its rate, at least four. */
const ratePerCallerPerS = 3
const minCallers = 4
const sameDomainDelayMs = 1
const crossDomainDelayMs = 4
const fromMs = 10_000
const measuredFromMs = 12_000
const killMs = 20_000
const restartMs = 20_500
const toMs = 40_000
const endMs = 41_000

type Scenario = {
  readonly name: string
  /** Demand of each account, as a fraction of its rate. */
  readonly loadFractions: readonly number[]
  /** Number of hosts that are killed in the middle of the run and restarted. */
  readonly killed: number
}

const usualLoadFractions = ratesPerS.map(() => usualLoadFraction)

const scenarios: readonly Scenario[] = [
  { name: 'usual demand', loadFractions: usualLoadFractions, killed: 0 },
  { name: '90% of the rates', loadFractions: ratesPerS.map(() => 0.9), killed: 0 },
  { name: '110% of the rates', loadFractions: ratesPerS.map(() => 1.1), killed: 0 },
  { name: 'largest account, four times the usual demand', loadFractions: usualLoadFractions.with(0, 4 * usualLoadFraction), killed: 0 },
  { name: 'a small account, five times the usual demand', loadFractions: usualLoadFractions.with(6, 5 * usualLoadFraction), killed: 0 },
  { name: 'a third of the hosts killed', loadFractions: usualLoadFractions, killed: 6 },
  { name: 'all hosts killed', loadFractions: usualLoadFractions, killed: hosts }
]

type Account = { readonly name: string, readonly ratePerS: number, readonly burst: number }

const accounts: readonly Account[] = ratesPerS.map((ratePerS, at) => ({ name: `account-${at}`, ratePerS, burst: ratePerS }))

function link (from: string, to: string): Link {
  const domainOf = (host: string): number => Number(host.slice(1)) % failureDomains
  return { isCut: false, lossRate: 0, delayMs: domainOf(from) === domainOf(to) ? sameDomainDelayMs : crossDomainDelayMs }
}

function sendRequests (fleet: Fleet, account: Account, loadFraction: number, random: Random): void {
  const callers = Array.from({ length: Math.max(minCallers, Math.round(account.ratePerS / ratePerCallerPerS)) }, () => Math.floor(random() * hosts))
  for (let atMs = fromMs; atMs < toMs; atMs -= Math.log(1 - random()) * 1000 / (loadFraction * account.ratePerS)) {
    const host = `h${callers[Math.floor(random() * callers.length)] ?? 0}`
    fleet.at(atMs, () => { fleet.request(host, account.name) })
  }
}

function killAndRestart (fleet: Fleet, count: number): void {
  for (const host of fleet.names.slice(0, count)) {
    fleet.at(killMs, () => { fleet.kill(host) })
    fleet.at(restartMs, () => { fleet.restart(host) })
  }
}

type Measured = {
  readonly callsPerS: number
  readonly wronglyRejected: number
  readonly worstServed: number
  readonly capExceededTokens: number
  readonly waitMs: { readonly p50: number, readonly p99: number }
}

function measure ({ loadFractions, killed }: Scenario, seed: number): Measured {
  const fleet = limitFleet({ hosts, seed, manifest: accountsManifest(partitionCount, accounts), link })
  for (const [at, account] of accounts.entries()) sendRequests(fleet, account, loadFractions[at] ?? usualLoadFraction, randomFrom(seed * 100 + at))
  killAndRestart(fleet, killed)
  fleet.run(measuredFromMs)
  const before = fleet.counts.messages
  fleet.run(endMs)
  return { callsPerS: (fleet.counts.messages - before) / 2 / ((toMs - measuredFromMs) / 1000), ...summarize(fleet) }
}

function summarize (fleet: Fleet): Omit<Measured, 'callsPerS'> {
  const results = accounts.map(({ name, ratePerS, burst }) => {
    const requests = fleet.results.filter(result => result.account === name)
    const admissible = idealAdmissions(requests, name, ratePerS, burst)
    const admitted = requests.filter(({ isAdmitted }) => isAdmitted)
    return {
      admissible: admissible.size,
      wronglyRejected: [...admissible].filter(({ isAdmitted }) => !isAdmitted).length,
      servedFraction: admitted.length / admissible.size,
      exceededTokens: capExceeded(fleet.results, name, ratePerS, burst),
      waitsMs: admitted.map(({ requestedMs, atMs }) => atMs - requestedMs)
    }
  })
  const waitsMs = results.flatMap(result => result.waitsMs).sort((a, b) => a - b)
  const quantile = (fraction: number): number => waitsMs[Math.floor(waitsMs.length * fraction)] ?? 0
  return {
    wronglyRejected: sum(results.map(({ wronglyRejected }) => wronglyRejected)) / sum(results.map(({ admissible }) => admissible)),
    worstServed: Math.min(...results.map(({ servedFraction }) => servedFraction)),
    capExceededTokens: Math.max(...results.map(({ exceededTokens }) => exceededTokens)),
    waitMs: { p50: quantile(0.5), p99: quantile(0.99) }
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0)
}

const seeds = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [1]
console.log('| demand | seed | calls between hosts per s | wrongly rejected | worst-served account | above the limit, tokens | wait p50 / p99, ms |')
console.log('| --- | --- | --- | --- | --- | --- | --- |')
for (const scenario of scenarios) {
  for (const seed of seeds) {
    const { callsPerS, wronglyRejected, worstServed, capExceededTokens, waitMs } = measure(scenario, seed)
    console.log(`| ${scenario.name} | ${seed} | ${callsPerS.toFixed(0)} | ${(100 * wronglyRejected).toFixed(2)}% | ${(100 * worstServed).toFixed(1)}% | ${capExceededTokens.toFixed(2)} | ${waitMs.p50.toFixed(1)} / ${waitMs.p99.toFixed(1)} |`)
  }
}
