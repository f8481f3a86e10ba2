// Runs one load on a rig and judges it.

import { readFacts, type Rig } from './rig.js'
import { runLoad } from './load.js'
import { collectServerLog, type ReadPlaces } from './server-log.js'
import { staleReads, wrongWrites, type StaleRead, type WrongWrite } from './oracle.js'
import { scheduleOf, usualMix, type Demand, type Mix } from './schedule.js'
import type { Operation } from './history.js'
import { atMost, plain, type Figure } from './measure.js'
import type { LocalServer } from '../standins/set/local-set.js'

/** Reads of a stated age ask for at most this age. */
export const statedAgeMs = 500
const serverLogPeriodMs = 1000
const shownFaults = 5

/** What a judged load needs. */
export type JudgedLoadSpec = {
  readonly rig: Rig
  readonly seed: number
  readonly durationMs: number
  readonly demands: readonly Demand[]
  /** Proxies that callers use. */
  readonly entries: readonly number[]
  readonly roaming: number
  /** Sessions of each account on each database. */
  readonly sessionsEach: number
  /** Servers' logs are collected to tell which server ran each read. */
  readonly collectPlaces: boolean
  readonly mix?: Mix
  /** Servers that still run when the load has ended. */
  readonly servers: () => readonly LocalServer[]
}

/** A load with its judgement. */
export type JudgedLoad = {
  readonly history: readonly Operation[]
  readonly stale: readonly StaleRead[]
  readonly wrong: readonly WrongWrite[]
  readonly places: ReadPlaces
}

/**
 * Runs a load and judges it.
 * @param spec - what it needs
 * @returns history and judgement
 */
export async function runJudgedLoad (spec: JudgedLoadSpec): Promise<JudgedLoad> {
  const { rig } = spec
  const { databases } = rig.set.options
  const arrivals = scheduleOf({
    seed: spec.seed,
    durationMs: spec.durationMs,
    demands: spec.demands,
    mix: spec.mix ?? usualMix,
    maxAgeMs: statedAgeMs,
    databases: databases.length,
    proxies: spec.entries,
    roaming: spec.roaming,
    firstId: 1
  })
  const log = spec.collectPlaces ? await collectServerLog(rig.set.servers, serverLogPeriodMs) : undefined
  const history = await runLoad({ arrivals, databases, proxies: rig.entrances, entries: spec.entries, keys: rig.set.keys, sessionsEach: spec.sessionsEach, firstSession: 1 })
  const places = await log?.stop() ?? new Map()
  const rows = await readFacts(rig.set, spec.servers())
  return { history, stale: staleReads(history), wrong: wrongWrites(history, rows), places }
}

/** Figures that hold for every load: nothing stale, lost, doubled or untrue. */
export function correctnessFigures (load: JudgedLoad): readonly Figure[] {
  const stale = (kind: string): number => load.stale.filter(each => each.operation.request.kind === kind).length
  const wrong = (kind: WrongWrite['kind']): number => load.wrong.filter(each => each.kind === kind).length
  const outcomes = (kind: string): number => load.history.filter(each => each.outcome.kind === kind).length
  return [
    plain('operations', '', load.history.length),
    plain('answered', '', outcomes('answered')),
    plain('said not run', '', outcomes('notRun')),
    plain('outcome unknown', '', outcomes('unknown')),
    plain('refused by the database', '', outcomes('refused')),
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
export function faultNotes (load: JudgedLoad): readonly string[] {
  const stale = load.stale.slice(0, shownFaults).map(each =>
    `stale ${each.operation.request.kind} ${each.operation.id}: read ${each.read}, expected at least ${each.expectedAtLeast}, ${placeOf(load, each.operation)}`)
  const wrong = load.wrong.slice(0, shownFaults).map(each =>
    `${each.kind} ${each.operation.id}: told ${JSON.stringify(each.operation.outcome)}, ${placeOf(load, each.operation)}`)
  const reasons = new Map<string, number>()
  for (const { outcome } of load.history) {
    if (outcome.kind === 'answered') continue
    const reason = outcome.kind === 'refused' ? `refused ${outcome.errorNumber} ${outcome.message}` : `${outcome.kind} ${outcome.reason}`
    reasons.set(reason, (reasons.get(reason) ?? 0) + 1)
  }
  return [...stale, ...wrong, ...[...reasons].map(([reason, count]) => `${count} times: ${reason}`)]
}

function placeOf (load: JudgedLoad, operation: Operation): string {
  const servers = load.places.get(operation.id)?.join(' ') ?? 'not seen'
  return `account ${operation.account}, session ${operation.session}, database ${operation.database}, proxy ${operation.proxy}, from ${operation.startMs.toFixed(0)} to ${operation.endMs.toFixed(0)} ms, server ${servers}`
}
