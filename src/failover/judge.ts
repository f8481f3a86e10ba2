// Judges whether a database needs a new primary, and when this home may act.
// The homes act in rank order: each leaves the ones before it time to finish.

import type { PrimaryView, ServerName } from '../model/index.js'
import { fencedAbove, majorityOf, primaryView, type KnownStatus } from './group-view.js'
import { decisiveFailure, reachable } from './health.js'
import type { Cause } from './proposal.js'
import type { FailoverState } from './state.js'

/**
 * Tells why the database needs a new primary.
 * @param state - what the home knows
 * @param nowMs - monotonic time
 * @returns the cause, or undefined where the primary serves
 */
export function causeOf (state: FailoverState, nowMs: number): Cause | undefined {
  const view = primaryView(state.group)
  if (view.primary === undefined) return everyServerHeard(state) ? 'noPrimary' : undefined
  if (primaryDead(state, view.primary, view.term, nowMs)) return 'dead'
  if (steppedDown(state.group.lastStatuses[view.primary], view.term)) return 'demoted'
  if (state.settings.promotionMethod === 'byServers' && fencedAbove(state.group, view.term).length > 0) return 'stranded'
  if (!state.active.includes(view.primary) && successorReachable(state, nowMs)) return 'leaving'
  return undefined
}

function everyServerHeard (state: FailoverState): boolean {
  return state.group.servers.every(server =>
    state.group.lastStatuses[server] !== undefined || decisiveFailure(state.health, server, state.settings) !== undefined)
}

function primaryDead (state: FailoverState, primary: ServerName, term: number, nowMs: number): boolean {
  const how = decisiveFailure(state.health, primary, state.settings)
  if (how === undefined) return false
  return how === 'refused' || !replicasProgress(state, primary, term, nowMs)
}

// Replicas that still receive entries of the primary's term show that only
// the way from this home to the primary is cut.
function replicasProgress (state: FailoverState, primary: ServerName, term: number, nowMs: number): boolean {
  return Object.values(state.group.lastStatuses).some(({ status, movedAtMs }) =>
    status.server !== primary && status.received.term === term && nowMs - movedAtMs < state.settings.progressHoldMs)
}

function steppedDown (known: KnownStatus | undefined, term: number): boolean {
  return known !== undefined && known.status.role === 'replica' && (known.status.term ?? known.status.received.term) === term
}

function successorReachable (state: FailoverState, nowMs: number): boolean {
  return reachable(state.health, state.active, state.settings, nowMs).length > 0
}

/**
 * Tells whether this home may propose now.
 * @param state - what the home knows; `troubleSinceMs` is set
 * @param nowMs - monotonic time
 * @returns true where its turn has come and a majority of servers answers
 */
export function mayPropose (state: FailoverState, nowMs: number): boolean {
  const { settings, rank, failureSinceMs: troubleSinceMs, retryAtMs, group } = state
  if (rank === undefined || troubleSinceMs === undefined || nowMs < retryAtMs) return false
  const turnMs = rank * settings.rankDelayMs
  if (nowMs < troubleSinceMs + turnMs) return false
  if (rivalUnderWay(state) && nowMs < group.highestTermSeenAtMs + settings.settleMs + turnMs) return false
  return reachable(state.health, group.servers, settings, nowMs).length >= majorityOf(group.servers.length)
}

// A term above that of the last primary: another home may be about to promote.
function rivalUnderWay (state: FailoverState): boolean {
  if (state.settings.promotionMethod === 'byDuty') return false
  const { highestTerm, termPrimary: leadership } = state.group
  return highestTerm > (leadership?.term ?? 0)
}

/**
 * Tells whether this home writes a view to the store.
 * @param state - what the home knows
 * @param view - the view that changed
 * @returns true at the first home and at the home that promoted
 */
export function publishes (state: FailoverState, view: PrimaryView): boolean {
  if (view.primary === undefined) return false
  return state.rank === 0 || state.group.termPrimary?.proposer === state.proposer
}
