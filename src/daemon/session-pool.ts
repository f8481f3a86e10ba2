// The sessions of one home on one server. Idle sessions are kept for reuse,
// the one used last first; a session that may hold anything of its last user
// is closed, never kept. The number of open sessions stays within the budget.

import type { ServerSession, SessionPool } from '../home/index.js'
import type { Address } from '../model/index.js'
import { sleep } from '../pipe/index.js'
import { asWireError, openSession, type DatabaseSession } from '../wire/index.js'
import type { DaemonContext } from './context.js'

/** What a pool is made of. */
export type PoolSpec = {
  readonly address: Address
  /** Sessions that may be open at a time. */
  readonly budget: number
  /** Told that a login failed. */
  readonly onFailure: (failure: string) => void
}

/** Attempts to end a lost session at its server. */
const killAttempts = 5
const killRetryMs = 300

/** Sessions on one server, within a budget. */
export class ServerPool implements SessionPool {
  readonly #context: DaemonContext
  readonly #spec: PoolSpec
  readonly #idle: DatabaseSession[] = []
  /** Open sessions, and when each was taken last. */
  readonly #open = new Map<ServerSession, number>()
  #opening = 0
  #closed = false

  /**
   * Makes an empty pool.
   * @param context - settings and time
   * @param spec - the server and the budget
   */
  constructor (context: DaemonContext, spec: PoolSpec) {
    this.#context = context
    this.#spec = spec
  }

  /**
   * Takes an idle session or opens one.
   * @param timeoutMs - how long a login may take
   * @returns the session, or undefined where the server takes none or the budget is used up
   */
  async acquire (timeoutMs: number): Promise<ServerSession | undefined> {
    for (let session = this.#idle.pop(); session !== undefined; session = this.#idle.pop()) {
      if (session.usable()) return this.#taken(session)
      this.#open.delete(session)
    }
    if (this.#closed || this.#open.size + this.#opening >= this.#spec.budget) return undefined
    return await this.#openOne(timeoutMs)
  }

  /**
   * Gives a session back for reuse.
   * @param session - a session outside any transaction
   */
  release (session: ServerSession): void {
    if (!session.usable() || this.#closed) {
      this.discard(session)
      return
    }
    this.#idle.push(session as DatabaseSession)
  }

  /**
   * Closes a session.
   * @param session - the session
   */
  discard (session: ServerSession): void {
    const isNew = this.#open.delete(session)
    const number = isNew ? (session as DatabaseSession).number() : undefined
    const wasLost = !session.usable()
    session.close()
    if (wasLost && number !== undefined) void this.#kill(number)
  }

  /** Closes the idle sessions; the next statements open fresh ones. */
  retireIdle (): void {
    for (const session of this.#idle.splice(0)) this.discard(session)
  }

  /**
   * Closes sessions in use whose answers do not come; they are ended at the server, too.
   * @param beforeMs - those that were taken up to this time
   */
  giveUpStuck (beforeMs: number): void {
    for (const [session, takenAtMs] of this.#open) {
      if (takenAtMs <= beforeMs && !this.#idle.includes(session as DatabaseSession)) session.close()
    }
  }

  /** Closes all sessions; statements that run on them are lost. */
  abandon (): void {
    this.retireIdle()
    for (const session of this.#open.keys()) session.close()
    this.#open.clear()
  }

  /** Closes the idle sessions; sessions in use are closed when they come back. */
  close (): void {
    this.#closed = true
    this.retireIdle()
  }

  #taken (session: DatabaseSession): ServerSession {
    this.#open.set(session, this.#context.timers.nowMs())
    return session
  }

  // A session whose connection was lost may live on at the server and hold locks.
  async #kill (number: number): Promise<void> {
    const { settings, timers } = this.#context
    for (let attempt = 0; attempt < killAttempts; attempt++) {
      const session = await openSession(this.#spec.address, settings.databaseLogin, timers, settings.limits.connectTimeoutMs).catch(() => undefined)
      const result = await session?.kill(number, settings.limits.connectTimeoutMs)
      session?.close()
      // An unknown number is refused: the session has ended by itself.
      if (result !== undefined && result.kind !== 'lost') return
      await sleep(timers, killRetryMs)
    }
  }

  async #openOne (timeoutMs: number): Promise<ServerSession | undefined> {
    const { settings, timers } = this.#context
    this.#opening += 1
    try {
      const session = await openSession(this.#spec.address, settings.databaseLogin, timers, Math.min(timeoutMs, settings.limits.connectTimeoutMs))
      return this.#taken(session)
    } catch (error) {
      this.#spec.onFailure(asWireError(error).failure)
      return undefined
    } finally {
      this.#opening -= 1
    }
  }
}
