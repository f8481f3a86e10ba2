// The task of one database at one of its homes: owns what is known of the
// servers, the failover, the writes that wait for a majority and the floors
// that sessions wait for. The decisions are in `database-step`; here are the
// questions to the servers and the calls that change their roles.

import { originPosition, type DatabaseDeclaration, type DatabaseName, type Observation, type Position, type PrimaryView, type ServerName } from '../model/index.js'
import { ask, derivedSnapshot, SnapshotPublisher, pacedTicks, startTask, tickPort, type Port, type Snapshot } from '../pipe/index.js'
import type { PromotionResult } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import { databaseStep, initialState, isUrgent, observationOf, viewOf, type DatabaseEffect, type DatabaseMessage, type DatabaseState, type DatabaseView } from './database-step.js'
import type { LedgerCommand } from './server-watch.js'
import { Watches } from './watches.js'

/** What the task needs. */
export type DatabaseSpec = {
  readonly context: DaemonContext
  readonly database: DatabaseDeclaration
  readonly onPrimaryChanged: (view: PrimaryView) => void
  /** A watched connection had gone silent while fresh ones work; others to that server may be silent. */
  readonly onWasUnresponsive: (server: ServerName) => void
  /** A connection to the server was lost. */
  readonly onConnectionLost: (server: ServerName) => void
  /** Orders the platform to promote a server, where that is its task. */
  readonly orderPromotion: (database: DatabaseName, server: ServerName) => Promise<PromotionResult>
  /** Writes the view to the store; may fail. */
  readonly publish: (view: PrimaryView) => void
}

/** A running database task. */
export type DatabaseTask = {
  readonly view: Snapshot<DatabaseView>
  /** True once a majority has received the position in its own term. */
  readonly awaitQuorum: (position: Position, deadlineAtMs: number) => Promise<boolean>
  /**
   * A floor that covers every write acknowledged before the call. Where the read
   * runs at a primary, that server's own log covers what it holds.
   */
  readonly quorumMinPosition: (runsAt: ServerName | undefined) => Promise<Position | undefined>
  /** A statement was answered. */
  readonly recordPosition: (server: ServerName, position: Position, askedAtMs: number) => void
  /** Another host, which watches the servers, told what it knows. */
  readonly recordObservation: (observation: Observation, askedAtMs: number) => void
  /** What this host knows, for another one. */
  readonly observation: () => Observation
  /** Another host does not reach a server. */
  readonly suspect: (server: ServerName) => void
  readonly changeManifest: (database: DatabaseDeclaration) => void
  readonly changeRank: (rank: number | undefined) => void
  readonly stop: () => Promise<void>
}

const mailboxCapacity = 16384
const tickMs = 40
/** Period of the ticks while nothing waits and no failover is under way. */
const restTickMs = 120
/** Time until the servers that were spared at first are asked, too. */
const askRestMs = 10

/**
 * Starts the task of a database.
 * @param spec - what the task needs
 * @returns the running task
 */
export function startDatabase (spec: DatabaseSpec): DatabaseTask {
  const { context, database } = spec
  const { timers } = context
  const initial = initialState(context, database)
  const published = new SnapshotPublisher(initial)
  const view = derivedSnapshot(published, viewOf)
  const watches = new Watches({ ...spec, view: view.get })
  const task = startTask<DatabaseState, DatabaseMessage, DatabaseEffect>({
    name: `database ${database.name}`,
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError(`database ${database.name}`),
    step: (state, message) => {
      const transition = databaseStep(state, message)
      published.publish(transition.state)
      return transition
    },
    perform: (effect, port) => { perform(spec, watches, effect, port) }
  })
  const cancel = pacedTicks(timers, () => isUrgent(published.get()) ? tickMs : restTickMs, tickPort<DatabaseMessage>(task.port, nowMs => ({ kind: 'tick', nowMs, random: context.random() })))
  watches.change(database.servers, task.port)
  return {
    view,
    awaitQuorum: async (position, deadlineAtMs) => await ask<DatabaseMessage, boolean>(task.port, reply => ({ kind: 'confirm', position, deadlineAtMs, nowMs: timers.nowMs(), reply }), false),
    quorumMinPosition: async runsAt => await ask<DatabaseMessage, Position | undefined>(task.port, reply => ({ kind: 'openFloor', targetServer: runsAt, nowMs: timers.nowMs(), reply }), undefined),
    recordPosition: (server, position, askedAtMs) => { task.port.send({ kind: 'seen', server, position, askedAtMs, nowMs: timers.nowMs() }) },
    recordObservation: (observation, askedAtMs) => { task.port.send({ kind: 'observed', observation, askedAtMs, nowMs: timers.nowMs() }) },
    observation: () => observationOf(view.get(), timers.nowMs()),
    suspect: server => { task.port.send({ kind: 'failover', event: { kind: 'connectionLost', server, nowMs: timers.nowMs() } }) },
    changeManifest: changed => { task.port.send({ kind: 'manifest', database: changed, nowMs: timers.nowMs() }) },
    changeRank: rank => { task.port.send({ kind: 'failover', event: { kind: 'ranksChanged', rank, nowMs: timers.nowMs() } }) },
    stop: async () => {
      cancel()
      watches.stop()
      await task.stop()
    }
  }
}

function perform (spec: DatabaseSpec, watches: Watches, effect: DatabaseEffect, port: Port<DatabaseMessage>): void {
  switch (effect.kind) {
    case 'probe': return void probe(spec.context, watches, effect.server, port)
    case 'fence': return void command(spec.context, watches, effect.server, { kind: 'fence', term: effect.term, proposer: effect.proposer }, port)
    case 'promote': return promote(spec, watches, effect, port)
    case 'follow': return follow(spec.context, watches, effect, port)
    case 'publish': return spec.publish(effect.view)
    case 'primaryChanged': return spec.onPrimaryChanged(effect.view)
    case 'askRound': return askServers(spec.context, watches, effect, port)
    case 'answerConfirm': return effect.reply(effect.hasQuorum)
    case 'answerFloor': return effect.reply(effect.minPosition)
    case 'changeServers': return watches.change(effect.servers, port)
  }
}

async function probe (context: DaemonContext, watches: Watches, server: ServerName, port: Port<DatabaseMessage>): Promise<void> {
  const watch = watches.get(server)
  if (watch === undefined) return
  const askedAtMs = context.timers.nowMs()
  const result = await watch.probe(context.settings.control.probeTimeoutMs)
  const nowMs = context.timers.nowMs()
  switch (result.kind) {
    case 'answered': {
      port.send({ kind: 'failover', event: { kind: 'probeAnswered', server, nowMs } })
      port.send({ kind: 'status', status: result.status, askedAtMs, nowMs })
      break
    }
    case 'failed': {
      port.send({ kind: 'failover', event: { kind: 'probeFailed', server, failure: result.how, nowMs } })
      break
    }
  }
}

async function command (context: DaemonContext, watches: Watches, server: ServerName, call: LedgerCommand, port: Port<DatabaseMessage>): Promise<void> {
  const watch = watches.get(server)
  if (watch === undefined) return
  const { term } = call
  try {
    const { accepted, status } = await watch.command(call)
    port.send({ kind: 'failover', event: { kind: `${call.kind}Answered`, server, term, accepted, status, nowMs: context.timers.nowMs() } })
  } catch {
    port.send({ kind: 'failover', event: { kind: 'callFailed', call: call.kind, server, term, nowMs: context.timers.nowMs() } })
  }
}

function promote (spec: DatabaseSpec, watches: Watches, effect: Extract<DatabaseEffect, { readonly kind: 'promote' }>, port: Port<DatabaseMessage>): void {
  const { server, term, proposer } = effect
  switch (spec.context.ports.promotionMethod.kind) {
    case 'byServers': return void command(spec.context, watches, server, { kind: 'promote', term, proposer }, port)
    case 'byDuty': return void orderPromotion(spec, server, term, port)
  }
}

// Whether an order took effect shows in the server's status.
async function orderPromotion (spec: DatabaseSpec, server: ServerName, term: number, port: Port<DatabaseMessage>): Promise<void> {
  const result = await spec.orderPromotion(spec.database.name, server)
  if (result !== 'refused') return
  port.send({ kind: 'failover', event: { kind: 'callFailed', call: 'promote', server, term, nowMs: spec.context.timers.nowMs() } })
}

function follow (context: DaemonContext, watches: Watches, effect: Extract<DatabaseEffect, { readonly kind: 'follow' }>, port: Port<DatabaseMessage>): void {
  const primary = watches.declaredServer(effect.primary)
  if (primary === undefined) return
  void command(context, watches, effect.server, { kind: 'follow', term: effect.term, proposer: effect.proposer, primary }, port)
}

function askServers (context: DaemonContext, watches: Watches, effect: Extract<DatabaseEffect, { readonly kind: 'askRound' }>, port: Port<DatabaseMessage>): void {
  const { round, targetServer: own, remaining: rest } = effect
  const { timers } = context
  if (own !== undefined) port.send({ kind: 'floor', event: { kind: 'roundAnswered', round, server: own, received: originPosition, nowMs: timers.nowMs() } })
  if (rest.length > 0) timers.after(askRestMs, { send: () => port.send({ kind: 'askRest', round, servers: rest }) })
  const askedAtMs = timers.nowMs()
  for (const server of effect.servers) {
    const failed = (): void => { port.send({ kind: 'floor', event: { kind: 'roundFailed', round, server, nowMs: timers.nowMs() } }) }
    const watch = watches.get(server)
    if (watch === undefined) failed()
    else watch.status().then(status => { port.send({ kind: 'roundStatus', round, status, askedAtMs, nowMs: timers.nowMs() }) }, failed)
  }
}
