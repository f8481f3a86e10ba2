// Servers that register themselves in the store. A listing shows who is there
// now; an entry that is missing from it may have lapsed while the store was
// away, and comes back by itself where its server lives. So a missing entry is
// kept until the store has answered without it for a while.

import type { DatabaseDeclaration, FoundServer, ServerName } from '../model/index.js'

/** How long a missing entry is kept while the store answers. */
export const keepMissingMs = 4000
/** Answers of the store that are further apart than this do not count as one stretch; a quiet watch answers every 5 s. */
export const answerGapMs = 7000

/** A server that was found. */
export type KnownServer = {
  readonly server: FoundServer
  /** Since when the store has answered without the entry. */
  readonly missingSinceMs: number | undefined
}

/** All servers that were found. */
export type ServersState = {
  readonly known: ReadonlyMap<ServerName, KnownServer>
  /** When the store answered last; undefined: never. */
  readonly answeredAtMs: number | undefined
}

/** What happens to the list of servers. Times are monotonic. */
export type ServersEvent =
  /** The whole kind, as the store or another host listed it. */
  | { readonly kind: 'listed', readonly servers: readonly FoundServer[], readonly nowMs: number }
  | { readonly kind: 'changed', readonly servers: readonly FoundServer[], readonly removed: readonly ServerName[], readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** Nothing was found yet. */
export const noServers: ServersState = { known: new Map(), answeredAtMs: undefined }

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
      return recordResponse(state, event.servers, [...state.known.keys()].filter(name => !names.has(name)), event.nowMs)
    }
    case 'changed': return recordResponse(state, event.servers, event.removed, event.nowMs)
    case 'tick': return removeExpired(state, event.nowMs)
  }
}

function recordResponse (state: ServersState, servers: readonly FoundServer[], missing: readonly ServerName[], nowMs: number): ServersState {
  const wasUnavailable = state.answeredAtMs === undefined || nowMs - state.answeredAtMs > answerGapMs
  const known = new Map([...state.known].map(([name, each]) => [name, wasUnavailable && each.missingSinceMs !== undefined ? { ...each, missingSinceMs: nowMs } : each]))
  for (const server of servers) known.set(server.name, { server, missingSinceMs: undefined })
  for (const name of missing) {
    const each = known.get(name)
    if (each !== undefined) known.set(name, { ...each, missingSinceMs: each.missingSinceMs ?? nowMs })
  }
  return removeExpired({ known, answeredAtMs: nowMs }, nowMs)
}

function removeExpired (state: ServersState, nowMs: number): ServersState {
  const { answeredAtMs } = state
  if (answeredAtMs === undefined || nowMs - answeredAtMs > answerGapMs) return state
  const remaining = [...state.known].filter(([, { missingSinceMs }]) => missingSinceMs === undefined || nowMs - missingSinceMs < keepMissingMs)
  return remaining.length === state.known.size ? state : { ...state, known: new Map(remaining) }
}

/**
 * Fills in the servers of databases.
 * @param databases - as the manifest declares them
 * @param state - the servers that were found
 * @returns the databases with their servers, in the order of the servers' names
 */
export function withFoundServers (databases: readonly DatabaseDeclaration[], state: ServersState): readonly DatabaseDeclaration[] {
  const found = [...state.known.values()].map(({ server }) => server).sort((a, b) => a.name < b.name ? -1 : 1)
  return databases.map(database => ({
    ...database,
    servers: found
      .filter(server => server.database === database.name)
      .map(({ database: _, ...server }) => ({ ...server, maxConnections: database.maxConnections ?? Infinity }))
  }))
}
