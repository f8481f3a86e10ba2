// Estimates of service times: the plain mean of the first statements, then a moving
// average. An account without finished statements gets the estimate of its class, and
// a class without any that of the server.

import type { ClassAccount, ScheduleClass, ServiceEstimate } from './state.js'

/** Service time estimate where no statement has finished. */
const initialEstimateMs = 1
/** Weight of the latest statement in the moving average. */
const smoothing = 0.1
/** Number of finished statements from which an estimate may refuse a statement. */
const minFinished = 16

/** Estimate where no statement has finished. */
export const noEstimate: ServiceEstimate = { averageMs: initialEstimateMs, finished: 0 }

/**
 * Adds a finished statement to an estimate.
 * @param estimate - the estimate
 * @param tookMs - service time of the statement
 * @returns the estimate with the statement
 */
export function withFinished (estimate: ServiceEstimate, tookMs: number): ServiceEstimate {
  const finished = estimate.finished + 1
  const share = Math.max(smoothing, 1 / finished)
  return { averageMs: estimate.averageMs + share * (tookMs - estimate.averageMs), finished }
}

/**
 * Estimates the service time of an account's next statement.
 * @param account - the account; undefined where nothing of it is known
 * @param scheduleClass - its class
 * @param server - estimate over all statements of the server
 * @returns the expected service time
 */
export function expectedServiceMs (account: ClassAccount | undefined, scheduleClass: ScheduleClass, server: ServiceEstimate): number {
  if (account !== undefined && account.service.finished > 0) return account.service.averageMs
  return scheduleClass.service.finished > 0 ? scheduleClass.service.averageMs : server.averageMs
}

/**
 * Checks whether enough statements have finished to refuse one on the estimate.
 * @param server - estimate over all statements of the server
 * @returns true if the estimate may be used for that
 */
export function isReliable (server: ServiceEstimate): boolean {
  return server.finished >= minFinished
}
