// Demand of an account on this host: an exponentially weighted rate of the
// requests received, admitted or not.

/** Time constant of the exponential smoothing. */
const smoothingMs = 1000
/** Demand counts as 0 after this many average intervals without a request. */
const idleIntervals = 8

/** Smoothed rate of requests, as of the time of the last update. */
export type Demand = { readonly ratePerS: number, readonly atMs: number }

/** Demand before the first request. */
export const noDemand: Demand = { ratePerS: 0, atMs: 0 }

/**
 * Computes the rate of requests at a given time.
 * @param demand - the demand
 * @param nowMs - the time
 * @returns requests per second
 */
export function demandRate (demand: Demand, nowMs: number): number {
  const idleMs = nowMs - demand.atMs
  const isOver = idleMs * demand.ratePerS > idleIntervals * 1000
  return isOver ? 0 : demand.ratePerS * Math.exp(-idleMs / smoothingMs)
}

/**
 * Adds requests to the demand.
 * @param demand - the demand so far
 * @param nowMs - the time
 * @param count - number of requests received now
 * @returns the demand with them
 */
export function withRequests (demand: Demand, nowMs: number, count = 1): Demand {
  return { ratePerS: demandRate(demand, nowMs) + count * 1000 / smoothingMs, atMs: nowMs }
}
