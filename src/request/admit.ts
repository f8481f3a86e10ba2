// Filter: takes one token of the account's rate. Statements inside a
// transaction count too; COMMIT and ROLLBACK pass, so that an account at its
// limit can still let go of what it holds.

import { anonymousAccount } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { served, type Classified, type Served } from './message.js'
import type { RequestServices } from './services.js'

/**
 * Makes the filter.
 * @param services - takes tokens
 * @returns the filter
 */
export function admit (services: Pick<RequestServices, 'admit'>): Filter<Classified, Classified, Served> {
  return async message => {
    const { statement } = message
    if (message.session.transaction !== undefined && isEnd(statement.statementClass.kind)) return next(message)
    const refusal = await services.admit(message.account?.name ?? anonymousAccount, statement.deadlineAtMs)
    return refusal === undefined ? next(message) : end(served(message, refusal))
  }
}

function isEnd (kind: string): boolean {
  return kind === 'commit' || kind === 'rollback'
}
