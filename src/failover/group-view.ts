// What a home knows of one database, from the statuses that its servers
// report. Two facts never become untrue: a server that accepted a fence for a
// term never accepts a lower one, and a server that was primary of a term was
// its only one. The view is built from these facts alone, so late statuses
// never take it back to a lower term.

import { comparePositions, covers, laterPosition, type DatabaseName, type Position, type PrimaryView, type ServerName, type ServerStatus } from '../model/index.js'

/** A status and when it was learned. */
export type KnownStatus = {
  readonly status: ServerStatus
  /** Monotonic time of the home that learned it. */
  readonly learnedAtMs: number
  /** When `received` last changed, as far as the home saw. */
  readonly movedAtMs: number
}

/** A server that was primary of a term. */
export type Leadership = {
  readonly server: ServerName
  readonly term: number
  readonly proposer: string
}

/** What a home knows of one database. */
export type GroupView = {
  readonly database: DatabaseName
  readonly servers: readonly ServerName[]
  readonly lastStatuses: Readonly<Record<ServerName, KnownStatus>>
  /** The highest term that any status named. */
  readonly highestTerm: number
  readonly highestTermSeenAtMs: number
  /** The primary of the highest term that is known to have had one. */
  readonly termPrimary: Leadership | undefined
}

/**
 * The view before any status came in.
 * @param database - the database
 * @param servers - all its servers; a majority is counted over them
 * @returns the empty view
 */
export function emptyGroupView (database: DatabaseName, servers: readonly ServerName[]): GroupView {
  return { database, servers, lastStatuses: {}, highestTerm: 0, highestTermSeenAtMs: 0, termPrimary: undefined }
}

/**
 * The number of servers that is a majority.
 * @param serverCount - how many servers the database has
 * @returns the smallest number of servers of which any two sets overlap
 */
export function majorityOf (serverCount: number): number {
  return Math.floor(serverCount / 2) + 1
}

/**
 * Tells whether a status is that of a working primary: it stands in the term
 * that it was fenced for. Where a server does not tell its term, a promoted one
 * has written an entry in it, and a replaced one has not.
 * @param status - what the server said
 * @returns true where the server leads the term of its fence
 */
export function leadsItsTerm (status: ServerStatus): boolean {
  return status.role === 'primary' && (status.term ?? status.received.term) === status.fencedTerm
}

/**
 * Takes in a status.
 * @param view - what was known
 * @param status - what a server said; unknown servers are passed over
 * @param nowMs - monotonic time
 * @param fences - whether a fence lasts, or may be lifted or forgotten
 * @returns what is known now
 */
export function learnStatus (view: GroupView, status: ServerStatus, nowMs: number, fences: 'lasting' | 'passing' = 'lasting'): GroupView {
  if (!view.servers.includes(status.server)) return view
  const before = view.lastStatuses[status.server]
  if (fences === 'lasting' && before !== undefined && status.fencedTerm < before.status.fencedTerm) return view
  const moved = before === undefined || comparePositions(before.status.received, status.received) !== 0
  const known = { status, learnedAtMs: nowMs, movedAtMs: moved ? nowMs : before.movedAtMs }
  const rises = status.fencedTerm > view.highestTerm
  return {
    ...view,
    lastStatuses: { ...view.lastStatuses, [status.server]: known },
    highestTerm: Math.max(view.highestTerm, status.fencedTerm),
    highestTermSeenAtMs: rises ? nowMs : view.highestTermSeenAtMs,
    termPrimary: laterLeadership(view.termPrimary, status)
  }
}

/**
 * Takes in the position that an answer of a server showed. What a primary has
 * applied it has also received.
 * @param view - what was known
 * @param server - who answered
 * @param position - what it has applied
 * @param nowMs - monotonic time
 * @returns what is known now
 */
export function learnPosition (view: GroupView, server: ServerName, position: Position, nowMs: number): GroupView {
  const before = view.lastStatuses[server]
  if (before === undefined || covers(before.status.applied, position)) return view
  const received = laterPosition(before.status.received, position)
  const moved = comparePositions(received, before.status.received) !== 0
  const status = { ...before.status, applied: position, received }
  return { ...view, lastStatuses: { ...view.lastStatuses, [server]: { ...before, status, movedAtMs: moved ? nowMs : before.movedAtMs } } }
}

function laterLeadership (known: Leadership | undefined, status: ServerStatus): Leadership | undefined {
  if (!leadsItsTerm(status)) return known
  if (known !== undefined && known.term >= status.fencedTerm) return known
  return { server: status.server, term: status.fencedTerm, proposer: status.proposer }
}

/**
 * Replaces the list of servers after a change of the manifest.
 * @param view - what was known
 * @param servers - all servers of the database
 * @returns the view; statuses of servers that are gone are dropped
 */
export function withServers (view: GroupView, servers: readonly ServerName[]): GroupView {
  const kept = Object.entries(view.lastStatuses).filter(([server]) => servers.includes(server))
  return { ...view, servers, lastStatuses: Object.fromEntries(kept) }
}

/**
 * Tells which server leads. A primary counts as replaced as soon as a majority
 * of the servers is known to be fenced for a higher term.
 * @param view - what is known
 * @returns the primary and its term, or the highest term without a primary
 */
export function primaryView (view: GroupView): PrimaryView {
  const { database, termPrimary: leadership } = view
  if (leadership === undefined) return { database, term: view.highestTerm, primary: undefined }
  const replaced = fencedAbove(view, leadership.term).length >= majorityOf(view.servers.length)
  if (replaced) return { database, term: view.highestTerm, primary: undefined }
  return { database, term: leadership.term, primary: leadership.server }
}

/**
 * Lists the servers that are known to be fenced above a term.
 * @param view - what is known
 * @param term - the term
 * @returns the servers that take no entry of that term any more
 */
export function fencedAbove (view: GroupView, term: number): readonly ServerName[] {
  return view.servers.filter(server => (view.lastStatuses[server]?.status.fencedTerm ?? 0) > term)
}
