// How much an account is asked for here: an exponentially weighted rate of
// the requests that came in, admitted or not.

/** Time over which the rate is smoothed. */
const smoothingMs = 1000
/** A demand has ended when nothing came for this many usual intervals. */
const idleIntervals = 8

/** Requests that came in lately. */
export type Demand = { readonly ratePerS: number, readonly atMs: number }

/** Nobody has asked yet. */
export const noDemand: Demand = { ratePerS: 0, atMs: 0 }

/**
 * The rate of requests at a time.
 * @param demand - what came in
 * @param nowMs - the time
 * @returns requests per second
 */
export function demandRate (demand: Demand, nowMs: number): number {
  const idleMs = nowMs - demand.atMs
  const isOver = idleMs * demand.ratePerS > idleIntervals * 1000
  return isOver ? 0 : demand.ratePerS * Math.exp(-idleMs / smoothingMs)
}

/**
 * Counts requests.
 * @param demand - what came in before
 * @param nowMs - the time
 * @param count - how many came in now
 * @returns what came in then
 */
export function withRequests (demand: Demand, nowMs: number, count = 1): Demand {
  return { ratePerS: demandRate(demand, nowMs) + count * 1000 / smoothingMs, atMs: nowMs }
}
