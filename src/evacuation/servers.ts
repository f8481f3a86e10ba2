// Applies the evacuations to the servers of a manifest. A server of an evacuated
// domain is treated like one that leaves: it serves no reads as a replica, failover
// replaces it as a primary, and the end for new work bounds what only it can run.
// After the end of the evacuation it counts as cold for a while.

import { hasColdBound, type DatabaseDeclaration, type FailureDomain, type ServerDeclaration } from '../model/index.js'
import type { EvacuationsState } from './evacuations.js'

/** Part of the time that is kept for a statement on its way to the server. */
export const transitMs = 250

/**
 * Adds the effect of the evacuations to the servers of a manifest.
 * @param databases - the databases with their servers
 * @param state - the evacuations
 * @param evacuateMs - time from a request until nothing new reaches the domain's servers
 * @returns the same databases where no server is concerned
 */
export function withEvacuations (databases: readonly DatabaseDeclaration[], state: EvacuationsState, evacuateMs: number): readonly DatabaseDeclaration[] {
  if (state.requestedSinceMs.size === 0 && state.endedAtMs.size === 0) return databases
  return databases.map(database => ({
    ...database,
    servers: database.servers
      .map(server => withEvacuation(server, state.requestedSinceMs.get(server.failureDomain), evacuateMs))
      .map(server => withReturn(server, database, state.endedAtMs.get(server.failureDomain)))
  }))
}

function withEvacuation (server: ServerDeclaration, sinceMs: number | undefined, evacuateMs: number): ServerDeclaration {
  if (sinceMs === undefined) return server
  return { ...server, state: 'leaving', newWorkUntilMs: Math.min(server.newWorkUntilMs ?? Infinity, sinceMs + evacuateMs - transitMs) }
}

function withReturn (server: ServerDeclaration, database: DatabaseDeclaration, endedAtMs: number | undefined): ServerDeclaration {
  if (endedAtMs === undefined || !hasColdBound(database)) return server
  return { ...server, coldUntilMs: Math.max(server.coldUntilMs ?? -Infinity, endedAtMs + (database.coldS ?? 0) * 1000) }
}

/**
 * Finds the evacuated domains that no server and no host is in.
 * @param state - the evacuations
 * @param databases - the databases with their servers
 * @param hostDomains - the failure domains of the hosts
 * @returns the unknown names
 */
export function unknownDomains (state: EvacuationsState, databases: readonly DatabaseDeclaration[], hostDomains: ReadonlySet<FailureDomain>): readonly FailureDomain[] {
  if (state.requestedSinceMs.size === 0) return []
  const known = new Set(databases.flatMap(({ servers }) => servers.map(({ failureDomain }) => failureDomain)))
  return [...state.requestedSinceMs.keys()].filter(domain => !known.has(domain) && !hostDomains.has(domain))
}
