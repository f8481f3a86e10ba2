// Decides whether a database needs a new primary, and when this dispatcher may
// propose one. Dispatchers act in rank order: each allows the ones before it
// some time to finish.

import type { PrimaryView, ServerName } from '../model/index.js'
import { serversFencedAbove, majorityOf, primaryView, type LastStatus } from './group-view.js'
import { decisiveFailure, reachableServers } from './health.js'
import type { PromotionReason } from './proposal.js'
import type { FailoverState } from './state.js'

/**
 * Returns why the database needs a new primary.
 * @param state - the failover state
 * @param nowMs - monotonic time
 * @returns the reason; undefined if no new primary is needed
 */
export function promotionReason (state: FailoverState, nowMs: number): PromotionReason | undefined {
  const view = primaryView(state.group)
  if (view.primary === undefined) return everyServerAssessed(state) ? 'noPrimary' : undefined
  if (isPrimaryDead(state, view.primary, view.term, nowMs)) return 'dead'
  if (hasSteppedDown(state.group.lastStatuses[view.primary], view.term)) return 'demoted'
  if (state.settings.promotionMethod === 'byQuorum' && serversFencedAbove(state.group, view.term).length > 0) return 'fencedOff'
  if (isPrimaryLeaving(state) && isSuccessorReachable(state, nowMs)) return 'leaving'
  return undefined
}

function everyServerAssessed (state: FailoverState): boolean {
  return state.group.servers.every(server =>
    state.group.lastStatuses[server] !== undefined || decisiveFailure(state.health, server, state.settings) !== undefined)
}

function isPrimaryDead (state: FailoverState, primary: ServerName, term: number, nowMs: number): boolean {
  const failure = decisiveFailure(state.health, primary, state.settings)
  if (failure === undefined) return false
  return failure === 'refused' || !replicasMakeProgress(state, primary, term, nowMs)
}

// Replicas that still receive entries of the primary's term show that only the
// network path from this dispatcher to the primary is broken.
function replicasMakeProgress (state: FailoverState, primary: ServerName, term: number, nowMs: number): boolean {
  return Object.values(state.group.lastStatuses).some(({ status, receivedChangedAtMs }) =>
    status.server !== primary && status.received.term === term && nowMs - receivedChangedAtMs < state.settings.replicaProgressMs)
}

function hasSteppedDown (last: LastStatus | undefined, term: number): boolean {
  return last !== undefined && last.status.role === 'replica' && (last.status.term ?? last.status.received.term) === term
}

function isSuccessorReachable (state: FailoverState, nowMs: number): boolean {
  return reachableServers(state.health, state.active, state.settings, nowMs).length > 0
}

/** What a dispatcher waits for before it proposes a new primary. */
export type PromotionBlocker = 'successor' | 'rank' | 'rival' | 'retryTime' | 'majority'

/**
 * Whether this dispatcher may propose a new primary now.
 * @param state - the failover state; `failureSinceMs` is set
 * @param nowMs - monotonic time
 * @returns true if its rank delay is over and a majority of the servers is reachable
 */
export function canPropose (state: FailoverState, nowMs: number): boolean {
  return promotionBlocker(state, nowMs) === undefined
}

function promotionBlocker (state: FailoverState, nowMs: number): PromotionBlocker | undefined {
  const { settings, rank, failureSinceMs, retryAtMs, group } = state
  if (rank === undefined || failureSinceMs === undefined) return 'rank'
  if (nowMs < retryAtMs) return 'retryTime'
  const rankWaitMs = rank * settings.rankDelayMs
  if (nowMs < failureSinceMs + rankWaitMs) return 'rank'
  if (isRivalActive(state) && nowMs < group.highestTermSeenAtMs + settings.rivalTimeoutMs + rankWaitMs) return 'rival'
  return reachableServers(state.health, group.servers, settings, nowMs).length >= majorityOf(group.servers.length) ? undefined : 'majority'
}

/**
 * Progress of the promotion that a database needs, for reports: none is needed, the
 * step of the current attempt, or what the next attempt waits for.
 */
export type PromotionProgress =
  | { readonly kind: 'none' }
  | { readonly kind: 'running', readonly step: Exclude<FailoverState['proposal']['kind'], 'idle'> }
  | { readonly kind: 'waiting', readonly reason: PromotionReason, readonly blocker: PromotionBlocker }

/**
 * Describes the progress of a promotion.
 * @param state - the failover state
 * @param nowMs - monotonic time
 * @returns the progress; `none` also on a host that does not drive the failover
 */
export function promotionProgress (state: FailoverState, nowMs: number): PromotionProgress {
  if (state.rank === undefined) return { kind: 'none' }
  if (state.proposal.kind !== 'idle') return { kind: 'running', step: state.proposal.kind }
  const reason = promotionReason(state, nowMs)
  if (reason === undefined) return isPrimaryLeaving(state) ? { kind: 'waiting', reason: 'leaving', blocker: 'successor' } : { kind: 'none' }
  const blocker = promotionBlocker(state, nowMs)
  return blocker === undefined ? { kind: 'none' } : { kind: 'waiting', reason, blocker }
}

function isPrimaryLeaving (state: FailoverState): boolean {
  const { primary } = primaryView(state.group)
  return primary !== undefined && !state.active.includes(primary)
}

// A term above that of the last primary shows that another dispatcher may be
// about to promote.
function isRivalActive (state: FailoverState): boolean {
  if (state.settings.promotionMethod === 'byLeader') return false
  const { highestTerm, termPrimary } = state.group
  return highestTerm > (termPrimary?.term ?? 0)
}

/**
 * Whether this dispatcher writes a changed view to the store.
 * @param state - the failover state
 * @param view - the changed view
 * @returns true for the first dispatcher in rank and for the one that promoted
 */
export function shouldPublish (state: FailoverState, view: PrimaryView): boolean {
  if (view.primary === undefined) return false
  return state.rank === 0 || state.group.termPrimary?.proposer === state.proposer
}
