// Builds databases, statuses and homes for the tests of failover.

import type { DatabaseDeclaration, ServerStatus } from '../../src/model/index.js'
import { defaultFailoverSettings, failoverStep, initialFailoverState, type FailoverEffect, type FailoverEvent, type FailoverState } from '../../src/failover/index.js'

export function databaseOf (servers: readonly string[], leaving: readonly string[] = []): DatabaseDeclaration {
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
      state: leaving.includes(name) ? 'leaving' : 'active'
    }))
  }
}

export function statusOf (server: string, changes: Partial<ServerStatus> = {}): ServerStatus {
  const position = { term: 1, index: 10 }
  return { server, role: 'replica', fencedTerm: 1, proposer: 'old', received: position, applied: position, ...changes }
}

export function homeOf (rank: number | undefined, database = databaseOf(['a', 'b', 'c'])): FailoverState {
  const initial = initialFailoverState(database, 'me#1', defaultFailoverSettings)
  return failoverStep(initial, { kind: 'ranksChanged', rank, nowMs: 0 }).state
}

export type Played = { readonly state: FailoverState, readonly effects: readonly FailoverEffect[] }

/** Plays events in order and gathers their effects. */
export function play (state: FailoverState, events: readonly FailoverEvent[]): Played {
  return events.reduce<Played>((before, event) => {
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

/** A home that saw a healthy database: `a` leads term 1. */
export function settledHome (rank: number, nowMs: number, database = databaseOf(['a', 'b', 'c'])): FailoverState {
  return play(homeOf(rank, database), [...statuses(nowMs, statusOf('a', { role: 'primary' }), statusOf('b'), statusOf('c')), tickAt(nowMs)]).state
}

export function kinds (effects: readonly FailoverEffect[]): readonly string[] {
  return effects.map(effect => 'server' in effect ? `${effect.kind} ${effect.server}` : effect.kind)
}
