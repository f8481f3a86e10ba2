// A host's view of one database, built from the statuses that its group of
// servers reports. It relies on each term having at most one primary.
//
// With permanent fences, a server that accepted a fence for a term never accepts
// a lower one. A status with a lower fence is therefore late and is ignored, so
// late statuses never move the view back to a lower term. With temporary fences,
// the status recorded last applies even if its fence is lower, so a primary that
// counted as replaced may count as current again.

import { comparePositions, covers, laterPosition, type DatabaseName, type Position, type PrimaryView, type ServerName, type ServerStatus } from '../model/index.js'

/** The last status recorded for a server. */
export type LastStatus = {
  readonly status: ServerStatus
  /** Monotonic time of the dispatcher that recorded it. */
  readonly recordedAtMs: number
  /** Monotonic time at which a change of `received` was last observed. */
  readonly receivedChangedAtMs: number
}

/** The primary of a term, and the proposer that fenced it for that term. */
export type TermPrimary = {
  readonly server: ServerName
  readonly term: number
  readonly proposer: string
}

/** A host's view of one database. */
export type GroupView = {
  readonly database: DatabaseName
  readonly servers: readonly ServerName[]
  readonly lastStatuses: Readonly<Record<ServerName, LastStatus>>
  /** The highest fenced term in any status. */
  readonly highestTerm: number
  readonly highestTermSeenAtMs: number
  /**
   * The primary of the highest term for which a primary was observed. It stays
   * set after that primary is replaced; `primaryView` returns the current one.
   */
  readonly termPrimary: TermPrimary | undefined
}

/**
 * Creates the view before any status is recorded.
 * @param database - the database
 * @param servers - all its servers; majorities are counted over them
 * @returns the empty view
 */
export function emptyGroupView (database: DatabaseName, servers: readonly ServerName[]): GroupView {
  return { database, servers, lastStatuses: {}, highestTerm: 0, highestTermSeenAtMs: 0, termPrimary: undefined }
}

/**
 * Returns the number of servers that form a majority.
 * @param serverCount - how many servers the database has
 * @returns the smallest size at which any two sets of servers overlap
 */
export function majorityOf (serverCount: number): number {
  return Math.floor(serverCount / 2) + 1
}

/**
 * Whether a status is that of a working primary: its term equals its fenced
 * term. If a server does not report its term, the term of its last received
 * entry is used: a promoted server has written an entry in the fenced term, a
 * replaced one has not.
 * @param status - the reported status
 * @returns true if the server is primary of the term that it was fenced for
 */
export function isPrimaryOfItsTerm (status: ServerStatus): boolean {
  return status.role === 'primary' && (status.term ?? status.received.term) === status.fencedTerm
}

/**
 * Records a status.
 * @param view - the view before
 * @param status - the reported status; ignored for a server that is not in the view
 * @param nowMs - monotonic time
 * @param fences - `permanent`: a fenced term never decreases; `temporary`: a
 *   fence may be lifted, or lost when the server restarts
 * @returns the updated view
 */
export function recordStatus (view: GroupView, status: ServerStatus, nowMs: number, fences: 'permanent' | 'temporary' = 'permanent'): GroupView {
  if (!view.servers.includes(status.server)) return view
  const before = view.lastStatuses[status.server]
  if (fences === 'permanent' && before !== undefined && status.fencedTerm < before.status.fencedTerm) return view
  const receivedChanged = before === undefined || comparePositions(before.status.received, status.received) !== 0
  const lastStatus = { status, recordedAtMs: nowMs, receivedChangedAtMs: receivedChanged ? nowMs : before.receivedChangedAtMs }
  const termRises = status.fencedTerm > view.highestTerm
  return {
    ...view,
    lastStatuses: { ...view.lastStatuses, [status.server]: lastStatus },
    highestTerm: Math.max(view.highestTerm, status.fencedTerm),
    highestTermSeenAtMs: termRises ? nowMs : view.highestTermSeenAtMs,
    termPrimary: laterTermPrimary(view.termPrimary, status)
  }
}

/**
 * Records the applied position from a server's response to a statement. Every
 * entry that a server has applied it has also received.
 * @param view - the view before
 * @param server - the server that responded
 * @param position - its applied position
 * @param nowMs - monotonic time
 * @returns the updated view
 */
export function recordPosition (view: GroupView, server: ServerName, position: Position, nowMs: number): GroupView {
  const before = view.lastStatuses[server]
  if (before === undefined || covers(before.status.applied, position)) return view
  const received = laterPosition(before.status.received, position)
  const receivedChanged = comparePositions(received, before.status.received) !== 0
  const status = { ...before.status, applied: position, received }
  return { ...view, lastStatuses: { ...view.lastStatuses, [server]: { ...before, status, receivedChangedAtMs: receivedChanged ? nowMs : before.receivedChangedAtMs } } }
}

function laterTermPrimary (current: TermPrimary | undefined, status: ServerStatus): TermPrimary | undefined {
  if (!isPrimaryOfItsTerm(status)) return current
  if (current !== undefined && current.term >= status.fencedTerm) return current
  return { server: status.server, term: status.fencedTerm, proposer: status.proposer }
}

/**
 * Replaces the list of servers after a change of the manifest.
 * @param view - the view before
 * @param servers - all servers of the database
 * @returns the view without the statuses of removed servers
 */
export function withServers (view: GroupView, servers: readonly ServerName[]): GroupView {
  const remaining = Object.entries(view.lastStatuses).filter(([server]) => servers.includes(server))
  return { ...view, servers, lastStatuses: Object.fromEntries(remaining) }
}

/**
 * Returns the current primary. A primary counts as replaced as soon as a
 * majority of the servers has reported a fence for a higher term.
 * @param view - the view
 * @returns the primary and its term, or the highest term without a primary
 */
export function primaryView (view: GroupView): PrimaryView {
  const { database, termPrimary } = view
  if (termPrimary === undefined) return { database, term: view.highestTerm, primary: undefined }
  const replaced = serversFencedAbove(view, termPrimary.term).length >= majorityOf(view.servers.length)
  if (replaced) return { database, term: view.highestTerm, primary: undefined }
  return { database, term: termPrimary.term, primary: termPrimary.server }
}

/**
 * Lists the servers that have reported a fence above a term.
 * @param view - the view
 * @param term - the term
 * @returns the servers that no longer accept entries of that term
 */
export function serversFencedAbove (view: GroupView, term: number): readonly ServerName[] {
  return view.servers.filter(server => (view.lastStatuses[server]?.status.fencedTerm ?? 0) > term)
}
