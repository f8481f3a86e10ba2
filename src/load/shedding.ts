// Which new statements an overloaded host refuses: the least urgent ones. The mix of
// priorities is counted over the last seconds; the statements of the least urgent
// priorities that together make up the refused fraction are refused, and a random part
// of those of the priority at its edge.

/** Statements of one priority that came recently; decays with time. */
type PriorityCount = { readonly priority: number, readonly count: number }

/** Recent mix of priorities. Times are monotonic. */
export type PriorityMix = {
  /** The least urgent first. */
  readonly counts: readonly PriorityCount[]
  readonly atMs: number
}

/** Time over which the mix is counted. */
const windowMs = 2000
/** A priority with fewer recent statements is forgotten. */
const minCount = 0.01

/** Mix of a host without statements. */
export const emptyMix: PriorityMix = { counts: [], atMs: 0 }

/**
 * Adds a statement to the mix.
 * @param mix - the mix
 * @param priority - priority of the statement
 * @param nowMs - monotonic time
 * @returns the mix with the statement
 */
export function withStatement (mix: PriorityMix, priority: number, nowMs: number): PriorityMix {
  const factor = Math.exp((mix.atMs - nowMs) / windowMs)
  const decayed = mix.counts.map(one => ({ priority: one.priority, count: one.count * factor }))
  const own = decayed.find(one => one.priority === priority)?.count ?? 0
  const others = decayed.filter(one => one.priority !== priority && one.count >= minCount)
  return { counts: [...others, { priority, count: own + 1 }].sort((a, b) => b.priority - a.priority), atMs: nowMs }
}

/**
 * Decides whether a statement is refused.
 * @param mix - the recent mix
 * @param priority - priority of the statement
 * @param shedFraction - fraction of the statements to refuse
 * @param random - a random number from 0 up to, not including, 1
 * @returns true if the statement is refused
 */
export function isShed (mix: PriorityMix, priority: number, shedFraction: number, random: number): boolean {
  const total = mix.counts.reduce((sum, { count }) => sum + count, 0)
  const lessUrgent = mix.counts.reduce((sum, one) => one.priority > priority ? sum + one.count : sum, 0)
  const own = mix.counts.find(one => one.priority === priority)?.count ?? 0
  if (own === 0) return false
  return random * own < shedFraction * total - lessUrgent
}
