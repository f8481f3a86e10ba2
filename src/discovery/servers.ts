// Servers that register themselves in the store. A listing holds the servers
// that are registered now. An entry may be missing because it expired while the
// store was unavailable; if its server is running, it registers again. A missing
// entry is therefore kept until the store has responded without it for some
// time: majorities are counted over the servers of a database, and majorities of
// a smaller set might not overlap with earlier ones.
//
// A server may get new statements only for the drain time after it announced that it
// leaves. Nobody tells this host when that was, so it keeps the earliest possible
// time: the one as of which the server was last known to be active. Hosts send these
// times along with their lists, as ages, so they don't grow with the hops.
//
// A list of a higher era of the store comes from a copy and may lack what was written
// after it. For `eraRestorationMs`, in which the servers write their entries again, a
// missing entry is kept, and a server that is known to leave stays leaving where a list
// shows it as active; only a change in the new era makes it active again.

import { hasColdBound, type DatabaseDeclaration, type DiscoveredServer, type ServerDeclaration, type ServerName } from '../model/index.js'
import { coldFromEntry, coldFromReport, withoutStart, type ColdEntry } from './cold.js'

/** Time for which a missing entry is kept while the store responds. */
export const missingRetentionMs = 4000
/**
 * Maximum time between two responses of the store that count as uninterrupted
 * availability; a watch without changes responds every 5 s.
 */
export const maxResponseGapMs = 7000

/**
 * Time for which a restored store may lack entries that their servers write again.
 * Longer than the period in which a server renews its entry.
 */
export const eraRestorationMs = 30_000

/** A discovered server. */
export type TrackedServer = {
  readonly server: DiscoveredServer
  /**
   * Since when the store has responded without the entry; undefined if it is
   * listed.
   */
  readonly missingSinceMs: number | undefined
  /**
   * Earliest time at which the server may have announced that it leaves, or may have
   * lost its entry: -Infinity where nothing is known; undefined while it is registered
   * as active.
   */
  readonly endingSinceMs: number | undefined
  /** Set once its entry has stated that it is cold. */
  readonly cold?: ColdEntry | undefined
  /** Time at which it was first seen as active again after it had been leaving. */
  readonly returnedAtMs?: number | undefined
}

/** How recent a list of the servers is. */
export type ListVersion = {
  /** Time as of which the list is complete: when the store was asked for it. */
  readonly asOfMs: number
  /** Revision of the store that the list reflects; a host of an earlier version sends none. */
  readonly revision: number | undefined
  /** Era that the revision is of; undefined: 0, or of a host of an earlier version. */
  readonly era?: number | undefined
}

/** All discovered servers, and how recent they are; `asOfMs` is -Infinity before the first list. */
export type ServersState = ListVersion & {
  readonly servers: ReadonlyMap<ServerName, TrackedServer>
  /** When the first list of the present era was received; undefined before the first list of all. */
  readonly eraSinceMs?: number | undefined
}

/** Events of server discovery. Times are monotonic. */
export type ServersEvent =
  /**
   * All registered servers, as listed by the store or another host. `endingSinceMs`
   * holds what the other host knows of those that leave, `coldUntilMs` of those that
   * are cold; it is absent in a list from the store, whose entries state it.
   */
  | { readonly kind: 'listed', readonly servers: readonly DiscoveredServer[], readonly version: ListVersion, readonly endingSinceMs: ReadonlyMap<ServerName, number>, readonly coldUntilMs?: ReadonlyMap<ServerName, number>, readonly nowMs: number }
  /** Changes since the last listing or change, from a watch of the store. */
  | { readonly kind: 'changed', readonly servers: readonly DiscoveredServer[], readonly removed: readonly ServerName[], readonly version: ListVersion, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number }

/** The initial state, without servers. */
export const noServers: ServersState = { servers: new Map(), asOfMs: -Infinity, revision: undefined }

/**
 * Step function of server discovery.
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 */
export function serversStep (state: ServersState, event: ServersEvent): ServersState {
  switch (event.kind) {
    case 'listed': {
      const known = withEndingTimes(state, event.endingSinceMs)
      if (isOlderList(event.version, state)) return known
      const names = new Set(event.servers.map(server => server.name))
      const current = inEra(known, event)
      return recordResponse(current, withKnownEndings(current, event), [...state.servers.keys()].filter(name => !names.has(name)), event.endingSinceMs)
    }
    case 'changed': return isOlderList(event.version, state) ? state : recordResponse(inEra(state, event), event, event.removed, new Map())
    case 'tick': return removeExpired(state, event.nowMs)
  }
}

// A host that has just started takes the first list as it is: it knows nothing that a
// copy could lack.
function inEra (state: ServersState, { version, nowMs }: Response): ServersState {
  const isRestored = state.asOfMs !== -Infinity && (version.era ?? 0) > (state.era ?? 0)
  return isRestored ? { ...state, eraSinceMs: nowMs } : state
}

function isRestoring ({ eraSinceMs }: ServersState, nowMs: number): boolean {
  return eraSinceMs !== undefined && nowMs - eraSinceMs < eraRestorationMs
}

function withKnownEndings (state: ServersState, event: Extract<ServersEvent, { readonly kind: 'listed' }>): Extract<ServersEvent, { readonly kind: 'listed' }> {
  if (!isRestoring(state, event.nowMs)) return event
  return { ...event, servers: event.servers.map(server => state.servers.get(server.name)?.server.state === 'leaving' ? { ...server, state: 'leaving' } : server) }
}

/**
 * Whether a list is older than another one. Revisions of two eras are not comparable; the
 * higher era is newer. A host of an earlier version states no era, so its lists are
 * compared by their time in an era above 0.
 * @param version - version of the list
 * @param than - version of the other list
 * @returns true if it reflects an earlier state of the store
 */
export function isOlderList (version: ListVersion, than: ListVersion): boolean {
  if (version.era !== than.era) {
    const isStated = version.era !== undefined && than.era !== undefined
    return isStated ? version.era < than.era : version.asOfMs < than.asOfMs
  }
  if (version.revision !== undefined && than.revision !== undefined) return version.revision < than.revision
  return version.asOfMs < than.asOfMs
}

// Both times are earlier than the announcement, so the later one is closer to it.
function withEndingTimes (state: ServersState, endingSinceMs: ReadonlyMap<ServerName, number>): ServersState {
  const later = [...endingSinceMs].flatMap(([name, sinceMs]): ReadonlyArray<readonly [ServerName, TrackedServer]> => {
    const each = state.servers.get(name)
    if (each?.endingSinceMs === undefined || each.server.state === 'active' || each.endingSinceMs >= sinceMs) return []
    return [[name, { ...each, endingSinceMs: sinceMs }]]
  })
  return later.length === 0 ? state : { ...state, servers: new Map([...state.servers, ...later]) }
}

type Response = Exclude<ServersEvent, { readonly kind: 'tick' }>

function recordResponse (state: ServersState, response: Response, missing: readonly ServerName[], endingSinceMs: ReadonlyMap<ServerName, number>): ServersState {
  const { servers, version, nowMs } = response
  const wasUnavailable = nowMs - state.asOfMs > maxResponseGapMs
  const missingFromMs = wasUnavailable ? nowMs : state.asOfMs
  // After an outage of the store the time without an entry is counted anew.
  const tracked = new Map([...state.servers].map(([name, each]) => [name, wasUnavailable && each.missingSinceMs !== undefined ? missingAnew(each, nowMs) : each]))
  for (const server of servers) tracked.set(server.name, presentServer(server, tracked.get(server.name), state.asOfMs, endingSinceMs.get(server.name), response))
  for (const name of missing) {
    const each = tracked.get(name)
    if (each !== undefined) tracked.set(name, missingServer(each, nowMs, missingFromMs))
  }
  const next = { servers: isSameMap(tracked, state.servers) ? state.servers : tracked, asOfMs: Math.max(state.asOfMs, version.asOfMs), revision: version.revision, era: version.era, eraSinceMs: state.eraSinceMs }
  return removeExpired(next, nowMs)
}

function missingServer (each: TrackedServer, nowMs: number, fromMs: number): TrackedServer {
  return { ...each, missingSinceMs: each.missingSinceMs ?? nowMs, endingSinceMs: each.endingSinceMs ?? fromMs }
}

function missingAnew (each: TrackedServer, nowMs: number): TrackedServer {
  return { ...each, missingSinceMs: nowMs, endingSinceMs: each.server.state === 'active' ? nowMs : each.endingSinceMs }
}

// A server whose entry has not changed keeps its object, so that changes are found
// by identity.
function presentServer (entry: DiscoveredServer, before: TrackedServer | undefined, knownAsOfMs: number, reportedMs: number | undefined, response: Response): TrackedServer {
  const server = withoutStart(entry)
  const cold = coldOf(entry, before, response)
  const returnedAtMs = before?.server.state === 'leaving' && server.state === 'active' ? response.nowMs : before?.returnedAtMs
  const endingSinceMs = server.state === 'active' ? undefined : endingTime(before, knownAsOfMs, reportedMs)
  const isUnchanged = before !== undefined && isSameServer(before.server, server)
  if (isUnchanged && before.missingSinceMs === undefined && before.endingSinceMs === endingSinceMs && before.cold === cold) return before
  return { server: isUnchanged ? before.server : server, missingSinceMs: undefined, endingSinceMs, ...(cold === undefined ? {} : { cold }), ...(returnedAtMs === undefined ? {} : { returnedAtMs }) }
}

function coldOf (entry: DiscoveredServer, before: TrackedServer | undefined, response: Response): ColdEntry | undefined {
  switch (response.kind) {
    case 'listed': return response.coldUntilMs === undefined ? coldFromEntry(before?.cold, entry, false, response.nowMs) : coldFromReport(before?.cold, response.coldUntilMs.get(entry.name))
    case 'changed': return coldFromEntry(before?.cold, entry, true, response.nowMs)
  }
}

// A server that is seen for the first time may have announced its end long ago.
function endingTime (before: TrackedServer | undefined, knownAsOfMs: number, reportedMs = -Infinity): number {
  if (before === undefined) return reportedMs
  return Math.max(before.endingSinceMs ?? knownAsOfMs, reportedMs)
}

function isSameServer (a: DiscoveredServer, b: DiscoveredServer): boolean {
  return a.name === b.name && a.database === b.database && a.ip === b.ip && a.port === b.port &&
    a.failureDomain === b.failureDomain && a.slots === b.slots && a.state === b.state
}

function isSameMap (a: ReadonlyMap<ServerName, TrackedServer>, b: ReadonlyMap<ServerName, TrackedServer>): boolean {
  return a.size === b.size && [...a].every(([name, each]) => b.get(name) === each)
}

/**
 * Checks whether two states hold the same servers, with the same times for which
 * those that leave or are missing get new statements.
 * @param a - the first state
 * @param b - the second state
 * @returns false if a server was added, removed or changed
 */
export function hasSameServers (a: ServersState, b: ServersState): boolean {
  if (a.servers === b.servers) return true
  return a.servers.size === b.servers.size && [...a.servers].every(([name, each]) => {
    const other = b.servers.get(name)
    return other?.server === each.server && other.endingSinceMs === each.endingSinceMs && other.cold?.untilMs === each.cold?.untilMs
  })
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the current state
 * @returns the time at which the first missing entry expires; Infinity for none
 */
export function serversDueAtMs (state: ServersState): number {
  const restoredAtMs = state.eraSinceMs === undefined ? -Infinity : state.eraSinceMs + eraRestorationMs
  return Math.min(Infinity, ...[...state.servers.values()].flatMap(({ missingSinceMs }) => missingSinceMs === undefined ? [] : [Math.max(restoredAtMs, missingSinceMs + missingRetentionMs)]))
}

function removeExpired (state: ServersState, nowMs: number): ServersState {
  if (nowMs - state.asOfMs > maxResponseGapMs || isRestoring(state, nowMs)) return state
  const remaining = [...state.servers].filter(([, { missingSinceMs }]) => missingSinceMs === undefined || nowMs - missingSinceMs < missingRetentionMs)
  return remaining.length === state.servers.size ? state : { ...state, servers: new Map(remaining) }
}

/**
 * Whether a leaving server is registered of which it is not known since when it leaves.
 * @param state - the discovered servers
 * @returns true if another host should be asked
 */
export function hasUnknownEnding (state: ServersState): boolean {
  return [...state.servers.values()].some(({ endingSinceMs }) => endingSinceMs === -Infinity)
}

/** Part of the drain time that is kept for a statement on its way to the server. */
const transitMs = 250

/**
 * Adds the discovered servers to the declarations of their databases.
 * @param databases - the databases of the manifest
 * @param state - the discovered servers
 * @param drainMs - time for which a server gets new statements after it announced that it leaves
 * @returns the databases with their servers, ordered by server name
 */
export function withDiscoveredServers (databases: readonly DatabaseDeclaration[], state: ServersState, drainMs: number): readonly DatabaseDeclaration[] {
  const found = [...state.servers.values()].sort((a, b) => a.server.name < b.server.name ? -1 : 1)
  return databases.map(database => ({
    ...database,
    servers: found
      .filter(({ server }) => server.database === database.name)
      .map(({ server: { database: _, ...server }, endingSinceMs, cold, returnedAtMs }) => ({
        ...server,
        maxConnections: database.maxConnections ?? Infinity,
        ...(endingSinceMs === undefined ? {} : { newWorkUntilMs: endingSinceMs + drainMs - transitMs }),
        ...coldField(database, cold, returnedAtMs)
      }))
  }))
}

function coldField (database: DatabaseDeclaration, cold: ColdEntry | undefined, returnedAtMs = -Infinity): Partial<ServerDeclaration> {
  if (!hasColdBound(database)) return {}
  const coldUntilMs = Math.max(cold?.untilMs ?? -Infinity, returnedAtMs + (database.coldS ?? 0) * 1000)
  return coldUntilMs === -Infinity ? {} : { coldUntilMs }
}
