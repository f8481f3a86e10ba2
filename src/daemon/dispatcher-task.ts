// The home of one server: owns the sessions on it, the open transactions and
// the fair queue in front of its slots, and runs statements through the home's
// pipe.

import { redirected } from '../config/index.js'
import { dispatchPipe, type DispatchReply, type DispatchRequest, type DispatchServices, type Permit } from '../dispatch/index.js'
import type { DatabaseName, ExecuteRequest, HostName, PrimaryView, ServerDeclaration } from '../model/index.js'
import { runPipe } from '../pipe/index.js'
import type { DatabaseDriver } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { DatabaseTask } from './database-task.js'
import { checkServer } from './dispatcher-check.js'
import { startQueue } from './dispatcher-queue.js'
import { ServerPool } from './session-pool.js'
import { Transactions } from './transactions.js'

/** What a home needs. */
export type DispatcherSpec = {
  readonly context: DaemonContext
  readonly databaseName: DatabaseName
  readonly server: ServerDeclaration
  readonly database: DatabaseTask
  readonly onFailure: (failure: string) => void
}

/** The running home of a server. */
export type DispatcherTask = {
  readonly execute: (request: ExecuteRequest) => Promise<DispatchReply>
  /** Statements that run or wait, and open transactions. */
  readonly load: () => number
  /** Ends what runs or waits here for the primary, where the server no longer is it. */
  readonly primaryChanged: (view: PrimaryView) => void
  /** Gives up sessions that may be silent: idle ones, and those whose answers do not come. */
  readonly closeUnresponsive: () => void
  /** Rolls back the transactions whose callers' hosts are gone. */
  readonly rollBackFrom: (silent: ReadonlySet<HostName>) => void
  /** Sets how long a transaction may rest. */
  readonly setIdleTransactionMs: (idleMs: number | undefined) => void
  readonly stop: () => Promise<void>
}

/** Sessions of each home that are kept free of the server's cap, for watches and probes. */
const controlSessions = 12
/** Homes that may share a server while two views of the members differ. */
const sharingHomes = 2
/** Time that a session still has to answer once another one to the same server was found silent. */
const answerGraceMs = 200

/**
 * Starts the home of a server.
 * @param spec - what it needs
 * @returns the running home
 */
export function startDispatcher (spec: DispatcherSpec): DispatcherTask {
  const { context, server } = spec
  const budget = Math.max(1, Math.floor((server.maxConnections - controlSessions) / sharingHomes))
  const pool = new ServerPool(context, {
    address: redirected(context.settings.links, server),
    database: spec.databaseName,
    server: server.name,
    budget,
    onAnswer: (position, askedAtMs) => { spec.database.recordPosition(server.name, position, askedAtMs) },
    onFailure: spec.onFailure
  })
  const transactions = new Transactions(context, Math.max(1, budget - server.slots), session => { pool.discard(session) })
  const queue = startQueue(context, server)
  const { timers } = context
  const services: DispatchServices = {
    nowMs: timers.nowMs,
    pool,
    transactions,
    check: async message => await checkServer({ timers, server, database: spec.database, minPositionCheck: context.ports.driver.minPositionCheck }, message),
    acquirePermit: async message => ownsSession(message, context.ports.driver.locking) ? freeTurn : await queue.requestPermit(message),
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
    load: () => running + transactions.size,
    closeUnresponsive () {
      pool.closeIdle()
      const beforeMs = timers.nowMs()
      timers.after(answerGraceMs, { send: () => { pool.closeStuck(beforeMs); return 'accepted' } })
    },
    primaryChanged (view) {
      const leads = view.primary === server.name
      if (wasPrimary && !leads) {
        queue.rejectWrites()
        pool.closeAll()
      }
      wasPrimary = leads
    },
    setIdleTransactionMs: idleMs => { transactions.setIdleTransactionMs(idleMs) },
    rollBackFrom: silent => { transactions.rollBackFrom(silent) },
    async execute (request) {
      running += 1
      try {
        return await runPipe(pipe, { request, deadlineAtMs: timers.nowMs() + request.remainingMs })
      } finally {
        running -= 1
      }
    },
    stop: async () => {
      transactions.stop()
      pool.close()
      await queue.stop()
    }
  }
}

const freeTurn: Permit = { kind: 'turn', release: () => {} }

// Where transactions hold locks, a statement of an open one never waits in the
// queue: others that wait for its locks may hold all turns. BEGIN does wait, and
// the number of open transactions is bounded for each account and as a whole.
function ownsSession (message: DispatchRequest, locking: DatabaseDriver['locking']): boolean {
  switch (message.request.mode.kind) {
    case 'inTransaction':
    case 'commit': return locking === 'locks'
    case 'rollback': return true
    case 'read':
    case 'write':
    case 'begin': return false
  }
}
