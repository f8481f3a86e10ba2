// Judges a history against what must hold: session reads see the session's own
// writes, reads of a stated age are no older, each write stands in the database
// exactly as often as its caller was told.

import { rowCount, writtenValue, type FactRow, type Operation, type OperationRequest } from './history.js'

/** A read that missed a write which it had to see. */
export type StaleRead = {
  readonly kind: 'staleRead'
  readonly operation: Operation
  readonly read: number
  readonly expectedAtLeast: number
}

/** A write that the database holds less or more often than its caller was told. */
export type WrongWrite =
  | { readonly kind: 'lostWrite', readonly operation: Operation }
  | { readonly kind: 'doubledWrite', readonly operation: Operation, readonly rows: number }
  /** Said to be not run, and ran. */
  | { readonly kind: 'untrueRefusal', readonly operation: Operation }
  /** Some rows of a transaction, not all. */
  | { readonly kind: 'tornTransaction', readonly operation: Operation }

type Acknowledged = {
  readonly value: number
  readonly endMs: number
}

/** What a read has to see: writes acknowledged by then, of its own register. */
function visibilityBoundMs (operation: Operation): number {
  const { request, startMs } = operation
  switch (request.kind) {
    case 'agedRead': return startMs - request.maxAgeMs
    case 'sessionRead':
    case 'latestRead':
    case 'write':
    case 'transaction': return startMs
  }
}

function isRead (request: OperationRequest): boolean {
  return writtenValue(request) === undefined
}

function registerKey (operation: Operation): string {
  return `${operation.database}/${operation.request.register}`
}

function acknowledgedWrites (history: readonly Operation[]): ReadonlyMap<string, readonly Acknowledged[]> {
  const found = new Map<string, Acknowledged[]>()
  for (const operation of history) {
    const value = writtenValue(operation.request)
    if (value === undefined || operation.outcome.kind !== 'answered') continue
    const key = registerKey(operation)
    const writes = found.get(key) ?? []
    writes.push({ value, endMs: operation.endMs })
    found.set(key, writes)
  }
  return found
}

/**
 * Finds reads that missed a write. A session read has to see the writes of its
 * own register, which its own session alone writes.
 * @param history - what callers saw
 * @returns the stale reads of every kind
 */
export function staleReads (history: readonly Operation[]): readonly StaleRead[] {
  const acknowledged = acknowledgedWrites(history)
  return history.flatMap(operation => {
    if (!isRead(operation.request) || operation.outcome.kind !== 'answered') return []
    const untilMs = visibilityBoundMs(operation)
    const required = (acknowledged.get(registerKey(operation)) ?? []).filter(write => write.endMs <= untilMs)
    const expectedAtLeast = Math.max(0, ...required.map(write => write.value))
    const read = operation.outcome.value
    return read < expectedAtLeast ? [{ kind: 'staleRead', operation, read, expectedAtLeast } as const] : []
  })
}

/**
 * Compares what callers were told of their writes with the databases' rows.
 * @param history - what callers saw
 * @param rows - all rows of the load's table
 * @returns each write that stands there too seldom or too often
 */
export function wrongWrites (history: readonly Operation[], rows: readonly FactRow[]): readonly WrongWrite[] {
  const byOperation = new Map<number, FactRow[]>()
  for (const row of rows) {
    const operationRows = byOperation.get(row.operation) ?? []
    operationRows.push(row)
    byOperation.set(row.operation, operationRows)
  }
  return history
    .filter(operation => !isRead(operation.request))
    .flatMap(operation => checkWrite(operation, byOperation.get(operation.id) ?? []))
}

function checkWrite (operation: Operation, rows: readonly FactRow[]): readonly WrongWrite[] {
  const parts = new Set(rows.map(row => row.part)).size
  const expected = rowCount(operation.request)
  if (rows.length > parts) return [{ kind: 'doubledWrite', operation, rows: rows.length }]
  if (parts > 0 && parts < expected) return [{ kind: 'tornTransaction', operation }]
  switch (operation.outcome.kind) {
    case 'answered': return parts === 0 ? [{ kind: 'lostWrite', operation }] : []
    case 'notRun':
    case 'refused': return parts > 0 ? [{ kind: 'untrueRefusal', operation }] : []
    case 'unknown': return []
  }
}
