// Shares of an account's limit. A share is a part of its rate and a part of
// its burst. Shares are moved between hosts, never copied; all that limits
// decide rests on this one rule.

import type { Quota } from '../model/index.js'

/** A rate has room for the tokens that come in during this time, and for one more. */
const rateRoomMs = 300

/** No share at all. */
export const noShare: Quota = { ratePerS: 0, capacity: 0 }

/**
 * Adds two shares.
 * @param a - the first share
 * @param b - the second share
 * @returns the sum
 */
export function plus (a: Quota, b: Quota): Quota {
  return { ratePerS: a.ratePerS + b.ratePerS, capacity: a.capacity + b.capacity }
}

/**
 * Takes one share from another; what would be negative is nothing.
 * @param a - the share
 * @param b - what is taken from it
 * @returns what is left
 */
export function minus (a: Quota, b: Quota): Quota {
  return { ratePerS: Math.max(0, a.ratePerS - b.ratePerS), capacity: Math.max(0, a.capacity - b.capacity) }
}

/**
 * Takes the smaller rate and the smaller capacity of two shares.
 * @param a - the first share
 * @param b - the second share
 * @returns the share that is within both
 */
export function smaller (a: Quota, b: Quota): Quota {
  return { ratePerS: Math.min(a.ratePerS, b.ratePerS), capacity: Math.min(a.capacity, b.capacity) }
}

/**
 * Takes the larger rate and the larger capacity of two shares.
 * @param a - the first share
 * @param b - the second share
 * @returns the share that covers both
 */
export function larger (a: Quota, b: Quota): Quota {
  return { ratePerS: Math.max(a.ratePerS, b.ratePerS), capacity: Math.max(a.capacity, b.capacity) }
}

/**
 * Takes a part of a share.
 * @param a - the share
 * @param factor - the part, from 0 to 1
 * @returns the part
 */
export function times (a: Quota, factor: number): Quota {
  return { ratePerS: a.ratePerS * factor, capacity: a.capacity * factor }
}

/**
 * The room for tokens without which a rate is wasted: tokens above it are lost
 * while nobody takes them.
 * @param ratePerS - the rate
 * @returns capacity; none for no rate
 */
export function roomFor (ratePerS: number): number {
  return ratePerS === 0 ? 0 : 1 + ratePerS * rateRoomMs / 1000
}
