// Fixtures for the tests of the bench's oracles: operations and rows of a
// history.

import type { FactRow, Operation, OperationRequest } from '../../bench/history.js'

export function operationOf (id: number, request: OperationRequest, changes: Partial<Operation> = {}): Operation {
  return {
    id,
    account: 'bench',
    session: 1,
    database: 'orders',
    proxy: 0,
    request,
    scheduledMs: id * 10,
    startMs: id * 10,
    endMs: id * 10 + 5,
    admittedStatements: 1,
    outcome: { kind: 'answered', value: 0 },
    ...changes
  }
}

export function writeOf (id: number, value: number, changes: Partial<Operation> = {}): Operation {
  return operationOf(id, { kind: 'write', register: 1, value }, changes)
}

export function rowOf (operation: Operation, changes: Partial<FactRow> = {}): FactRow {
  return { database: operation.database, operation: operation.id, part: 0, register: operation.request.register, value: 1, ...changes }
}

export const rejectedByRate = { admittedStatements: 0, outcome: { kind: 'notRun', reason: 'rateExceeded' } } as const
