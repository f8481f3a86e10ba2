// Schedule of a load: time, account and intent of each operation. The arrivals
// of each account follow a Poisson process. The load is open: a slow system
// receives no fewer requests.

import { seededRandom, type Random } from './seeded-random.js'

/** Kind of operation of an arrival; the session that runs it sets register and value. */
export type Intent =
  | { readonly kind: 'sessionRead' }
  | { readonly kind: 'boundedStalenessRead', readonly maxAgeMs: number }
  | { readonly kind: 'latestRead' }
  | { readonly kind: 'write' }
  | { readonly kind: 'transaction' }

/** Whether a session switches proxies before an operation. */
export type Movement =
  | { readonly kind: 'stay' }
  /** Reconnects to a proxy, with its session token or without. */
  | { readonly kind: 'roam', readonly proxy: number, readonly withToken: boolean }

/** One scheduled operation. */
export type Arrival = {
  readonly id: number
  readonly atMs: number
  readonly account: string
  readonly database: number
  readonly intent: Intent
  readonly movement: Movement
  /**
   * Random number in [0, 1) that selects the session, the register and whether
   * a write is retried.
   */
  readonly draw: number
}

/** Load of one account. */
export type Demand = {
  readonly account: string
  readonly ratePerS: number
}

/** Fractions of the kinds of operation; the sum is 1. */
export type OperationMix = {
  readonly sessionRead: number
  readonly boundedStalenessRead: number
  readonly latestRead: number
  readonly write: number
  readonly transaction: number
}

/** Parameters of a schedule. */
export type ScheduleSpec = {
  readonly seed: number
  readonly durationMs: number
  readonly demands: readonly Demand[]
  readonly mix: OperationMix
  readonly maxAgeMs: number
  readonly databases: number
  /** Indexes of the proxies that callers use. */
  readonly proxies: readonly number[]
  /** Fraction of the operations before which the session switches proxies. */
  readonly roamingFraction: number
  readonly firstId: number
}

export const defaultMix: OperationMix = { sessionRead: 0.4, boundedStalenessRead: 0.3, latestRead: 0.05, write: 0.2, transaction: 0.05 }

/** Upper bound of the arrivals of one schedule. */
export const maxArrivals = 200_000
/**
 * Random numbers for one arrival: interval, database, intent, movement, proxy,
 * token, draw.
 */
const randomValuesPerArrival = 7
/** Factor on the mean number of arrivals, which a Poisson process can exceed. */
const arrivalHeadroom = 1.5
const extraArrivals = 200
const msPerS = 1000

/**
 * Generates the schedule of a load.
 * @param spec - parameters of the schedule
 * @returns arrivals in order of time; throws a `RangeError` if there are too many
 */
export function scheduleOf (spec: ScheduleSpec): readonly Arrival[] {
  const arrivals = spec.demands.flatMap((demand, index) => arrivalsOf(spec, demand, index))
  if (arrivals.length > maxArrivals) throw new RangeError(`schedule exceeds ${maxArrivals} arrivals`)
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

function intentOf (spec: ScheduleSpec, randomValue: number): Intent {
  const { mix } = spec
  const sum = (fractions: readonly number[]): number => fractions.reduce((total, fraction) => total + fraction, 0)
  if (randomValue < mix.sessionRead) return { kind: 'sessionRead' }
  if (randomValue < sum([mix.sessionRead, mix.boundedStalenessRead])) return { kind: 'boundedStalenessRead', maxAgeMs: spec.maxAgeMs }
  if (randomValue < sum([mix.sessionRead, mix.boundedStalenessRead, mix.latestRead])) return { kind: 'latestRead' }
  if (randomValue < sum([mix.sessionRead, mix.boundedStalenessRead, mix.latestRead, mix.write])) return { kind: 'write' }
  return { kind: 'transaction' }
}
