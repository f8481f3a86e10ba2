// The request pipe: authorize > shed > check > answer locally > admit > resolve the
// read consistency > execute. Each filter has a file of its own; the decisions
// that the filters use stand in the other files.

import { compose, type Filter } from '../pipe/index.js'
import { admit } from './admit.js'
import { authorize } from './authorize.js'
import { checkStatement } from './check.js'
import { execute } from './execute.js'
import { resolveConsistency } from './consistency.js'
import { answerLocally } from './local.js'
import { shed } from './shed.js'
import type { Incoming, RequestResult } from './message.js'
import type { RequestBounds, RequestServices } from './services.js'

export * from './admit.js'
export * from './staleness.js'
export * from './authorize.js'
export * from './quorum-wait.js'
export * from './check.js'
export * from './execute.js'
export * from './feedback.js'
export * from './min-position.js'
export * from './consistency.js'
export * from './local.js'
export * from './message.js'
export * from './presence.js'
export * from './retry.js'
export * from './retry-budget.js'
export * from './route.js'
export * from './services.js'
export * from './session.js'
export * from './shed.js'

/**
 * Composes the filters of the request pipe.
 * @param services - services of the tasks around the pipe
 * @param bounds - bounds of the pipe
 * @returns the pipe, for `runPipe`
 */
export function requestPipe (services: RequestServices, bounds: RequestBounds): Filter<Incoming, never, RequestResult> {
  const checked = compose(compose(authorize(services.configuration), shed(services)), checkStatement(bounds, services.containsKey))
  const admitted = compose(compose(checked, answerLocally(services)), admit(services, bounds.rules))
  return compose(compose(admitted, resolveConsistency()), execute(services, bounds))
}
