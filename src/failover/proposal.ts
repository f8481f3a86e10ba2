// One try to make a server primary of a new term: fence a majority, promote
// the furthest log among them. A server accepts a fence only for a term above
// its own, from one proposer, so at most one proposer gets a majority in a
// term. Promotion picks its server once; a lost answer is asked for again or
// the term is given up, and no second server is ever promoted in that term.

import { comparePositions, type Position, type ServerName, type ServerStatus } from '../model/index.js'
import { majorityOf } from './group-view.js'
import type { FailoverSettings } from './settings.js'

/** Why a new primary is needed. */
export type Cause = 'noPrimary' | 'dead' | 'demoted' | 'stranded' | 'leaving'

/** A leaving primary is fenced; its active replicas receive the rest. */
export type Draining = {
  readonly kind: 'draining'
  readonly term: number
  readonly primary: ServerName
  /** Where the log of the primary ends, once it accepted the fence. */
  readonly end: Position | undefined
  readonly startedAtMs: number
  readonly sentAtMs: number
}

/** A majority is being fenced. */
export type Fencing = {
  readonly kind: 'fencing'
  readonly term: number
  /** Where the log of each server ended when it accepted the fence. */
  readonly accepted: Readonly<Record<ServerName, Position>>
  readonly refused: readonly ServerName[]
  readonly startedAtMs: number
  readonly sentAtMs: number
  readonly majorityAtMs: number | undefined
}

/** A server is being promoted. */
export type Promoting = {
  readonly kind: 'promoting'
  readonly term: number
  readonly server: ServerName
  readonly startedAtMs: number
  readonly sentAtMs: number
}

/** A try to make a server primary; after a failed one the next tick draws the time of another. */
export type Proposal =
  | { readonly kind: 'idle' }
  | { readonly kind: 'failed' }
  | Draining
  | Fencing
  | Promoting

/** No try is under way. */
export const idleProposal: Proposal = { kind: 'idle' }

/** What the choice of the next primary depends on. */
export type Electorate = {
  readonly servers: readonly ServerName[]
  readonly active: readonly ServerName[]
  readonly currentPrimary: ServerName | undefined
}

/** The answer of a server to a fence. */
export type FenceAnswer = {
  readonly term: number
  readonly accepted: boolean
  readonly status: ServerStatus
}

/**
 * Takes in the answer to a fence.
 * @param proposal - the try under way
 * @param answer - what the server said
 * @param serverCount - how many servers the database has
 * @param nowMs - monotonic time
 * @returns the try after it; failed where a higher term or a rival won
 */
export function fenceAnswered (proposal: Proposal, answer: FenceAnswer, serverCount: number, nowMs: number): Proposal {
  switch (proposal.kind) {
    case 'idle':
    case 'failed':
    case 'promoting': return proposal
    case 'draining': return drainingAnswered(proposal, answer)
    case 'fencing': return fencingAnswered(proposal, answer, serverCount, nowMs)
  }
}

function drainingAnswered (proposal: Draining, answer: FenceAnswer): Proposal {
  if (answer.term !== proposal.term || answer.status.server !== proposal.primary) return proposal
  return answer.accepted ? { ...proposal, end: answer.status.received } : { kind: 'failed' }
}

function fencingAnswered (proposal: Fencing, answer: FenceAnswer, serverCount: number, nowMs: number): Proposal {
  const { server, received, fencedTerm } = answer.status
  if (answer.term !== proposal.term || server in proposal.accepted) return proposal
  if (!answer.accepted) {
    const refused = [...proposal.refused.filter(other => other !== server), server]
    const hopeless = serverCount - refused.length < majorityOf(serverCount)
    return fencedTerm > proposal.term || hopeless ? { kind: 'failed' } : { ...proposal, refused }
  }
  const accepted = { ...proposal.accepted, [server]: received }
  const reached = Object.keys(accepted).length >= majorityOf(serverCount)
  return { ...proposal, accepted, majorityAtMs: proposal.majorityAtMs ?? (reached ? nowMs : undefined) }
}

/**
 * Tells whether the fence has been accepted by all that it will wait for.
 * @param proposal - the try under way
 * @param reachable - the servers that answer
 * @param settings - how long the slower servers are waited for
 * @param nowMs - monotonic time
 * @returns true where a majority accepted and nobody else is waited for
 */
export function fencedEnough (proposal: Fencing, reachable: readonly ServerName[], settings: FailoverSettings, nowMs: number): boolean {
  if (proposal.majorityAtMs === undefined) return false
  const missing = reachable.filter(server => !(server in proposal.accepted) && !proposal.refused.includes(server))
  return missing.length === 0 || nowMs - proposal.majorityAtMs >= settings.fenceGraceMs
}

/**
 * Picks the next primary: the furthest log among the servers that accepted
 * the fence. Any majority holds every acknowledged write, so where the active
 * servers among them are a majority, only these are looked at.
 * @param accepted - where the log of each fenced server ended
 * @param electorate - all servers, the active ones and the primary so far
 * @returns the server to promote, undefined without a majority
 */
export function nextPrimary (accepted: Readonly<Record<ServerName, Position>>, electorate: Electorate): ServerName | undefined {
  const majority = majorityOf(electorate.servers.length)
  const fenced = electorate.servers.filter(server => server in accepted)
  if (fenced.length < majority) return undefined
  const active = fenced.filter(server => electorate.active.includes(server))
  const candidates = active.length >= majority ? active : fenced
  const best = [...candidates].sort((a, b) => preference(a, b, accepted, electorate))
  return best[0]
}

function preference (a: ServerName, b: ServerName, accepted: Readonly<Record<ServerName, Position>>, electorate: Electorate): number {
  const byLog = comparePositions(accepted[b] as Position, accepted[a] as Position)
  if (byLog !== 0) return byLog
  const rankOf = (server: ServerName): number =>
    (electorate.active.includes(server) ? 2 : 0) + (server === electorate.currentPrimary ? 1 : 0)
  return rankOf(b) - rankOf(a) || electorate.servers.indexOf(a) - electorate.servers.indexOf(b)
}
