// The ledger log: entries with consecutive indexes from 1 and non-decreasing
// terms. It is stored as sealed chunks and a short tail, so that appending an
// entry copies only the tail.

import { originPosition, type Position } from '../../src/model/index.js'

/**
 * Writes of one committed transaction; the entry that a promotion appends has
 * no statements.
 */
export type LogEntry = {
  readonly position: Position
  readonly statements: readonly string[]
}

type Chunk = readonly LogEntry[]

export type Log = {
  /** Chunks of exactly `chunkEntries` entries. */
  readonly sealed: readonly Chunk[]
  readonly tail: Chunk
}

/** Number of entries in a sealed chunk. */
const chunkEntries = 256

export const emptyLog: Log = { sealed: [], tail: [] }

export function logLength (log: Log): number {
  return log.sealed.length * chunkEntries + log.tail.length
}

export function entryAt (log: Log, index: number): LogEntry | undefined {
  if (index < 1) return undefined
  const chunk = log.sealed[Math.floor((index - 1) / chunkEntries)] ?? log.tail
  return index > logLength(log) ? undefined : chunk[(index - 1) % chunkEntries]
}

export function lastPosition (log: Log): Position {
  return entryAt(log, logLength(log))?.position ?? originPosition
}

export function holdsPosition (log: Log, position: Position): boolean {
  if (position.index === 0) return true
  return entryAt(log, position.index)?.position.term === position.term
}

export function appendEntry (log: Log, entry: LogEntry): Log {
  const tail = [...log.tail, entry]
  if (tail.length < chunkEntries) return { sealed: log.sealed, tail }
  return { sealed: [...log.sealed, tail], tail: [] }
}

/** Returns the log up to and including an index. */
export function truncateLog (log: Log, index: number): Log {
  if (index >= logLength(log)) return log
  const wholeChunks = Math.floor(index / chunkEntries)
  const partial = log.sealed[wholeChunks] ?? log.tail
  return { sealed: log.sealed.slice(0, wholeChunks), tail: partial.slice(0, index % chunkEntries) }
}

/** Returns at most `limit` entries after an index. */
export function entriesAfter (log: Log, index: number, limit: number): readonly LogEntry[] {
  const count = Math.max(0, Math.min(limit, logLength(log) - index))
  return Array.from({ length: count }, (_, offset) => entryAt(log, index + 1 + offset) as LogEntry)
}

/**
 * Finds the last entry that is not after the bound by index nor by term: the
 * last position at which a log that ends at the bound may agree.
 */
export function lastAtOrBelow (log: Log, bound: Position): Position {
  let low = 0
  let high = Math.min(bound.index, logLength(log))
  while (low < high) {
    const middle = Math.ceil((low + high) / 2)
    const term = entryAt(log, middle)?.position.term ?? Infinity
    if (term <= bound.term) low = middle
    else high = middle - 1
  }
  return entryAt(log, low)?.position ?? originPosition
}

/** A log after merging entries that another log holds. */
export type MergedLog = {
  readonly log: Log
  /** First index at which entries were dropped or added, if any. */
  readonly changedFrom: number | undefined
}

export function mergeEntries (log: Log, entries: readonly LogEntry[]): MergedLog {
  const firstNew = entries.findIndex(entry => !holdsPosition(log, entry.position))
  const first = entries[firstNew]
  const leavesGap = first !== undefined && first.position.index > logLength(log) + 1
  if (first === undefined || leavesGap) return { log, changedFrom: undefined }
  const changedFrom = first.position.index
  const kept = truncateLog(log, changedFrom - 1)
  return { log: entries.slice(firstNew).reduce(appendEntry, kept), changedFrom }
}
