// Filter: takes one token from the account's rate limit. With the rate unit
// `statement`, statements inside a transaction take a token too, except COMMIT
// and ROLLBACK, so that an account at its limit can still release its locks and
// its slot. With the rate unit `operation`, a transaction takes one token when
// it begins. Where this host has no token and owns no partition of the account, the
// token is left to the dispatcher (src/admission).

import { tokenDelegated, tokenTaken } from '../admission/index.js'
import { anonymousAccount, type StatementClass } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Admitted, type Classified, type RequestResult } from './message.js'
import type { RequestServices, SessionRules } from './services.js'

/**
 * Creates the rate limiting filter.
 * @param services - access to the rate limiter
 * @param rules - defines what takes a token
 * @returns the filter
 */
export function admit (services: Pick<RequestServices, 'admitOrDelegate'>, rules: SessionRules): Filter<Classified, Admitted, RequestResult> {
  return async message => {
    const { statement } = message
    if (message.session.transaction !== undefined && isExempt(statement.statementClass.kind, rules)) return next({ ...message, token: tokenTaken })
    const admission = await services.admitOrDelegate(message.account?.name ?? anonymousAccount, statement.deadlineAtMs)
    switch (admission.kind) {
      case 'admitted': return next({ ...message, token: tokenTaken })
      case 'delegated': return next({ ...message, token: tokenDelegated })
      case 'refused': return end(requestResult(message, admission.outcome))
    }
  }
}

// Whether a statement inside a transaction takes no token.
function isExempt (kind: StatementClass['kind'], rules: SessionRules): boolean {
  switch (rules.rateUnit) {
    case 'operation': return true
    case 'statement': return kind === 'commit' || kind === 'rollback'
  }
}
