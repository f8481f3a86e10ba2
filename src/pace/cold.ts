// The limit of statement starts per second for a cold server, which is slow for some
// time after its start or return. In any second, over all hosts, such a server gets
// at most a fixed number of statements. Two hosts may believe for a while that they
// are its dispatcher, so each uses half of the bound unless it is sure to be alone.
//
// The starts of the last window are counted, which bounds every second and not only
// whole ones: a token bucket with the same rate would allow twice the bound in the
// second in which it was full at the start.

import { hasColdBound, type DatabaseDeclaration, type ServerDeclaration } from '../model/index.js'

/**
 * Window over which starts are counted. Longer than the second of the bound, because
 * statements that start a second apart may reach the server closer together.
 */
export const coldWindowMs = 1100

/** Settings of the limit; without `coldExcess` there is none. */
export type ColdSettings = {
  /** Factor by which the rate of a cold server may be exceeded. */
  readonly coldExcess?: number | undefined
  /** Statements per second beyond that. */
  readonly coldSlack?: number | undefined
}

/** The bound of one server at one dispatcher. */
export type ColdBound = {
  /** Statements that the server may get in a second while it is cold, from all hosts. */
  readonly whole: number
  /** What this dispatcher may start in a second now; undefined: the server is not cold. */
  readonly current: number | undefined
}

/** What the bound of a server depends on. */
export type ColdInput = {
  readonly database: Pick<DatabaseDeclaration, 'coldS' | 'coldPerS'>
  readonly server: Pick<ServerDeclaration, 'coldUntilMs'>
  readonly settings: ColdSettings
  /** Whether this host can be sure to be the server's only dispatcher. */
  readonly isAlone: boolean
  readonly nowMs: number
}

/**
 * Computes the bound of a server.
 * @param input - declarations, settings and time
 * @returns the bound, or undefined where the configuration has none for the database
 */
export function coldBoundOf ({ database, server, settings, isAlone, nowMs }: ColdInput): ColdBound | undefined {
  if (settings.coldExcess === undefined || !hasColdBound(database)) return undefined
  const whole = Math.floor((database.coldPerS ?? 0) * settings.coldExcess + (settings.coldSlack ?? 0))
  const isCold = server.coldUntilMs !== undefined && nowMs < server.coldUntilMs
  return { whole, current: isCold ? (isAlone ? whole : Math.floor(whole / 2)) : undefined }
}

/** Recent statement starts of one dispatcher. */
export type ColdStarts = {
  /** Times of the last starts, in ascending order. */
  readonly startedAtMs: readonly number[]
  /**
   * Until then another host may have used the bound: the dispatcher was not there
   * to see its starts.
   */
  readonly unseenUntilMs: number
}

/**
 * Creates the state of a dispatcher that begins.
 * @param nowMs - monotonic time
 * @returns the state without starts
 */
export function initialColdStarts (nowMs: number): ColdStarts {
  return { startedAtMs: [], unseenUntilMs: nowMs + coldWindowMs }
}

/**
 * Records starts. They count also while the server is not cold, as it may become so.
 * @param starts - the state
 * @param count - number of statements that start now
 * @param bound - the server's bound; undefined: nothing is recorded
 * @param nowMs - monotonic time
 * @returns the next state, which holds no more starts than the bound
 */
export function recordColdStarts (starts: ColdStarts, count: number, bound: ColdBound | undefined, nowMs: number): ColdStarts {
  if (count === 0 || bound === undefined || bound.whole === 0) return starts
  const added = Array.from({ length: Math.min(count, bound.whole) }, () => nowMs)
  return { ...starts, startedAtMs: [...starts.startedAtMs, ...added].slice(-bound.whole) }
}

/**
 * Number of statements that may start now.
 * @param starts - recent starts
 * @param bound - the server's bound
 * @param nowMs - monotonic time
 * @returns the number; Infinity where the server is not cold
 */
export function coldAllowance (starts: ColdStarts, bound: ColdBound | undefined, nowMs: number): number {
  if (bound?.current === undefined) return Infinity
  if (nowMs < starts.unseenUntilMs) return 0
  return Math.max(0, bound.current - recentStarts(starts, nowMs).length)
}

/**
 * Time until a further statement may start.
 * @param starts - recent starts
 * @param bound - the server's bound
 * @param waiting - statements that start before it
 * @param nowMs - monotonic time
 * @returns milliseconds, 0 for at once; Infinity where the bound allows none
 */
export function coldWaitMs (starts: ColdStarts, bound: ColdBound | undefined, waiting: number, nowMs: number): number {
  if (bound?.current === undefined) return 0
  const { current } = bound
  if (current === 0) return Infinity
  const fromMs = Math.max(nowMs, starts.unseenUntilMs)
  // Each start is a window after the one that is `current` starts before it: a recent
  // one, or one of those that wait.
  const recent = recentStarts(starts, fromMs)
  const before = recent[recent.length - current + waiting % current]
  const firstAtMs = before === undefined ? fromMs : before + coldWindowMs
  return firstAtMs + Math.floor(waiting / current) * coldWindowMs - nowMs
}

function recentStarts ({ startedAtMs }: ColdStarts, nowMs: number): readonly number[] {
  return startedAtMs.filter(atMs => atMs > nowMs - coldWindowMs)
}
