// Servers that register themselves in the store. A listing shows who is there
// now; an entry that is missing from it may have lapsed while the store was
// away, and comes back by itself where its server lives. So a missing entry is
// kept until the store has answered without it for a while.

import type { DatabaseDeclaration, DiscoveredServer, ServerName } from '../model/index.js'

/** How long a missing entry is kept while the store answers. */
export const missingRetentionMs = 4000
/** Answers of the store that are further apart than this do not count as one stretch; a quiet watch answers every 5 s. */
export const maxResponseGapMs = 7000

/** A server that was found. */
export type TrackedServer = {
  readonly server: DiscoveredServer
  /** Since when the store has answered without the entry. */
  readonly missingSinceMs: number | undefined
}

/** All servers that were found. */
export type ServersState = {
  readonly servers: ReadonlyMap<ServerName, TrackedServer>
  /** When the store answered last; undefined: never. */
  readonly lastResponseAtMs: number | undefined
}

/** What happens to the list of servers. Times are monotonic. */
export type ServersEvent =
  /** The whole kind, as the store or another host listed it. */
  | { readonly kind: 'listed', readonly servers: readonly DiscoveredServer[], readonly nowMs: number }
  | { readonly kind: 'changed', readonly servers: readonly DiscoveredServer[], readonly removed: readonly ServerName[], readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Nothing was found yet. */
export const noServers: ServersState = { servers: new Map(), lastResponseAtMs: undefined }

/**
 * Takes in what the store said.
 * @param state - what was known
 * @param event - what happened
 * @returns what is known now
 */
export function serversStep (state: ServersState, event: ServersEvent): ServersState {
  switch (event.kind) {
    case 'listed': {
      const names = new Set(event.servers.map(server => server.name))
      return answered(state, event.servers, [...state.servers.keys()].filter(name => !names.has(name)), event.nowMs)
    }
    case 'changed': return answered(state, event.servers, event.removed, event.nowMs)
    case 'tick': return withoutGone(state, event.nowMs)
  }
}

function answered (state: ServersState, servers: readonly DiscoveredServer[], missing: readonly ServerName[], nowMs: number): ServersState {
  const wasAway = state.lastResponseAtMs === undefined || nowMs - state.lastResponseAtMs > maxResponseGapMs
  const known = new Map([...state.servers].map(([name, each]) => [name, wasAway && each.missingSinceMs !== undefined ? { ...each, missingSinceMs: nowMs } : each]))
  for (const server of servers) known.set(server.name, { server, missingSinceMs: undefined })
  for (const name of missing) {
    const each = known.get(name)
    if (each !== undefined) known.set(name, { ...each, missingSinceMs: each.missingSinceMs ?? nowMs })
  }
  return withoutGone({ servers: known, lastResponseAtMs: nowMs }, nowMs)
}

function withoutGone (state: ServersState, nowMs: number): ServersState {
  const { lastResponseAtMs: answeredAtMs } = state
  if (answeredAtMs === undefined || nowMs - answeredAtMs > maxResponseGapMs) return state
  const left = [...state.servers].filter(([, { missingSinceMs }]) => missingSinceMs === undefined || nowMs - missingSinceMs < missingRetentionMs)
  return left.length === state.servers.size ? state : { ...state, servers: new Map(left) }
}

/**
 * Fills in the servers of databases.
 * @param databases - as the manifest declares them
 * @param state - the servers that were found
 * @returns the databases with their servers, in the order of the servers' names
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
