// Filter: takes one token from the account's rate limit. With the rate unit
// `statement`, statements inside a transaction take a token too, except COMMIT
// and ROLLBACK, so that an account at its limit can still release its locks and
// its slot. With the rate unit `operation`, a transaction takes one token when
// it begins.

import { anonymousAccount, type StatementClass } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Classified, type RequestResult } from './message.js'
import type { RequestServices, SessionRules } from './services.js'

/**
 * Creates the rate limiting filter.
 * @param services - access to the rate limiter
 * @param rules - defines what takes a token
 * @returns the filter
 */
export function admit (services: Pick<RequestServices, 'admit'>, rules: SessionRules): Filter<Classified, Classified, RequestResult> {
  return async message => {
    const { statement } = message
    if (message.session.transaction !== undefined && isExempt(statement.statementClass.kind, rules)) return next(message)
    const refusal = await services.admit(message.account?.name ?? anonymousAccount, statement.deadlineAtMs)
    return refusal === undefined ? next(message) : end(requestResult(message, refusal))
  }
}

// Whether a statement inside a transaction takes no token.
function isExempt (kind: StatementClass['kind'], rules: SessionRules): boolean {
  switch (rules.rateUnit) {
    case 'operation': return true
    case 'statement': return kind === 'commit' || kind === 'rollback'
  }
}
