// Compares methods of failure detection for a primary: open connections only,
// new connections only, both, and both with a check whether the replicas still
// receive log entries. One dispatcher monitors one primary; the fault begins at
// a random time. Run: node dist/bench/detection.js

import { decisiveFailure, defaultFailoverSettings, dueProbes, recordProbeAnswer, recordProbeFailure, requestProbe, recordProbesSent, recordContact, type Health } from '../src/failover/index.js'
import { seededRandom } from './seeded-random.js'
import { percentile } from './statistics.js'

/** Effects of a fault on connections from this dispatcher. */
type Fault = {
  readonly name: string
  /**
   * Whether the fault makes the primary unavailable to all hosts. Otherwise,
   * declaring it dead is a false positive.
   */
  readonly dead: boolean
  readonly openConnection: 'answers' | 'reset' | 'unresponsive'
  readonly newConnection: 'answers' | 'refused' | 'unresponsive'
  /** Delay added to each response while the fault lasts. */
  readonly delayMs: number
  readonly durationMs: number
}

/** Method of failure detection. */
type Mode = {
  readonly name: string
  readonly usesOpenConnections: boolean
  readonly usesNewConnections: boolean
  readonly checksReplicaProgress: boolean
}

type HealthUpdate = { readonly atMs: number, readonly change: (health: Health) => Health }

const server = 'primary'
const runs = 500
const seed = 21
const tickMs = 20
const statusIntervalMs = 100
const firstFaultMs = 1000
const maxFaultOffsetMs = 200
const observedMs = 5000
const connectMs = 12
/**
 * With open connections only, the primary counts as dead after this time
 * without a response, which is as long as two overdue probes take.
 */
const maxResponseGapMs = 600
const settings = defaultFailoverSettings

const faults: readonly Fault[] = [
  { name: 'process killed', dead: true, openConnection: 'reset', newConnection: 'refused', delayMs: 0, durationMs: Infinity },
  { name: 'paused or cut off', dead: true, openConnection: 'unresponsive', newConnection: 'unresponsive', delayMs: 0, durationMs: Infinity },
  { name: 'open connection unresponsive, server alive', dead: false, openConnection: 'unresponsive', newConnection: 'answers', delayMs: 0, durationMs: Infinity },
  { name: 'open connection reset, server alive', dead: false, openConnection: 'reset', newConnection: 'answers', delayMs: 0, durationMs: Infinity },
  { name: 'answers 200 ms late for 2 s', dead: false, openConnection: 'answers', newConnection: 'answers', delayMs: 200, durationMs: 2000 },
  { name: 'answers 400 ms late for 2 s', dead: false, openConnection: 'answers', newConnection: 'answers', delayMs: 400, durationMs: 2000 },
  { name: 'this dispatcher cut off for 2 s, writes go on', dead: false, openConnection: 'unresponsive', newConnection: 'unresponsive', delayMs: 0, durationMs: 2000 }
]

const modes: readonly Mode[] = [
  { name: 'open connections only', usesOpenConnections: true, usesNewConnections: false, checksReplicaProgress: false },
  { name: 'new connections only', usesOpenConnections: false, usesNewConnections: true, checksReplicaProgress: false },
  { name: 'both', usesOpenConnections: true, usesNewConnections: true, checksReplicaProgress: false },
  { name: 'both, and replica progress', usesOpenConnections: true, usesNewConnections: true, checksReplicaProgress: true }
]

/** Time from the fault until the primary is declared dead; undefined if it is not. */
function detect (mode: Mode, fault: Fault, faultAtMs: number, phaseMs: number): number | undefined {
  const isFaulty = (atMs: number): boolean => atMs >= faultAtMs && atMs < faultAtMs + fault.durationMs
  let health: Health = {}
  let pending: readonly HealthUpdate[] = openConnectionUpdates(mode, fault, isFaulty, faultAtMs, phaseMs)
  let lastOpenMs = 0
  let openLost = false
  for (let nowMs = 0; nowMs < faultAtMs + observedMs; nowMs += tickMs) {
    const due = pending.filter(update => update.atMs <= nowMs)
    pending = pending.filter(update => update.atMs > nowMs)
    health = due.reduce((changed, update) => update.change(changed), health)
    lastOpenMs = Math.max(lastOpenMs, health[server]?.lastContactAtMs ?? 0)
    openLost ||= health[server]?.probeRequested === true
    if (mode.usesNewConnections && dueProbes(health, [server], settings, nowMs).length > 0) {
      health = recordProbesSent(health, [server], nowMs)
      pending = [...pending, probeResult(fault, isFaulty(nowMs), nowMs)]
    }
    const dead = mode.usesNewConnections ? isDeclaredDead(mode, fault, health) : openLost || nowMs - lastOpenMs > maxResponseGapMs
    if (dead && nowMs >= faultAtMs) return nowMs - faultAtMs
  }
  return undefined
}

function isDeclaredDead (mode: Mode, fault: Fault, health: Health): boolean {
  const how = decisiveFailure(health, server, settings)
  if (how === undefined) return false
  // The model assumes that replicas receive log entries unless the primary is dead.
  const replicasProgress = !fault.dead
  return how === 'refused' || !mode.checksReplicaProgress || !replicasProgress
}

function openConnectionUpdates (mode: Mode, fault: Fault, isFaulty: (atMs: number) => boolean, faultAtMs: number, phaseMs: number): readonly HealthUpdate[] {
  if (!mode.usesOpenConnections) return []
  const count = Math.ceil((faultAtMs + observedMs) / statusIntervalMs)
  const sentAtMs = Array.from({ length: count }, (_, index) => phaseMs + index * statusIntervalMs)
  const answered = sentAtMs.filter(atMs => !isFaulty(atMs) || fault.openConnection === 'answers').map(requestedMs => {
    const atMs = requestedMs + (isFaulty(requestedMs) ? fault.delayMs : 0)
    return { atMs, change: (health: Health) => recordContact(health, server, atMs) }
  })
  if (fault.openConnection !== 'reset') return answered
  const reset = { atMs: faultAtMs, change: (health: Health) => requestProbe(health, server) }
  return [...answered, reset].sort((a, b) => a.atMs - b.atMs)
}

function probeResult (fault: Fault, isFaulty: boolean, sentMs: number): HealthUpdate {
  const how = isFaulty ? fault.newConnection : 'answers'
  const tookMs = connectMs + (isFaulty ? fault.delayMs : 0)
  if (how === 'refused') return { atMs: sentMs + 1, change: health => recordProbeFailure(health, server, 'refused') }
  if (how === 'answers' && tookMs < settings.probeTimeoutMs) return { atMs: sentMs + tookMs, change: health => recordProbeAnswer(health, server, sentMs + tookMs) }
  return { atMs: sentMs + settings.probeTimeoutMs, change: health => recordProbeFailure(health, server, 'overdue') }
}

function report (fault: Fault, mode: Mode): string {
  const draws = seededRandom(seed, runs * 2)
  const detectionTimesMs = Array.from({ length: runs }, () => detect(mode, fault, firstFaultMs + draws() * maxFaultOffsetMs, draws() * statusIntervalMs))
  const detectedMs = detectionTimesMs.flatMap(timeMs => timeMs ?? [])
  if (!fault.dead) return `${(detectedMs.length / runs * 100).toFixed(1)} % false positives`
  if (detectedMs.length < runs) return `${runs - detectedMs.length} of ${runs} not detected`
  return `${percentile(detectedMs, 50).toFixed(0)} / ${percentile(detectedMs, 100).toFixed(0)} ms`
}

console.log(`| fault | ${modes.map(mode => mode.name).join(' | ')} |`)
console.log(`| --- |${modes.map(() => ' --- |').join('')}`)
for (const fault of faults) {
  console.log(`| ${fault.name} | ${modes.map(mode => report(fault, mode)).join(' | ')} |`)
}
