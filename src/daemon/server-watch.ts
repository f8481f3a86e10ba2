// Watches one server: a task that owns one session for waiting on the status
// and one for ledger calls. It reports what it learns and keeps trying; the
// judgement is made elsewhere.

import { originPosition, type Address, type DatabaseName, type ServerName, type ServerStatus } from '../model/index.js'
import { sleep } from '../pipe/index.js'
import { asWireError, type DatabaseSession, type LedgerResponse, type SessionTarget } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** What a watch reports. */
export type WatchReport =
  /** `askedAtMs` is the time before the question was sent. */
  | { readonly kind: 'status', readonly status: ServerStatus, readonly askedAtMs: number }
  | { readonly kind: 'connectionLost' }
  /** The server answers, but has no time for a status. */
  | { readonly kind: 'busy' }
  /** A connection had gone silent and a fresh one works: others may be silent too. */
  | { readonly kind: 'wasSilent' }

/** What a watch tells and asks its owner. */
export type WatchHooks = {
  readonly report: (report: WatchReport) => void
  /** Time until the server should be asked again, where it tells its status only when it is asked. */
  readonly dueInMs: () => number
}

/** A ledger call that changes a server's role. */
export type LedgerCommand =
  | { readonly kind: 'fence', readonly term: number, readonly proposer: string }
  | { readonly kind: 'promote', readonly term: number, readonly proposer: string }
  | { readonly kind: 'follow', readonly term: number, readonly proposer: string, readonly primary: Address }

/** What became of a fresh connection. */
export type ProbeResult =
  | { readonly kind: 'answered', readonly status: ServerStatus }
  | { readonly kind: 'failed', readonly how: 'refused' | 'overdue' }

/** A quiet server still answers this many times in a probe period, so that probes are left to silent ones. */
const answersPerProbe = 1.5
/** An answer that is this late means that the connection is silent. */
const answerTimeoutMs = 400
const reconnectDelayMs = 100
/** Bounds of the time between two looks at whether a status is due. */
const shortestNapMs = 20
const longestNapMs = 300
const callTimeoutMs = 500

/** Watches one server. */
export class ServerWatch {
  readonly #context: DaemonContext
  readonly #report: WatchHooks['report']
  readonly #dueInMs: WatchHooks['dueInMs']
  #commands: Promise<DatabaseSession> | undefined
  #waiting: DatabaseSession | undefined
  #stopped = false
  #silent = false

  /**
   * Starts the watch.
   * @param context - settings and time
   * @param database - the database of the server
   * @param server - name of the server
   * @param address - where it listens
   * @param hooks - told of what is learned, and asked when to look again
   */
  constructor (context: DaemonContext, readonly database: DatabaseName, readonly server: ServerName, readonly address: Address, hooks: WatchHooks) {
    this.#context = context
    this.#report = hooks.report
    this.#dueInMs = hooks.dueInMs
    void this.#watch()
  }

  /**
   * Asks for the status over a session that works.
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
   * Opens a fresh connection and asks for the status.
   * @param timeoutMs - how long login and answer may take
   * @returns what became of it
   */
  async probe (timeoutMs: number): Promise<ProbeResult> {
    const startedAtMs = this.#context.timers.nowMs()
    let session: DatabaseSession | undefined
    try {
      session = await this.#open(timeoutMs)
      const leftMs = Math.max(1, timeoutMs - (this.#context.timers.nowMs() - startedAtMs))
      return { kind: 'answered', status: await session.ledger.status(leftMs) }
    } catch (error) {
      return { kind: 'failed', how: asWireError(error).failure === 'refused' ? 'refused' : 'overdue' }
    } finally {
      session?.close()
    }
  }

  /** Ends the watch and its sessions. */
  stop (): void {
    this.#stopped = true
    this.#waiting?.close()
    void this.#commands?.then(session => { session.close() }, () => {})
  }

  async #watch (): Promise<void> {
    const { timers, random } = this.#context
    while (!this.#stopped) {
      await this.#watchSession().catch(error => { this.#silent ||= asWireError(error).failure === 'overdue' })
      this.#waiting?.close()
      if (this.#stopped) return
      this.#report({ kind: 'connectionLost' })
      await sleep(timers, reconnectDelayMs * (0.5 + random()))
    }
  }

  async #watchSession (): Promise<void> {
    const session = await this.#open(this.#context.settings.limits.connectTimeoutMs)
    this.#waiting = session
    const { nowMs } = this.#context.timers
    const waitMs = this.#context.settings.control.probeMs / answersPerProbe
    let askedAtMs = nowMs()
    let status = await this.#unlessBusy(session.ledger.status(answerTimeoutMs))
    if (this.#silent) this.#report({ kind: 'wasSilent' })
    this.#silent = false
    while (!this.#stopped) {
      this.#report(status === undefined ? { kind: 'busy' } : { kind: 'status', status, askedAtMs })
      const known = status ?? unknownStatus(this.server)
      if (this.#context.ports.driver.statusDelivery === 'polled') await this.#untilDue()
      if (this.#stopped) return
      askedAtMs = nowMs()
      const next = this.#context.ports.driver.statusDelivery === 'polled'
        ? session.ledger.status(answerTimeoutMs)
        : session.ledger.wait(known, waitMs, waitMs + answerTimeoutMs)
      status = await this.#unlessBusy(next)
    }
  }

  async #untilDue (): Promise<void> {
    for (;;) {
      const dueInMs = this.#dueInMs()
      if (dueInMs <= 0 || this.#stopped) return
      await sleep(this.#context.timers, Math.min(Math.max(dueInMs, shortestNapMs), longestNapMs))
    }
  }

  async #unlessBusy (answer: Promise<ServerStatus>): Promise<ServerStatus | undefined> {
    return await answer.catch(error => {
      if (asWireError(error).failure === 'rejected') return undefined
      throw error
    })
  }

  async #call<T> (use: (session: DatabaseSession) => Promise<T>): Promise<T> {
    this.#commands ??= this.#open(callTimeoutMs)
    const opened = this.#commands
    try {
      const session = await opened
      return await use(session)
    } catch (error) {
      // A rejected call says nothing against its session.
      if (asWireError(error).failure === 'rejected') throw error
      if (this.#commands === opened) this.#commands = undefined
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

function unknownStatus (server: ServerName): ServerStatus {
  return { server, role: 'replica', fencedTerm: 0, proposer: '', received: originPosition, applied: originPosition }
}
