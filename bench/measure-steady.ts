// Measures steady operation: each account stays within its rate, but for one
// that sends five times its rate. Gives the fraction of the reads that replicas
// serve, the worst-served account and the rejections within the rate.

import type { Deployment } from './deployment.js'
import type { Operation } from './history.js'
import { correctnessFigures, violationNotes, runCheckedLoad, type CheckedLoad } from './checked-load.js'
import { atLeast, atMost, withoutTarget, type Figure, type MeasureResult } from './measure.js'
import { checkAccount, type AccountResult } from './rate-oracle.js'
import { primaryOf, type Rig } from './rig.js'
import { percentile } from './statistics.js'
import type { Demand } from './schedule.js'

/** Statements that a normal account sends, as a fraction of its rate. */
export const normalLoadFraction = 0.7
/** Sessions of each account on each database. */
export const normalSessionsPerGroup = 8
const noisyFactor = 5
/**
 * Mean statements of one operation of the default mix; a transaction has three
 * that count.
 */
const meanStatementsPerOperation = 1.1
const roamingFraction = 0.1
const percentOf = 100

/** Options of a measure. */
export type MeasureSpec = {
  readonly deployment: Deployment
  readonly rig: Rig
  readonly seed: number
  readonly durationMs: number
}

/**
 * Measures steady operation.
 * @param spec - deployment, rig, seed and duration
 * @returns figures of the measure
 */
export async function measureSteady (spec: MeasureSpec): Promise<MeasureResult> {
  const { deployment, rig } = spec
  const primaries = await primaryNames(rig)
  const load = await runCheckedLoad({
    rig,
    seed: spec.seed,
    durationMs: spec.durationMs,
    demands: steadyDemands(deployment),
    entryProxies: rig.callerAddresses.map((_, at) => at),
    roamingFraction,
    sessionsPerGroup: normalSessionsPerGroup,
    recordsReadServers: true,
    servers: () => rig.set.servers
  })
  const others = load.history.filter(operation => operation.account !== deployment.noisyAccount)
  const accountResults = deployment.accounts.map(account => checkAccount({ account: account.name, ratePerS: account.ratePerS, burst: account.burst }, load.history))
  return {
    measure: 'steady',
    figures: [...correctnessFigures(load), ...replicaFigures(load, primaries), ...fairnessFigures(accountResults, deployment.noisyAccount), ...latencyFigures(others)],
    series: latencySeries(others),
    notes: [...violationNotes(load), ...accountResults.map(accountNote)]
  }
}

function steadyDemands (deployment: Deployment): readonly Demand[] {
  return deployment.accounts.map(account => {
    const factor = account.name === deployment.noisyAccount ? noisyFactor : normalLoadFraction
    return { account: account.name, ratePerS: account.ratePerS * factor / meanStatementsPerOperation }
  })
}

async function primaryNames (rig: Rig): Promise<ReadonlySet<string>> {
  const primaries = await Promise.all(rig.set.options.databases.map(async database => await primaryOf(rig.set.servers, database)))
  return new Set(primaries.map(server => server.name))
}

function replicaFigures (load: CheckedLoad, primaries: ReadonlySet<string>): readonly Figure[] {
  const replicaPercent = (kind: Operation['request']['kind']): number => {
    const servers = load.history
      .filter(operation => operation.request.kind === kind && operation.outcome.kind === 'answered')
      .flatMap(operation => load.readServers.get(operation.id)?.slice(0, 1) ?? [])
    return percentOf * servers.filter(server => !primaries.has(server)).length / servers.length
  }
  const reads = load.history.filter(operation => operation.request.kind.endsWith('Read') && operation.outcome.kind === 'answered')
  const located = reads.filter(operation => load.readServers.has(operation.id)).length
  return [
    atLeast('bounded-staleness reads on replicas', '%', replicaPercent('boundedStalenessRead'), 90),
    atLeast('session reads on replicas', '%', replicaPercent('sessionRead'), 70),
    withoutTarget('latest reads on replicas', '%', replicaPercent('latestRead')),
    withoutTarget('reads found in a server\'s log', '%', percentOf * located / reads.length)
  ]
}

export function fairnessFigures (results: readonly AccountResult[], noisyAccount: string): readonly Figure[] {
  const others = results.filter(result => result.account !== noisyAccount)
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  return [
    atLeast('worst-served account, fraction of its admissible operations', '%', percentOf * Math.min(...others.map(result => result.servedFraction)), 95),
    withoutTarget('account above its rate, fraction of its admissible operations', '%', percentOf * (results.find(result => result.account === noisyAccount)?.servedFraction ?? 1)),
    atMost('rejections within the rate', '', sum(others.map(wronglyRejected)), 0),
    atMost('statements admitted above rate and burst', '', Math.max(...results.map(result => result.overLimit)), 0)
  ]
}

/** Number of operations not run for any reason although within the account's rate. */
export function wronglyRejected (result: AccountResult): number {
  return result.wrongRejections + result.otherNotRun
}

export function latencyFigures (history: readonly Operation[]): readonly Figure[] {
  const waits = history.map(operation => operation.startMs - operation.scheduledMs)
  return [
    ...latencySeries(history).flatMap(({ name, samples }) => [
      withoutTarget(`${name} p50`, 'ms', percentile(samples, 50)),
      withoutTarget(`${name} p99`, 'ms', percentile(samples, 99))
    ]),
    withoutTarget('wait for a free session, login included, p50', 'ms', percentile(waits, 50)),
    withoutTarget('wait for a free session, login included, p99', 'ms', percentile(waits, 99))
  ]
}

function latencySeries (history: readonly Operation[]): MeasureResult['series'] {
  const answered = history.filter(operation => operation.outcome.kind === 'answered')
  const kinds = [...new Set(answered.map(operation => operation.request.kind))].sort()
  return kinds.map(kind => ({
    name: kind,
    unit: 'ms',
    samples: answered.filter(operation => operation.request.kind === kind).map(operation => operation.endMs - operation.startMs)
  }))
}

export function accountNote (result: AccountResult): string {
  return `${result.account}: offered ${result.offered}, admissible ${result.admissible}, answered ${result.answered}, rejected by the rate limit ${result.rejectedByRate} (${result.wrongRejections} while its bucket held a token), otherwise not run ${result.otherNotRun}, unknown ${result.unknown}`
}
