// Readers of the call `execute` and its reply. They accept nothing that the schemas
// of src/wire/peer-schema.ts reject. Rows are checked in place: the received text
// was parsed for this message only, so nothing else refers to them.

import type { Answer, Cell, Column, ExecuteReply, ExecuteRequest, ExecutionMode, NotRunReason, Outcome, Position, PrimaryView, ReadConsistency, ServerLoad, ServerStatement, SessionValues, UnknownReason } from '../model/index.js'
import { fieldCodes as code } from './peer-codec.js'
import { accessOf, amountOf, booleanOf, countOf, fieldsOf, listOf, nameOf, numberOf, oneOf, optional, positiveOf, textOf, unrecognized, type Fields } from './peer-fields.js'

const notRunReasons: ReadonlyArray<Exclude<NotRunReason, 'overloaded'>> = [
  'badKey', 'keyWithdrawn', 'routeUnknown', 'routeForbidden', 'hintMalformed', 'statementTooLong', 'statementHoldsKey', 'unsupported',
  'rateExceeded', 'queueFull', 'deadlinePassed', 'unconfirmedConfiguration', 'noPrimary', 'noServer', 'leaving', 'stopping', 'wrongHome',
  'behind', 'transactionLost', 'transactionFailed', 'serverBusy', 'preparedUnknown'
]
const unknownReasons: readonly UnknownReason[] = ['connectionLost', 'answerOverdue', 'notConfirmed']
const origins = ['primary', 'replica', 'proxy'] as const

/**
 * Reads the parameters of `execute`.
 * @param value - the received value
 * @returns the request
 */
export function executeRequestOf (value: unknown): ExecuteRequest {
  const fields = fieldsOf(value)
  return {
    from: nameOf(fields[code.from]),
    database: nameOf(fields[code.database]),
    server: nameOf(fields[code.server]),
    account: nameOf(fields[code.account]),
    weight: positiveOf(fields[code.weight]),
    statement: statementOf(fields[code.statement]),
    values: sessionValuesOf(fields['values']),
    mode: modeOf(fields[code.mode]),
    remainingMs: numberOf(fields[code.remainingMs]),
    priority: optional(fields[code.priority], countOf),
    goalLeftMs: optional(fields[code.goalLeftMs], numberOf),
    takesToken: optional(fields[code.takesToken], booleanOf),
    callId: optional(fields[code.callId], nameOf),
    callerSession: optional(fields[code.callerSession], nameOf)
  }
}

/**
 * Reads the result of `execute`.
 * @param value - the received value
 * @returns the reply
 */
export function executeReplyOf (value: unknown): ExecuteReply {
  const fields = fieldsOf(value)
  return {
    outcome: outcomeOf(fields[code.outcome]),
    transaction: optional(fields[code.transaction], nameOf),
    primary: primaryViewOf(fields[code.primary]),
    newest: optional(fields[code.newest], positionOf),
    applied: optional(fields[code.applied], positionOf),
    tookToken: optional(fields[code.tookToken], booleanOf),
    serverLoad: optional(fields[code.serverLoad], serverLoadOf)
  }
}

function statementOf (value: unknown): ServerStatement {
  const fields = fieldsOf(value)
  return {
    id: optional(fields[code.id], textOf),
    text: textOf(fields[code.text]),
    prepared: optional(fields[code.prepared], preparedOf)
  }
}

function preparedOf (value: unknown): NonNullable<ServerStatement['prepared']> {
  const fields = fieldsOf(value)
  const statement = fieldsOf(fields[code.statement])
  return {
    statement: { access: accessOf(statement[code.access]), shape: textOf(statement['shape']) },
    argument: textOf(fields[code.argument])
  }
}

// Passed as it is, with the names that the caller chose.
function sessionValuesOf (value: unknown): SessionValues {
  const values = fieldsOf(value)
  for (const each of Object.values(values)) textOf(each)
  return values as SessionValues
}

function modeOf (value: unknown): ExecutionMode {
  const fields = fieldsOf(value)
  const kind = oneOf(['read', 'write', 'begin', 'inTransaction', 'commit', 'rollback'], fields[code.kind])
  switch (kind) {
    case 'read': return { kind, freshness: consistencyOf(fields[code.freshness]) }
    case 'write': return { kind, requestId: optional(fields[code.requestId], textOf) }
    case 'begin': return { kind, requestId: optional(fields[code.requestId], textOf), access: accessOf(fields[code.access]), freshness: consistencyOf(fields[code.freshness]) }
    case 'inTransaction':
    case 'commit':
    case 'rollback': return { kind, transaction: nameOf(fields[code.transaction]) }
  }
}

function consistencyOf (value: unknown): ReadConsistency {
  const fields = fieldsOf(value)
  const kind = oneOf(['floor', 'newest', 'age', 'floorAndAge'], fields[code.kind])
  switch (kind) {
    case 'floor': return { kind, position: positionOf(fields[code.position]) }
    case 'newest': return { kind }
    case 'age': return { kind, maxAgeMs: amountOf(fields[code.maxAgeMs]) }
    case 'floorAndAge': return { kind, position: positionOf(fields[code.position]), maxAgeMs: amountOf(fields[code.maxAgeMs]) }
  }
}

function outcomeOf (value: unknown): Outcome {
  const fields = fieldsOf(value)
  const kind = oneOf(['answered', 'refused', 'failed', 'notRun', 'unknown'], fields[code.kind])
  switch (kind) {
    case 'answered': return { kind, answer: answerOf(fields[code.answer]), position: optional(fields[code.position], positionOf), servedBy: oneOf(origins, fields[code.servedBy]) }
    case 'refused': return { kind, errorNumber: countOf(fields['errorNumber']), sqlState: textOf(fields['sqlState']), message: textOf(fields['message']) }
    case 'failed': return { kind, detail: textOf(fields[code.detail]) }
    case 'notRun': return { kind, reason: oneOf(notRunReasons, fields[code.reason]), detail: textOf(fields[code.detail]) }
    case 'unknown': return { kind, reason: oneOf(unknownReasons, fields[code.reason]), detail: textOf(fields[code.detail]) }
  }
}

function answerOf (value: unknown): Answer {
  const fields = fieldsOf(value)
  const kind = oneOf(['rows', 'done', 'signed'], fields[code.kind])
  switch (kind) {
    case 'rows': return { kind, columns: listOf(fields['columns']).map(columnOf), rows: rowsOf(fields[code.rows]) }
    case 'done': return { kind, affectedRows: amountOf(fields['affectedRows']), insertId: amountOf(fields['insertId']) }
    case 'signed': return { kind, rows: textsOf(fields[code.rows]), signature: textOf(fields[code.signature]) }
  }
}

function columnOf (value: unknown): Column {
  const fields = fieldsOf(value)
  return {
    name: textOf(fields['name']),
    type: countOf(fields['type']),
    flags: countOf(fields['flags']),
    length: countOf(fields['length']),
    decimals: countOf(fields['decimals']),
    characterSet: countOf(fields['characterSet'])
  }
}

function rowsOf (value: unknown): ReadonlyArray<readonly Cell[]> {
  const rows = listOf(value)
  for (const row of rows) listOf(row).forEach(checkCell)
  return rows as ReadonlyArray<readonly Cell[]>
}

function checkCell (value: unknown): void {
  if (value !== null && typeof value !== 'string') throw unrecognized
}

function textsOf (value: unknown): readonly string[] {
  const texts = listOf(value)
  texts.forEach(textOf)
  return texts as readonly string[]
}

function primaryViewOf (value: unknown): PrimaryView {
  const fields = fieldsOf(value)
  return { database: nameOf(fields[code.database]), term: countOf(fields[code.term]), primary: optional(fields[code.primary], nameOf) }
}

function serverLoadOf (value: unknown): ServerLoad {
  const fields = fieldsOf(value)
  return {
    expectedWaitMs: amountOf(fields[code.expectedWaitMs]),
    serviceMs: amountOf(fields[code.serviceMs]),
    waiting: countOf(fields[code.waiting]),
    slots: countOf(fields['slots'])
  }
}

function positionOf (value: unknown): Position {
  const fields: Fields = fieldsOf(value)
  return { term: countOf(fields[code.term]), index: countOf(fields[code.index]) }
}
