// The sessions of one home on one server. Idle sessions are kept for reuse: of
// those that may serve the account, the one whose context is nearest to what the
// caller has set, and of these the one used last. A session whose state is not
// known is closed, never kept. The number of open sessions stays within the
// budget; where it is used up, an idle session of another account makes room.

import { contextDistance, type ServerSession, type SessionPool, type SessionRequest } from '../dispatch/index.js'
import type { AccountName, Address, DatabaseName, Position, ServerName } from '../model/index.js'
import { sleep } from '../pipe/index.js'
import { asWireError, type DatabaseSession } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** What a pool is made of. */
export type PoolSpec = {
  readonly address: Address
  readonly database: DatabaseName
  readonly server: ServerName
  /** Sessions that may be open at a time. */
  readonly budget: number
  readonly onAnswer: (position: Position, askedAtMs: number) => void
  /** Told that a login failed. */
  readonly onFailure: (failure: string) => void
}

/** Attempts to end a lost session at its server. */
const killAttempts = 5
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
   * @param wish - whose statement is to run, and what it has set
   * @param timeoutMs - how long a login may take
   * @returns the session, or undefined where the server takes none or the budget is used up
   */
  async acquire (wish: SessionRequest, timeoutMs: number): Promise<ServerSession | undefined> {
    const idle = this.#takeIdle(wish)
    if (idle !== undefined) return this.#taken(idle)
    if (this.#closed) return undefined
    if (this.#open.size + this.#opening >= this.#spec.budget && !this.#makeRoom()) return undefined
    return await this.#openOne(wish.account, timeoutMs)
  }

  /**
   * Gives a session back for reuse.
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
    const isNew = this.#open.delete(session)
    this.#accounts.delete(session)
    const number = isNew ? (session as DatabaseSession).connectionId() : undefined
    const wasLost = !session.isUsable()
    session.close()
    if (wasLost && number !== undefined) void this.#kill(number)
  }

  /** Closes the idle sessions; the next statements open fresh ones. */
  closeIdle (): void {
    for (const { session } of this.#idle.splice(0)) this.discard(session)
  }

  /**
   * Closes sessions in use whose answers do not come; they are ended at the server, too.
   * @param beforeMs - those that were taken up to this time
   */
  closeStuck (beforeMs: number): void {
    for (const [session, takenAtMs] of this.#open) {
      if (takenAtMs <= beforeMs && !this.#idle.some(idle => idle.session === session)) session.close()
    }
  }

  /** Closes all sessions; statements that run on them are lost. */
  closeAll (): void {
    this.closeIdle()
    for (const session of this.#open.keys()) session.close()
    this.#open.clear()
    this.#accounts.clear()
  }

  /** Closes the idle sessions; sessions in use are closed when they come back. */
  close (): void {
    this.#closed = true
    this.closeIdle()
  }

  #takeIdle (wish: SessionRequest): DatabaseSession | undefined {
    this.#dropUnusable()
    const isShared = this.#context.ports.driver.sessionSharing === 'allAccounts'
    const fitting = this.#idle.filter(({ account }) => isShared || account === wish.account)
    const nearest = fitting.reduceRight<{ readonly idle: IdleSession, readonly steps: number } | undefined>((best, idle) => {
      const steps = contextDistance(idle.session.context(), wish.values)
      return best !== undefined && best.steps <= steps ? best : { idle, steps }
    }, undefined)
    if (nearest === undefined) return undefined
    this.#idle.splice(this.#idle.indexOf(nearest.idle), 1)
    return nearest.idle.session
  }

  #dropUnusable (): void {
    const unusable = this.#idle.filter(({ session }) => !session.isUsable())
    for (const idle of unusable) {
      this.#idle.splice(this.#idle.indexOf(idle), 1)
      this.discard(idle.session)
    }
  }

  #makeRoom (): boolean {
    const oldest = this.#idle.shift()
    if (oldest === undefined) return false
    this.discard(oldest.session)
    return true
  }

  #taken (session: DatabaseSession): ServerSession {
    this.#open.set(session, this.#context.timers.nowMs())
    return session
  }

  // A session whose connection was lost may live on at the server and hold locks.
  async #kill (number: number): Promise<void> {
    const { settings, timers, ports } = this.#context
    for (let attempt = 0; attempt < killAttempts; attempt++) {
      const session = await ports.driver.openSession({ ...this.#spec, account: undefined }, timers, settings.limits.connectTimeoutMs).catch(() => undefined)
      const result = await session?.kill(number, settings.limits.connectTimeoutMs)
      session?.close()
      // An unknown number is refused: the session has ended by itself.
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
      return this.#taken(session)
    } catch (error) {
      this.#spec.onFailure(asWireError(error).failure)
      return undefined
    } finally {
      this.#opening -= 1
    }
  }
}
