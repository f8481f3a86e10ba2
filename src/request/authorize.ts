// Filter: may this caller use this route now? Asked at each statement, so that
// a key that was withdrawn stops working on connections that are open.

import { accountOf, databaseOf, authorizeRoute, type RouteAuthorization } from '../config/index.js'
import { notRun, type Outcome } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Authorized, type Incoming, type RequestResult } from './message.js'
import type { ConfigurationInForce } from './services.js'

/**
 * Makes the filter.
 * @param configuration - gives the configuration in force
 * @returns the filter
 */
export function authorize (configuration: () => ConfigurationInForce): Filter<Incoming, Authorized, RequestResult> {
  return message => {
    const { manifest, confirmed } = configuration()
    const { session } = message
    if (manifest === undefined) return end(requestResult(message, notRun('unconfirmedConfiguration', 'no configuration is in force yet')))
    if (!confirmed && session.caller.kind === 'account') {
      return end(requestResult(message, notRun('unconfirmedConfiguration', 'this host has not confirmed its configuration lately')))
    }
    const use = authorizeRoute(manifest, session.caller, session.route, session.transaction?.route)
    if (use.kind === 'refused') return end(requestResult(message, accessDenied(use)))
    const { route } = use
    const database = databaseOf(manifest, route.database)
    if (database === undefined) return end(requestResult(message, notRun('routeUnknown', 'the route has no database')))
    const account = session.caller.kind === 'account' ? accountOf(manifest, session.caller.account) : undefined
    return next({ ...message, route, database, account })
  }
}

/**
 * The answer to a caller that may not use a route.
 * @param use - the decision
 * @returns the outcome
 */
export function accessDenied (use: Extract<RouteAuthorization, { readonly kind: 'refused' }>): Outcome {
  switch (use.reason) {
    case 'keyWithdrawn': return notRun(use.reason, 'the key was withdrawn')
    case 'routeUnknown': return notRun(use.reason, 'there is no such route')
    case 'routeForbidden': return notRun(use.reason, 'the route is not open to this account')
    case 'leaving': return notRun(use.reason, 'the database is leaving')
  }
}
