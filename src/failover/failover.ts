// Failover of one database on one host: records what the servers report, decides
// whether a new primary is needed, drives the promotion and announces the
// result. Each server has one dispatcher, a proxy host. The dispatchers of a
// database are those of its servers, ranked so that one acts first.
//
// A term is a number that increases with each change of primary. A fence for a
// term stops a server from accepting entries of lower terms. A proposer is
// one state of this module, on one host, that fences and promotes. What a fence
// guarantees depends on the promotion method (see `PromotionMethodKind`).
//
// The terms that the servers report are authoritative. The store only publishes
// the result; with `byQuorum`, failover works while the store is unreachable.

import { covers, type DatabaseDeclaration, type Position, type ServerName, type ServerStatus } from '../model/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'
import { restoreFollowing } from './follow.js'
import { recordPosition, recordStatus, primaryView, withServers } from './group-view.js'
import { dueProbes, resetFailures, recordProbeAnswer, recordProbeFailure, requestProbe, recordProbesSent, reachableServers, recordContact } from './health.js'
import { promotionReason, canPropose, shouldPublish } from './promotion-policy.js'
import { recordFenceAnswer, isFencingComplete, idleProposal, nextPrimary, type PromotionReason, type Draining, type Fencing, type Promoting } from './proposal.js'
import { activeServerNames, serverNames, type CallAnswered, type CallFailed, type FailoverEffect, type FailoverEvent, type FailoverState } from './state.js'

type Next = Transition<FailoverState, FailoverEffect>

/**
 * Handles one event of the failover state machine.
 * @param state - the state before
 * @param event - the event
 * @returns the next state and the effects to perform
 */
export function failoverStep (state: FailoverState, event: FailoverEvent): Next {
  return runStages(applyEvent(state, event), [
    next => advanceProposal(next, event.nowMs),
    next => restoreFollowing(next, event.nowMs),
    announce
  ])
}

function runStages (first: Next, stages: ReadonlyArray<(state: FailoverState) => Next>): Next {
  return stages.reduce((before, stage) => {
    const { state, effects } = stage(before.state)
    return { state, effects: [...before.effects, ...effects] }
  }, first)
}

function applyEvent (state: FailoverState, event: FailoverEvent): Next {
  switch (event.kind) {
    case 'statusReceived': return withoutEffects(onStatus(state, event.status, event.nowMs))
    case 'positionObserved': return withoutEffects(onAnswerPosition(state, event.server, event.position, event.nowMs))
    case 'statusRelayed': return withoutEffects(onRelayedStatus(state, event.status, event.heardAgoMs, event.nowMs))
    case 'connectionLost': return withoutEffects({ ...state, health: requestProbe(state.health, event.server) })
    case 'probeAnswered': return withoutEffects({ ...state, health: recordProbeAnswer(state.health, event.server, event.nowMs) })
    case 'probeFailed': return withoutEffects({ ...state, health: recordProbeFailure(state.health, event.server, event.failure) })
    case 'ranksChanged': return withoutEffects(onRankChange(state, event.rank))
    case 'manifestChanged': return withoutEffects(onManifestChange(state, event.database))
    case 'fenceAnswered': return withoutEffects(onFenceAnswer(onStatus(state, event.status, event.nowMs), event))
    case 'promoteAnswered': return withoutEffects(onPromotionAnswer(onStatus(state, event.status, event.nowMs), event))
    case 'followAnswered': return withoutEffects(onStatus(state, event.status, event.nowMs))
    case 'callFailed': return withoutEffects(onCallFailure(state, event))
    case 'tick': return onTick(state, event.nowMs, event.random)
  }
}

function onStatus (state: FailoverState, status: ServerStatus, nowMs: number): FailoverState {
  return {
    ...state,
    group: recordStatus(state.group, status, nowMs, state.settings.promotionMethod === 'byLeader' ? 'temporary' : 'permanent'),
    health: recordContact(state.health, status.server, nowMs)
  }
}

function onAnswerPosition (state: FailoverState, server: ServerName, position: Position, nowMs: number): FailoverState {
  return {
    ...state,
    group: recordPosition(state.group, server, position, nowMs),
    health: recordContact(state.health, server, nowMs)
  }
}

// Another host's contact counts as a contact here if it is recent and later than
// the last one here. Otherwise, a server that is unresponsive here, too, is
// probed: an old status does not show whether the server still responds.
function onRelayedStatus (state: FailoverState, status: ServerStatus, heardAgoMs: number, nowMs: number): FailoverState {
  const group = recordStatus(state.group, status, nowMs, state.settings.promotionMethod === 'byLeader' ? 'temporary' : 'permanent')
  const { server } = status
  const lastContactAtMs = state.health[server]?.lastContactAtMs ?? -Infinity
  if (heardAgoMs <= state.settings.reachableForMs && nowMs - heardAgoMs > lastContactAtMs) return { ...state, group, health: recordContact(state.health, server, nowMs - heardAgoMs) }
  const isUnresponsive = nowMs - lastContactAtMs > state.settings.reachableForMs
  return { ...state, group, health: isUnresponsive ? requestProbe(state.health, server) : state.health }
}

function onRankChange (state: FailoverState, rank: number | undefined): FailoverState {
  return { ...state, rank, proposal: rank === undefined ? idleProposal : state.proposal }
}

function onManifestChange (state: FailoverState, database: DatabaseDeclaration): FailoverState {
  return { ...state, group: withServers(state.group, serverNames(database)), active: activeServerNames(database) }
}

function onFenceAnswer (state: FailoverState, event: CallAnswered): FailoverState {
  return { ...state, proposal: recordFenceAnswer(state.proposal, event, state.group.servers.length, event.nowMs) }
}

function onPromotionAnswer (state: FailoverState, event: CallAnswered): FailoverState {
  const { proposal } = state
  if (proposal.kind !== 'promoting' || proposal.term !== event.term || proposal.server !== event.server) return state
  return { ...state, proposal: event.accepted ? idleProposal : { kind: 'failed' } }
}

// A `fence` or `follow` without an answer is sent again. A promotion whose call
// failed is abandoned for a new term, whether or not it took effect.
function onCallFailure (state: FailoverState, event: CallFailed): FailoverState {
  switch (event.call) {
    case 'fence':
    case 'follow': return state
    case 'promote': {
      const { proposal } = state
      const isCurrent = proposal.kind === 'promoting' && proposal.term === event.term && proposal.server === event.server
      return isCurrent ? { ...state, proposal: { kind: 'failed' } } : state
    }
  }
}

function onTick (state: FailoverState, nowMs: number, random: number): Next {
  const wasPaused = state.lastTickMs !== undefined && nowMs - state.lastTickMs > state.settings.localPauseMs
  const health = wasPaused ? resetFailures(state.health) : state.health
  const ticked = scheduleRetry({ ...state, health, lastTickMs: nowMs }, nowMs, random)
  if (ticked.rank === undefined) return withoutEffects(ticked)
  const servers = dueProbes(ticked.health, ticked.group.servers, ticked.settings, nowMs)
  return {
    state: { ...ticked, health: recordProbesSent(ticked.health, servers, nowMs) },
    effects: servers.map(server => ({ kind: 'probe', server }))
  }
}

function scheduleRetry (state: FailoverState, nowMs: number, random: number): FailoverState {
  if (state.proposal.kind !== 'failed') return state
  return { ...state, proposal: idleProposal, retryAtMs: nowMs + random * state.settings.retryJitterMs }
}

function advanceProposal (state: FailoverState, nowMs: number): Next {
  const { proposal } = state
  switch (proposal.kind) {
    case 'failed': return withoutEffects(state)
    case 'idle': return proposeIfNeeded(state, nowMs)
    case 'draining': return continueDraining(state, proposal, nowMs)
    case 'fencing': return continueFencing(state, proposal, nowMs)
    case 'promoting': return continuePromoting(state, proposal, nowMs)
  }
}

function proposeIfNeeded (state: FailoverState, nowMs: number): Next {
  const reason = promotionReason(state, nowMs)
  if (reason === undefined) return withoutEffects({ ...state, failureSinceMs: undefined })
  const failing = { ...state, failureSinceMs: state.failureSinceMs ?? nowMs }
  return canPropose(failing, nowMs) ? propose(failing, reason, nowMs) : withoutEffects(failing)
}

function propose (state: FailoverState, reason: PromotionReason, nowMs: number): Next {
  const term = nextTerm(state)
  const proposing = { ...state, lastProposedTerm: term, failureSinceMs: undefined }
  const { primary } = primaryView(state.group)
  if (reason !== 'leaving' || primary === undefined) return startFencing(proposing, term, nowMs)
  return {
    state: {
      ...proposing,
      retryAtMs: nowMs + state.settings.decommissionRetryMs,
      proposal: { kind: 'draining', term, primary, endPosition: undefined, startedAtMs: nowMs, sentAtMs: nowMs }
    },
    effects: fenceEffects(state, term, [primary])
  }
}

function nextTerm (state: FailoverState): number {
  const { group, lastProposedTerm } = state
  switch (state.settings.promotionMethod) {
    case 'byQuorum': return Math.max(group.highestTerm, lastProposedTerm) + 1
    case 'byLeader': {
      const terms = Object.values(group.lastStatuses).map(({ status }) => status.term ?? status.received.term)
      return Math.max(group.termPrimary?.term ?? 0, ...terms) + 1
    }
  }
}

function startFencing (state: FailoverState, term: number, nowMs: number): Next {
  const proposal: Fencing = { kind: 'fencing', term, accepted: {}, refused: [], startedAtMs: nowMs, sentAtMs: nowMs, majorityAtMs: undefined }
  return { state: { ...state, proposal }, effects: fenceEffects(state, term, state.group.servers) }
}

function fenceEffects (state: FailoverState, term: number, servers: readonly ServerName[]): readonly FailoverEffect[] {
  return servers.map(server => ({ kind: 'fence', server, term, proposer: state.proposer }))
}

function continueDraining (state: FailoverState, proposal: Draining, nowMs: number): Next {
  const { endPosition } = proposal
  const drained = endPosition !== undefined && state.active.some(server => {
    const received = state.group.lastStatuses[server]?.status.received
    return received !== undefined && covers(received, endPosition)
  })
  if (drained || nowMs - proposal.startedAtMs >= state.settings.drainTimeoutMs) return startFencing(state, proposal.term, nowMs)
  if (endPosition !== undefined || nowMs - proposal.sentAtMs < state.settings.resendEveryMs) return withoutEffects(state)
  return { state: { ...state, proposal: { ...proposal, sentAtMs: nowMs } }, effects: fenceEffects(state, proposal.term, [proposal.primary]) }
}

function continueFencing (state: FailoverState, proposal: Fencing, nowMs: number): Next {
  const { settings, group } = state
  const answering = reachableServers(state.health, group.servers, settings, nowMs)
  if (isFencingComplete(proposal, answering, settings, nowMs)) return promote(state, proposal, nowMs)
  if (nowMs - proposal.startedAtMs >= settings.stepTimeoutMs) return withoutEffects({ ...state, proposal: { kind: 'failed' } })
  if (nowMs - proposal.sentAtMs < settings.resendEveryMs) return withoutEffects(state)
  const missing = group.servers.filter(server => !(server in proposal.accepted) && !proposal.refused.includes(server))
  return { state: { ...state, proposal: { ...proposal, sentAtMs: nowMs } }, effects: fenceEffects(state, proposal.term, missing) }
}

function promote (state: FailoverState, proposal: Fencing, nowMs: number): Next {
  const candidates = { servers: state.group.servers, active: state.active, currentPrimary: state.group.termPrimary?.server }
  const server = nextPrimary(proposal.accepted, candidates)
  if (server === undefined) return withoutEffects({ ...state, proposal: { kind: 'failed' } })
  return {
    state: { ...state, proposal: { kind: 'promoting', term: proposal.term, server, startedAtMs: nowMs, sentAtMs: nowMs } },
    effects: [{ kind: 'promote', server, term: proposal.term, proposer: state.proposer }]
  }
}

function continuePromoting (state: FailoverState, proposal: Promoting, nowMs: number): Next {
  const { term, server } = proposal
  if (state.group.termPrimary?.term === term) return withoutEffects({ ...state, proposal: idleProposal })
  if (state.group.highestTerm > term || nowMs - proposal.startedAtMs >= state.settings.stepTimeoutMs) {
    return withoutEffects({ ...state, proposal: { kind: 'failed' } })
  }
  if (nowMs - proposal.sentAtMs < state.settings.resendEveryMs) return withoutEffects(state)
  return {
    state: { ...state, proposal: { ...proposal, sentAtMs: nowMs } },
    effects: [{ kind: 'promote', server, term, proposer: state.proposer }]
  }
}

function announce (state: FailoverState): Next {
  const view = primaryView(state.group)
  if (view.term === state.announcedView.term && view.primary === state.announcedView.primary) return withoutEffects(state)
  const changed: FailoverEffect = { kind: 'primaryChanged', view }
  const effects = shouldPublish(state, view) ? [changed, { kind: 'publish', view } as const] : [changed]
  return { state: { ...state, announcedView: view }, effects }
}
