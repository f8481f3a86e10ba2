// Servers that register themselves in the store. A listing holds the servers
// that are registered now. An entry may be missing because it expired while the
// store was unavailable; if its server is running, it registers again. A missing
// entry is therefore kept until the store has responded without it for some
// time: majorities are counted over the servers of a database, and majorities of
// a smaller set might not overlap with earlier ones.

import type { DatabaseDeclaration, DiscoveredServer, ServerName } from '../model/index.js'

/** Time for which a missing entry is kept while the store responds. */
export const missingRetentionMs = 4000
/**
 * Maximum time between two responses of the store that count as uninterrupted
 * availability; a watch without changes responds every 5 s.
 */
export const maxResponseGapMs = 7000

/** A discovered server. */
export type TrackedServer = {
  readonly server: DiscoveredServer
  /**
   * Since when the store has responded without the entry; undefined if it is
   * listed.
   */
  readonly missingSinceMs: number | undefined
}

/** All discovered servers. */
export type ServersState = {
  readonly servers: ReadonlyMap<ServerName, TrackedServer>
  /** Time of the last response of the store; undefined if there was none. */
  readonly lastResponseAtMs: number | undefined
}

/** Events of server discovery. Times are monotonic. */
export type ServersEvent =
  /** All registered servers, as listed by the store or another host. */
  | { readonly kind: 'listed', readonly servers: readonly DiscoveredServer[], readonly nowMs: number }
  /** Changes since the last listing or change, from a watch of the store. */
  | { readonly kind: 'changed', readonly servers: readonly DiscoveredServer[], readonly removed: readonly ServerName[], readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** The initial state, without servers. */
export const noServers: ServersState = { servers: new Map(), lastResponseAtMs: undefined }

/**
 * Step function of server discovery.
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 */
export function serversStep (state: ServersState, event: ServersEvent): ServersState {
  switch (event.kind) {
    case 'listed': {
      const names = new Set(event.servers.map(server => server.name))
      return recordResponse(state, event.servers, [...state.servers.keys()].filter(name => !names.has(name)), event.nowMs)
    }
    case 'changed': return recordResponse(state, event.servers, event.removed, event.nowMs)
    case 'tick': return removeExpired(state, event.nowMs)
  }
}

function recordResponse (state: ServersState, servers: readonly DiscoveredServer[], missing: readonly ServerName[], nowMs: number): ServersState {
  const wasUnavailable = state.lastResponseAtMs === undefined || nowMs - state.lastResponseAtMs > maxResponseGapMs
  // After an outage of the store the time without an entry is counted anew.
  const tracked = new Map([...state.servers].map(([name, each]) => [name, wasUnavailable && each.missingSinceMs !== undefined ? { ...each, missingSinceMs: nowMs } : each]))
  for (const server of servers) tracked.set(server.name, presentServer(server, tracked.get(server.name)))
  for (const name of missing) {
    const each = tracked.get(name)
    if (each !== undefined) tracked.set(name, { ...each, missingSinceMs: each.missingSinceMs ?? nowMs })
  }
  return removeExpired({ servers: isSameMap(tracked, state.servers) ? state.servers : tracked, lastResponseAtMs: nowMs }, nowMs)
}

// A server whose entry has not changed keeps its object, so that changes are found
// by identity.
function presentServer (server: DiscoveredServer, before: TrackedServer | undefined): TrackedServer {
  if (before === undefined || !isSameServer(before.server, server)) return { server, missingSinceMs: undefined }
  return before.missingSinceMs === undefined ? before : { ...before, missingSinceMs: undefined }
}

function isSameServer (a: DiscoveredServer, b: DiscoveredServer): boolean {
  return a.name === b.name && a.database === b.database && a.ip === b.ip && a.port === b.port &&
    a.failureDomain === b.failureDomain && a.slots === b.slots && a.state === b.state
}

function isSameMap (a: ReadonlyMap<ServerName, TrackedServer>, b: ReadonlyMap<ServerName, TrackedServer>): boolean {
  return a.size === b.size && [...a].every(([name, each]) => b.get(name) === each)
}

/**
 * Checks whether two states hold the same servers, also if some are missing in one
 * of them.
 * @param a - the first state
 * @param b - the second state
 * @returns false if a server was added, removed or changed
 */
export function hasSameServers (a: ServersState, b: ServersState): boolean {
  if (a.servers === b.servers) return true
  return a.servers.size === b.servers.size && [...a.servers].every(([name, each]) => b.servers.get(name)?.server === each.server)
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the current state
 * @returns the time at which the first missing entry expires; Infinity for none
 */
export function serversDueAtMs (state: ServersState): number {
  return Math.min(Infinity, ...[...state.servers.values()].flatMap(({ missingSinceMs }) => missingSinceMs === undefined ? [] : [missingSinceMs + missingRetentionMs]))
}

function removeExpired (state: ServersState, nowMs: number): ServersState {
  const { lastResponseAtMs } = state
  if (lastResponseAtMs === undefined || nowMs - lastResponseAtMs > maxResponseGapMs) return state
  const remaining = [...state.servers].filter(([, { missingSinceMs }]) => missingSinceMs === undefined || nowMs - missingSinceMs < missingRetentionMs)
  return remaining.length === state.servers.size ? state : { ...state, servers: new Map(remaining) }
}

/**
 * Adds the discovered servers to the declarations of their databases.
 * @param databases - the databases of the manifest
 * @param state - the discovered servers
 * @returns the databases with their servers, ordered by server name
 */
export function withDiscoveredServers (databases: readonly DatabaseDeclaration[], state: ServersState): readonly DatabaseDeclaration[] {
  const found = [...state.servers.values()].map(({ server }) => server).sort((a, b) => a.name < b.name ? -1 : 1)
  return databases.map(database => ({
    ...database,
    servers: found
      .filter(server => server.database === database.name)
      .map(({ database: _, ...server }) => ({ ...server, maxConnections: database.maxConnections ?? Infinity }))
  }))
}
