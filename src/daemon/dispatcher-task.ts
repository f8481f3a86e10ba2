// Dispatcher of one server: owns the sessions on the server, the open transactions
// and the scheduler in front of the server's slots, and runs statements through the
// dispatch pipe.

import { redirectedAddress } from '../config/index.js'
import { dispatchPipe, type DispatchReply, type DispatchRequest, type DispatchServices, type Permit } from '../dispatch/index.js'
import type { DatabaseName, ExecuteRequest, HostName, PrimaryView, ServerDeclaration, ServerLoad } from '../model/index.js'
import { runPipe } from '../pipe/index.js'
import type { DatabaseDriver } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { DatabaseTask } from './database-task.js'
import { checkServer } from './dispatcher-check.js'
import { CallTable } from './call-table.js'
import { startQueue, type QueueLimits } from './dispatcher-queue.js'
import { cancelledPermit, type CallName } from './queue-step.js'
import { ServerPool } from './session-pool.js'
import { Transactions } from './transactions.js'

/** Dependencies of a dispatcher. */
export type DispatcherSpec = {
  readonly context: DaemonContext
  readonly databaseName: DatabaseName
  readonly server: ServerDeclaration
  readonly database: DatabaseTask
  /** See `DispatchServices`. */
  readonly acceptsNewWork: () => boolean
  readonly limits: QueueLimits
  readonly onFailure: (failure: string) => void
}

/** The running dispatcher of a server. */
export type DispatcherTask = {
  readonly execute: (request: ExecuteRequest) => Promise<DispatchReply>
  /**
   * Drops a statement that its entry host no longer needs, unless it has started;
   * returns whether the statement is known.
   */
  readonly cancel: (call: CallName) => boolean
  /** Load of the server, for the replies to the entry hosts. */
  readonly serverLoad: () => ServerLoad
  /** Number of statements that run or wait, plus open transactions. */
  readonly load: () => number
  readonly openTransactions: () => number
  /**
   * Rejects waiting writes and closes all sessions once the server is no longer
   * the primary.
   */
  readonly primaryChanged: (view: PrimaryView) => void
  /**
   * Closes sessions that may be unresponsive: idle ones at once, those in use
   * unless their answers come within the grace time.
   */
  readonly closeUnresponsive: () => void
  /**
   * Records the unresponsive hosts; the transactions whose callers are connected to
   * one are rolled back if it stays unresponsive.
   */
  readonly recordUnresponsive: (unresponsive: ReadonlySet<HostName>) => void
  /** Sets the idle timeout of transactions; undefined: the default. */
  readonly setIdleTransactionMs: (idleMs: number | undefined) => void
  /** Rolls back the open transactions and opens no more; returns how many there were. */
  readonly rollBackTransactions: () => number
  readonly stop: () => Promise<void>
}

/**
 * Connections of the server's limit that session pools leave free for watches
 * and probes.
 */
const reservedSessions = 12
/**
 * Hosts that may dispatch to one server at the same time while membership views
 * differ.
 */
const maxDispatchersPerServer = 2
/**
 * Time left to sessions in use to answer after another connection to the server
 * was found unresponsive.
 */
const responseGraceMs = 200

/**
 * Starts the dispatcher of a server.
 * @param spec - dependencies of the dispatcher
 * @returns the running dispatcher
 */
export function startDispatcher (spec: DispatcherSpec): DispatcherTask {
  const { context, server } = spec
  const budget = Math.max(1, Math.floor((server.maxConnections - reservedSessions) / maxDispatchersPerServer))
  const pool = new ServerPool(context, {
    address: redirectedAddress(context.settings.links, server),
    database: spec.databaseName,
    server: server.name,
    budget,
    onAnswer: (position, sentAtMs) => { spec.database.recordPosition(server.name, position, sentAtMs) },
    onFailure: spec.onFailure
  })
  const transactions = new Transactions(context, Math.max(1, budget - server.slots), session => { pool.discard(session) })
  const queue = startQueue(context, server, spec.limits)
  const calls = new CallTable()
  const { timers } = context
  const services: DispatchServices = {
    nowMs: timers.nowMs,
    pool,
    transactions,
    acceptsNewWork: spec.acceptsNewWork,
    check: async message => await checkServer({ timers, server, database: spec.database, minPositionCheck: context.ports.driver.minPositionCheck }, message),
    acquirePermit: async message => {
      if (calls.isCancelled(message.request)) return cancelledPermit
      if (!bypassesQueue(message, context.ports.driver.locking)) return await queue.requestPermit(message)
      queue.recordStart()
      return noopPermit
    },
    awaitQuorum: async (position, deadlineAtMs) => {
      const latestAtMs = timers.nowMs() + context.settings.limits.confirmTimeoutMs
      return await spec.database.awaitQuorum(position, Math.min(deadlineAtMs, latestAtMs))
    },
    primary: async () => spec.database.view.get().primary,
    applied: async () => spec.database.view.get().statuses.get(server.name)?.applied
  }
  const pipe = dispatchPipe(services)
  let running = 0
  let wasPrimary = spec.database.view.get().primary.primary === server.name
  return {
    cancel (call) {
      const isKnown = calls.cancel(call)
      if (isKnown) queue.cancel(call)
      return isKnown
    },
    serverLoad: () => queue.load(),
    load: () => running + transactions.size,
    openTransactions: () => transactions.size,
    closeUnresponsive () {
      queue.restartPace()
      pool.closeIdle()
      const beforeMs = timers.nowMs()
      timers.after(responseGraceMs, { send: () => { pool.closeStuck(beforeMs); return 'accepted' } })
    },
    primaryChanged (view) {
      const isPrimary = view.primary === server.name
      if (wasPrimary && !isPrimary) {
        queue.rejectWrites()
        pool.closeAll()
      }
      if (!wasPrimary && isPrimary) queue.restartPace()
      wasPrimary = isPrimary
    },
    setIdleTransactionMs: idleMs => { transactions.setIdleTransactionMs(idleMs) },
    rollBackTransactions: () => transactions.rollBackAll(),
    recordUnresponsive: unresponsive => { transactions.recordUnresponsive(unresponsive) },
    async execute (request) {
      running += 1
      calls.add(request)
      try {
        return await runPipe(pipe, { request, deadlineAtMs: timers.nowMs() + request.remainingMs })
      } finally {
        running -= 1
        calls.remove(request)
      }
    },
    stop: async () => {
      transactions.stop()
      pool.close()
      await queue.stop()
    }
  }
}

const noopPermit: Permit = { kind: 'granted', release: () => {} }

// Where transactions hold locks, a statement of an open transaction bypasses the
// queue: statements that wait for its locks may hold all permits, which would be a
// deadlock. BEGIN does wait, and the number of open transactions is bounded for
// each account and in total.
function bypassesQueue (message: DispatchRequest, locking: DatabaseDriver['locking']): boolean {
  switch (message.request.mode.kind) {
    case 'inTransaction':
    case 'commit': return locking === 'locks'
    case 'rollback': return true
    case 'read':
    case 'write':
    case 'begin': return false
  }
}
