// Filter: takes one token of the account's rate. Where each statement counts,
// those inside a transaction do, too, but for COMMIT and ROLLBACK, so that an
// account at its limit can still let go of what it holds. Where operations
// count, a transaction takes its token when it begins.

import { anonymousAccount, type StatementClass } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { served, type Classified, type Served } from './message.js'
import type { RequestServices, SessionRules } from './services.js'

/**
 * Makes the filter.
 * @param services - takes tokens
 * @param rules - what counts
 * @returns the filter
 */
export function admit (services: Pick<RequestServices, 'admit'>, rules: SessionRules): Filter<Classified, Classified, Served> {
  return async message => {
    const { statement } = message
    if (message.session.transaction !== undefined && isExempt(statement.statementClass.kind, rules)) return next(message)
    const refusal = await services.admit(message.account?.name ?? anonymousAccount, statement.deadlineAtMs)
    return refusal === undefined ? next(message) : end(served(message, refusal))
  }
}

function isExempt (kind: StatementClass['kind'], rules: SessionRules): boolean {
  switch (rules.rateUnit) {
    case 'operation': return true
    case 'statement': return kind === 'commit' || kind === 'rollback'
  }
}
