// What callers saw. A history holds one record for each operation that a
// caller sent; the judgement reads histories and database contents alone.

/**
 * What an operation asks for. A register is a row of rising values that one
 * session writes.
 */
export type OperationRequest =
  | { readonly kind: 'sessionRead', readonly register: number }
  | { readonly kind: 'agedRead', readonly register: number, readonly maxAgeMs: number }
  | { readonly kind: 'latestRead', readonly register: number }
  | { readonly kind: 'write', readonly register: number, readonly value: number }
  /** Writes two rows: the value and the one after it. */
  | { readonly kind: 'transaction', readonly register: number, readonly value: number }

/** What a caller was told. */
export type OperationOutcome =
  | { readonly kind: 'answered', readonly value: number }
  | { readonly kind: 'notRun', readonly reason: string }
  | { readonly kind: 'refused', readonly errorNumber: number, readonly message: string }
  | { readonly kind: 'unknown', readonly reason: string }

/** One operation of one caller. Times are monotonic and of one process. */
export type Operation = {
  readonly id: number
  readonly account: string
  readonly session: number
  readonly database: string
  /** Place of the proxy in the list of proxies. */
  readonly proxy: number
  readonly request: OperationRequest
  /** When the schedule wanted it sent. */
  readonly scheduledMs: number
  readonly startMs: number
  readonly endMs: number
  /** Statements that passed the rate limit. */
  readonly admittedStatements: number
  readonly outcome: OperationOutcome
}

/** One row of the table that the load writes, read from the database itself. */
export type FactRow = {
  readonly database: string
  readonly operation: number
  readonly part: number
  readonly register: number
  readonly value: number
}

/** Reason of a refusal by the rate limit. */
export const rateExceeded = 'rateExceeded'

/** Highest value that an operation writes; undefined for reads. */
export function writtenValue (request: OperationRequest): number | undefined {
  switch (request.kind) {
    case 'write': return request.value
    case 'transaction': return request.value + 1
    case 'sessionRead':
    case 'agedRead':
    case 'latestRead': return undefined
  }
}

/** Rows that an operation leaves in its database where it ran. */
export function rowCount (request: OperationRequest): number {
  switch (request.kind) {
    case 'write': return 1
    case 'transaction': return 2
    case 'sessionRead':
    case 'agedRead':
    case 'latestRead': return 0
  }
}
