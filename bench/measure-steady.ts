// Steady running: every account within its rate, but one that sends five times
// its own. Gives the share of reads on replicas, the worst-served account and
// refusals within rate.

import type { Deployment } from './deployment.js'
import type { Operation } from './history.js'
import { correctnessFigures, faultNotes, runJudgedLoad, type JudgedLoad } from './judged-load.js'
import { atLeast, atMost, plain, type Figure, type MeasureResult } from './measure.js'
import { judgeAccount, type AccountVerdict } from './rate-oracle.js'
import { primaryOf, type Rig } from './rig.js'
import { percentile } from './statistics.js'
import type { Demand } from './schedule.js'

/** Part of its rate that a well-behaved account sends, counted in statements. */
export const usualLoad = 0.7
/** Sessions of each account on each database. */
export const usualSessions = 8
const noisyFactor = 5
/** Mean statements of one operation of the usual mix: a transaction takes three. */
const statementsEach = 1.1
const roaming = 0.1
const percentOf = 100

/** How a measure runs. */
export type MeasureSpec = {
  readonly deployment: Deployment
  readonly rig: Rig
  readonly seed: number
  readonly durationMs: number
}

/**
 * Measures steady running.
 * @param spec - deployment, rig, seed and time
 * @returns the figures
 */
export async function measureSteady (spec: MeasureSpec): Promise<MeasureResult> {
  const { deployment, rig } = spec
  const primaries = await primaryNames(rig)
  const load = await runJudgedLoad({
    rig,
    seed: spec.seed,
    durationMs: spec.durationMs,
    demands: steadyDemands(deployment),
    entries: rig.entrances.map((_, at) => at),
    roaming,
    sessionsEach: usualSessions,
    collectPlaces: true,
    servers: () => rig.set.servers
  })
  const others = load.history.filter(operation => operation.account !== deployment.noisyAccount)
  const verdicts = deployment.accounts.map(account => judgeAccount({ account: account.name, ratePerS: account.ratePerS, burst: account.burst }, load.history))
  return {
    measure: 'steady',
    figures: [...correctnessFigures(load), ...replicaFigures(load, primaries), ...fairnessFigures(verdicts, deployment.noisyAccount), ...latencyFigures(others)],
    series: latencySeries(others),
    notes: [...faultNotes(load), ...verdicts.map(verdictNote)]
  }
}

function steadyDemands (deployment: Deployment): readonly Demand[] {
  return deployment.accounts.map(account => {
    const factor = account.name === deployment.noisyAccount ? noisyFactor : usualLoad
    return { account: account.name, ratePerS: account.ratePerS * factor / statementsEach }
  })
}

async function primaryNames (rig: Rig): Promise<ReadonlySet<string>> {
  const primaries = await Promise.all(rig.set.options.databases.map(async database => await primaryOf(rig.set.servers, database)))
  return new Set(primaries.map(server => server.name))
}

function replicaFigures (load: JudgedLoad, primaries: ReadonlySet<string>): readonly Figure[] {
  const share = (kind: Operation['request']['kind']): number => {
    const servers = load.history
      .filter(operation => operation.request.kind === kind && operation.outcome.kind === 'answered')
      .flatMap(operation => load.places.get(operation.id)?.slice(0, 1) ?? [])
    return percentOf * servers.filter(server => !primaries.has(server)).length / servers.length
  }
  const reads = load.history.filter(operation => operation.request.kind.endsWith('Read') && operation.outcome.kind === 'answered')
  const placed = reads.filter(operation => load.places.has(operation.id)).length
  return [
    atLeast('reads of a stated age on replicas', '%', share('agedRead'), 90),
    atLeast('session reads on replicas', '%', share('sessionRead'), 70),
    plain('latest reads on replicas', '%', share('latestRead')),
    plain('reads found in a server\'s log', '%', percentOf * placed / reads.length)
  ]
}

export function fairnessFigures (verdicts: readonly AccountVerdict[], noisy: string): readonly Figure[] {
  const others = verdicts.filter(verdict => verdict.account !== noisy)
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  return [
    atLeast('worst-served account, part of its due', '%', percentOf * Math.min(...others.map(verdict => verdict.shareOfDue)), 95),
    plain('the account over its rate, part of its due', '%', percentOf * (verdicts.find(verdict => verdict.account === noisy)?.shareOfDue ?? 1)),
    atMost('refusals within rate', '', sum(others.map(wronglyRefused)), 0),
    atMost('statements admitted beyond rate and burst', '', Math.max(...verdicts.map(verdict => verdict.overCap)), 0)
  ]
}

/** Refused though within its rate, for whatever reason. */
export function wronglyRefused (verdict: AccountVerdict): number {
  return verdict.wrongfulRefusals + verdict.otherNotRun
}

export function latencyFigures (history: readonly Operation[]): readonly Figure[] {
  const waits = history.map(operation => operation.startMs - operation.dueMs)
  return [
    ...latencySeries(history).flatMap(({ name, samples }) => [
      plain(`${name} p50`, 'ms', percentile(samples, 50)),
      plain(`${name} p99`, 'ms', percentile(samples, 99))
    ]),
    plain('wait for a free session, login included, p50', 'ms', percentile(waits, 50)),
    plain('wait for a free session, login included, p99', 'ms', percentile(waits, 99))
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

export function verdictNote (verdict: AccountVerdict): string {
  return `${verdict.account}: offered ${verdict.offered}, due ${verdict.due}, answered ${verdict.answered}, refused by rate ${verdict.refusedByRate} (${verdict.wrongfulRefusals} while its bucket held a token), otherwise not run ${verdict.otherNotRun}, unknown ${verdict.unknown}`
}
