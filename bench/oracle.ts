// Checks a history for violations: session reads must see the session's own
// writes, bounded-staleness reads must stay within their bound, and the database
// must hold each write as often as its outcome says.

import { rowCount, writtenValue, type FactRow, type Operation, type OperationRequest } from './history.js'

/** A read that did not see a write which it had to see. */
export type StaleRead = {
  readonly kind: 'staleRead'
  readonly operation: Operation
  readonly read: number
  readonly expectedAtLeast: number
}

/** A write whose rows in the database contradict its outcome. */
export type WrongWrite =
  | { readonly kind: 'lostWrite', readonly operation: Operation }
  | { readonly kind: 'duplicatedWrite', readonly operation: Operation, readonly rows: number }
  /** Reported as not run, although it ran. */
  | { readonly kind: 'falseRejection', readonly operation: Operation }
  /** A transaction of which only some rows exist. */
  | { readonly kind: 'tornTransaction', readonly operation: Operation }

type Acknowledged = {
  readonly value: number
  readonly endMs: number
}

/** Time until which acknowledged writes to the register of a read must be visible to it. */
function visibilityBoundMs (operation: Operation): number {
  const { request, startMs } = operation
  switch (request.kind) {
    case 'boundedStalenessRead': return startMs - request.maxAgeMs
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
 * Finds reads that did not see a write which they had to see. A session read has
 * to see all writes to its register, since only its own session writes there.
 * @param history - operations of all callers
 * @returns stale reads of all kinds
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
 * Compares the outcomes of writes with the rows in the databases.
 * @param history - operations of all callers
 * @param rows - all rows of the load's table
 * @returns writes whose rows contradict their outcome
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
  if (rows.length > parts) return [{ kind: 'duplicatedWrite', operation, rows: rows.length }]
  if (parts > 0 && parts < expected) return [{ kind: 'tornTransaction', operation }]
  switch (operation.outcome.kind) {
    case 'answered': return parts === 0 ? [{ kind: 'lostWrite', operation }] : []
    case 'notRun':
    case 'refused': return parts > 0 ? [{ kind: 'falseRejection', operation }] : []
    case 'unknown': return []
  }
}
