// The sessions of one home on one server. Idle sessions are kept for reuse,
// the one used last first; a session that may hold anything of its last user
// is closed, never kept. The number of open sessions stays within the budget.

import type { ServerSession, SessionPool } from '../home/index.js'
import type { Address } from '../model/index.js'
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

/** Sessions on one server, within a budget. */
export class ServerPool implements SessionPool {
  readonly #context: DaemonContext
  readonly #spec: PoolSpec
  readonly #idle: DatabaseSession[] = []
  readonly #open = new Set<ServerSession>()
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
      if (session.usable()) return session
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
    session.close()
    this.#open.delete(session)
  }

  /** Closes the idle sessions; sessions in use are closed when they come back. */
  close (): void {
    this.#closed = true
    for (const session of this.#idle.splice(0)) this.discard(session)
  }

  async #openOne (timeoutMs: number): Promise<ServerSession | undefined> {
    const { settings, timers } = this.#context
    this.#opening += 1
    try {
      const session = await openSession(this.#spec.address, settings.databaseLogin, timers, Math.min(timeoutMs, settings.limits.connectTimeoutMs))
      this.#open.add(session)
      return session
    } catch (error) {
      this.#spec.onFailure(asWireError(error).failure)
      return undefined
    } finally {
      this.#opening -= 1
    }
  }
}
