// The schedule of a load: when each operation is due, whose it is and what it
// asks for. Arrivals of each account follow a Poisson process, so the load is
// open: a slow system gets no fewer requests.

import { seededRandom, type Random } from './seeded-random.js'

/** What an arrival asks for; the session that takes it fills in register and value. */
export type Intent =
  | { readonly kind: 'sessionRead' }
  | { readonly kind: 'agedRead', readonly maxAgeMs: number }
  | { readonly kind: 'latestRead' }
  | { readonly kind: 'write' }
  | { readonly kind: 'transaction' }

/** How a session goes on before an operation. */
export type Movement =
  | { readonly kind: 'stay' }
  /** Goes to another proxy, with its token or without one. */
  | { readonly kind: 'roam', readonly proxy: number, readonly withToken: boolean }

/** One operation that is due. */
export type Arrival = {
  readonly id: number
  readonly atMs: number
  readonly account: string
  readonly database: number
  readonly intent: Intent
  readonly movement: Movement
  /** From 0 up to 1: picks among sessions, registers and proxies. */
  readonly draw: number
}

/** One account's part of the load. */
export type Demand = {
  readonly account: string
  readonly ratePerS: number
}

/** Parts of the mix; they add up to 1. */
export type OperationMix = {
  readonly sessionRead: number
  readonly agedRead: number
  readonly latestRead: number
  readonly write: number
  readonly transaction: number
}

/** What a schedule is made from. */
export type ScheduleSpec = {
  readonly seed: number
  readonly durationMs: number
  readonly demands: readonly Demand[]
  readonly mix: OperationMix
  readonly maxAgeMs: number
  readonly databases: number
  /** Proxies that callers use. */
  readonly proxies: readonly number[]
  /** Part of the operations before which the session goes to another proxy. */
  readonly roamingFraction: number
  readonly firstId: number
}

export const defaultMix: OperationMix = { sessionRead: 0.4, agedRead: 0.3, latestRead: 0.05, write: 0.2, transaction: 0.05 }

/** Upper bound of one schedule. */
export const maxArrivals = 200_000
/** Draws for one arrival: gap, database, intent, roam, proxy, token, pick. */
const randomValuesPerArrival = 7
/** Poisson arrivals may be more than their mean. */
const arrivalHeadroom = 1.5
const extraArrivals = 200
const msPerS = 1000

/**
 * Makes the schedule of a load.
 * @param spec - what it is made from
 * @returns the arrivals, in the order of their times
 */
export function scheduleOf (spec: ScheduleSpec): readonly Arrival[] {
  const arrivals = spec.demands.flatMap((demand, index) => arrivalsOf(spec, demand, index))
  if (arrivals.length > maxArrivals) throw new RangeError(`a schedule has at most ${maxArrivals} arrivals`)
  return arrivals
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({ ...arrival, id: spec.firstId + index }))
}

function arrivalsOf (spec: ScheduleSpec, demand: Demand, index: number): readonly Arrival[] {
  const expected = demand.ratePerS * spec.durationMs / msPerS
  const count = Math.ceil(expected * arrivalHeadroom) + extraArrivals
  const random = seededRandom(spec.seed + index, count * randomValuesPerArrival)
  const arrivals: Arrival[] = []
  let atMs = 0
  while (arrivals.length < count) {
    atMs += -Math.log(1 - random()) * msPerS / demand.ratePerS
    if (atMs >= spec.durationMs) break
    arrivals.push(arrivalAt(spec, demand.account, atMs, random))
  }
  return arrivals
}

function arrivalAt (spec: ScheduleSpec, account: string, atMs: number, random: Random): Arrival {
  const database = Math.floor(random() * spec.databases)
  const intent = intentOf(spec, random())
  const roams = random() < spec.roamingFraction
  const proxy = spec.proxies[Math.floor(random() * spec.proxies.length)] ?? 0
  const withToken = random() < 0.5
  const movement: Movement = roams ? { kind: 'roam', proxy, withToken } : { kind: 'stay' }
  return { id: 0, atMs, account, database, intent, movement, draw: random() }
}

function intentOf (spec: ScheduleSpec, drawn: number): Intent {
  const { mix } = spec
  const cumulative = (parts: readonly number[]): number => parts.reduce((sum, part) => sum + part, 0)
  if (drawn < mix.sessionRead) return { kind: 'sessionRead' }
  if (drawn < cumulative([mix.sessionRead, mix.agedRead])) return { kind: 'agedRead', maxAgeMs: spec.maxAgeMs }
  if (drawn < cumulative([mix.sessionRead, mix.agedRead, mix.latestRead])) return { kind: 'latestRead' }
  if (drawn < cumulative([mix.sessionRead, mix.agedRead, mix.latestRead, mix.write])) return { kind: 'write' }
  return { kind: 'transaction' }
}
