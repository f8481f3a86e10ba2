// Filter: an overloaded host refuses new statements right after it has found their route.
// Statements of a transaction pass, as do those that need no server.

import { notRun, type StatementClass } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { retryHint } from '../schedule/index.js'
import { requestResult, type Authorized, type RequestResult } from './message.js'
import type { RequestServices } from './services.js'

/** Priority of a route without a policy. */
const defaultPriority = 1
/** Time after which a refused caller should try again: that in which the refused fraction changes. */
const retryAfterMs = 600

/**
 * Creates the filter.
 * @param services - load of this host
 * @returns the filter
 */
export function shed (services: Pick<RequestServices, 'sheds' | 'random'>): Filter<Authorized, Authorized, RequestResult> {
  return message => {
    if (message.session.transaction !== undefined || !needsServer(message.statement.statementClass)) return next(message)
    if (services.sheds?.(message.route.policy?.priority ?? defaultPriority) !== true) return next(message)
    return end(requestResult(message, notRun('overloaded', `this host has too much to do: ${retryHint(retryAfterMs, services.random())}`)))
  }
}

function needsServer (statementClass: StatementClass): boolean {
  switch (statementClass.kind) {
    case 'read':
    case 'write':
    case 'define':
    case 'begin':
    case 'executePrepared': return true
    case 'commit':
    case 'rollback':
    case 'readToken':
    case 'setToken':
    case 'setDefault':
    case 'setValue':
    case 'prepare':
    case 'deallocate':
    case 'unsupported':
    case 'malformed': return false
  }
}
