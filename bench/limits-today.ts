// What the limits cost and refuse wrongly for the accounts of today's sites:
// 18 hosts in three failure domains, eight accounts of different sizes, each
// with callers that stay with their hosts. Virtual time, one seed or more.
//
//   node dist/bench/limits-today.js [SEED...]

import { accountsManifest, capExceeded, idealAdmissions, limitFleet, randomFrom, type Fleet, type Link, type Random } from '../test/support/limit-fleet.js'

const hosts = 18
const failureDomains = 3
const seats = 64
/** Rates of the accounts; each has a burst of one second. */
const ratesPerS = [130, 90, 60, 45, 30, 20, 16, 12] as const
/** Part of its rate that an account usually asks for. */
const usualPart = 0.62
/** An account has a caller for each so many requests per second, four at least. */
const ratePerCaller = 3
const leastCallers = 4
const nearMs = 1
const farMs = 4
const fromMs = 10_000
const countFromMs = 12_000
const killMs = 20_000
const restartMs = 20_500
const toMs = 40_000
const endMs = 41_000

type Scenario = {
  readonly name: string
  /** What each account asks for, as a part of its rate. */
  readonly parts: readonly number[]
  /** Hosts that are killed in the middle and start again. */
  readonly killed: number
}

const usualParts = ratesPerS.map(() => usualPart)

const scenarios: readonly Scenario[] = [
  { name: 'usual demand', parts: usualParts, killed: 0 },
  { name: '90% of the rates', parts: ratesPerS.map(() => 0.9), killed: 0 },
  { name: '110% of the rates', parts: ratesPerS.map(() => 1.1), killed: 0 },
  { name: 'the largest asks for four times as much', parts: usualParts.with(0, 4 * usualPart), killed: 0 },
  { name: 'a small one asks for five times as much', parts: usualParts.with(6, 5 * usualPart), killed: 0 },
  { name: 'a third of the hosts killed', parts: usualParts, killed: 6 },
  { name: 'all hosts killed', parts: usualParts, killed: hosts }
]

type Account = { readonly name: string, readonly ratePerS: number, readonly burst: number }

const accounts: readonly Account[] = ratesPerS.map((ratePerS, at) => ({ name: `account-${at}`, ratePerS, burst: ratePerS }))

function link (from: string, to: string): Link {
  const domainOf = (host: string): number => Number(host.slice(1)) % failureDomains
  return { isCut: false, lossRate: 0, delayMs: domainOf(from) === domainOf(to) ? nearMs : farMs }
}

function send (fleet: Fleet, account: Account, part: number, random: Random): void {
  const callers = Array.from({ length: Math.max(leastCallers, Math.round(account.ratePerS / ratePerCaller)) }, () => Math.floor(random() * hosts))
  for (let atMs = fromMs; atMs < toMs; atMs -= Math.log(1 - random()) * 1000 / (part * account.ratePerS)) {
    const host = `h${callers[Math.floor(random() * callers.length)] ?? 0}`
    fleet.at(atMs, () => { fleet.ask(host, account.name) })
  }
}

function restartSome (fleet: Fleet, count: number): void {
  for (const host of fleet.names.slice(0, count)) {
    fleet.at(killMs, () => { fleet.kill(host) })
    fleet.at(restartMs, () => { fleet.restart(host) })
  }
}

type Measured = {
  readonly callsPerS: number
  readonly wronglyRefused: number
  readonly worstServed: number
  readonly capExceededTokens: number
  readonly waitMs: { readonly p50: number, readonly p99: number }
}

function measure ({ parts, killed }: Scenario, seed: number): Measured {
  const fleet = limitFleet({ hosts, seed, manifest: accountsManifest(seats, accounts), link })
  for (const [at, account] of accounts.entries()) send(fleet, account, parts[at] ?? usualPart, randomFrom(seed * 100 + at))
  restartSome(fleet, killed)
  fleet.run(countFromMs)
  const before = fleet.counts.messages
  fleet.run(endMs)
  return { callsPerS: (fleet.counts.messages - before) / 2 / ((toMs - countFromMs) / 1000), ...judge(fleet) }
}

function judge (fleet: Fleet): Omit<Measured, 'callsPerS'> {
  const results = accounts.map(({ name, ratePerS, burst }) => {
    const asked = fleet.verdicts.filter(verdict => verdict.account === name)
    const due = idealAdmissions(asked, name, ratePerS, burst)
    const admitted = asked.filter(({ isAdmitted }) => isAdmitted)
    return {
      due: due.size,
      wronged: [...due].filter(({ isAdmitted }) => !isAdmitted).length,
      served: admitted.length / due.size,
      exceeded: capExceeded(fleet.verdicts, name, ratePerS, burst),
      waitsMs: admitted.map(({ askedMs, atMs }) => atMs - askedMs)
    }
  })
  const waitsMs = results.flatMap(result => result.waitsMs).sort((a, b) => a - b)
  const quantile = (part: number): number => waitsMs[Math.floor(waitsMs.length * part)] ?? 0
  return {
    wronglyRefused: sum(results.map(({ wronged }) => wronged)) / sum(results.map(({ due }) => due)),
    worstServed: Math.min(...results.map(({ served }) => served)),
    capExceededTokens: Math.max(...results.map(({ exceeded }) => exceeded)),
    waitMs: { p50: quantile(0.5), p99: quantile(0.99) }
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0)
}

const seeds = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [1]
console.log('| demand | seed | calls between hosts per s | refused wrongly | worst served | above the cap, tokens | wait p50 / p99, ms |')
console.log('| --- | --- | --- | --- | --- | --- | --- |')
for (const scenario of scenarios) {
  for (const seed of seeds) {
    const { callsPerS, wronglyRefused, worstServed, capExceededTokens, waitMs } = measure(scenario, seed)
    console.log(`| ${scenario.name} | ${seed} | ${callsPerS.toFixed(0)} | ${(100 * wronglyRefused).toFixed(2)}% | ${(100 * worstServed).toFixed(1)}% | ${capExceededTokens.toFixed(2)} | ${waitMs.p50.toFixed(1)} / ${waitMs.p99.toFixed(1)} |`)
  }
}
