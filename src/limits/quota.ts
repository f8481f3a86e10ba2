// Quotas: amounts of an account's limit, each a rate in tokens per second and a
// bucket capacity in tokens. Quota is transferred between hosts and never
// duplicated. The correctness of the limits depends on this invariant.

import type { Quota } from '../model/index.js'

/** A rate needs capacity for the tokens that accrue in this time, plus one token. */
const rateCapacityMs = 300

/** The empty quota. */
export const noQuota: Quota = { ratePerS: 0, capacity: 0 }

/**
 * Adds two quotas.
 * @param a - the first quota
 * @param b - the second quota
 * @returns the sum
 */
export function addQuotas (a: Quota, b: Quota): Quota {
  return { ratePerS: a.ratePerS + b.ratePerS, capacity: a.capacity + b.capacity }
}

/**
 * Subtracts one quota from another; negative results become 0.
 * @param a - the quota
 * @param b - the quota to subtract
 * @returns the difference
 */
export function subtractQuota (a: Quota, b: Quota): Quota {
  return { ratePerS: Math.max(0, a.ratePerS - b.ratePerS), capacity: Math.max(0, a.capacity - b.capacity) }
}

/**
 * Takes the smaller rate and the smaller capacity of two quotas.
 * @param a - the first quota
 * @param b - the second quota
 * @returns the largest quota that is within both
 */
export function minQuota (a: Quota, b: Quota): Quota {
  return { ratePerS: Math.min(a.ratePerS, b.ratePerS), capacity: Math.min(a.capacity, b.capacity) }
}

/**
 * Takes the larger rate and the larger capacity of two quotas.
 * @param a - the first quota
 * @param b - the second quota
 * @returns the smallest quota that covers both
 */
export function maxQuota (a: Quota, b: Quota): Quota {
  return { ratePerS: Math.max(a.ratePerS, b.ratePerS), capacity: Math.max(a.capacity, b.capacity) }
}

/**
 * Scales a quota.
 * @param a - the quota
 * @param factor - the fraction, from 0 to 1
 * @returns the scaled quota
 */
export function scaleQuota (a: Quota, factor: number): Quota {
  return { ratePerS: a.ratePerS * factor, capacity: a.capacity * factor }
}

/**
 * Computes the bucket capacity that a rate needs. With less, tokens that accrue
 * between two requests are lost.
 * @param ratePerS - the rate
 * @returns the capacity; 0 for a rate of 0
 */
export function capacityFor (ratePerS: number): number {
  return ratePerS === 0 ? 0 : 1 + ratePerS * rateCapacityMs / 1000
}
