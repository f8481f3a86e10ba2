// The pipe at the home of a server: check > queue > run > confirm. It takes a
// statement from any proxy and always gives a reply.

import { notRun, unknownOutcome } from '../model/index.js'
import { end, compose, next, type Filter } from '../pipe/index.js'
import type { CheckedRequest, DispatchReply, DispatchRequest, DispatchServices, RanRequest } from './message.js'
import { run } from './run.js'

/**
 * Joins the filters of a home.
 * @param services - what the pipe asks of the tasks around it
 * @returns the pipe, for `runPipe`
 */
export function dispatchPipe (services: DispatchServices): Filter<DispatchRequest, never, DispatchReply> {
  return compose(compose(check(services), queueAndRun(services)), confirm(services))
}

function check (services: DispatchServices): Filter<DispatchRequest, CheckedRequest, DispatchReply> {
  return async message => {
    const verdict = await services.check(message)
    switch (verdict.kind) {
      case 'may': return next({ ...message, role: verdict.role, floor: verdict.minPosition })
      case 'mayNot': return end({ outcome: notRun(verdict.reason, verdict.detail), transaction: undefined, newest: verdict.newest })
    }
  }
}

// The turn covers the statement but not the wait for a majority: the server's
// slot is free again as soon as the statement has run.
function queueAndRun (services: DispatchServices): Filter<CheckedRequest, RanRequest, DispatchReply> {
  return async message => {
    const turn = await services.acquirePermit(message)
    if (turn.kind === 'refused') return end({ outcome: notRun(turn.reason, 'the statement waited for the server and was not started'), transaction: undefined, newest: undefined })
    try {
      return next(await run(services, message))
    } finally {
      turn.release()
    }
  }
}

function confirm (services: DispatchServices): Filter<RanRequest, never, DispatchReply> {
  return async message => {
    const { outcome, transaction } = message
    if (message.confirm === undefined) return end({ outcome, transaction, newest: undefined })
    const confirmed = await services.awaitQuorum(message.confirm, message.deadlineAtMs)
    if (confirmed) return end({ outcome, transaction, newest: undefined })
    return end({ outcome: unknownOutcome('notConfirmed', 'no majority of the servers confirmed the position'), transaction: undefined, newest: undefined })
  }
}
