// The pipe of a server's dispatcher: check > queue > run > wait for a quorum. It
// accepts statements from any proxy and always produces a reply.

import { belongsToTransaction, notRun, unknownOutcome, type NotRunReason, type Outcome } from '../model/index.js'
import type { ServiceResult } from '../pace/index.js'
import { end, compose, next, type Filter } from '../pipe/index.js'
import type { CheckedRequest, DispatchReply, DispatchRequest, DispatchServices, ExecutedRequest } from './message.js'
import { drainTimeOver, run } from './run.js'

/**
 * Composes the filters of a dispatcher.
 * @param services - the services that the pipe uses
 * @returns the pipe, for `runPipe`
 */
export function dispatchPipe (services: DispatchServices): Filter<DispatchRequest, never, DispatchReply> {
  return compose(compose(check(services), queueAndRun(services)), waitForQuorum(services))
}

function check (services: DispatchServices): Filter<DispatchRequest, CheckedRequest, DispatchReply> {
  return async message => {
    if (!belongsToTransaction(message.request.mode) && !services.acceptsNewWork()) return end({ outcome: drainTimeOver, transaction: undefined, newest: undefined })
    const result = await services.check(message)
    switch (result.kind) {
      case 'allowed': return next({ ...message, role: result.role, minPosition: result.minPosition })
      case 'rejected': return end({ outcome: notRun(result.reason, result.detail), transaction: undefined, newest: result.newest })
    }
  }
}

// The permit covers the statement but not the wait for a quorum: the server's
// slot is released as soon as the statement has run.
function queueAndRun (services: DispatchServices): Filter<CheckedRequest, ExecutedRequest, DispatchReply> {
  return async message => {
    const permit = await services.acquirePermit(message)
    if (permit.kind === 'refused') return end({ outcome: notRun(permit.reason, permit.detail ?? 'the statement got no slot on the server and was not started'), transaction: undefined, newest: undefined })
    let result: ServiceResult = 'failed'
    try {
      const executed = await run(services, message)
      result = serviceResultOf(executed.outcome)
      return next(executed)
    } finally {
      permit.release(result)
    }
  }
}

function serviceResultOf (outcome: Outcome): ServiceResult {
  if (outcome === drainTimeOver) return 'none'
  switch (outcome.kind) {
    case 'answered':
    case 'refused': return 'answered'
    case 'unknown':
    case 'failed': return 'failed'
    case 'notRun': return serviceResultOfRefusal(outcome.reason)
  }
}

// All other reasons are those of the statement, its transaction or this host.
function serviceResultOfRefusal (reason: NotRunReason): ServiceResult {
  if (reason === 'serverBusy') return 'busy'
  return reason === 'noServer' ? 'failed' : 'none'
}

function waitForQuorum (services: DispatchServices): Filter<ExecutedRequest, never, DispatchReply> {
  return async message => {
    const { outcome, transaction } = message
    if (message.quorumPosition === undefined) return end({ outcome, transaction, newest: undefined })
    const hasQuorum = await services.awaitQuorum(message.quorumPosition, message.deadlineAtMs)
    if (hasQuorum) return end({ outcome, transaction, newest: undefined })
    return end({ outcome: unknownOutcome('notConfirmed', 'no majority of the servers is known to have received the position'), transaction: undefined, newest: undefined })
  }
}
