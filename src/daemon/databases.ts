// The databases that are assigned to this host: one task for each database with a
// server for which this host is the dispatcher, and one dispatcher for each such
// server.

import type { DispatchReply } from '../dispatch/index.js'
import type { PromotionProgress } from '../failover/index.js'
import type { Member } from '../members/index.js'
import { acceptsNewWork, belongsToTransaction, notRun, type DatabaseDeclaration, type DatabaseName, type ExecuteReply, type ExecuteRequest, type HostName, type PeerParams, type PrimaryView, type ServerDeclaration, type ServerLoad, type ServerName } from '../model/index.js'
import { startAlarm, type Alarm } from '../pipe/index.js'
import type { PromotionResult } from '../ports/index.js'
import { Assignments } from './assignments.js'
import { ColdBounds, type ColdBoundsSpec } from './cold-bounds.js'
import type { DaemonContext } from './context.js'
import { runAdmitted, type DelegatedAdmissionSpec } from './delegated-admission.js'
import { startDatabase, type DatabaseTask } from './database-task.js'
import { endCauseOf, type DispatcherEnd } from './dispatcher-end.js'
import { startDispatcher, type DispatcherTask } from './dispatcher-task.js'

/** Dependencies of the databases. */
export type DatabasesSpec = Pick<ColdBoundsSpec, 'onColdLimit' | 'onPaceFall'> & {
  readonly context: DaemonContext
  readonly onPrimaryChanged: (view: PrimaryView) => void
  readonly takeToken: DelegatedAdmissionSpec['takeToken']
  readonly onPromotionProgress: (database: DatabaseName, progress: PromotionProgress) => void
  readonly publish: (view: PrimaryView) => void
  readonly orderPromotion: (database: DatabaseName, server: ServerName) => Promise<PromotionResult>
  readonly onFailure: (server: ServerName, failure: string) => void
  readonly onDispatcherEnded: (end: DispatcherEnd) => void
  /** A connection from this host to the server was lost or could not be opened. */
  readonly onConnectionLost: (database: DatabaseName, server: ServerName) => void
}

type DatabaseEntry = {
  readonly declaration: DatabaseDeclaration
  readonly task: DatabaseTask
  readonly dispatchers: ReadonlyMap<ServerName, DispatcherTask>
  /**
   * Time at which the database was last assigned to this host or had a
   * statement here.
   */
  readonly usedAtMs: number
  /** Time of the last statement for the database that arrived here. */
  readonly requestedAtMs: number
}

/** A database that was not assigned and had no statement for this time is closed. */
const unusedMs = 10_000
const sweepMs = 5000
/** Time after a statement for which the servers of its database are watched. */
const recentRequestMs = 3000
/**
 * Delay of new assignments after a host has joined: more may follow, and each moves
 * assignments. Statements that arrive before open what they need.
 */
const joinDelayMs = 500

const stoppingReply: DispatchReply = { outcome: notRun('stopping', 'this host is stopping'), transaction: undefined, newest: undefined }
const wrongHomeReply: DispatchReply = { outcome: notRun('wrongHome', 'this host does not dispatch for the server'), transaction: undefined, newest: undefined }
const transactionEndedReply: DispatchReply = { outcome: notRun('transactionLost', 'the dispatcher of the transaction has ended'), transaction: undefined, newest: undefined }

/** The dispatcher of a statement, or the reply where this host has none. */
type DispatcherChoice =
  | { readonly kind: 'found', readonly dispatcher: DispatcherTask }
  | { readonly kind: 'none', readonly reply: DispatchReply }

/** The databases that are assigned to this host. */
export class Databases {
  readonly #spec: DatabasesSpec
  readonly #coldBounds: ColdBounds
  readonly #assignments: Assignments
  readonly #entries = new Map<DatabaseName, DatabaseEntry>()
  #declared: ReadonlyMap<DatabaseName, DatabaseDeclaration> = new Map()
  #stopping = false
  #isLeader = false
  #idleTransactionMs: number | undefined
  #lastRequestAtMs = -Infinity
  /** Goes off once no host has joined for a while. */
  readonly #joinsSettled: Alarm

  /**
   * Starts without databases.
   * @param spec - dependencies of the databases
   */
  constructor (spec: DatabasesSpec) {
    this.#spec = spec
    this.#assignments = new Assignments(spec.context.settings.host.name)
    this.#coldBounds = new ColdBounds({ ...spec, declared: name => this.#declared.get(name) })
    this.#joinsSettled = startAlarm(spec.context.timers, { send: () => { this.#updateAssignments(); return 'accepted' } })
    spec.context.timers.every(sweepMs, { send: tick => { this.#closeUnused(tick.nowMs); return 'accepted' } })
  }

  /**
   * Applies the databases of the manifest in force.
   * @param databases - the databases
   */
  applyManifest (databases: readonly DatabaseDeclaration[]): void {
    this.#declared = new Map(databases.map(database => [database.name, database]))
    this.#assignments.applyManifest(databases)
    for (const [name, entry] of this.#entries) {
      const declared = this.#declared.get(name)
      if (declared === undefined) void this.#close(name, entry)
      else this.#change(name, entry, declared)
    }
    this.#updateAssignments()
  }

  /**
   * Sets whether this host is the failover leader.
   * @param isLeader - true while the host holds the leader lease
   */
  setLeader (isLeader: boolean): void {
    if (isLeader === this.#isLeader) return
    this.#isLeader = isLeader
    this.#updateAssignments()
  }

  /**
   * Sets the idle timeout of transactions.
   * @param idleMs - the timeout in milliseconds; undefined for the default
   */
  setIdleTransactionMs (idleMs: number | undefined): void {
    this.#idleTransactionMs = idleMs
    for (const { dispatchers } of this.#entries.values()) {
      for (const dispatcher of dispatchers.values()) dispatcher.setIdleTransactionMs(idleMs)
    }
  }

  /**
   * Applies a change of the members.
   * @param live - members that answer
   * @param listed - all members of the host list
   * @param unresponsive - members that were found unresponsive
   */
  updateMembers (live: readonly Member[], listed: readonly Member[], unresponsive: ReadonlySet<HostName>): void {
    this.#coldBounds.updateMembers(live, unresponsive)
    const hasJoined = this.#assignments.updateMembers(live, listed)
    for (const { dispatchers } of this.#entries.values()) {
      for (const dispatcher of dispatchers.values()) dispatcher.recordUnresponsive(unresponsive)
    }
    if (hasJoined) this.#joinsSettled.set(this.#spec.context.timers.nowMs() + joinDelayMs)
    else this.#updateAssignments()
  }

  /**
   * Runs a statement through the dispatcher of its server.
   * @param request - the statement
   * @returns the reply, with the primary and applied position known here
   */
  async execute (request: ExecuteRequest): Promise<ExecuteReply> {
    this.#lastRequestAtMs = this.#spec.context.timers.nowMs()
    const reply = await runAdmitted({
      nowMs: this.#spec.context.timers.nowMs,
      takeToken: this.#spec.takeToken,
      refusal: statement => this.#refusal(statement),
      run: async statement => await this.#run(statement)
    }, request)
    const view = this.#entries.get(request.database)?.task.view.get()
    return {
      ...reply,
      primary: view?.primary ?? { database: request.database, term: 0, primary: undefined },
      applied: view?.statuses.get(request.server)?.applied,
      serverLoad: this.#entries.get(request.database)?.dispatchers.get(request.server)?.serverLoad()
    }
  }

  /**
   * Drops a statement that waits here and that its entry host no longer needs.
   * @param call - the statement, its database and server
   * @returns whether a dispatcher of this host has the statement
   */
  cancel (call: PeerParams<'cancel'>): boolean {
    return this.#entries.get(call.database)?.dispatchers.get(call.server)?.cancel(call) ?? false
  }

  /**
   * Loads of the servers that this host dispatches for.
   * @returns one for each open dispatcher
   */
  serverLoads (): readonly ServerLoad[] {
    return [...this.#entries.values()].flatMap(entry => [...entry.dispatchers.values()]).map(dispatcher => dispatcher.serverLoad())
  }

  /** Refuses new work from now on; open transactions continue. */
  stopAccepting (): void {
    this.#stopping = true
  }

  /**
   * Rolls back the open transactions, for a planned stop.
   * @returns how many there were
   */
  rollBackTransactions (): number {
    return [...this.#entries.values()].flatMap(entry => [...entry.dispatchers.values()]).reduce((sum, dispatcher) => sum + dispatcher.rollBackTransactions(), 0)
  }

  /**
   * Time of the last statement that arrived, for a planned stop.
   * @returns monotonic milliseconds
   */
  lastRequestAtMs (): number {
    return this.#lastRequestAtMs
  }

  /**
   * Tasks of all databases with state here, for reports and observations.
   * @returns declaration, task and time of the last statement of each database
   */
  all (): ReadonlyArray<{ readonly declaration: DatabaseDeclaration, readonly task: DatabaseTask, readonly requestedAtMs: number }> {
    return [...this.#entries.values()]
  }

  /**
   * Checks whether this host has to know the status of a database's servers: as the
   * failover leader, as the dispatcher of the primary, which watches the servers for
   * the other hosts, or because statements arrive.
   * @param database - the database
   * @returns false where its servers need not be queried
   */
  isWatched (database: DatabaseName): boolean {
    const entry = this.#entries.get(database)
    if (entry === undefined) return false
    const { primary } = entry.task.view.get().primary
    if (this.#isLeader || primary === undefined) return true
    if (this.#spec.context.timers.nowMs() - entry.requestedAtMs < recentRequestMs) return true
    return this.#assignments.isDispatcher(entry.declaration, primary)
  }

  /**
   * Finds the task of a database.
   * @param database - the database
   * @returns the task, or undefined where the database has no task here
   */
  task (database: DatabaseName): DatabaseTask | undefined {
    return this.#entries.get(database)?.task
  }

  /**
   * Number of running statements and open transactions.
   * @returns the count
   */
  load (): number {
    return [...this.#entries.values()].flatMap(entry => [...entry.dispatchers.values()]).reduce((sum, dispatcher) => sum + dispatcher.load(), 0)
  }

  /** Ends all tasks. */
  async stop (): Promise<void> {
    await Promise.all([...this.#entries].map(async ([name, entry]) => { await this.#close(name, entry) }))
  }

  async #run (request: ExecuteRequest): Promise<DispatchReply> {
    const choice = this.#chooseDispatcher(request)
    switch (choice.kind) {
      case 'found': return await choice.dispatcher.execute(request)
      case 'none': return choice.reply
    }
  }

  #refusal (request: ExecuteRequest): DispatchReply | undefined {
    const choice = this.#chooseDispatcher(request)
    return choice.kind === 'none' ? choice.reply : undefined
  }

  // An open transaction ends with its dispatcher, so no other one can continue it.
  #chooseDispatcher (request: ExecuteRequest): DispatcherChoice {
    const isOpen = belongsToTransaction(request.mode)
    if (!isOpen && this.#stopping) return { kind: 'none', reply: stoppingReply }
    const dispatcher = isOpen ? this.#openDispatcherOf(request) : this.#dispatcherFor(request)
    if (dispatcher !== undefined) return { kind: 'found', dispatcher }
    return { kind: 'none', reply: isOpen ? transactionEndedReply : wrongHomeReply }
  }

  #updateAssignments (): void {
    for (const [name, declared] of this.#declared) {
      if (declared.servers.length === 0) continue
      if (this.#assignments.isAssigned(declared) || this.#isLeader) this.#entryFor(declared)
      this.#entries.get(name)?.task.changeRank(this.#rankOf(declared))
    }
  }

  #rankOf (declared: DatabaseDeclaration): number | undefined {
    switch (this.#spec.context.ports.promotionMethod.kind) {
      case 'byLeader': return this.#isLeader ? 0 : undefined
      case 'byQuorum': return this.#assignments.rankOf(declared)
    }
  }

  #entryFor (declared: DatabaseDeclaration): DatabaseEntry {
    const existing = this.#entries.get(declared.name)
    if (existing !== undefined) return existing
    const { context, publish, orderPromotion, onPromotionProgress } = this.#spec
    const task = startDatabase({
      context,
      database: declared,
      publish,
      orderPromotion,
      onPromotionProgress,
      isWatched: () => this.isWatched(declared.name),
      onConnectionLost: server => { this.#spec.onConnectionLost(declared.name, server) },
      onPrimaryChanged: view => { this.#notifyPrimary(view) },
      onWasUnresponsive: server => { this.#entries.get(declared.name)?.dispatchers.get(server)?.closeUnresponsive() }
    })
    const entry: DatabaseEntry = { declaration: declared, task, dispatchers: new Map(), usedAtMs: context.timers.nowMs(), requestedAtMs: -Infinity }
    this.#entries.set(declared.name, entry)
    return entry
  }

  #notifyPrimary (view: PrimaryView): void {
    this.#spec.onPrimaryChanged(view)
    for (const dispatcher of this.#entries.get(view.database)?.dispatchers.values() ?? []) dispatcher.primaryChanged(view)
  }

  #dispatcherFor (request: ExecuteRequest): DispatcherTask | undefined {
    const declared = this.#declared.get(request.database)
    const server = declared?.servers.find(one => one.name === request.server)
    if (declared === undefined || server === undefined || this.#isLeftToAssigned(declared, server)) return undefined
    const existing = this.#openDispatcherOf(request)
    if (existing !== undefined) return existing
    return this.#assignments.isCandidate(declared, server.name) ? this.#openDispatcher(this.#entryFor(declared), server) : undefined
  }

  #openDispatcherOf ({ database, server }: ExecuteRequest): DispatcherTask | undefined {
    const entry = this.#entries.get(database)
    const nowMs = this.#spec.context.timers.nowMs()
    if (entry !== undefined) this.#entries.set(database, { ...entry, usedAtMs: nowMs, requestedAtMs: nowMs })
    return entry?.dispatchers.get(server)
  }

  // Two hosts together may use the bound of a cold server; a candidate that is not
  // assigned would be a third one.
  #isLeftToAssigned (declared: DatabaseDeclaration, server: ServerDeclaration): boolean {
    return this.#coldBounds.isCold(declared, server) && !this.#assignments.isDispatcher(declared, server.name)
  }

  #declaredServer (database: DatabaseName, server: ServerName): ServerDeclaration | undefined {
    return this.#declared.get(database)?.servers.find(({ name }) => name === server)
  }

  // Closes databases that are assigned to other hosts now, once their statements
  // are done.
  #closeUnused (nowMs: number): void {
    for (const [name, entry] of this.#entries) {
      if (this.#assignments.isAssigned(entry.declaration) || this.#isLeader) {
        this.#entries.set(name, { ...entry, usedAtMs: nowMs })
        continue
      }
      const load = [...entry.dispatchers.values()].reduce((sum, dispatcher) => sum + dispatcher.load(), 0)
      if (load === 0 && nowMs - entry.usedAtMs >= unusedMs) void this.#close(name, entry)
    }
  }

  #openDispatcher (entry: DatabaseEntry, server: ServerDeclaration): DispatcherTask {
    const dispatcher = startDispatcher({
      context: this.#spec.context,
      databaseName: entry.declaration.name,
      server,
      database: entry.task,
      acceptsNewWork: () => acceptsNewWork(this.#declaredServer(entry.declaration.name, server.name), this.#spec.context.timers.nowMs()),
      limits: this.#coldBounds.limitsOf(entry.declaration.name, server.name),
      onFailure: failure => {
        this.#spec.onFailure(server.name, failure)
        this.#spec.onConnectionLost(entry.declaration.name, server.name)
      }
    })
    dispatcher.setIdleTransactionMs(this.#idleTransactionMs)
    this.#entries.set(entry.declaration.name, { ...entry, dispatchers: new Map(entry.dispatchers).set(server.name, dispatcher) })
    return dispatcher
  }

  #change (name: DatabaseName, entry: DatabaseEntry, declared: DatabaseDeclaration): void {
    if (JSON.stringify(entry.declaration) === JSON.stringify(declared)) return
    entry.task.changeManifest(declared)
    const kept = [...entry.dispatchers].filter(([server, dispatcher]) => {
      const cause = endCauseOf(entry.declaration, declared, server)
      if (cause !== undefined) void this.#end({ database: name, server, cause }, dispatcher)
      return cause === undefined
    })
    this.#entries.set(name, { ...entry, declaration: declared, dispatchers: new Map(kept) })
  }

  async #close (name: DatabaseName, entry: DatabaseEntry): Promise<void> {
    this.#entries.delete(name)
    await Promise.all([...entry.dispatchers].map(async ([server, dispatcher]) => { await this.#end({ database: name, server, cause: 'databaseClosed' }, dispatcher) }))
    await entry.task.stop()
  }

  async #end (end: Omit<DispatcherEnd, 'transactions'>, dispatcher: DispatcherTask): Promise<void> {
    this.#spec.onDispatcherEnded({ ...end, transactions: dispatcher.openTransactions() })
    await dispatcher.stop()
  }
}
