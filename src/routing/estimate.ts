// Estimate of the wait at a server, as one host knows it. Replies of dispatchers
// report the wait. Where they do not, as from a proxy of an earlier version, the wait
// is inferred from the times of replies: all of the latest statements took longer
// than the fastest one usually does. The lowest of several times is taken, because a
// long statement alone is no wait. An estimate decays to no wait within seconds, so
// that a server is used again after reports of it have stopped.

import type { ServerLoad, ServerName } from '../model/index.js'

type Timed = { readonly ms: number, readonly atMs: number }

/** What one host knows of the wait at a server. */
export type ServerEstimate = {
  /** Smoothed wait by reports. */
  readonly reported: Timed | undefined
  /** Times of the latest replies, oldest first. */
  readonly recent: readonly Timed[]
  /** Lowest reply times of the current and of the previous window. */
  readonly best: { readonly sinceMs: number, readonly currentMs: number, readonly previousMs: number } | undefined
}

/** Estimates by server. */
export type Estimates = ReadonlyMap<ServerName, ServerEstimate>

/** Estimate of a server that nothing is known of. */
export const noEstimate: ServerEstimate = { reported: undefined, recent: [], best: undefined }

/**
 * Weight of a new report. Many hosts get the report of one moment, so none of them
 * takes it at its full value at once.
 */
const reportWeight = 0.4
/** After this time without a report, half of a wait is left. */
const halfLifeMs = 500
/** Age at which an estimate is dropped. Less than 1 % of the wait is left then. */
const expiryMs = 4000
/** Number of replies whose lowest time counts. */
const recentReplies = 8
/** With fewer replies than this no wait is inferred. */
const minReplies = 4
/** Replies older than this are no evidence of a wait now. */
const recentMs = 1000
/** Length of a window of lowest reply times. A server that became slower for good is no longer compared with its earlier times after two windows. */
const bestWindowMs = 30_000
/**
 * Wait that is assumed of a server that refused a statement for lack of room without
 * a report of its load.
 */
const refusedWaitMs = 200

/**
 * Records the load that a dispatcher reported of its server.
 * @param estimate - the estimate so far
 * @param load - the reported load
 * @param nowMs - monotonic time
 * @returns the new estimate
 */
export function recordLoad (estimate: ServerEstimate, load: Pick<ServerLoad, 'expectedWaitMs'>, nowMs: number): ServerEstimate {
  const before = decayed(estimate.reported, nowMs)
  return { ...estimate, reported: { ms: before + reportWeight * (load.expectedWaitMs - before), atMs: nowMs } }
}

/**
 * Records that a server had no room for a statement in time.
 * @param estimate - the estimate so far
 * @param waitedMs - time for which the statement waited
 * @param nowMs - monotonic time
 * @returns the new estimate
 */
export function recordNoRoom (estimate: ServerEstimate, waitedMs: number, nowMs: number): ServerEstimate {
  return recordLoad(estimate, { expectedWaitMs: Math.max(waitedMs, refusedWaitMs) }, nowMs)
}

/**
 * Records the time of a reply to a read.
 * @param estimate - the estimate so far
 * @param tookMs - time from sending the statement to its reply
 * @param nowMs - monotonic time
 * @returns the new estimate
 */
export function recordReplyTime (estimate: ServerEstimate, tookMs: number, nowMs: number): ServerEstimate {
  const recent = [...estimate.recent.slice(1 - recentReplies), { ms: tookMs, atMs: nowMs }]
  return { ...estimate, recent, best: bestAfter(estimate.best, tookMs, nowMs) }
}

/**
 * Estimates the wait at a server.
 * @param estimate - what is known; undefined: nothing
 * @param nowMs - monotonic time
 * @returns the expected wait in milliseconds
 */
export function expectedWaitMs (estimate: ServerEstimate | undefined, nowMs: number): number {
  if (estimate === undefined) return 0
  const { reported } = estimate
  return reported !== undefined && nowMs - reported.atMs < expiryMs ? decayed(reported, nowMs) : inferredWaitMs(estimate, nowMs)
}

function decayed (value: Timed | undefined, nowMs: number): number {
  if (value === undefined || nowMs - value.atMs >= expiryMs) return 0
  return value.ms * 0.5 ** (Math.max(0, nowMs - value.atMs) / halfLifeMs)
}

function inferredWaitMs ({ recent, best }: ServerEstimate, nowMs: number): number {
  const valid = recent.filter(({ atMs }) => nowMs - atMs < recentMs)
  const last = valid.at(-1)
  if (best === undefined || last === undefined || valid.length < minReplies) return 0
  const lowestMs = Math.min(...valid.map(({ ms }) => ms))
  return decayed({ ms: Math.max(0, lowestMs - Math.min(best.currentMs, best.previousMs)), atMs: last.atMs }, nowMs)
}

function bestAfter (best: ServerEstimate['best'], tookMs: number, nowMs: number): ServerEstimate['best'] {
  if (best === undefined || nowMs - best.sinceMs >= 2 * bestWindowMs) return { sinceMs: nowMs, currentMs: tookMs, previousMs: tookMs }
  if (nowMs - best.sinceMs >= bestWindowMs) return { sinceMs: nowMs, currentMs: tookMs, previousMs: best.currentMs }
  return { ...best, currentMs: Math.min(best.currentMs, tookMs) }
}
