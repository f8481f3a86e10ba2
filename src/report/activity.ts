// Counts of what makes a process use processor time: how often it wakes up, its
// timers, and its calls by kind. A host with little load pays for these rather than
// for what it computes, so they tell apart causes that a total can't.

import { performance } from 'node:perf_hooks'

/** What is counted, each by name: of a method, of a kind of object, of a task. */
export type ActivityKind =
  /** Timers that went off. */
  | 'timer'
  /** Statements of callers that were answered here. */
  | 'statement'
  /** Calls to other proxies, by method. */
  | 'peerCall'
  /** Calls from other proxies, by method. */
  | 'peerRequest'
  /** Calls to the platform's store, by operation and kind of object. */
  | 'storeCall'
  /** Commands to database servers, by command. */
  | 'serverCall'
  /** Decisions of the rate limiter, by result; `for a peer`: as the dispatcher. */
  | 'admission'
  /** Errors that a task survived, by task. */
  | 'taskFailure'

/** One count. */
export type ActivityCount = { readonly kind: ActivityKind, readonly name: string, readonly count: number }

/** Totals since the start of the process. */
export type ProcessTotals = {
  readonly cpuMs: number
  /** Iterations of the event loop. */
  readonly wakes: number
}

/** The counts of one process; each part adds what it does. */
export class Activity {
  readonly #counts = new Map<ActivityKind, Map<string, number>>()

  /**
   * Adds one.
   * @param kind - what happened
   * @param name - name within the kind
   */
  add (kind: ActivityKind, name = ''): void {
    const names = this.#counts.get(kind)
    if (names === undefined) this.#counts.set(kind, new Map([[name, 1]]))
    else names.set(name, (names.get(name) ?? 0) + 1)
  }

  /**
   * Returns the counts since the start of the process.
   * @returns each kind and name that was counted
   */
  counts (): readonly ActivityCount[] {
    return [...this.#counts].flatMap(([kind, names]) => [...names].map(([name, count]) => ({ kind, name, count })))
  }
}

/**
 * Reads the totals of this process.
 * @returns processor time and iterations of the event loop; 0 iterations on a
 *   runtime that does not count them
 */
export function processTotals (): ProcessTotals {
  const { user, system } = process.cpuUsage()
  const { uvMetricsInfo } = performance.nodeTiming as { readonly uvMetricsInfo?: { readonly loopCount: number } }
  return { cpuMs: (user + system) / 1000, wakes: uvMetricsInfo?.loopCount ?? 0 }
}

/**
 * Subtracts an earlier reading of the counts.
 * @param now - the counts
 * @param before - the earlier counts
 * @returns what was added since, without zeros
 */
export function addedCounts (now: readonly ActivityCount[], before: readonly ActivityCount[]): readonly ActivityCount[] {
  const earlier = new Map(before.map(({ kind, name, count }) => [`${kind} ${name}`, count]))
  return now
    .map(({ kind, name, count }) => ({ kind, name, count: count - (earlier.get(`${kind} ${name}`) ?? 0) }))
    .filter(({ count }) => count > 0)
}

/**
 * Formats counts for a log line.
 * @param counts - the counts
 * @returns `kind name=count` for each, the most frequent first
 */
export function activityText (counts: readonly ActivityCount[]): string {
  return [...counts].sort((a, b) => b.count - a.count).map(({ kind, name, count }) => `${kind}${name === '' ? '' : ' '}${name}=${count}`).join('; ')
}
