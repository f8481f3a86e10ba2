// Weighs where a session's reads may go: to the primary only, to replicas that
// reached its opening floor, or to replicas that reached the floor of its
// token. Sessions are short and roam, so each move opens one anew.
// Run: node dist/bench/floors.js

import { seededDraws, type Draws } from './draws.js'

type Rule = {
  readonly name: string
  readonly replicas: boolean
  readonly opens: 'floor' | 'token'
  /** Whether what a read saw raises the floor, so that no later read is older. */
  readonly readsRaise: boolean
}

type Load = {
  readonly name: string
  /** Writes of all sessions together. */
  readonly writesPerS: number
  readonly lagMs: number
  /** Part of a session's statements that are writes of its own. */
  readonly writePart: number
  /** Statements until a session moves to another proxy. */
  readonly statementsPerMove: number
}

const sessions = 2000
const statementsEach = 40
const betweenStatementsMs = 50
const seed = 31
const drawsPerStatement = 2

const loads: readonly Load[] = [
  { name: 'lag 20 ms, moves after 10', writesPerS: 200, lagMs: 20, writePart: 0.1, statementsPerMove: 10 },
  { name: 'lag 200 ms, moves after 10', writesPerS: 200, lagMs: 200, writePart: 0.1, statementsPerMove: 10 },
  { name: 'lag 200 ms, moves after each', writesPerS: 200, lagMs: 200, writePart: 0.1, statementsPerMove: 1 },
  { name: 'lag 200 ms, few writes of its own', writesPerS: 200, lagMs: 200, writePart: 0.01, statementsPerMove: 10 }
]

const rules: readonly Rule[] = [
  { name: 'primary only', replicas: false, opens: 'token', readsRaise: true },
  { name: 'opening floor', replicas: true, opens: 'floor', readsRaise: true },
  { name: 'token', replicas: true, opens: 'token', readsRaise: true },
  { name: 'opening floor, raised by writes only', replicas: true, opens: 'floor', readsRaise: false },
  { name: 'token, raised by writes only', replicas: true, opens: 'token', readsRaise: false }
]

/** Positions are times here: the log grows evenly, a replica is `lagMs` behind. */
function replicaShare (rule: Rule, load: Load, draws: Draws): number {
  let reads = 0
  let byReplica = 0
  for (let session = 0; session < sessions; session += 1) {
    let nowMs = 0
    let floorMs = -Infinity
    for (let statement = 0; statement < statementsEach; statement += 1) {
      const opens = statement % load.statementsPerMove === 0
      nowMs += draws() * 2 * betweenStatementsMs
      const position = Math.floor(nowMs * load.writesPerS / 1000) * 1000 / load.writesPerS
      if (opens && rule.opens === 'floor') floorMs = position
      if (draws() < load.writePart) {
        floorMs = nowMs
        continue
      }
      reads += 1
      const appliedMs = nowMs - load.lagMs
      const fromReplica = rule.replicas && appliedMs >= floorMs
      if (fromReplica) byReplica += 1
      if (rule.readsRaise) floorMs = Math.max(floorMs, fromReplica ? appliedMs : position)
    }
  }
  return byReplica / reads
}

console.log(`| load | ${rules.map(rule => rule.name).join(' | ')} |`)
console.log(`| --- |${rules.map(() => ' --- |').join('')}`)
for (const load of loads) {
  const shares = rules.map(rule => replicaShare(rule, load, seededDraws(seed, sessions * statementsEach * drawsPerStatement)))
  console.log(`| ${load.name} | ${shares.map(share => `${(share * 100).toFixed(1)} %`).join(' | ')} |`)
}
