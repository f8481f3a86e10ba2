// Makes every other server follow the primary: replicas after a change of
// primary, a former primary that returns late, a restarted server without a
// primary to follow. `follow` is idempotent, so it is repeated until the
// server's status shows entries of the primary's term.

import { covers, type ServerName } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import { primaryView, type LastStatus } from './group-view.js'
import { decisiveFailure } from './health.js'
import type { FailoverEffect, FailoverState, NotFollowing } from './state.js'

/** Follow intervals without received entries after which a lagging replica is sent `follow` again. */
const stalledFollowIntervals = 2

/**
 * Sends `follow` to servers that do not follow the primary.
 * @param state - the failover state
 * @param nowMs - monotonic time
 * @returns the next state and the `follow` effects
 */
export function restoreFollowing (state: FailoverState, nowMs: number): Transition<FailoverState, FailoverEffect> {
  const { primary, term } = primaryView(state.group)
  if (state.rank === undefined || primary === undefined || state.proposal.kind !== 'idle') return { state, effects: [] }
  const detached = state.group.servers.filter(server => server !== primary && isNotFollowing(state, server, primary, term, nowMs))
  const due = detached.filter(server => isFollowDue(state, state.notFollowing[server], nowMs))
  const notFollowing = Object.fromEntries(detached.map(server => [server, {
    sinceMs: state.notFollowing[server]?.sinceMs ?? nowMs,
    followSentAtMs: due.includes(server) ? nowMs : state.notFollowing[server]?.followSentAtMs
  }] as const))
  const proposer = state.group.termPrimary?.proposer ?? state.proposer
  return {
    state: { ...state, notFollowing },
    effects: due.map(server => ({ kind: 'follow', server, term, proposer, primary }))
  }
}

function isNotFollowing (state: FailoverState, server: ServerName, primary: ServerName, term: number, nowMs: number): boolean {
  const last = state.group.lastStatuses[server]
  if (last === undefined || decisiveFailure(state.health, server, state.settings) !== undefined) return false
  switch (state.settings.promotionMethod) {
    case 'byLeader': return last.status.isPaused === true || last.status.role === 'primary'
    case 'byQuorum': return isBehindTerm(last, term) || isStalled(state, last, state.group.lastStatuses[primary], nowMs)
  }
}

function isBehindTerm ({ status }: LastStatus, term: number): boolean {
  const { fencedTerm, received, role } = status
  return fencedTerm <= term && (fencedTerm < term || received.term < term || role === 'primary')
}

function isStalled (state: FailoverState, last: LastStatus, primary: LastStatus | undefined, nowMs: number): boolean {
  if (last.status.fencedTerm > (state.group.termPrimary?.term ?? 0)) return false
  if (primary === undefined || covers(last.status.received, primary.status.received)) return false
  return nowMs - last.receivedChangedAtMs >= stalledFollowIntervals * state.settings.followEveryMs
}

// The dispatcher that promoted acts at once, the others after their rank delay.
function isFollowDue (state: FailoverState, before: NotFollowing | undefined, nowMs: number): boolean {
  if (before?.followSentAtMs !== undefined) return nowMs - before.followSentAtMs >= state.settings.followEveryMs
  const promotedHere = state.group.termPrimary?.proposer === state.proposer
  const delayMs = promotedHere ? 0 : (state.rank ?? 0) * state.settings.rankDelayMs
  return nowMs - (before?.sinceMs ?? nowMs) >= delayMs
}
