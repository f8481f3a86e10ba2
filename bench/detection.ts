// Weighs ways to tell that a primary is dead: by open connections only, by
// fresh connections only, by both, and by both with a look at whether the
// replicas still receive entries. One home watches one primary that a fault
// strikes at a random moment. Run: node dist/bench/detection.js

import { decisiveFailure, defaultFailoverSettings, dueProbes, recordProbeAnswer, recordProbeFailure, requestProbe, recordProbesSent, recordContact, type Health } from '../src/failover/index.js'
import { seededDraws } from './draws.js'
import { percentile } from './statistics.js'

/** What a fault does to connections from this home. */
type Fault = {
  readonly name: string
  readonly dead: boolean
  readonly open: 'answers' | 'reset' | 'silent'
  readonly fresh: 'answers' | 'refused' | 'silent'
  /** Added to each answer for the time of the fault. */
  readonly delayMs: number
  readonly lastsMs: number
}

type Mode = {
  readonly name: string
  readonly open: boolean
  readonly fresh: boolean
  readonly progress: boolean
}

type Happening = { readonly atMs: number, readonly change: (health: Health) => Health }

const server = 'primary'
const runs = 500
const seed = 21
const tickMs = 20
const statusEveryMs = 100
const faultFromMs = 1000
const faultSpreadMs = 200
const watchForMs = 5000
const connectMs = 12
/** Open connections alone: silence after which the primary counts as dead, as long as two overdue probes take. */
const openSilenceMs = 600
const settings = defaultFailoverSettings

const faults: readonly Fault[] = [
  { name: 'process killed', dead: true, open: 'reset', fresh: 'refused', delayMs: 0, lastsMs: Infinity },
  { name: 'paused or cut off', dead: true, open: 'silent', fresh: 'silent', delayMs: 0, lastsMs: Infinity },
  { name: 'open connection silent, server alive', dead: false, open: 'silent', fresh: 'answers', delayMs: 0, lastsMs: Infinity },
  { name: 'open connection reset, server alive', dead: false, open: 'reset', fresh: 'answers', delayMs: 0, lastsMs: Infinity },
  { name: 'answers 200 ms late for 2 s', dead: false, open: 'answers', fresh: 'answers', delayMs: 200, lastsMs: 2000 },
  { name: 'answers 400 ms late for 2 s', dead: false, open: 'answers', fresh: 'answers', delayMs: 400, lastsMs: 2000 },
  { name: 'this home cut off for 2 s, writes go on', dead: false, open: 'silent', fresh: 'silent', delayMs: 0, lastsMs: 2000 }
]

const modes: readonly Mode[] = [
  { name: 'open connections only', open: true, fresh: false, progress: false },
  { name: 'fresh connections only', open: false, fresh: true, progress: false },
  { name: 'both', open: true, fresh: true, progress: false },
  { name: 'both, and progress of replicas', open: true, fresh: true, progress: true }
]

/** Time from the fault to the verdict, undefined without one. */
function detect (mode: Mode, fault: Fault, faultAtMs: number, phaseMs: number): number | undefined {
  const struck = (atMs: number): boolean => atMs >= faultAtMs && atMs < faultAtMs + fault.lastsMs
  let health: Health = {}
  let coming: readonly Happening[] = openAnswers(mode, fault, struck, faultAtMs, phaseMs)
  let lastOpenMs = 0
  let openLost = false
  for (let nowMs = 0; nowMs < faultAtMs + watchForMs; nowMs += tickMs) {
    const due = coming.filter(happening => happening.atMs <= nowMs)
    coming = coming.filter(happening => happening.atMs > nowMs)
    health = due.reduce((known, happening) => happening.change(known), health)
    lastOpenMs = Math.max(lastOpenMs, health[server]?.lastContactAtMs ?? 0)
    openLost ||= health[server]?.probeRequested === true
    if (mode.fresh && dueProbes(health, [server], settings, nowMs).length > 0) {
      health = recordProbesSent(health, [server], nowMs)
      coming = [...coming, probeResult(fault, struck(nowMs), nowMs)]
    }
    const dead = mode.fresh ? judgedDead(mode, fault, health) : openLost || nowMs - lastOpenMs > openSilenceMs
    if (dead && nowMs >= faultAtMs) return nowMs - faultAtMs
  }
  return undefined
}

function judgedDead (mode: Mode, fault: Fault, health: Health): boolean {
  const how = decisiveFailure(health, server, settings)
  if (how === undefined) return false
  const replicasProgress = !fault.dead
  return how === 'refused' || !mode.progress || !replicasProgress
}

function openAnswers (mode: Mode, fault: Fault, struck: (atMs: number) => boolean, faultAtMs: number, phaseMs: number): readonly Happening[] {
  if (!mode.open) return []
  const count = Math.ceil((faultAtMs + watchForMs) / statusEveryMs)
  const askedAt = Array.from({ length: count }, (_, index) => phaseMs + index * statusEveryMs)
  const answered = askedAt.filter(atMs => !struck(atMs) || fault.open === 'answers').map(askedMs => {
    const atMs = askedMs + (struck(askedMs) ? fault.delayMs : 0)
    return { atMs, change: (health: Health) => recordContact(health, server, atMs) }
  })
  if (fault.open !== 'reset') return answered
  const reset = { atMs: faultAtMs, change: (health: Health) => requestProbe(health, server) }
  return [...answered, reset].sort((a, b) => a.atMs - b.atMs)
}

function probeResult (fault: Fault, struck: boolean, sentMs: number): Happening {
  const how = struck ? fault.fresh : 'answers'
  const tookMs = connectMs + (struck ? fault.delayMs : 0)
  if (how === 'refused') return { atMs: sentMs + 1, change: health => recordProbeFailure(health, server, 'refused') }
  if (how === 'answers' && tookMs < settings.probeTimeoutMs) return { atMs: sentMs + tookMs, change: health => recordProbeAnswer(health, server, sentMs + tookMs) }
  return { atMs: sentMs + settings.probeTimeoutMs, change: health => recordProbeFailure(health, server, 'overdue') }
}

function report (fault: Fault, mode: Mode): string {
  const draws = seededDraws(seed, runs * 2)
  const times = Array.from({ length: runs }, () => detect(mode, fault, faultFromMs + draws() * faultSpreadMs, draws() * statusEveryMs))
  const found = times.flatMap(timeMs => timeMs ?? [])
  if (!fault.dead) return `${(found.length / runs * 100).toFixed(1)} % replaced wrongly`
  if (found.length < runs) return `${runs - found.length} of ${runs} never found`
  return `${percentile(found, 50).toFixed(0)} / ${percentile(found, 100).toFixed(0)} ms`
}

console.log(`| fault | ${modes.map(mode => mode.name).join(' | ')} |`)
console.log(`| --- |${modes.map(() => ' --- |').join('')}`)
for (const fault of faults) {
  console.log(`| ${fault.name} | ${modes.map(mode => report(fault, mode)).join(' | ')} |`)
}
