// Filter: reads hints, class and deadline from the text of a statement.

import { notRun, type ClassifiedStatement } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { classify } from './classify.js'
import { readHints } from './hints.js'
import { served, type Authorized, type Classified, type Served } from './message.js'
import type { RequestBounds } from './services.js'

/**
 * Makes the filter.
 * @param bounds - the deadlines
 * @param holdsKey - tells a text that holds something shaped like a key
 * @returns the filter
 */
export function classifyFilter (bounds: RequestBounds, holdsKey: (sql: string) => boolean): Filter<Authorized, Classified, Served> {
  return message => {
    const { statement } = message
    if (holdsKey(statement.sql)) return end(served(message, notRun('statementHoldsKey', 'the statement holds a key; no database may see one')))
    const hints = readHints(statement.sql)
    if (hints.kind === 'malformed') return end(served(message, notRun('hintMalformed', hints.detail)))
    const statementClass = classify(statement.sql, hints.hints)
    if (statementClass.kind === 'unsupported') return end(served(message, notRun('unsupported', `${statementClass.what} is not supported`)))
    const deadlineMs = Math.min(hints.hints.deadlineMs ?? bounds.defaultDeadlineMs, bounds.maxDeadlineMs)
    const classified: ClassifiedStatement = { ...statement, statementClass, hints: hints.hints, deadlineAtMs: statement.receivedAtMs + deadlineMs }
    return next({ ...message, statement: classified })
  }
}
