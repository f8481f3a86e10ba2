// Chooses the server that runs a statement. Writes go to the primary. Reads go
// to a replica that is thought to cover the floor, those in the caller's own
// failure domain first; where none is, to the primary. The home of the server
// has the last word: it refuses a read that its server cannot serve.

import { covers, type Access, type DatabaseDeclaration, type ExecutionMode, type FailureDomain, type ReadConsistency, type HostName, type Position, type PrimaryView, type ServerDeclaration, type ServerName, type StatementClass } from '../model/index.js'

/** What this host last heard of a server's applied position. */
export type ObservedPosition = {
  readonly applied: Position
  readonly observedAtMs: number
}

/** What this host knows of a database when it routes. */
export type RoutingView = {
  readonly primary: PrimaryView
  readonly dispatchers: ReadonlyMap<ServerName, HostName>
  readonly applied: ReadonlyMap<ServerName, ObservedPosition>
}

/** What routing needs to know of a statement. */
export type RouteRequest = {
  readonly database: DatabaseDeclaration
  readonly statementClass: StatementClass
  readonly consistency: ReadConsistency
  readonly requestId: string | undefined
  readonly localFailureDomain: FailureDomain
  readonly strongReadsAt: 'anyServer' | 'primary'
  /** Servers that failed for this statement already. */
  readonly avoid: ReadonlySet<ServerName>
  /** A number that spreads equal choices. */
  readonly tieBreaker: number
  readonly nowMs: number
}

/** Where a statement goes. */
export type Route =
  | { readonly kind: 'send', readonly server: ServerName, readonly dispatcher: HostName, readonly mode: ExecutionMode }
  | { readonly kind: 'none', readonly missing: 'primary' }

/** A sighting older than this says nothing about a replica any more. */
const sightingValidMs = 30

/**
 * Chooses where a statement goes.
 * @param request - the statement
 * @param view - what this host knows
 * @returns the server with its home, or what is missing
 */
export function chooseRoute (request: RouteRequest, view: RoutingView): Route {
  const { statementClass } = request
  switch (statementClass.kind) {
    case 'read': return routeRead(request, view)
    case 'begin': return routeBegin(request, view, statementClass.access)
    case 'write':
    case 'define':
    case 'commit':
    case 'rollback':
    case 'readToken':
    case 'setToken':
    case 'setDefault':
    case 'setValue':
    case 'prepare':
    case 'deallocate':
    case 'executePrepared':
    case 'malformed':
    case 'unsupported': return toPrimary(view, request, { kind: 'write', requestId: request.requestId })
  }
}

// Where no primary is known any home will do: it refuses and tells who leads.
function toPrimary (view: RoutingView, request: RouteRequest, mode: ExecutionMode): Route {
  const server = view.primary.primary
  const home = server === undefined ? undefined : view.dispatchers.get(server)
  if (server === undefined || home === undefined) return anyServer(request, view, mode, 'primary')
  return { kind: 'send', server, dispatcher: home, mode }
}

function routeBegin (request: RouteRequest, view: RoutingView, access: Access): Route {
  const mode: ExecutionMode = { kind: 'begin', requestId: request.requestId, access, freshness: request.consistency }
  return access === 'read' ? preferReplica(request, view, mode) : toPrimary(view, request, mode)
}

function routeRead (request: RouteRequest, view: RoutingView): Route {
  return preferReplica(request, view, { kind: 'read', freshness: request.consistency })
}

function preferReplica (request: RouteRequest, view: RoutingView, mode: ExecutionMode): Route {
  if (request.consistency.kind === 'newest' && request.strongReadsAt === 'primary' && !isAvoided(request, view)) return toPrimary(view, request, mode)
  const replica = chooseReplica(request, view)
  if (replica !== undefined) return { kind: 'send', server: replica.server, dispatcher: replica.home, mode }
  return toPrimary(view, request, mode)
}

function isAvoided (request: RouteRequest, view: RoutingView): boolean {
  return view.primary.primary === undefined || request.avoid.has(view.primary.primary)
}

type Candidate = { readonly server: ServerName, readonly home: HostName, readonly near: boolean }

function chooseReplica (request: RouteRequest, view: RoutingView): Candidate | undefined {
  const candidates = request.database.servers
    .filter(server => server.state === 'active' && server.name !== view.primary.primary && !request.avoid.has(server.name))
    .filter(server => mayCover(request, view.applied.get(server.name)))
    .flatMap(server => candidate(request, view, server))
  const near = candidates.filter(one => one.near)
  const pool = near.length > 0 ? near : candidates
  return pool[request.tieBreaker % Math.max(pool.length, 1)]
}

function candidate (request: RouteRequest, view: RoutingView, server: ServerDeclaration): readonly Candidate[] {
  const home = view.dispatchers.get(server.name)
  if (home === undefined) return []
  return [{ server: server.name, home, near: server.failureDomain === request.localFailureDomain }]
}

function mayCover (request: RouteRequest, sighting: ObservedPosition | undefined): boolean {
  switch (request.consistency.kind) {
    case 'age':
    case 'newest': return true
    case 'floor':
    case 'floorAndAge': return sighting === undefined || request.nowMs - sighting.observedAtMs > sightingValidMs || covers(sighting.applied, request.consistency.position)
  }
}

function anyServer (request: RouteRequest, view: RoutingView, mode: ExecutionMode, missing: 'primary'): Route {
  const candidates = request.database.servers.flatMap(server => candidate(request, view, server))
  const chosen = candidates[request.tieBreaker % Math.max(candidates.length, 1)]
  if (chosen === undefined) return { kind: 'none', missing }
  return { kind: 'send', server: chosen.server, dispatcher: chosen.home, mode }
}
