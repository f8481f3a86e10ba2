// Routing table of this host: the live members, the primary of each database, and
// the last observed applied position and the expected wait of each server. Replies
// from dispatchers keep it up to date.

import { placeDispatchers, placedDispatchers, type Member, type Placement } from '../members/index.js'
import type { DatabaseDeclaration, DatabaseName, ExecuteRequest, FailureDomain, HostName, Position, PrimaryView, ServerName } from '../model/index.js'
import { feedbackOf, isTimed, type AttemptResult, type ObservedPosition, type RoutingView, type ServerFeedback } from '../request/index.js'
import { initialHealth, noEstimate, recordLoad, recordNoRoom, recordOutcome, recordReplyTime, type DatabaseHealth, type EjectionChange, type ServerEstimate } from '../routing/index.js'

/** Monotonic times at which a statement was sent and its attempt ended. */
export type AttemptTimes = { readonly sentAtMs: number, readonly endedAtMs: number }

/** Routing table of this host. */
export class RoutingTable {
  #placement: Placement = placeDispatchers({ databases: [], live: [], listed: [] })
  #databases: ReadonlyMap<DatabaseName, DatabaseDeclaration> = new Map()
  readonly #dispatchers = new Map<DatabaseName, ReadonlyMap<ServerName, HostName>>()
  readonly #primaries = new Map<DatabaseName, PrimaryView>()
  readonly #applied = new Map<ServerName, ObservedPosition>()
  readonly #health = new Map<DatabaseName, DatabaseHealth>()
  readonly #estimates = new Map<ServerName, ServerEstimate>()

  /**
   * Applies a change of the members.
   * @param live - members that answer
   * @param listed - all members of the host list
   */
  updateMembers (live: readonly Member[], listed: readonly Member[]): void {
    this.#place({ ...this.#placement.input, live, listed })
  }

  /**
   * Tells how dispatchers are placed.
   * @returns the kind of the placement
   */
  placementKind (): Placement['kind'] {
    return this.#placement.kind
  }

  /**
   * Applies the databases of the manifest in force.
   * @param databases - the databases
   */
  updateDatabases (databases: readonly DatabaseDeclaration[]): void {
    this.#databases = new Map(databases.map(database => [database.name, database]))
    this.#place({ ...this.#placement.input, databases })
    const declared = new Set(databases.flatMap(({ servers }) => servers.map(({ name }) => name)))
    for (const name of this.#estimates.keys()) if (!declared.has(name)) this.#estimates.delete(name)
    for (const name of this.#health.keys()) if (!this.#databases.has(name)) this.#health.delete(name)
  }

  /**
   * Records the primary of a database; an earlier term never replaces a later one.
   * @param view - the reported primary and its term
   */
  recordPrimary (view: PrimaryView): void {
    const recorded = this.#primaries.get(view.database)
    const isNewer = recorded === undefined || view.term > recorded.term || (view.term === recorded.term && view.primary !== undefined)
    if (isNewer) this.#primaries.set(view.database, view)
  }

  /**
   * Records the applied position of a server.
   * @param server - the server
   * @param applied - its applied position
   * @param nowMs - monotonic time
   */
  recordApplied (server: ServerName, applied: Position, nowMs: number): void {
    this.#applied.set(server, { applied, observedAtMs: nowMs })
  }

  /**
   * Records what an attempt tells of its server.
   * @param request - the statement
   * @param attempt - result of the attempt
   * @param times - when the statement was sent and the attempt ended
   * @returns the change of the ejected server of the database
   */
  recordAttempt (request: ExecuteRequest, attempt: AttemptResult, times: AttemptTimes): EjectionChange {
    const estimate = this.#estimates.get(request.server) ?? noEstimate
    const feedback = feedbackOf(attempt)
    const changed = estimateAfter(estimate, { request, attempt, feedback, times })
    if (changed !== estimate) this.#estimates.set(request.server, changed)
    switch (feedback.kind) {
      case 'served':
      case 'failed': return this.#recordOutcome(request, feedback.kind, times.endedAtMs)
      case 'noRoom':
      case 'none': return { kind: 'none' }
    }
  }

  #place (input: Placement['input']): void {
    this.#placement = placeDispatchers(input)
    this.#dispatchers.clear()
  }

  #recordOutcome ({ database, server }: ExecuteRequest, result: 'served' | 'failed', nowMs: number): EjectionChange {
    const servers = this.#databases.get(database)?.servers.filter(({ state }) => state === 'active') ?? []
    const { health, change } = recordOutcome(this.#health.get(database) ?? initialHealth, servers.map(({ name }) => name), { server, result, nowMs })
    this.#health.set(database, health)
    return change
  }

  /**
   * Finds the dispatcher of each server of a database.
   * @param database - the database
   * @returns the dispatchers; empty where the database is unknown
   */
  dispatchers (database: DatabaseName): ReadonlyMap<ServerName, HostName> {
    const cached = this.#dispatchers.get(database)
    if (cached !== undefined) return cached
    const declared = this.#databases.get(database)
    const dispatchers = declared === undefined ? new Map<ServerName, HostName>() : placedDispatchers(this.#placement, declared)
    this.#dispatchers.set(database, dispatchers)
    return dispatchers
  }

  /**
   * Tells where a server is.
   * @param database - its database
   * @param server - the server
   * @returns its role by the last known primary, and its failure domain; undefined
   *   domain where the server is not declared
   */
  placeOf (database: DatabaseName, server: ServerName): { readonly role: 'primary' | 'replica', readonly failureDomain: FailureDomain | undefined } {
    const declared = this.#databases.get(database)?.servers.find(({ name }) => name === server)
    return { role: this.#primaries.get(database)?.primary === server ? 'primary' : 'replica', failureDomain: declared?.failureDomain }
  }

  /**
   * Returns the data that the routing of a statement uses.
   * @param database - the database
   * @returns primary, dispatchers, applied positions, estimates and outcomes
   */
  view (database: DatabaseName): RoutingView {
    const primary = this.#primaries.get(database) ?? { database, term: 0, primary: undefined }
    return { primary, dispatchers: this.dispatchers(database), applied: this.#applied, estimates: this.#estimates, health: this.#health.get(database) }
  }
}

type EndedAttempt = { readonly request: ExecuteRequest, readonly attempt: AttemptResult, readonly feedback: ServerFeedback, readonly times: AttemptTimes }

function estimateAfter (estimate: ServerEstimate, { request, attempt, feedback, times: { sentAtMs, endedAtMs } }: EndedAttempt): ServerEstimate {
  const load = attempt.kind === 'replied' ? attempt.reply.serverLoad : undefined
  if (load !== undefined) return recordLoad(estimate, load, endedAtMs)
  switch (feedback.kind) {
    case 'noRoom': return recordNoRoom(estimate, endedAtMs - sentAtMs, endedAtMs)
    case 'served': return isTimed(request) ? recordReplyTime(estimate, endedAtMs - sentAtMs, endedAtMs) : estimate
    case 'failed':
    case 'none': return estimate
  }
}
