// The failover of one database at one of its homes: observe the servers, judge
// the primary, decide on a new one, have it done and told. The terms of the
// servers decide; the store only publishes, so all of this works without it.

import { covers, type DatabaseDeclaration, type Position, type ServerName, type ServerStatus } from '../model/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'
import { bringIntoLine } from './follow.js'
import { learnPosition, learnStatus, primaryView, withServers } from './group-view.js'
import { dueProbes, forgetFailures, recordProbeAnswer, recordProbeFailure, requestProbe, recordProbesSent, reachable, recordContact } from './health.js'
import { causeOf, mayPropose, publishes } from './judge.js'
import { fenceAnswered, fencedEnough, idleProposal, nextPrimary, type Cause, type Draining, type Fencing, type Promoting } from './proposal.js'
import { activeNames, serverNames, type CallAnswered, type CallFailed, type FailoverEffect, type FailoverEvent, type FailoverState } from './state.js'

type Next = Transition<FailoverState, FailoverEffect>

/**
 * The failover decision.
 * @param state - what the home knows
 * @param event - what happened
 * @returns the next state and what to do
 */
export function failoverStep (state: FailoverState, event: FailoverEvent): Next {
  return chain(handle(state, event), [
    next => decide(next, event.nowMs),
    next => bringIntoLine(next, event.nowMs),
    announce
  ])
}

function chain (first: Next, stages: ReadonlyArray<(state: FailoverState) => Next>): Next {
  return stages.reduce((done, stage) => {
    const { state, effects } = stage(done.state)
    return { state, effects: [...done.effects, ...effects] }
  }, first)
}

function handle (state: FailoverState, event: FailoverEvent): Next {
  switch (event.kind) {
    case 'statusReceived': return withoutEffects(observe(state, event.status, event.nowMs))
    case 'answerSeen': return withoutEffects(observeAnswer(state, event.server, event.position, event.nowMs))
    case 'statusRelayed': return withoutEffects(observeRelayed(state, event.status, event.heardAgoMs, event.nowMs))
    case 'connectionLost': return withoutEffects({ ...state, health: requestProbe(state.health, event.server) })
    case 'probeAnswered': return withoutEffects({ ...state, health: recordProbeAnswer(state.health, event.server, event.nowMs) })
    case 'probeFailed': return withoutEffects({ ...state, health: recordProbeFailure(state.health, event.server, event.failure) })
    case 'ranksChanged': return withoutEffects(changeRank(state, event.rank))
    case 'manifestChanged': return withoutEffects(changeManifest(state, event.database))
    case 'fenceAnswered': return withoutEffects(takeFence(observe(state, event.status, event.nowMs), event))
    case 'promoteAnswered': return withoutEffects(takePromotion(observe(state, event.status, event.nowMs), event))
    case 'followAnswered': return withoutEffects(observe(state, event.status, event.nowMs))
    case 'callFailed': return withoutEffects(takeFailure(state, event))
    case 'tick': return tick(state, event.nowMs, event.random)
  }
}

function observe (state: FailoverState, status: ServerStatus, nowMs: number): FailoverState {
  return {
    ...state,
    group: learnStatus(state.group, status, nowMs, state.settings.promotionMethod === 'byDuty' ? 'passing' : 'lasting'),
    health: recordContact(state.health, status.server, nowMs)
  }
}

function observeAnswer (state: FailoverState, server: ServerName, position: Position, nowMs: number): FailoverState {
  return {
    ...state,
    group: learnPosition(state.group, server, position, nowMs),
    health: recordContact(state.health, server, nowMs)
  }
}

// A server that another host has not heard for a while is worth a look.
function observeRelayed (state: FailoverState, status: ServerStatus, heardAgoMs: number, nowMs: number): FailoverState {
  const group = learnStatus(state.group, status, nowMs, state.settings.promotionMethod === 'byDuty' ? 'passing' : 'lasting')
  const { server } = status
  const lastSignAtMs = state.health[server]?.lastContactAtMs ?? -Infinity
  if (heardAgoMs <= state.settings.reachableForMs && nowMs - heardAgoMs > lastSignAtMs) return { ...state, group, health: recordContact(state.health, server, nowMs - heardAgoMs) }
  const isQuiet = nowMs - lastSignAtMs > state.settings.reachableForMs
  return { ...state, group, health: isQuiet ? requestProbe(state.health, server) : state.health }
}

function changeRank (state: FailoverState, rank: number | undefined): FailoverState {
  return { ...state, rank, proposal: rank === undefined ? idleProposal : state.proposal }
}

function changeManifest (state: FailoverState, database: DatabaseDeclaration): FailoverState {
  return { ...state, group: withServers(state.group, serverNames(database)), active: activeNames(database) }
}

function takeFence (state: FailoverState, event: CallAnswered): FailoverState {
  return { ...state, proposal: fenceAnswered(state.proposal, event, state.group.servers.length, event.nowMs) }
}

function takePromotion (state: FailoverState, event: CallAnswered): FailoverState {
  const { proposal } = state
  if (proposal.kind !== 'promoting' || proposal.term !== event.term || proposal.server !== event.server) return state
  return { ...state, proposal: event.accepted ? idleProposal : { kind: 'failed' } }
}

// A fence or a follow without an answer is sent again; a promotion that broke
// off is given up for a new term, whether it took effect or not.
function takeFailure (state: FailoverState, event: CallFailed): FailoverState {
  switch (event.call) {
    case 'fence':
    case 'follow': return state
    case 'promote': {
      const { proposal } = state
      const mine = proposal.kind === 'promoting' && proposal.term === event.term && proposal.server === event.server
      return mine ? { ...state, proposal: { kind: 'failed' } } : state
    }
  }
}

function tick (state: FailoverState, nowMs: number, random: number): Next {
  const paused = state.lastTickMs !== undefined && nowMs - state.lastTickMs > state.settings.ownPauseMs
  const health = paused ? forgetFailures(state.health) : state.health
  const ticked = drawRetry({ ...state, health, lastTickMs: nowMs }, nowMs, random)
  if (ticked.rank === undefined) return withoutEffects(ticked)
  const servers = dueProbes(ticked.health, ticked.group.servers, ticked.settings, nowMs)
  return {
    state: { ...ticked, health: recordProbesSent(ticked.health, servers, nowMs) },
    effects: servers.map(server => ({ kind: 'probe', server }))
  }
}

function drawRetry (state: FailoverState, nowMs: number, random: number): FailoverState {
  if (state.proposal.kind !== 'failed') return state
  return { ...state, proposal: idleProposal, retryAtMs: nowMs + random * state.settings.retrySpreadMs }
}

function decide (state: FailoverState, nowMs: number): Next {
  const { proposal } = state
  switch (proposal.kind) {
    case 'failed': return withoutEffects(state)
    case 'idle': return considerProposal(state, nowMs)
    case 'draining': return goOnDraining(state, proposal, nowMs)
    case 'fencing': return goOnFencing(state, proposal, nowMs)
    case 'promoting': return goOnPromoting(state, proposal, nowMs)
  }
}

function considerProposal (state: FailoverState, nowMs: number): Next {
  const cause = causeOf(state, nowMs)
  if (cause === undefined) return withoutEffects({ ...state, troubleSinceMs: undefined })
  const troubled = { ...state, troubleSinceMs: state.failureSinceMs ?? nowMs }
  return mayPropose(troubled, nowMs) ? propose(troubled, cause, nowMs) : withoutEffects(troubled)
}

function propose (state: FailoverState, cause: Cause, nowMs: number): Next {
  const term = nextTerm(state)
  const proposing = { ...state, lastProposedTerm: term, troubleSinceMs: undefined }
  const { primary } = primaryView(state.group)
  if (cause !== 'leaving' || primary === undefined) return startFencing(proposing, term, nowMs)
  return {
    state: {
      ...proposing,
      retryAtMs: nowMs + state.settings.leavingRetryMs,
      proposal: { kind: 'draining', term, primary, end: undefined, startedAtMs: nowMs, sentAtMs: nowMs }
    },
    effects: fences(state, term, [primary])
  }
}

function nextTerm (state: FailoverState): number {
  const { group, lastProposedTerm } = state
  switch (state.settings.promotionMethod) {
    case 'byServers': return Math.max(group.highestTerm, lastProposedTerm) + 1
    case 'byDuty': {
      const terms = Object.values(group.lastStatuses).map(({ status }) => status.term ?? status.received.term)
      return Math.max(group.termPrimary?.term ?? 0, ...terms) + 1
    }
  }
}

function startFencing (state: FailoverState, term: number, nowMs: number): Next {
  const proposal: Fencing = { kind: 'fencing', term, accepted: {}, refused: [], startedAtMs: nowMs, sentAtMs: nowMs, majorityAtMs: undefined }
  return { state: { ...state, proposal }, effects: fences(state, term, state.group.servers) }
}

function fences (state: FailoverState, term: number, servers: readonly ServerName[]): readonly FailoverEffect[] {
  return servers.map(server => ({ kind: 'fence', server, term, proposer: state.proposer }))
}

function goOnDraining (state: FailoverState, proposal: Draining, nowMs: number): Next {
  const { end } = proposal
  const drained = end !== undefined && state.active.some(server => {
    const received = state.group.lastStatuses[server]?.status.received
    return received !== undefined && covers(received, end)
  })
  if (drained || nowMs - proposal.startedAtMs >= state.settings.drainTimeoutMs) return startFencing(state, proposal.term, nowMs)
  if (end !== undefined || nowMs - proposal.sentAtMs < state.settings.resendEveryMs) return withoutEffects(state)
  return { state: { ...state, proposal: { ...proposal, sentAtMs: nowMs } }, effects: fences(state, proposal.term, [proposal.primary]) }
}

function goOnFencing (state: FailoverState, proposal: Fencing, nowMs: number): Next {
  const { settings, group } = state
  const answering = reachable(state.health, group.servers, settings, nowMs)
  if (fencedEnough(proposal, answering, settings, nowMs)) return promote(state, proposal, nowMs)
  if (nowMs - proposal.startedAtMs >= settings.stepTimeoutMs) return withoutEffects({ ...state, proposal: { kind: 'failed' } })
  if (nowMs - proposal.sentAtMs < settings.resendEveryMs) return withoutEffects(state)
  const missing = group.servers.filter(server => !(server in proposal.accepted) && !proposal.refused.includes(server))
  return { state: { ...state, proposal: { ...proposal, sentAtMs: nowMs } }, effects: fences(state, proposal.term, missing) }
}

function promote (state: FailoverState, proposal: Fencing, nowMs: number): Next {
  const electorate = { servers: state.group.servers, active: state.active, currentPrimary: state.group.termPrimary?.server }
  const server = nextPrimary(proposal.accepted, electorate)
  if (server === undefined) return withoutEffects({ ...state, proposal: { kind: 'failed' } })
  return {
    state: { ...state, proposal: { kind: 'promoting', term: proposal.term, server, startedAtMs: nowMs, sentAtMs: nowMs } },
    effects: [{ kind: 'promote', server, term: proposal.term, proposer: state.proposer }]
  }
}

function goOnPromoting (state: FailoverState, proposal: Promoting, nowMs: number): Next {
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
  if (view.term === state.announced.term && view.primary === state.announced.primary) return withoutEffects(state)
  const changed: FailoverEffect = { kind: 'primaryChanged', view }
  const effects = publishes(state, view) ? [changed, { kind: 'publish', view } as const] : [changed]
  return { state: { ...state, announced: view }, effects }
}
