// Filter: may this caller use this route now? Asked at each statement, so that
// a key that was withdrawn stops working on connections that are open.

import { notRun, type AccountDeclaration, type Caller, type Manifest, type Outcome, type RouteDeclaration } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { served, type Authorized, type Incoming, type Served } from './message.js'
import type { ConfigurationInForce } from './services.js'

/** Whether a caller may use a route. */
export type Permission =
  | { readonly kind: 'granted', readonly account: AccountDeclaration | undefined, readonly route: RouteDeclaration }
  | { readonly kind: 'denied', readonly outcome: Outcome }

/**
 * Makes the filter.
 * @param configuration - gives the configuration in force
 * @returns the filter
 */
export function authorize (configuration: () => ConfigurationInForce): Filter<Incoming, Authorized, Served> {
  return message => {
    const inForce = configuration()
    if (inForce.manifest === undefined) return end(served(message, notRun('unconfirmedConfiguration', 'no configuration is in force yet')))
    const permission = permissionOf(inForce.manifest, message.session.caller, message.session.route)
    if (permission.kind === 'denied') return end(served(message, permission.outcome))
    if (!inForce.confirmed && permission.account !== undefined) {
      return end(served(message, notRun('unconfirmedConfiguration', 'this host has not confirmed its configuration lately')))
    }
    const database = inForce.manifest.databases.find(one => one.name === permission.route.database)
    if (database === undefined) return end(served(message, notRun('routeUnknown', 'the route has no database')))
    if (database.state === 'leaving' && message.session.transaction === undefined) {
      return end(served(message, notRun('leaving', `the database ${database.name} is leaving`)))
    }
    return next({ ...message, database, account: permission.account })
  }
}

/**
 * Decides whether a caller may use a route.
 * @param manifest - the manifest in force
 * @param caller - who asks
 * @param routeName - the route
 * @returns the account and route, or the refusal
 */
export function permissionOf (manifest: Manifest, caller: Caller, routeName: string): Permission {
  const route = manifest.routes.find(one => one.name === routeName)
  switch (caller.kind) {
    case 'anonymous': return anonymousPermission(route)
    case 'account': return accountPermission(manifest, caller, route)
  }
}

function anonymousPermission (route: RouteDeclaration | undefined): Permission {
  if (route?.access.kind === 'open') return { kind: 'granted', account: undefined, route }
  return { kind: 'denied', outcome: notRun('badKey', 'a client account and its key are needed') }
}

function accountPermission (manifest: Manifest, caller: Extract<Caller, { readonly kind: 'account' }>, route: RouteDeclaration | undefined): Permission {
  const account = manifest.accounts.find(one => one.name === caller.account)
  if (account === undefined || !account.keys.some(key => key.id === caller.keyId)) {
    return { kind: 'denied', outcome: notRun('keyWithdrawn', 'the key was withdrawn') }
  }
  if (route === undefined) return { kind: 'denied', outcome: notRun('routeUnknown', 'unknown route') }
  if (route.access.kind === 'accounts' && !route.access.accounts.includes(account.name)) {
    return { kind: 'denied', outcome: notRun('routeForbidden', `the route ${route.name} is not open to ${account.name}`) }
  }
  return { kind: 'granted', account, route }
}
