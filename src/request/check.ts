// Filter: rejects statements that cannot be served, resolves prepared
// statements and sets the statement's deadline.

import { notRun, type StatementWithDeadline, type ServerStatement, type StatementClass } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Authorized, type Classified, type RequestResult } from './message.js'
import type { RequestBounds } from './services.js'
import type { SessionState } from './session.js'

/**
 * Creates the statement check.
 * @param bounds - the default and the maximum deadline
 * @param containsKey - detects text in the form of a client key
 * @returns the filter
 */
export function checkStatement (bounds: RequestBounds, containsKey: (text: string) => boolean): Filter<Authorized, Classified, RequestResult> {
  return message => {
    const { statement, session } = message
    if (containsKey(statement.text)) return end(requestResult(message, notRun('statementHoldsKey', 'the statement contains a client key, which must not reach a database')))
    if (session.transaction?.state === 'failed' && !endsTransaction(statement.statementClass)) {
      return end(requestResult(message, notRun('transactionFailed', 'the transaction failed and is rolled back; end it before the next statement')))
    }
    const resolved = resolve(statement.statementClass, session)
    switch (resolved.kind) {
      case 'refused': return end(requestResult(message, resolved.outcome))
      case 'resolved': {
        const classified: StatementWithDeadline = { ...statement, statementClass: resolved.statementClass, deadlineAtMs: statement.receivedAtMs + deadlineMs(message, bounds) }
        return next({ ...message, statement: classified, prepared: resolved.prepared })
      }
    }
  }
}

type Resolved =
  | { readonly kind: 'resolved', readonly statementClass: StatementClass, readonly prepared: ServerStatement['prepared'] }
  | { readonly kind: 'refused', readonly outcome: ReturnType<typeof notRun> }

function resolve (statementClass: StatementClass, session: SessionState): Resolved {
  switch (statementClass.kind) {
    case 'unsupported': return { kind: 'refused', outcome: notRun('unsupported', `${statementClass.what} is not supported`) }
    case 'malformed': return { kind: 'refused', outcome: notRun('hintMalformed', statementClass.detail) }
    case 'executePrepared': return resolvePrepared(statementClass.name, statementClass.argument, session)
    case 'read':
    case 'write':
    case 'define':
    case 'begin':
    case 'commit':
    case 'rollback':
    case 'readToken':
    case 'setToken':
    case 'setDefault':
    case 'setValue':
    case 'prepare':
    case 'deallocate': return { kind: 'resolved', statementClass, prepared: undefined }
  }
}

function resolvePrepared (name: string, argument: string, session: SessionState): Resolved {
  const statement = session.prepared.get(name)
  if (statement === undefined) return { kind: 'refused', outcome: notRun('preparedUnknown', 'the session has no prepared statement with this name') }
  const statementClass: StatementClass = statement.access === 'read' ? { kind: 'read', level: { kind: 'route' } } : { kind: 'write' }
  return { kind: 'resolved', statementClass, prepared: { statement, argument } }
}

function deadlineMs (message: Authorized, bounds: RequestBounds): number {
  const routeTimeoutMs = message.route.policy?.timeoutMs ?? bounds.defaultDeadlineMs
  return Math.min(message.statement.hints.deadlineMs ?? routeTimeoutMs, bounds.maxDeadlineMs)
}

function endsTransaction (statementClass: StatementClass): boolean {
  return statementClass.kind === 'commit' || statementClass.kind === 'rollback'
}
