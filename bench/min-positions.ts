// Compares rules for routing the reads of a session: to the primary only, to
// replicas that have applied the position at which the session was opened, or
// to replicas that have applied the minimum position in its token. Sessions
// move between proxies often, and each move opens a new session.
// Run: node dist/bench/min-positions.js

import { seededRandom, type Random } from './seeded-random.js'

type Rule = {
  readonly name: string
  readonly usesReplicas: boolean
  readonly initialMinPosition: 'opening' | 'token'
  /**
   * Whether the position of a read raises the minimum position, so that no
   * later read is older.
   */
  readonly raisedByReads: boolean
}

type Load = {
  readonly name: string
  /** Write rate of all sessions together. */
  readonly writesPerS: number
  readonly lagMs: number
  /** Fraction of a session's statements that are writes. */
  readonly writeFraction: number
  /** Number of statements between two moves to another proxy. */
  readonly statementsPerMove: number
}

const sessions = 2000
const statementsPerSession = 40
const meanStatementGapMs = 50
const seed = 31
const randomValuesPerStatement = 2

const loads: readonly Load[] = [
  { name: 'lag 20 ms, moves after 10', writesPerS: 200, lagMs: 20, writeFraction: 0.1, statementsPerMove: 10 },
  { name: 'lag 200 ms, moves after 10', writesPerS: 200, lagMs: 200, writeFraction: 0.1, statementsPerMove: 10 },
  { name: 'lag 200 ms, moves after each', writesPerS: 200, lagMs: 200, writeFraction: 0.1, statementsPerMove: 1 },
  { name: 'lag 200 ms, few writes of its own', writesPerS: 200, lagMs: 200, writeFraction: 0.01, statementsPerMove: 10 }
]

const rules: readonly Rule[] = [
  { name: 'primary only', usesReplicas: false, initialMinPosition: 'token', raisedByReads: true },
  { name: 'position at opening', usesReplicas: true, initialMinPosition: 'opening', raisedByReads: true },
  { name: 'token', usesReplicas: true, initialMinPosition: 'token', raisedByReads: true },
  { name: 'position at opening, raised by writes only', usesReplicas: true, initialMinPosition: 'opening', raisedByReads: false },
  { name: 'token, raised by writes only', usesReplicas: true, initialMinPosition: 'token', raisedByReads: false }
]

/**
 * Fraction of the reads that replicas serve. The model uses times as log
 * positions: the log grows evenly, and a replica is `lagMs` behind.
 */
function replicaReadFraction (rule: Rule, load: Load, random: Random): number {
  let reads = 0
  let byReplica = 0
  for (let session = 0; session < sessions; session += 1) {
    let nowMs = 0
    let minPositionMs = -Infinity
    for (let statement = 0; statement < statementsPerSession; statement += 1) {
      const startsSession = statement % load.statementsPerMove === 0
      nowMs += random() * 2 * meanStatementGapMs
      const position = Math.floor(nowMs * load.writesPerS / 1000) * 1000 / load.writesPerS
      if (startsSession && rule.initialMinPosition === 'opening') minPositionMs = position
      if (random() < load.writeFraction) {
        minPositionMs = nowMs
        continue
      }
      reads += 1
      const appliedMs = nowMs - load.lagMs
      const fromReplica = rule.usesReplicas && appliedMs >= minPositionMs
      if (fromReplica) byReplica += 1
      if (rule.raisedByReads) minPositionMs = Math.max(minPositionMs, fromReplica ? appliedMs : position)
    }
  }
  return byReplica / reads
}

console.log(`| load | ${rules.map(rule => rule.name).join(' | ')} |`)
console.log(`| --- |${rules.map(() => ' --- |').join('')}`)
for (const load of loads) {
  const fractions = rules.map(rule => replicaReadFraction(rule, load, seededRandom(seed, sessions * statementsPerSession * randomValuesPerStatement)))
  console.log(`| ${load.name} | ${fractions.map(fraction => `${(fraction * 100).toFixed(1)} %`).join(' | ')} |`)
}
