// Measures failover: the process of the primary is killed under load. The gap is
// the longest time without an answered operation around the kill, from the
// histories of the callers.

import { setTimeout as delay } from 'node:timers/promises'
import type { LocalServer } from '../standins/set/local-set.js'
import { correctnessFigures, violationNotes, runCheckedLoad, type CheckedLoad } from './checked-load.js'
import type { Operation } from './history.js'
import { atMost, withoutTarget, type Figure, type MeasureResult } from './measure.js'
import { primaryOf, type Rig } from './rig.js'
import type { OperationMix } from './schedule.js'
import { percentile } from './statistics.js'

/** Rate of operations on each database. */
const operationsPerDatabasePerS = 80
const firstKillMs = 3000
const killIntervalMs = 5000
const afterLastKillMs = 6000
/**
 * Start of the interval in which the gap is measured; it ends `killIntervalMs`
 * after the kill.
 */
const gapWindowBeforeKillMs = 500
const sessionsPerGroup = 24
const accountCount = 2
const mix: OperationMix = { sessionRead: 0.4, boundedStalenessRead: 0, latestRead: 0, write: 0.55, transaction: 0.05 }

/** One failover of one database. */
export type FailoverRun = {
  readonly database: string
  readonly killedMs: number
  readonly writeGapMs: number
  readonly readGapMs: number
}

/** Results of the failovers of one set. */
export type FailoverRound = {
  readonly runs: readonly FailoverRun[]
  readonly load: CheckedLoad
}

/**
 * Kills the primary of each database of a set, one after the other.
 * @param rig - a newly started set
 * @param seed - seed of the load
 * @param count - number of databases whose primary is killed
 * @returns the gaps and the checked load
 */
export async function runFailovers (rig: Rig, seed: number, count: number): Promise<FailoverRound> {
  const databases = rig.set.options.databases.slice(0, count)
  const accounts = rig.set.options.accounts.slice(0, accountCount)
  const killed = new Map<string, LocalServer>()
  const kills = killAll(rig, databases, killed)
  const load = await runCheckedLoad({
    rig,
    seed,
    durationMs: firstKillMs + killIntervalMs * (databases.length - 1) + afterLastKillMs,
    demands: accounts.map(account => ({ account: account.name, ratePerS: operationsPerDatabasePerS * rig.set.options.databases.length / accounts.length })),
    entryProxies: rig.callerAddresses.map((_, at) => at),
    roamingFraction: 0.05,
    sessionsPerGroup,
    recordsReadServers: false,
    mix,
    servers: () => rig.set.servers.filter(server => killed.get(server.database) !== server)
  })
  const killTimes = await kills
  const runs = databases.map(database => failoverRunOf(load.history, database, killTimes.get(database) ?? NaN))
  return { runs, load }
}

async function killAll (rig: Rig, databases: readonly string[], killed: Map<string, LocalServer>): Promise<ReadonlyMap<string, number>> { // eslint-disable-line no-restricted-syntax -- filled as servers are killed
  const times = new Map<string, number>()
  await delay(firstKillMs)
  for (const database of databases) {
    const primary = await primaryOf(rig.set.servers, database)
    killed.set(database, primary)
    times.set(database, performance.now())
    await primary.process.kill()
    await delay(killIntervalMs)
  }
  return times
}

function failoverRunOf (history: readonly Operation[], database: string, killedMs: number): FailoverRun {
  const answered = history.filter(operation => operation.database === database && operation.outcome.kind === 'answered')
  const ends = (write: boolean): readonly number[] => answered
    .filter(operation => operation.request.kind.endsWith('Read') !== write)
    .map(operation => operation.endMs)
  return { database, killedMs, writeGapMs: serviceGapMs(ends(true), killedMs), readGapMs: serviceGapMs(ends(false), killedMs) }
}

/**
 * Finds the longest time without an answered operation around a kill.
 * @param endsMs - times of the answers, in any order
 * @param killedMs - time of the kill
 * @returns gap in milliseconds; infinite if no answer follows the kill
 */
export function serviceGapMs (endsMs: readonly number[], killedMs: number): number {
  const around = endsMs.filter(endMs => endMs >= killedMs - gapWindowBeforeKillMs && endMs <= killedMs + killIntervalMs).sort((a, b) => a - b)
  const last = around.at(-1)
  if (last === undefined || last < killedMs) return Infinity
  return Math.max(...around.slice(1).map((endMs, at) => endMs - (around[at] ?? endMs)))
}

/**
 * Combines the results of all rounds.
 * @param rounds - rounds of all sets
 * @returns figures of the measure
 */
export function failoverResult (rounds: readonly FailoverRound[]): MeasureResult {
  const runs = rounds.flatMap(round => round.runs)
  const writeGaps = runs.map(run => run.writeGapMs)
  const readGaps = runs.map(run => run.readGapMs)
  return {
    measure: 'failover',
    figures: [
      withoutTarget('failovers', '', runs.length),
      atMost('gap in writes, median', 'ms', percentile(writeGaps, 50), 1000),
      atMost('gap in writes, worst', 'ms', Math.max(...writeGaps), 2000),
      atMost('gap in session reads, median', 'ms', percentile(readGaps, 50), 1000),
      atMost('gap in session reads, worst', 'ms', Math.max(...readGaps), 2000),
      ...summedFigures(rounds)
    ],
    series: [{ name: 'gap in writes', unit: 'ms', samples: writeGaps }, { name: 'gap in session reads', unit: 'ms', samples: readGaps }],
    notes: [
      `gaps in writes: ${writeGaps.map(gap => gap.toFixed(0)).join(', ')} ms`,
      ...rounds.flatMap(round => violationNotes(round.load))
    ]
  }
}

/** Adds up the correctness figures of all loads. */
function summedFigures (rounds: readonly FailoverRound[]): readonly Figure[] {
  const each = rounds.map(round => correctnessFigures(round.load))
  return (each[0] ?? []).map((figure, at) => ({ ...figure, value: each.reduce((sum, figures) => sum + (figures[at]?.value ?? 0), 0) }))
}
