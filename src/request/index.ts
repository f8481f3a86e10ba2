// The request pipe: authorize > check > answer locally > admit > resolve the
// read consistency > execute. Each filter has a file of its own; the decisions
// that the filters use stand in the other files.

import { join, type Filter } from '../pipe/index.js'
import { admit } from './admit.js'
import { authorize } from './authorize.js'
import { checkStatement } from './check.js'
import { execute } from './execute.js'
import { findFreshness } from './freshness.js'
import { answerLocally } from './local.js'
import type { Incoming, Served } from './message.js'
import type { RequestBounds, RequestServices } from './services.js'

export * from './admit.js'
export * from './age.js'
export * from './authorize.js'
export * from './confirm.js'
export * from './check.js'
export * from './execute.js'
export * from './fair-queue.js'
export * from './floor.js'
export * from './freshness.js'
export * from './local.js'
export * from './message.js'
export * from './retry.js'
export * from './route.js'
export * from './services.js'
export * from './session.js'

/**
 * Composes the filters of the request pipe.
 * @param services - services of the tasks around the pipe
 * @param bounds - bounds of the pipe
 * @returns the pipe, for `runPipe`
 */
export function requestPipe (services: RequestServices, bounds: RequestBounds): Filter<Incoming, never, Served> {
  const checked = join(authorize(services.configuration), checkStatement(bounds, services.holdsKey))
  const admitted = join(join(checked, answerLocally(services)), admit(services, bounds.rules))
  return join(join(admitted, findFreshness()), execute(services, bounds))
}
