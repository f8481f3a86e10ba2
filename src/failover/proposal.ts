// One attempt to make a server primary of a new term: fence a majority, then
// promote the fenced server with the most advanced log. The server to promote is
// chosen once per attempt: if the answer is lost, the same promotion is sent
// again or the attempt is abandoned.
//
// With `byQuorum`, a server accepts a fence for a term above its own, or again
// for the same term from the same proposer. At most one proposer therefore
// fences a majority in a term, and it does not use an abandoned term again, so no
// second server is ever promoted in that term. With `byLeader`, fences carry no
// proposer; the leader lease excludes a second proposer, and a new attempt may
// use the same term again.

import { comparePositions, type Position, type ServerName, type ServerStatus } from '../model/index.js'
import { majorityOf } from './group-view.js'
import type { FailoverSettings } from './settings.js'

/**
 * Why a new primary is needed.
 * `noPrimary`: no server is primary. `dead`: the primary counts as dead.
 * `demoted`: the primary reports the role of a replica in its term.
 * `fencedOff`: a server is fenced above the primary's term and no longer
 * accepts its entries. `leaving`: the primary is being decommissioned.
 */
export type PromotionReason = 'noPrimary' | 'dead' | 'demoted' | 'fencedOff' | 'leaving'

/**
 * A decommissioned primary is fenced before the other servers, which could not
 * receive its remaining entries once fenced. The others are fenced as soon as
 * one active server has received `endPosition`, or after the drain timeout.
 */
export type Draining = {
  readonly kind: 'draining'
  readonly term: number
  readonly primary: ServerName
  /** Last position in the primary's log, set once the primary has accepted the fence. */
  readonly endPosition: Position | undefined
  readonly startedAtMs: number
  readonly sentAtMs: number
}

/** The servers are fenced for the new term. */
export type Fencing = {
  readonly kind: 'fencing'
  readonly term: number
  /** Last received position of each server when it accepted the fence. */
  readonly accepted: Readonly<Record<ServerName, Position>>
  readonly refused: readonly ServerName[]
  readonly startedAtMs: number
  readonly sentAtMs: number
  /** When a majority had accepted the fence. */
  readonly majorityAtMs: number | undefined
}

/** The chosen server is promoted. */
export type Promoting = {
  readonly kind: 'promoting'
  readonly term: number
  readonly server: ServerName
  readonly startedAtMs: number
  readonly sentAtMs: number
}

/** State of the current attempt. After `failed`, the next tick schedules the retry. */
export type Proposal =
  | { readonly kind: 'idle' }
  | { readonly kind: 'failed' }
  | Draining
  | Fencing
  | Promoting

/** No attempt is in progress. */
export const idleProposal: Proposal = { kind: 'idle' }

/** Inputs to the choice of the next primary. */
export type PromotionCandidates = {
  readonly servers: readonly ServerName[]
  /** Servers that may become primary. */
  readonly active: readonly ServerName[]
  readonly currentPrimary: ServerName | undefined
}

/** A server's answer to a fence. */
export type FenceAnswer = {
  readonly term: number
  readonly accepted: boolean
  readonly status: ServerStatus
}

/**
 * Records the answer to a fence.
 * @param proposal - the current attempt
 * @param answer - the server's answer
 * @param serverCount - how many servers the database has
 * @param nowMs - monotonic time
 * @returns the updated attempt; failed if the server is fenced for a higher
 *   term, or if too many servers refused for a majority
 */
export function recordFenceAnswer (proposal: Proposal, answer: FenceAnswer, serverCount: number, nowMs: number): Proposal {
  switch (proposal.kind) {
    case 'idle':
    case 'failed':
    case 'promoting': return proposal
    case 'draining': return recordDrainingAnswer(proposal, answer)
    case 'fencing': return recordFencingAnswer(proposal, answer, serverCount, nowMs)
  }
}

function recordDrainingAnswer (proposal: Draining, answer: FenceAnswer): Proposal {
  if (answer.term !== proposal.term || answer.status.server !== proposal.primary) return proposal
  return answer.accepted ? { ...proposal, endPosition: answer.status.received } : { kind: 'failed' }
}

function recordFencingAnswer (proposal: Fencing, answer: FenceAnswer, serverCount: number, nowMs: number): Proposal {
  const { server, received, fencedTerm } = answer.status
  if (answer.term !== proposal.term || server in proposal.accepted) return proposal
  if (!answer.accepted) {
    const refused = [...proposal.refused.filter(other => other !== server), server]
    const isMajorityLost = serverCount - refused.length < majorityOf(serverCount)
    return fencedTerm > proposal.term || isMajorityLost ? { kind: 'failed' } : { ...proposal, refused }
  }
  const accepted = { ...proposal.accepted, [server]: received }
  const isMajority = Object.keys(accepted).length >= majorityOf(serverCount)
  return { ...proposal, accepted, majorityAtMs: proposal.majorityAtMs ?? (isMajority ? nowMs : undefined) }
}

/**
 * Whether fencing can end and the promotion can start.
 * @param proposal - the current attempt
 * @param reachable - the reachable servers
 * @param settings - grace time for slower servers
 * @param nowMs - monotonic time
 * @returns true once a majority has accepted the fence, and either all reachable
 *   servers have answered or the grace time is over
 */
export function isFencingComplete (proposal: Fencing, reachable: readonly ServerName[], settings: FailoverSettings, nowMs: number): boolean {
  if (proposal.majorityAtMs === undefined) return false
  const missing = reachable.filter(server => !(server in proposal.accepted) && !proposal.refused.includes(server))
  return missing.length === 0 || nowMs - proposal.majorityAtMs >= settings.fenceGraceMs
}

/**
 * Chooses the next primary: the most advanced log among the servers that
 * accepted the fence. Any majority holds every acknowledged write, so if the
 * active servers among them form a majority, only these are considered.
 * @param accepted - last received position of each fenced server
 * @param candidates - all servers, the active ones and the current primary
 * @returns the server to promote; undefined without a majority
 */
export function nextPrimary (accepted: Readonly<Record<ServerName, Position>>, candidates: PromotionCandidates): ServerName | undefined {
  const majority = majorityOf(candidates.servers.length)
  const fenced = candidates.servers.filter(server => server in accepted)
  if (fenced.length < majority) return undefined
  const active = fenced.filter(server => candidates.active.includes(server))
  const considered = active.length >= majority ? active : fenced
  const ranked = [...considered].sort((a, b) => comparePreference(a, b, accepted, candidates))
  return ranked[0]
}

function comparePreference (a: ServerName, b: ServerName, accepted: Readonly<Record<ServerName, Position>>, candidates: PromotionCandidates): number {
  const byLog = comparePositions(accepted[b] as Position, accepted[a] as Position)
  if (byLog !== 0) return byLog
  const preferenceOf = (server: ServerName): number =>
    (candidates.active.includes(server) ? 2 : 0) + (server === candidates.currentPrimary ? 1 : 0)
  return preferenceOf(b) - preferenceOf(a) || candidates.servers.indexOf(a) - candidates.servers.indexOf(b)
}
