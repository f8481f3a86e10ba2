// Runs one load on a rig and checks its history for consistency violations.

import { readFacts, type Rig } from './rig.js'
import { runLoad } from './load.js'
import { collectServerLog, type ReadServers } from './server-log.js'
import { staleReads, wrongWrites, type StaleRead, type WrongWrite } from './oracle.js'
import { scheduleOf, defaultMix, type Demand, type OperationMix } from './schedule.js'
import type { Operation } from './history.js'
import { atMost, withoutTarget, type Figure } from './measure.js'
import type { LocalServer } from '../standins/set/local-set.js'

/** Staleness bound of bounded-staleness reads. */
export const maxStalenessMs = 500
const serverLogPeriodMs = 1000
const maxListedViolations = 5

/** Options of a checked load. */
export type CheckedLoadSpec = {
  readonly rig: Rig
  readonly seed: number
  readonly durationMs: number
  readonly demands: readonly Demand[]
  /** Indexes of the proxies that callers use. */
  readonly entryProxies: readonly number[]
  /** Fraction of the operations before which the session switches proxies. */
  readonly roamingFraction: number
  /** Sessions of each account on each database. */
  readonly sessionsPerGroup: number
  /** Whether to find the server of each read from the servers' statement logs. */
  readonly recordsReadServers: boolean
  readonly mix?: OperationMix
  /** Servers that are running when the load has ended. */
  readonly servers: () => readonly LocalServer[]
}

/** History of a load with the violations that were found. */
export type CheckedLoad = {
  readonly history: readonly Operation[]
  readonly stale: readonly StaleRead[]
  readonly wrong: readonly WrongWrite[]
  readonly readServers: ReadServers
}

/**
 * Runs a load and checks it.
 * @param spec - options of the load
 * @returns history and violations
 */
export async function runCheckedLoad (spec: CheckedLoadSpec): Promise<CheckedLoad> {
  const { rig } = spec
  const { databases } = rig.set.options
  const arrivals = scheduleOf({
    seed: spec.seed,
    durationMs: spec.durationMs,
    demands: spec.demands,
    mix: spec.mix ?? defaultMix,
    maxAgeMs: maxStalenessMs,
    databases: databases.length,
    proxies: spec.entryProxies,
    roamingFraction: spec.roamingFraction,
    firstId: 1
  })
  const log = spec.recordsReadServers ? await collectServerLog(rig.set.servers, serverLogPeriodMs) : undefined
  const history = await runLoad({ arrivals, databases, proxies: rig.callerAddresses, entryProxies: spec.entryProxies, keys: rig.set.keys, sessionsPerGroup: spec.sessionsPerGroup, firstSession: 1 })
  const readServers = await log?.stop() ?? new Map()
  const rows = await readFacts(rig.set, spec.servers())
  return { history, stale: staleReads(history), wrong: wrongWrites(history, rows), readServers }
}

/**
 * Figures that apply to every load: the number of outcomes and of violations of
 * each kind.
 */
export function correctnessFigures (load: CheckedLoad): readonly Figure[] {
  const stale = (kind: string): number => load.stale.filter(each => each.operation.request.kind === kind).length
  const wrong = (kind: WrongWrite['kind']): number => load.wrong.filter(each => each.kind === kind).length
  const outcomes = (kind: string): number => load.history.filter(each => each.outcome.kind === kind).length
  return [
    withoutTarget('operations', '', load.history.length),
    withoutTarget('answered', '', outcomes('answered')),
    withoutTarget('not run', '', outcomes('notRun')),
    withoutTarget('outcome unknown', '', outcomes('unknown')),
    withoutTarget('rejected by the database', '', outcomes('refused')),
    atMost('session reads below their minimum position', '', stale('sessionRead'), 0),
    atMost('bounded-staleness reads beyond their bound', '', stale('boundedStalenessRead'), 0),
    atMost('latest reads that missed a write', '', stale('latestRead'), 0),
    atMost('lost writes', '', wrong('lostWrite'), 0),
    atMost('duplicated writes', '', wrong('duplicatedWrite'), 0),
    atMost('false rejections', '', wrong('falseRejection'), 0),
    atMost('torn transactions', '', wrong('tornTransaction'), 0)
  ]
}

/** The first violations with their details, and the count of each failure reason. */
export function violationNotes (load: CheckedLoad): readonly string[] {
  const stale = load.stale.slice(0, maxListedViolations).map(each =>
    `stale ${each.operation.request.kind} ${each.operation.id}: read ${each.read}, expected at least ${each.expectedAtLeast}, ${operationContext(load, each.operation)}`)
  const wrong = load.wrong.slice(0, maxListedViolations).map(each =>
    `${each.kind} ${each.operation.id}: reported ${JSON.stringify(each.operation.outcome)}, ${operationContext(load, each.operation)}`)
  const reasons = new Map<string, number>()
  for (const { outcome } of load.history) {
    if (outcome.kind === 'answered') continue
    const reason = outcome.kind === 'refused' ? `rejected ${outcome.errorNumber} ${outcome.message}` : `${outcome.kind} ${outcome.reason}`
    reasons.set(reason, (reasons.get(reason) ?? 0) + 1)
  }
  return [...stale, ...wrong, ...[...reasons].map(([reason, count]) => `${count} times: ${reason}`)]
}

function operationContext (load: CheckedLoad, operation: Operation): string {
  const servers = load.readServers.get(operation.id)?.join(' ') ?? 'unknown'
  return `account ${operation.account}, session ${operation.session}, database ${operation.database}, proxy ${operation.proxy}, from ${operation.startMs.toFixed(0)} to ${operation.endMs.toFixed(0)} ms, server ${servers}`
}
