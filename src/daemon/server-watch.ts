// Task that watches one server. It owns one session for periodic status calls and
// one for ledger calls on demand: status, fence, promote and follow. It reports each
// observation and reconnects after failures. Decisions are made by the task of the
// database.

import { originPosition, type Address, type DatabaseName, type ServerName, type ServerStatus } from '../model/index.js'
import { sleep } from '../pipe/index.js'
import { asWireError, type DatabaseSession, type LedgerResponse, type SessionTarget } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** Reports of a watch. */
export type WatchReport =
  /** `sentAtMs` is the time right before the status call was sent. */
  | { readonly kind: 'status', readonly status: ServerStatus, readonly sentAtMs: number }
  | { readonly kind: 'connectionLost' }
  /** The server answers, but is too busy to report a status. */
  | { readonly kind: 'busy' }
  /**
   * A connection was unresponsive and a new one works: other connections to this
   * server may be unresponsive, too.
   */
  | { readonly kind: 'wasUnresponsive' }

/** Callbacks of a watch to its owner. */
export type WatchHooks = {
  readonly report: (report: WatchReport) => void
  /**
   * Time until the next status call is due, for servers that report their
   * status only when they are queried.
   */
  readonly dueInMs: () => number
}

/** A ledger call that changes a server's role. */
export type LedgerCommand =
  | { readonly kind: 'fence', readonly term: number, readonly proposer: string }
  | { readonly kind: 'promote', readonly term: number, readonly proposer: string }
  | { readonly kind: 'follow', readonly term: number, readonly proposer: string, readonly primary: Address }

/** Result of a probe over a new connection. */
export type ProbeResult =
  | { readonly kind: 'answered', readonly status: ServerStatus }
  | { readonly kind: 'failed', readonly how: 'refused' | 'overdue' }

/**
 * Number of long polls per probe period that a server without changes answers. Above
 * 1, so that a responsive server does not become due for a probe.
 */
const statusesPerProbe = 1.5
/** Time after which a connection without an answer counts as unresponsive. */
const statusTimeoutMs = 400
const reconnectDelayMs = 100
/** Bounds of the time between two checks whether a status call is due. */
const minPollDelayMs = 20
const maxPollDelayMs = 600
const callTimeoutMs = 500

/** Watches one server. */
export class ServerWatch {
  readonly #context: DaemonContext
  readonly #report: WatchHooks['report']
  readonly #dueInMs: WatchHooks['dueInMs']
  #commandSession: Promise<DatabaseSession> | undefined
  #statusSession: DatabaseSession | undefined
  #stopped = false
  #unresponsive = false

  /**
   * Starts the watch.
   * @param context - settings and time
   * @param database - the database of the server
   * @param server - name of the server
   * @param address - where the server listens
   * @param hooks - receives the reports, and returns when the next status call is due
   */
  constructor (context: DaemonContext, readonly database: DatabaseName, readonly server: ServerName, readonly address: Address, hooks: WatchHooks) {
    this.#context = context
    this.#report = hooks.report
    this.#dueInMs = hooks.dueInMs
    void this.#watch()
  }

  /**
   * Queries the status at once, over the session for ledger calls.
   * @returns the status; throws a `WireError`
   */
  async status (): Promise<ServerStatus> {
    return await this.#call(async session => await session.ledger.status(callTimeoutMs))
  }

  /**
   * Sends a ledger call.
   * @param command - the call
   * @returns the server's answer; throws a `WireError`
   */
  async command (command: LedgerCommand): Promise<LedgerResponse> {
    return await this.#call(async ({ ledger }) => {
      switch (command.kind) {
        case 'fence': return await ledger.fence(command.term, command.proposer, callTimeoutMs)
        case 'promote': return await ledger.promote(command.term, command.proposer, callTimeoutMs)
        case 'follow': return await ledger.follow(command.term, command.proposer, command.primary, callTimeoutMs)
      }
    })
  }

  /**
   * Opens a new connection and queries the status.
   * @param timeoutMs - time limit of login and answer together
   * @returns the result of the probe
   */
  async probe (timeoutMs: number): Promise<ProbeResult> {
    const startedAtMs = this.#context.timers.nowMs()
    let session: DatabaseSession | undefined
    try {
      session = await this.#open(timeoutMs)
      const remainingMs = Math.max(1, timeoutMs - (this.#context.timers.nowMs() - startedAtMs))
      return { kind: 'answered', status: await session.ledger.status(remainingMs) }
    } catch (error) {
      return { kind: 'failed', how: asWireError(error).failure === 'refused' ? 'refused' : 'overdue' }
    } finally {
      session?.close()
    }
  }

  /** Ends the watch and its sessions. */
  stop (): void {
    this.#stopped = true
    this.#statusSession?.close()
    void this.#commandSession?.then(session => { session.close() }, () => {})
  }

  async #watch (): Promise<void> {
    const { timers, random } = this.#context
    while (!this.#stopped) {
      await this.#watchSession().catch(error => { this.#unresponsive ||= asWireError(error).failure === 'overdue' })
      this.#statusSession?.close()
      if (this.#stopped) return
      this.#report({ kind: 'connectionLost' })
      await sleep(timers, reconnectDelayMs * (0.5 + random()))
    }
  }

  async #watchSession (): Promise<void> {
    const isPolled = this.#context.ports.driver.statusDelivery === 'polled'
    if (isPolled) await this.#untilDue()
    if (this.#stopped) return
    const session = await this.#open(this.#context.settings.limits.connectTimeoutMs)
    this.#statusSession = session
    const { nowMs } = this.#context.timers
    const waitMs = this.#context.settings.control.probeMs / statusesPerProbe
    let sentAtMs = nowMs()
    let status = await this.#undefinedIfBusy(session.ledger.status(statusTimeoutMs))
    if (this.#unresponsive) this.#report({ kind: 'wasUnresponsive' })
    this.#unresponsive = false
    while (!this.#stopped) {
      this.#report(status === undefined ? { kind: 'busy' } : { kind: 'status', status, sentAtMs })
      const lastStatus = status ?? emptyStatus(this.server)
      if (isPolled) await this.#untilDue()
      if (this.#stopped) return
      sentAtMs = nowMs()
      const next = isPolled
        ? session.ledger.status(statusTimeoutMs)
        : session.ledger.wait(lastStatus, waitMs, waitMs + statusTimeoutMs)
      status = await this.#undefinedIfBusy(next)
    }
  }

  async #untilDue (): Promise<void> {
    for (;;) {
      const dueInMs = this.#dueInMs()
      if (dueInMs <= 0 || this.#stopped) return
      await sleep(this.#context.timers, Math.min(Math.max(dueInMs, minPollDelayMs), maxPollDelayMs))
    }
  }

  async #undefinedIfBusy (answer: Promise<ServerStatus>): Promise<ServerStatus | undefined> {
    return await answer.catch(error => {
      if (asWireError(error).failure === 'rejected') return undefined
      throw error
    })
  }

  async #call<T> (use: (session: DatabaseSession) => Promise<T>): Promise<T> {
    this.#commandSession ??= this.#open(callTimeoutMs)
    const opened = this.#commandSession
    try {
      const session = await opened
      return await use(session)
    } catch (error) {
      // A rejected call is no failure of its session.
      if (asWireError(error).failure === 'rejected') throw error
      if (this.#commandSession === opened) this.#commandSession = undefined
      void opened.then(session => { session.close() }, () => {})
      throw error
    }
  }

  async #open (timeoutMs: number): Promise<DatabaseSession> {
    const { timers, ports } = this.#context
    const target: SessionTarget = { address: this.address, database: this.database, server: this.server, account: undefined }
    return await ports.driver.openSession(target, timers, timeoutMs)
  }
}

function emptyStatus (server: ServerName): ServerStatus {
  return { server, role: 'replica', fencedTerm: 0, proposer: '', received: originPosition, applied: originPosition }
}
