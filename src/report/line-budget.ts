// Keeps the volume of the log bounded. Each kind of event has a budget of lines a
// second; what is above it, and what the reader of the log does not take in
// time, is counted and told in one line.

/** Lines of one event that may be written in a second. */
export const linesPerS = 20
/** Bytes that may wait for the reader of the log. */
export const maxWaitingBytes = 262_144

/** What was written and left out in the second under way. */
export type LineBudget = {
  readonly secondStartMs: number
  readonly written: ReadonlyMap<string, number>
  readonly left: ReadonlyMap<string, number>
}

/** Whether a line is written, and what was left out in the second before. */
export type LineVerdict = {
  readonly budget: LineBudget
  readonly isWritten: boolean
  /** Lines by event, where a second has ended in which some were left out. */
  readonly leftOut: ReadonlyMap<string, number>
}

/** Nothing was written yet. */
export const freshBudget: LineBudget = { secondStartMs: 0, written: new Map(), left: new Map() }

const secondMs = 1000

/**
 * Decides on one line.
 * @param budget - what was written so far
 * @param event - name of the event
 * @param waitingBytes - bytes that the reader of the log has not taken
 * @param nowMs - monotonic time
 * @returns the verdict
 */
export function judgeLine (budget: LineBudget, event: string, waitingBytes: number, nowMs: number): LineVerdict {
  const isOver = nowMs - budget.secondStartMs >= secondMs
  const current = isOver ? { ...freshBudget, secondStartMs: nowMs } : budget
  const leftOut = isOver ? budget.left : new Map<string, number>()
  const count = current.written.get(event) ?? 0
  const isWritten = count < linesPerS && waitingBytes < maxWaitingBytes
  return {
    budget: isWritten
      ? { ...current, written: new Map(current.written).set(event, count + 1) }
      : { ...current, left: new Map(current.left).set(event, (current.left.get(event) ?? 0) + 1) },
    isWritten,
    leftOut
  }
}
