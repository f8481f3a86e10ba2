// Rate limit of the event log. Each event has a budget of lines per second.
// Lines above the budget, and lines that come while the log's reader is too far
// behind, are dropped and counted; one line then reports the count.

/** Maximum number of lines of one event in a second. */
export const maxLinesPerS = 20
/** Maximum number of bytes that are buffered for the log's reader. */
export const maxBufferedBytes = 262_144

/** Lines written and dropped in the current second, by event. */
export type LineBudget = {
  readonly secondStartMs: number
  readonly written: ReadonlyMap<string, number>
  readonly dropped: ReadonlyMap<string, number>
}

/** Whether a line is written, with the counts of the second before. */
export type LineDecision = {
  readonly budget: LineBudget
  readonly isWritten: boolean
  /** Lines dropped in the second that has just ended, by event; empty otherwise. */
  readonly droppedLastSecond: ReadonlyMap<string, number>
}

/** The budget before the first line. */
export const initialLineBudget: LineBudget = { secondStartMs: 0, written: new Map(), dropped: new Map() }

const secondMs = 1000

/**
 * Decides whether a line is written.
 * @param budget - the budget before the line
 * @param event - name of the event
 * @param bufferedBytes - bytes that are buffered for the log's reader
 * @param nowMs - monotonic time
 * @returns the decision, with the budget after the line
 */
export function decideLine (budget: LineBudget, event: string, bufferedBytes: number, nowMs: number): LineDecision {
  const isNewSecond = nowMs - budget.secondStartMs >= secondMs
  const current = isNewSecond ? { ...initialLineBudget, secondStartMs: nowMs } : budget
  const droppedLines = isNewSecond ? budget.dropped : new Map<string, number>()
  const count = current.written.get(event) ?? 0
  const isWritten = count < maxLinesPerS && bufferedBytes < maxBufferedBytes
  return {
    budget: isWritten
      ? { ...current, written: new Map(current.written).set(event, count + 1) }
      : { ...current, dropped: new Map(current.dropped).set(event, (current.dropped.get(event) ?? 0) + 1) },
    isWritten,
    droppedLastSecond: droppedLines
  }
}
