// Weighs where a session's reads may go: to the primary only, to replicas that
// reached its opening floor, or to replicas that reached the floor of its
// token. Sessions are short and roam, so each move opens one anew.
// Run: node dist/bench/floors.js

import { seededRandom, type Random } from './seeded-random.js'

type Rule = {
  readonly name: string
  readonly replicas: boolean
  readonly initialMinPosition: 'floor' | 'token'
  /** Whether what a read saw raises the floor, so that no later read is older. */
  readonly raisedByReads: boolean
}

type Load = {
  readonly name: string
  /** Writes of all sessions together. */
  readonly writesPerS: number
  readonly lagMs: number
  /** Part of a session's statements that are writes of its own. */
  readonly writeFraction: number
  /** Statements until a session moves to another proxy. */
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
  { name: 'primary only', replicas: false, initialMinPosition: 'token', raisedByReads: true },
  { name: 'opening floor', replicas: true, initialMinPosition: 'floor', raisedByReads: true },
  { name: 'token', replicas: true, initialMinPosition: 'token', raisedByReads: true },
  { name: 'opening floor, raised by writes only', replicas: true, initialMinPosition: 'floor', raisedByReads: false },
  { name: 'token, raised by writes only', replicas: true, initialMinPosition: 'token', raisedByReads: false }
]

/** Positions are times here: the log grows evenly, a replica is `lagMs` behind. */
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
      if (startsSession && rule.initialMinPosition === 'floor') minPositionMs = position
      if (random() < load.writeFraction) {
        minPositionMs = nowMs
        continue
      }
      reads += 1
      const appliedMs = nowMs - load.lagMs
      const fromReplica = rule.replicas && appliedMs >= minPositionMs
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
  console.log(`| ${load.name} | ${fractions.map(share => `${(share * 100).toFixed(1)} %`).join(' | ')} |`)
}
