// Session pool of one dispatcher on its server. Idle sessions are reused: among
// those that may serve the account, the pool takes the one whose context needs the
// fewest steps to what the statement requires, and among equals the one used last. A
// session in an unknown state is closed and never reused. The number of open sessions
// stays within a budget; when the budget is used up, the idle session released longest
// ago, one of another account, is closed to make room.

import { contextDistance, type ServerSession, type SessionPool, type SessionRequest } from '../dispatch/index.js'
import type { AccountName, Address, DatabaseName, Position, ServerName } from '../model/index.js'
import { sleep } from '../pipe/index.js'
import { asWireError, type DatabaseSession } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** Settings and callbacks of a pool. */
export type PoolSpec = {
  readonly address: Address
  readonly database: DatabaseName
  readonly server: ServerName
  /** Maximum number of open sessions. */
  readonly budget: number
  readonly onAnswer: (position: Position, sentAtMs: number) => void
  /** Called when a login failed. */
  readonly onFailure: (failure: string) => void
}

/** Maximum attempts to end a lost session at its server. */
const maxKillAttempts = 5
const killRetryMs = 300

type IdleSession = {
  readonly session: DatabaseSession
  readonly account: AccountName
}

/** Sessions on one server, within a budget. */
export class ServerPool implements SessionPool {
  readonly #context: DaemonContext
  readonly #spec: PoolSpec
  readonly #idle: IdleSession[] = []
  readonly #accounts = new Map<ServerSession, AccountName>()
  /** Open sessions, and when each was acquired last. */
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
   * @param wish - account of the statement, and the context that it requires
   * @param timeoutMs - time limit of a login
   * @returns the session, or undefined where the login failed or the budget is used up
   */
  async acquire (wish: SessionRequest, timeoutMs: number): Promise<ServerSession | undefined> {
    const idle = this.#takeIdle(wish)
    if (idle !== undefined) return this.#recordAcquired(idle)
    if (this.#closed) return undefined
    if (this.#open.size + this.#opening >= this.#spec.budget && !this.#closeOldestIdle()) return undefined
    return await this.#openOne(wish.account, timeoutMs)
  }

  /**
   * Returns a session to the pool for reuse.
   * @param session - a session outside any transaction
   */
  release (session: ServerSession): void {
    const account = this.#accounts.get(session)
    if (!session.isUsable() || this.#closed || account === undefined) {
      this.discard(session)
      return
    }
    this.#idle.push({ session: session as DatabaseSession, account })
  }

  /**
   * Closes a session.
   * @param session - the session
   */
  discard (session: ServerSession): void {
    const wasOpen = this.#open.delete(session)
    this.#accounts.delete(session)
    const number = wasOpen ? (session as DatabaseSession).connectionId() : undefined
    const wasLost = !session.isUsable()
    session.close()
    if (wasLost && number !== undefined) void this.#kill(number)
  }

  /** Closes the idle sessions; the next statements open new ones. */
  closeIdle (): void {
    for (const { session } of this.#idle.splice(0)) this.discard(session)
  }

  /**
   * Closes sessions in use that got no answer; they are ended at the server, too.
   * @param beforeMs - only sessions acquired up to this time are closed
   */
  closeStuck (beforeMs: number): void {
    for (const [session, acquiredAtMs] of this.#open) {
      if (acquiredAtMs <= beforeMs && !this.#idle.some(idle => idle.session === session)) session.close()
    }
  }

  /** Closes all sessions; statements that run on them are lost. */
  closeAll (): void {
    this.closeIdle()
    for (const session of this.#open.keys()) session.close()
    this.#open.clear()
    this.#accounts.clear()
  }

  /** Closes the idle sessions; sessions in use are closed when they are released. */
  close (): void {
    this.#closed = true
    this.closeIdle()
  }

  #takeIdle (wish: SessionRequest): DatabaseSession | undefined {
    this.#discardUnusable()
    const isShared = this.#context.ports.driver.sessionSharing === 'allAccounts'
    const required = { values: wish.values, prepared: wish.statement.prepared?.statement }
    const fitting = this.#idle.filter(({ account }) => isShared || account === wish.account)
    const nearest = fitting.reduceRight<{ readonly idle: IdleSession, readonly steps: number } | undefined>((best, idle) => {
      const steps = contextDistance(idle.session.context(), required)
      return best !== undefined && best.steps <= steps ? best : { idle, steps }
    }, undefined)
    if (nearest === undefined) return undefined
    this.#idle.splice(this.#idle.indexOf(nearest.idle), 1)
    return nearest.idle.session
  }

  #discardUnusable (): void {
    const unusable = this.#idle.filter(({ session }) => !session.isUsable())
    for (const idle of unusable) {
      this.#idle.splice(this.#idle.indexOf(idle), 1)
      this.discard(idle.session)
    }
  }

  #closeOldestIdle (): boolean {
    const oldest = this.#idle.shift()
    if (oldest === undefined) return false
    this.discard(oldest.session)
    return true
  }

  #recordAcquired (session: DatabaseSession): ServerSession {
    this.#open.set(session, this.#context.timers.nowMs())
    return session
  }

  // A session whose connection was lost may still exist at the server and hold locks.
  async #kill (number: number): Promise<void> {
    const { settings, timers, ports } = this.#context
    for (let attempt = 0; attempt < maxKillAttempts; attempt++) {
      const session = await ports.driver.openSession({ ...this.#spec, account: undefined }, timers, settings.limits.connectTimeoutMs).catch(() => undefined)
      const result = await session?.kill(number, settings.limits.connectTimeoutMs)
      session?.close()
      // The server refuses an unknown number: the session has ended already.
      if (result !== undefined && result.kind !== 'lost') return
      await sleep(timers, killRetryMs)
    }
  }

  async #openOne (account: AccountName, timeoutMs: number): Promise<ServerSession | undefined> {
    const { settings, timers, ports } = this.#context
    this.#opening += 1
    try {
      const session = await ports.driver.openSession({ ...this.#spec, account }, timers, Math.min(timeoutMs, settings.limits.connectTimeoutMs))
      this.#accounts.set(session, account)
      return this.#recordAcquired(session)
    } catch (error) {
      this.#spec.onFailure(asWireError(error).failure)
      return undefined
    } finally {
      this.#opening -= 1
    }
  }
}
