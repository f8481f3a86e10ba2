// Operations with the outcomes that callers received. A history holds one record
// for each operation that a caller sent; the oracles use histories and database
// contents only.

/**
 * Request of an operation. A register is a sequence of increasing values that
 * one session writes.
 */
export type OperationRequest =
  | { readonly kind: 'sessionRead', readonly register: number }
  | { readonly kind: 'boundedStalenessRead', readonly register: number, readonly maxAgeMs: number }
  | { readonly kind: 'latestRead', readonly register: number }
  | { readonly kind: 'write', readonly register: number, readonly value: number }
  /** Writes two rows, `value` and `value + 1`. */
  | { readonly kind: 'transaction', readonly register: number, readonly value: number }

/** Outcome that a caller received. */
export type OperationOutcome =
  | { readonly kind: 'answered', readonly value: number }
  | { readonly kind: 'notRun', readonly reason: string }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly message: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** One operation of one caller. Times come from the monotonic clock of one process. */
export type Operation = {
  readonly id: number
  readonly account: string
  readonly session: number
  readonly database: string
  /** Index in the list of proxies. */
  readonly proxy: number
  readonly request: OperationRequest
  /** Scheduled time of sending. */
  readonly scheduledMs: number
  readonly startMs: number
  readonly endMs: number
  /** Number of statements that passed the rate limit. */
  readonly admittedStatements: number
  readonly outcome: OperationOutcome
}

/** One row of the table that the load writes to, read directly from the database. */
export type FactRow = {
  readonly database: string
  readonly operation: number
  readonly part: number
  readonly register: number
  readonly value: number
}

/** Reason of a rejection by the rate limit. */
export const rateExceeded = 'rateExceeded'

/** Highest value that an operation writes; undefined for reads. */
export function writtenValue (request: OperationRequest): number | undefined {
  switch (request.kind) {
    case 'write': return request.value
    case 'transaction': return request.value + 1
    case 'sessionRead':
    case 'boundedStalenessRead':
    case 'latestRead': return undefined
  }
}

/** Number of rows that an operation leaves in its database if it runs. */
export function rowCount (request: OperationRequest): number {
  switch (request.kind) {
    case 'write': return 1
    case 'transaction': return 2
    case 'sessionRead':
    case 'boundedStalenessRead':
    case 'latestRead': return 0
  }
}
