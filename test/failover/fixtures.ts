// Builds databases, statuses and dispatcher states for the tests of failover.

import type { DatabaseDeclaration, ServerStatus } from '../../src/model/index.js'
import { defaultFailoverSettings, failoverStep, initialFailoverState, type FailoverEffect, type FailoverEvent, type FailoverState } from '../../src/failover/index.js'

export function databaseOf (servers: readonly string[], decommissioning: readonly string[] = []): DatabaseDeclaration {
  return {
    name: 'ledger',
    state: 'active',
    servers: servers.map((name, index) => ({
      name,
      ip: '127.0.0.1',
      port: 4000 + index,
      failureDomain: `domain-${index}`,
      slots: 5,
      maxConnections: 75,
      state: decommissioning.includes(name) ? 'leaving' : 'active'
    }))
  }
}

export function statusOf (server: string, changes: Partial<ServerStatus> = {}): ServerStatus {
  const position = { term: 1, index: 10 }
  return { server, role: 'replica', fencedTerm: 1, proposer: 'old', received: position, applied: position, ...changes }
}

export function dispatcherState (rank: number | undefined, database = databaseOf(['a', 'b', 'c'])): FailoverState {
  const initial = initialFailoverState(database, 'me#1', defaultFailoverSettings)
  return failoverStep(initial, { kind: 'ranksChanged', rank, nowMs: 0 }).state
}

export type StepResult = { readonly state: FailoverState, readonly effects: readonly FailoverEffect[] }

/** Applies events in order and collects their effects. */
export function applyEvents (state: FailoverState, events: readonly FailoverEvent[]): StepResult {
  return events.reduce<StepResult>((before, event) => {
    const { state, effects } = failoverStep(before.state, event)
    return { state, effects: [...before.effects, ...effects] }
  }, { state, effects: [] })
}

export function statuses (nowMs: number, ...list: readonly ServerStatus[]): readonly FailoverEvent[] {
  return list.map(status => ({ kind: 'statusReceived', status, nowMs }))
}

export function tickAt (nowMs: number): FailoverEvent {
  return { kind: 'tick', nowMs, random: 0.5 }
}

/** A dispatcher of a healthy database: all servers have reported, and `a` is primary of term 1. */
export function healthyDispatcher (rank: number, nowMs: number, database = databaseOf(['a', 'b', 'c'])): FailoverState {
  return applyEvents(dispatcherState(rank, database), [...statuses(nowMs, statusOf('a', { role: 'primary' }), statusOf('b'), statusOf('c')), tickAt(nowMs)]).state
}

export function effectNames (effects: readonly FailoverEffect[]): readonly string[] {
  return effects.map(effect => 'server' in effect ? `${effect.kind} ${effect.server}` : effect.kind)
}
