// Task of one database on a host that is assigned to it. It owns the last
// reported statuses of the servers, the failover, the writes that wait for a
// quorum and the reads that wait for a minimum position. Decisions are made in
// `database-step`; this module queries the servers and sends the calls that
// change their roles.

import { promotionProgress, type PromotionProgress } from '../failover/index.js'
import { originPosition, type DatabaseDeclaration, type DatabaseName, type Observation, type Position, type PrimaryView, type ServerName } from '../model/index.js'
import { ask, derivedSnapshot, SnapshotPublisher, startTask, type Port, type Snapshot } from '../pipe/index.js'
import type { PromotionResult } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import { databaseDueAtMs, databaseStep, initialState, observationOf, viewOf, waitingAnswers, type DatabaseEffect, type DatabaseMessage, type DatabaseState, type DatabaseView } from './database-step.js'
import type { LedgerCommand } from './server-watch.js'
import { Watches } from './watches.js'

/** Dependencies of the task. */
export type DatabaseSpec = {
  readonly context: DaemonContext
  readonly database: DatabaseDeclaration
  readonly onPrimaryChanged: (view: PrimaryView) => void
  /**
   * A watched connection was unresponsive while a new one works; other
   * connections to that server may be unresponsive, too.
   */
  readonly onWasUnresponsive: (server: ServerName) => void
  /** Whether the status of the servers is needed on this host now. */
  readonly isWatched: () => boolean
  /** A connection to the server was lost. */
  readonly onConnectionLost: (server: ServerName) => void
  /** Orders the platform to promote a server, where the platform does promotions. */
  readonly orderPromotion: (database: DatabaseName, server: ServerName) => Promise<PromotionResult>
  /** Called when the progress of a promotion that this host drives has changed. */
  readonly onPromotionProgress: (database: DatabaseName, progress: PromotionProgress) => void
  /** Writes the view to the store; may fail. */
  readonly publish: (view: PrimaryView) => void
}

/** A running database task. */
export type DatabaseTask = {
  readonly view: Snapshot<DatabaseView>
  /**
   * Waits until a majority of the servers has received the position in the
   * position's own term; false at the deadline, or once no majority can.
   */
  readonly awaitQuorum: (position: Position, deadlineAtMs: number) => Promise<boolean>
  /**
   * Finds a minimum position that covers every write acknowledged before the
   * call. Where the read runs on the primary, the primary's own log need not be
   * queried.
   */
  readonly quorumMinPosition: (targetServer: ServerName | undefined) => Promise<Position | undefined>
  /** Records the position that the answer to a statement carried. */
  readonly recordPosition: (server: ServerName, position: Position, sentAtMs: number) => void
  /** Records the observation of another host, which watches the servers. */
  readonly recordObservation: (observation: Observation, sentAtMs: number) => void
  /** Observation of this host, for other hosts. */
  readonly observation: () => Observation
  /** Another host reports that a server is unresponsive; the server is probed. */
  readonly suspect: (server: ServerName) => void
  readonly changeManifest: (database: DatabaseDeclaration) => void
  readonly changeRank: (rank: number | undefined) => void
  readonly stop: () => Promise<void>
}

const mailboxCapacity = 16384

/**
 * Starts the task of a database.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startDatabase (spec: DatabaseSpec): DatabaseTask {
  const { context, database } = spec
  const { timers } = context
  const initial = initialState(context, database)
  const published = new SnapshotPublisher(initial)
  const view = derivedSnapshot(published, viewOf)
  const watches = new Watches({ ...spec, view: view.get })
  const reportProgress = changeReporter<PromotionProgress>({ kind: 'none' }, progress => { spec.onPromotionProgress(database.name, progress) })
  const task = startTask<DatabaseState, DatabaseMessage, DatabaseEffect>({
    name: `database ${database.name}`,
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError(`database ${database.name}`),
    schedule: { timers, dueAtMs: state => databaseDueAtMs(state, timers.nowMs()), tick: nowMs => ({ kind: 'tick', nowMs, random: context.random() }) },
    step: (state, message) => {
      const transition = databaseStep(state, message)
      published.publish(transition.state)
      if (message.kind === 'tick') reportProgress(promotionProgress(transition.state.failover, message.nowMs))
      return transition
    },
    perform: (effect, port) => { perform(spec, watches, effect, port) },
    answerWaiting: waitingAnswers
  })
  watches.change(database.servers, task.port)
  return {
    view,
    awaitQuorum: (position, deadlineAtMs) => ask<DatabaseMessage, boolean>(task.port, reply => ({ kind: 'awaitQuorum', position, deadlineAtMs, nowMs: timers.nowMs(), reply }), false),
    quorumMinPosition: targetServer => ask<DatabaseMessage, Position | undefined>(task.port, reply => ({ kind: 'quorumMinPosition', targetServer, nowMs: timers.nowMs(), reply }), undefined),
    recordPosition: (server, position, sentAtMs) => { task.port.send({ kind: 'positionObserved', server, position, sentAtMs, nowMs: timers.nowMs() }) },
    recordObservation: (observation, sentAtMs) => { task.port.send({ kind: 'observationReceived', observation, sentAtMs, nowMs: timers.nowMs() }) },
    observation: () => observationOf(view.get(), timers.nowMs()),
    suspect: server => { task.port.send({ kind: 'failover', event: { kind: 'connectionLost', server, nowMs: timers.nowMs() } }) },
    changeManifest: changed => { task.port.send({ kind: 'manifest', database: changed, nowMs: timers.nowMs() }) },
    changeRank: rank => { task.port.send({ kind: 'failover', event: { kind: 'ranksChanged', rank, nowMs: timers.nowMs() } }) },
    stop: async () => {
      watches.stop()
      await task.stop()
    }
  }
}

// Calls `report` with each value that differs from the one before.
function changeReporter<T> (initial: T, report: (value: T) => void): (value: T) => void {
  let last = JSON.stringify(initial)
  return value => {
    const text = JSON.stringify(value)
    if (text === last) return
    last = text
    report(value)
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
    case 'queryRound': return queryServers(spec.context, watches, effect, port)
    case 'answerQuorumWait': return effect.reply(effect.hasQuorum)
    case 'answerMinPosition': return effect.reply(effect.minPosition)
    case 'changeServers': return watches.change(effect.servers, port)
  }
}

async function probe (context: DaemonContext, watches: Watches, server: ServerName, port: Port<DatabaseMessage>): Promise<void> {
  const watch = watches.get(server)
  if (watch === undefined) return
  const sentAtMs = context.timers.nowMs()
  const result = await watch.probe(context.settings.control.probeTimeoutMs)
  const nowMs = context.timers.nowMs()
  switch (result.kind) {
    case 'answered': {
      port.send({ kind: 'failover', event: { kind: 'probeAnswered', server, nowMs } })
      port.send({ kind: 'status', status: result.status, sentAtMs, nowMs })
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
    case 'byQuorum': return void command(spec.context, watches, server, { kind: 'promote', term, proposer }, port)
    case 'byLeader': return void orderPromotion(spec, server, term, port)
  }
}

// Only a refusal is reported here; the server's status shows whether an order took
// effect.
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

function queryServers (context: DaemonContext, watches: Watches, effect: Extract<DatabaseEffect, { readonly kind: 'queryRound' }>, port: Port<DatabaseMessage>): void {
  const { round, targetServer } = effect
  const { timers } = context
  if (targetServer !== undefined) port.send({ kind: 'minPosition', event: { kind: 'roundAnswered', round, server: targetServer, received: originPosition, nowMs: timers.nowMs() } })
  const sentAtMs = timers.nowMs()
  for (const server of effect.servers) {
    const failed = (): void => { port.send({ kind: 'minPosition', event: { kind: 'roundFailed', round, server, nowMs: timers.nowMs() } }) }
    const watch = watches.get(server)
    if (watch === undefined) failed()
    else watch.status().then(status => { port.send({ kind: 'roundStatus', round, status, sentAtMs, nowMs: timers.nowMs() }) }, failed)
  }
}
