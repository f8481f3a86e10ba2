// Model of the pace of a server (src/pace/pace.ts): what wrong falls cost with mixes
// of short and long statements, and what right ones gain on a server whose capacity
// drops below its slots for a while.
// Run: node dist/bench/server-pace.js

import { initialPace, paceSlots, paceStep, type PaceState } from '../src/pace/index.js'
import { seededRandom, type Random } from './seeded-random.js'

const shortMs = 2
const longMs = 200
const mixAnswers = 3000
const mixSeeds = 20
/** Phases of the overload model: before, while and after the server has less capacity. */
const phaseEndsMs = [5000, 15_000, 25_000] as const
const baseServiceMs = 10

type Phase = { readonly slotsUsed: number, readonly answersPerS: number }

// Average fraction of the slots that are used where the server has no trouble.
function useOfMix (slots: number, longFraction: number): number {
  let used = 0
  for (let seed = 1; seed <= mixSeeds; seed += 1) {
    const random = seededRandom(seed, mixAnswers * 2)
    let state = initialPace(slots)
    for (let at = 1; at <= mixAnswers; at += 1) {
      const serviceMs = (random() < longFraction ? longMs : shortMs) * (0.7 + 0.7 * random())
      state = paceStep(state, { kind: 'ended', result: 'answered', serviceMs, nowMs: at * 1000 })
      used += paceSlots(state) / slots
    }
  }
  return used / mixAnswers / mixSeeds
}

type Running = { readonly startedAtMs: number, readonly leftMs: number }

// The server always has statements that wait. Beyond its capacity, each statement is
// slowed down by the square of the excess.
function overload (slots: number, reduced: number, usesPace: boolean): readonly Phase[] {
  const random: Random = seededRandom(5, 20_000)
  let state: PaceState = initialPace(slots)
  let running: readonly Running[] = []
  let phases: readonly Phase[] = []
  let [nowMs, used, answers, phaseStartMs] = [0, 0, 0, 0]
  for (const [phase, endMs] of phaseEndsMs.entries()) {
    const capacity = phase === 1 ? reduced : slots
    for (; nowMs < endMs; nowMs += 1) {
      const limit = usesPace ? paceSlots(state) : slots
      while (running.length < limit) running = [...running, { startedAtMs: nowMs, leftMs: baseServiceMs * (0.7 + 0.6 * random()) }]
      const progressMs = Math.min(1, capacity / running.length) ** 2
      running = running.map(each => ({ ...each, leftMs: each.leftMs - progressMs }))
      for (const { startedAtMs } of running.filter(({ leftMs }) => leftMs <= 0)) {
        state = paceStep(state, { kind: 'ended', result: 'answered', serviceMs: nowMs - startedAtMs + 1, nowMs })
        answers += 1
      }
      running = running.filter(({ leftMs }) => leftMs > 0)
      used += limit
    }
    const lastedMs = endMs - phaseStartMs
    phases = [...phases, { slotsUsed: used / lastedMs, answersPerS: answers / lastedMs * 1000 }]
    ;[used, answers, phaseStartMs] = [0, 0, endMs]
  }
  return phases
}

for (const slots of [2, 3, 5]) {
  for (const longFraction of [0, 0.1, 0.3, 0.5, 0.9]) console.log(`mix: ${slots} slots, ${longFraction} long: ${(useOfMix(slots, longFraction) * 100).toFixed(1)} % of the slots used`)
}
for (const [slots, reduced] of [[2, 1], [3, 1], [5, 2], [5, 3]] as const) {
  for (const usesPace of [false, true]) {
    const phases = overload(slots, reduced, usesPace).map(({ slotsUsed, answersPerS }) => `${slotsUsed.toFixed(2)} slots ${answersPerS.toFixed(0)}/s`)
    console.log(`capacity ${slots}, ${reduced}, ${slots}: pace ${usesPace ? 'on' : 'off'}: ${phases.join(', ')}`)
  }
}
