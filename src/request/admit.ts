// Filter: takes one token of the account's rate. Where each statement counts,
// those inside a transaction do, too, but for COMMIT and ROLLBACK, so that an
// account at its limit can still let go of what it holds. Where operations
// count, a transaction takes its token when it begins.

import { anonymousAccount, type StatementClass } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Classified, type RequestResult } from './message.js'
import type { RequestServices, SessionRules } from './services.js'

/**
 * Makes the filter.
 * @param services - takes tokens
 * @param rules - what counts
 * @returns the filter
 */
export function admit (services: Pick<RequestServices, 'admit'>, rules: SessionRules): Filter<Classified, Classified, RequestResult> {
  return async message => {
    const { statement } = message
    if (message.session.transaction !== undefined && passes(statement.statementClass.kind, rules)) return next(message)
    const refusal = await services.admit(message.account?.name ?? anonymousAccount, statement.deadlineAtMs)
    return refusal === undefined ? next(message) : end(requestResult(message, refusal))
  }
}

function passes (kind: StatementClass['kind'], rules: SessionRules): boolean {
  switch (rules.rateUnit) {
    case 'operation': return true
    case 'statement': return kind === 'commit' || kind === 'rollback'
  }
}
