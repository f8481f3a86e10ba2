// Runs one load on a rig and judges it.

import { readFacts, type Rig } from './rig.js'
import { runLoad } from './load.js'
import { collectServerLog, type ReadServers } from './server-log.js'
import { staleReads, wrongWrites, type StaleRead, type WrongWrite } from './oracle.js'
import { scheduleOf, defaultMix, type Demand, type OperationMix } from './schedule.js'
import type { Operation } from './history.js'
import { atMost, withoutTarget, type Figure } from './measure.js'
import type { LocalServer } from '../standins/set/local-set.js'

/** Reads of a stated age ask for at most this age. */
export const maxStalenessMs = 500
const serverLogPeriodMs = 1000
const maxListedViolations = 5

/** What a judged load needs. */
export type CheckedLoadSpec = {
  readonly rig: Rig
  readonly seed: number
  readonly durationMs: number
  readonly demands: readonly Demand[]
  /** Proxies that callers use. */
  readonly entryProxies: readonly number[]
  readonly roamingFraction: number
  /** Sessions of each account on each database. */
  readonly sessionsPerGroup: number
  /** Servers' logs are collected to tell which server ran each read. */
  readonly recordsReadServers: boolean
  readonly mix?: OperationMix
  /** Servers that still run when the load has ended. */
  readonly servers: () => readonly LocalServer[]
}

/** A load with its judgement. */
export type CheckedLoad = {
  readonly history: readonly Operation[]
  readonly stale: readonly StaleRead[]
  readonly wrong: readonly WrongWrite[]
  readonly readServers: ReadServers
}

/**
 * Runs a load and judges it.
 * @param spec - what it needs
 * @returns history and judgement
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

/** Figures that hold for every load: nothing stale, lost, doubled or untrue. */
export function correctnessFigures (load: CheckedLoad): readonly Figure[] {
  const stale = (kind: string): number => load.stale.filter(each => each.operation.request.kind === kind).length
  const wrong = (kind: WrongWrite['kind']): number => load.wrong.filter(each => each.kind === kind).length
  const outcomes = (kind: string): number => load.history.filter(each => each.outcome.kind === kind).length
  return [
    withoutTarget('operations', '', load.history.length),
    withoutTarget('answered', '', outcomes('answered')),
    withoutTarget('said not run', '', outcomes('notRun')),
    withoutTarget('outcome unknown', '', outcomes('unknown')),
    withoutTarget('refused by the database', '', outcomes('refused')),
    atMost('session reads older than their floor', '', stale('sessionRead'), 0),
    atMost('reads older than their stated age', '', stale('agedRead'), 0),
    atMost('latest reads that missed a write', '', stale('latestRead'), 0),
    atMost('lost writes', '', wrong('lostWrite'), 0),
    atMost('doubled writes', '', wrong('doubledWrite'), 0),
    atMost('refusals that were untrue', '', wrong('untrueRefusal'), 0),
    atMost('torn transactions', '', wrong('tornTransaction'), 0)
  ]
}

/** The first faults with their evidence, and the reasons of what failed. */
export function violationNotes (load: CheckedLoad): readonly string[] {
  const stale = load.stale.slice(0, maxListedViolations).map(each =>
    `stale ${each.operation.request.kind} ${each.operation.id}: read ${each.read}, expected at least ${each.expectedAtLeast}, ${operationContext(load, each.operation)}`)
  const wrong = load.wrong.slice(0, maxListedViolations).map(each =>
    `${each.kind} ${each.operation.id}: told ${JSON.stringify(each.operation.outcome)}, ${operationContext(load, each.operation)}`)
  const reasons = new Map<string, number>()
  for (const { outcome } of load.history) {
    if (outcome.kind === 'answered') continue
    const reason = outcome.kind === 'refused' ? `refused ${outcome.errorNumber} ${outcome.message}` : `${outcome.kind} ${outcome.reason}`
    reasons.set(reason, (reasons.get(reason) ?? 0) + 1)
  }
  return [...stale, ...wrong, ...[...reasons].map(([reason, count]) => `${count} times: ${reason}`)]
}

function operationContext (load: CheckedLoad, operation: Operation): string {
  const servers = load.readServers.get(operation.id)?.join(' ') ?? 'not seen'
  return `account ${operation.account}, session ${operation.session}, database ${operation.database}, proxy ${operation.proxy}, from ${operation.startMs.toFixed(0)} to ${operation.endMs.toFixed(0)} ms, server ${servers}`
}
