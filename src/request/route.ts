// Chooses the server for a statement. Writes go to the primary. Reads go to a
// replica that probably covers the minimum position, preferably in the failure
// domain of this host; if there is none, they go to the primary. Where the waits at
// the servers differ by more than a margin, reads also go to other servers
// (src/routing). A replica whose applied position was not observed recently is tried,
// too. The server's dispatcher makes the final check and rejects a read that its
// server cannot serve.

import { acceptsNewWork, covers, type Access, type DatabaseDeclaration, type ExecutionMode, type FailureDomain, type ReadConsistency, type HostName, type Position, type PrimaryView, type ServerDeclaration, type ServerName, type StatementClass } from '../model/index.js'
import { chooseOption, expectedWaitMs, nextBestOption, readShare, type DatabaseHealth, type Estimates, type RouteDraws, type RouteOption } from '../routing/index.js'

/** Applied position of a server as this host last observed it. */
export type ObservedPosition = {
  readonly applied: Position
  readonly observedAtMs: number
}

/** This host's view of a database for routing. */
export type RoutingView = {
  readonly primary: PrimaryView
  readonly dispatchers: ReadonlyMap<ServerName, HostName>
  readonly applied: ReadonlyMap<ServerName, ObservedPosition>
  /** Waits at the servers; undefined where the embedder records none. */
  readonly estimates?: Estimates | undefined
  /** Outcomes at the servers; undefined where there were none yet. */
  readonly health?: DatabaseHealth | undefined
}

/** Routing input for a statement. */
export type RouteRequest = {
  readonly database: DatabaseDeclaration
  readonly statementClass: StatementClass
  readonly consistency: ReadConsistency
  readonly requestId: string | undefined
  readonly localFailureDomain: FailureDomain
  /** See `RequestBounds.strongReadsAt`. */
  readonly strongReadsAt: 'anyServer' | 'primary'
  /** Servers on which an earlier attempt for this statement failed. */
  readonly avoid: ReadonlySet<ServerName>
  /** A non-negative integer that selects among equal candidates. */
  readonly tieBreaker: number
  readonly draws: RouteDraws
  readonly nowMs: number
}

/**
 * Routing decision for a statement. `none`: no server of the database has a
 * dispatcher, reported as a missing primary, or the drain time of all its servers
 * is over.
 */
export type Route =
  | { readonly kind: 'send', readonly server: ServerName, readonly dispatcher: HostName, readonly mode: ExecutionMode }
  | { readonly kind: 'none', readonly missing: 'primary' | 'openServer' }

/**
 * An observed position older than this is ignored, since the replica may have
 * caught up.
 */
const positionValidMs = 30

/**
 * Chooses the server and its dispatcher for a statement.
 * @param request - the routing input
 * @param view - the view of the database
 * @returns the server with its dispatcher, or `none`
 */
export function chooseRoute (request: RouteRequest, view: RoutingView): Route {
  const { statementClass } = request
  // Only reads, writes, definitions and BEGIN get here: earlier filters answer,
  // resolve or reject the other kinds, and an open transaction keeps its server.
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
    case 'unsupported': return routeToPrimary(view, request, { kind: 'write', requestId: request.requestId })
  }
}

// If no primary is known, or its drain time is over, the statement goes to any dispatcher: its reply rejects
// the statement and names the primary.
function routeToPrimary (view: RoutingView, request: RouteRequest, mode: ExecutionMode): Route {
  const server = view.primary.primary
  const dispatcher = server === undefined ? undefined : view.dispatchers.get(server)
  if (server === undefined || dispatcher === undefined || !isOpen(request, server)) return routeToAny(request, view, mode, 'primary')
  return { kind: 'send', server, dispatcher, mode }
}

function routeBegin (request: RouteRequest, view: RoutingView, access: Access): Route {
  const mode: ExecutionMode = { kind: 'begin', requestId: request.requestId, access, freshness: request.consistency }
  return access === 'read' ? preferReplica(request, view, mode) : routeToPrimary(view, request, mode)
}

function routeRead (request: RouteRequest, view: RoutingView): Route {
  return preferReplica(request, view, { kind: 'read', freshness: request.consistency })
}

function preferReplica (request: RouteRequest, view: RoutingView, mode: ExecutionMode): Route {
  if (request.consistency.kind === 'newest' && request.strongReadsAt === 'primary' && !isPrimaryExcluded(request, view)) return routeToPrimary(view, request, mode)
  const option = chooseForRead(request, view)
  return option === undefined ? routeToPrimary(view, request, mode) : { kind: 'send', server: option.server, dispatcher: option.dispatcher, mode }
}

// A server that was just tried is chosen again only if there is no other one. A
// replica that was observed below the minimum position may have caught up, so it is
// tried before such a server.
function chooseForRead (request: RouteRequest, view: RoutingView): RouteOption | undefined {
  const untried = request.database.servers
    .filter(server => server.state === 'active' && acceptsNewWork(server, request.nowMs) && !request.avoid.has(server.name))
  const covering = untried.filter(({ name }) => name === view.primary.primary || mayServe(request, view.applied.get(name)))
  const options = optionsOf(request, view, covering)
  // A leaving primary serves reads too while it accepts new work, if no replica does.
  if (options.length === 0 && !isPrimaryExcluded(request, view)) return undefined
  const usable = options.length === 0 ? optionsOf(request, view, untried) : options
  return request.avoid.size === 0 ? chooseOption(usable, request.tieBreaker, request.draws) : nextBestOption(usable, request.tieBreaker, request.draws)
}

function optionsOf (request: RouteRequest, view: RoutingView, servers: readonly ServerDeclaration[]): readonly RouteOption[] {
  return servers.flatMap(server => candidateFor(request, view, server)).map(candidate => ({
    ...candidate,
    isPrimary: candidate.server === view.primary.primary,
    waitMs: expectedWaitMs(view.estimates?.get(candidate.server), request.nowMs),
    share: readShare(view.health, candidate.server, request.nowMs)
  }))
}

function isPrimaryExcluded (request: RouteRequest, view: RoutingView): boolean {
  const { primary } = view.primary
  return primary === undefined || request.avoid.has(primary) || !isOpen(request, primary)
}

function isOpen (request: RouteRequest, name: ServerName): boolean {
  return acceptsNewWork(request.database.servers.find(server => server.name === name), request.nowMs)
}

type Candidate = { readonly server: ServerName, readonly dispatcher: HostName, readonly isLocal: boolean }

function candidateFor (request: RouteRequest, view: RoutingView, server: ServerDeclaration): readonly Candidate[] {
  const dispatcher = view.dispatchers.get(server.name)
  if (dispatcher === undefined) return []
  return [{ server: server.name, dispatcher, isLocal: server.failureDomain === request.localFailureDomain }]
}

function mayServe (request: RouteRequest, observed: ObservedPosition | undefined): boolean {
  switch (request.consistency.kind) {
    case 'age':
    case 'newest': return true
    case 'floor':
    case 'floorAndAge': return observed === undefined || request.nowMs - observed.observedAtMs > positionValidMs || covers(observed.applied, request.consistency.position)
  }
}

function routeToAny (request: RouteRequest, view: RoutingView, mode: ExecutionMode, missing: 'primary'): Route {
  const { servers } = request.database
  const open = servers.filter(server => acceptsNewWork(server, request.nowMs))
  if (open.length === 0 && servers.length > 0) return { kind: 'none', missing: 'openServer' }
  const candidates = open.flatMap(server => candidateFor(request, view, server))
  const chosen = candidates[request.tieBreaker % Math.max(candidates.length, 1)]
  if (chosen === undefined) return { kind: 'none', missing }
  return { kind: 'send', server: chosen.server, dispatcher: chosen.dispatcher, mode }
}
