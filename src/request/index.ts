// The request pipe: authorize > check > answer locally > admit > find
// freshness > execute, one filter a file, and the decisions that the filters use.

import { compose, type Filter } from '../pipe/index.js'
import { admit } from './admit.js'
import { authorize } from './authorize.js'
import { checkStatement } from './check.js'
import { execute } from './execute.js'
import { resolveConsistency } from './consistency.js'
import { answerLocally } from './local.js'
import type { Incoming, RequestResult } from './message.js'
import type { RequestBounds, RequestServices } from './services.js'

export * from './admit.js'
export * from './staleness.js'
export * from './authorize.js'
export * from './quorum-wait.js'
export * from './check.js'
export * from './execute.js'
export * from './fair-queue.js'
export * from './min-position.js'
export * from './consistency.js'
export * from './local.js'
export * from './message.js'
export * from './retry.js'
export * from './route.js'
export * from './services.js'
export * from './session.js'

/**
 * Joins the filters of the request pipe.
 * @param services - what the pipe asks of the tasks around it
 * @param bounds - bounds of the pipe
 * @returns the pipe, for `runPipe`
 */
export function requestPipe (services: RequestServices, bounds: RequestBounds): Filter<Incoming, never, RequestResult> {
  const checked = compose(authorize(services.configuration), checkStatement(bounds, services.holdsKey))
  const due = compose(compose(checked, answerLocally(services)), admit(services, bounds.rules))
  return compose(compose(due, resolveConsistency()), execute(services, bounds))
}
