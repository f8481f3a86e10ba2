// Brings every server in line behind the primary: replicas after a change of
// primary, an old primary that comes back late, a server that was restarted
// and follows nobody. Following is idempotent, so that it is simply repeated
// until the server's status shows entries of the primary's term.

import { covers, type ServerName } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import { primaryView, type KnownStatus } from './group-view.js'
import { decisiveFailure } from './health.js'
import type { FailoverEffect, FailoverState, OutOfLine } from './state.js'

/** A replica that is behind and has not moved for this many follow periods is told again. */
const stalledPeriods = 2

/**
 * Tells servers that are out of line to follow the primary.
 * @param state - what the home knows
 * @param nowMs - monotonic time
 * @returns the next state and the `follow` effects
 */
export function bringIntoLine (state: FailoverState, nowMs: number): Transition<FailoverState, FailoverEffect> {
  const { primary, term } = primaryView(state.group)
  if (state.rank === undefined || primary === undefined || state.proposal.kind !== 'idle') return { state, effects: [] }
  const strays = state.group.servers.filter(server => server !== primary && isStray(state, server, primary, term, nowMs))
  const due = strays.filter(server => followDue(state, state.outOfLine[server], nowMs))
  const outOfLine = Object.fromEntries(strays.map(server => [server, {
    sinceMs: state.outOfLine[server]?.sinceMs ?? nowMs,
    followSentAtMs: due.includes(server) ? nowMs : state.outOfLine[server]?.followSentAtMs
  }] as const))
  const proposer = state.group.termPrimary?.proposer ?? state.proposer
  return {
    state: { ...state, outOfLine },
    effects: due.map(server => ({ kind: 'follow', server, term, proposer, primary }))
  }
}

function isStray (state: FailoverState, server: ServerName, primary: ServerName, term: number, nowMs: number): boolean {
  const known = state.group.lastStatuses[server]
  if (known === undefined || decisiveFailure(state.health, server, state.settings) !== undefined) return false
  switch (state.settings.promotionMethod) {
    case 'byDuty': return known.status.isPaused === true || known.status.role === 'primary'
    case 'byServers': return isBehindTerm(known, term) || stalled(state, known, state.group.lastStatuses[primary], nowMs)
  }
}

function isBehindTerm ({ status }: KnownStatus, term: number): boolean {
  const { fencedTerm, received, role } = status
  return fencedTerm <= term && (fencedTerm < term || received.term < term || role === 'primary')
}

function stalled (state: FailoverState, known: KnownStatus, primary: KnownStatus | undefined, nowMs: number): boolean {
  if (known.status.fencedTerm > (state.group.termPrimary?.term ?? 0)) return false
  if (primary === undefined || covers(known.status.received, primary.status.received)) return false
  return nowMs - known.movedAtMs >= stalledPeriods * state.settings.followEveryMs
}

// The home that promoted acts at once, the others after their turn.
function followDue (state: FailoverState, before: OutOfLine | undefined, nowMs: number): boolean {
  if (before?.followSentAtMs !== undefined) return nowMs - before.followSentAtMs >= state.settings.followEveryMs
  const promotedHere = state.group.termPrimary?.proposer === state.proposer
  const turnMs = promotedHere ? 0 : (state.rank ?? 0) * state.settings.rankDelayMs
  return nowMs - (before?.sinceMs ?? nowMs) >= turnMs
}
