// The databases that this host has a duty for: a task for each database of
// which it is the home of a server, and a home for each such server.

import type { DispatchReply } from '../dispatch/index.js'
import { dispatcherRanks, dispatchersOf, rendezvousOrder, type Member } from '../members/index.js'
import { notRun, type DatabaseDeclaration, type DatabaseName, type ExecuteReply, type ExecuteRequest, type HostName, type PrimaryView, type ServerDeclaration, type ServerName } from '../model/index.js'
import type { PromotionResult } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import { startDatabase, type DatabaseTask } from './database-task.js'
import { startDispatcher, type DispatcherTask } from './dispatcher-task.js'

/** What the registry needs. */
export type DatabasesSpec = {
  readonly context: DaemonContext
  readonly onPrimaryChanged: (view: PrimaryView) => void
  readonly publish: (view: PrimaryView) => void
  readonly orderPromotion: (database: DatabaseName, server: ServerName) => Promise<PromotionResult>
  readonly onFailure: (server: ServerName, failure: string) => void
  /** A server does not answer this host. */
  readonly onConnectionLost: (database: DatabaseName, server: ServerName) => void
}

type Unit = {
  readonly declaration: DatabaseDeclaration
  readonly task: DatabaseTask
  readonly homes: ReadonlyMap<ServerName, DispatcherTask>
  /** When the database was last of use here: a duty or a statement. */
  readonly usedAtMs: number
}

/** A database without duty or statement here for this time is let go. */
const unusedMs = 30_000
const sweepMs = 5000
/** Candidates for the home of one server that may take its statements. */
const homeCandidates = 2

/** The databases that this host has a duty for. */
export class Databases {
  readonly #spec: DatabasesSpec
  readonly #units = new Map<DatabaseName, Unit>()
  #declared: ReadonlyMap<DatabaseName, DatabaseDeclaration> = new Map()
  #live: readonly Member[] = []
  #leaving = false
  #holdsDuty = false
  #idleTransactionMs: number | undefined
  #askedAtMs = -Infinity
  #listed: readonly Member[] = []

  /**
   * Makes an empty registry.
   * @param spec - what it needs
   */
  constructor (spec: DatabasesSpec) {
    this.#spec = spec
    spec.context.timers.every(sweepMs, { send: tick => { this.#letGoUnused(tick.nowMs); return 'accepted' } })
  }

  /**
   * Takes the databases of the manifest in force.
   * @param databases - the databases
   */
  applyManifest (databases: readonly DatabaseDeclaration[]): void {
    this.#declared = new Map(databases.map(database => [database.name, database]))
    for (const [name, unit] of this.#units) {
      const declared = this.#declared.get(name)
      if (declared === undefined) void this.#close(name, unit)
      else this.#change(name, unit, declared)
    }
    this.#takeDuties()
  }

  /**
   * Takes whether this host holds the duty of promotions.
   * @param holds - whether it does
   */
  setLeader (holds: boolean): void {
    if (holds === this.#holdsDuty) return
    this.#holdsDuty = holds
    this.#takeDuties()
  }

  /**
   * Sets how long a transaction may rest.
   * @param idleMs - the time; undefined for the default
   */
  setIdleTransactionMs (idleMs: number | undefined): void {
    this.#idleTransactionMs = idleMs
    for (const { homes } of this.#units.values()) {
      for (const home of homes.values()) home.setIdleTransactionMs(idleMs)
    }
  }

  /**
   * Takes the members.
   * @param live - those that answer
   * @param listed - those that there may be
   * @param silent - those that were found silent
   */
  updateMembers (live: readonly Member[], listed: readonly Member[], silent: ReadonlySet<HostName>): void {
    this.#live = live
    this.#listed = listed
    for (const { homes } of this.#units.values()) {
      for (const home of homes.values()) home.rollBackFrom(silent)
    }
    this.#takeDuties()
  }

  /**
   * Runs a statement at a server's home.
   * @param request - the statement
   * @returns the reply
   */
  async execute (request: ExecuteRequest): Promise<ExecuteReply> {
    this.#askedAtMs = this.#spec.context.timers.nowMs()
    const reply = await this.#run(request)
    const view = this.#units.get(request.database)?.task.view.get()
    return {
      ...reply,
      primary: view?.primary ?? { database: request.database, term: 0, primary: undefined },
      applied: view?.statuses.get(request.server)?.applied
    }
  }

  /** Takes no new work from now on; transactions that are open go on. */
  stopAccepting (): void {
    this.#leaving = true
  }

  /**
   * When the last statement came in, for a host that leaves.
   * @returns monotonic milliseconds
   */
  lastRequestAtMs (): number {
    return this.#askedAtMs
  }

  /**
   * The tasks of all databases with a duty here, for reports.
   * @returns database and task
   */
  all (): ReadonlyArray<{ readonly declaration: DatabaseDeclaration, readonly task: DatabaseTask }> {
    return [...this.#units.values()]
  }

  /**
   * The task of a database.
   * @param database - the database
   * @returns the task, or undefined where this host has no duty for it
   */
  task (database: DatabaseName): DatabaseTask | undefined {
    return this.#units.get(database)?.task
  }

  /**
   * Statements and transactions that are under way.
   * @returns the count
   */
  load (): number {
    return [...this.#units.values()].flatMap(unit => [...unit.homes.values()]).reduce((sum, home) => sum + home.load(), 0)
  }

  /** Ends all tasks. */
  async stop (): Promise<void> {
    await Promise.all([...this.#units].map(async ([name, unit]) => { await this.#close(name, unit) }))
  }

  async #run (request: ExecuteRequest): Promise<DispatchReply> {
    if (this.#leaving && !goesOn(request)) return { outcome: notRun('stopping', 'this host is stopping'), transaction: undefined, newest: undefined }
    const home = this.#homeFor(request)
    if (home === undefined) return { outcome: notRun('wrongHome', 'this host is no home of the server'), transaction: undefined, newest: undefined }
    return await home.execute(request)
  }

  #takeDuties (): void {
    for (const [name, declared] of this.#declared) {
      if (declared.servers.length === 0) continue
      if (this.#isHome(declared) || this.#holdsDuty) this.#unitFor(declared)
      this.#units.get(name)?.task.changeRank(this.#rankOf(declared))
    }
  }

  #rankOf (declared: DatabaseDeclaration): number | undefined {
    const { settings, ports } = this.#spec.context
    switch (ports.promotionMethod.kind) {
      case 'byDuty': return this.#holdsDuty ? 0 : undefined
      case 'byServers': {
        const rank = dispatcherRanks(declared, this.#live).indexOf(settings.host.name)
        return rank < 0 ? undefined : rank
      }
    }
  }

  #unitFor (declared: DatabaseDeclaration): Unit {
    const known = this.#units.get(declared.name)
    if (known !== undefined) return known
    const { context, publish, orderPromotion } = this.#spec
    const task = startDatabase({
      context,
      database: declared,
      publish,
      orderPromotion,
      onConnectionLost: server => { this.#spec.onConnectionLost(declared.name, server) },
      onPrimaryChanged: view => { this.#takePrimary(view) },
      onWasUnresponsive: server => { this.#units.get(declared.name)?.homes.get(server)?.closeUnresponsive() }
    })
    const unit: Unit = { declaration: declared, task, homes: new Map(), usedAtMs: context.timers.nowMs() }
    this.#units.set(declared.name, unit)
    return unit
  }

  #takePrimary (view: PrimaryView): void {
    this.#spec.onPrimaryChanged(view)
    for (const home of this.#units.get(view.database)?.homes.values() ?? []) home.primaryChanged(view)
  }

  #homeFor (request: ExecuteRequest): DispatcherTask | undefined {
    const declared = this.#declared.get(request.database)
    const server = declared?.servers.find(one => one.name === request.server)
    if (declared === undefined || server === undefined) return undefined
    const unit = this.#units.get(declared.name)
    const known = unit?.homes.get(server.name)
    if (unit !== undefined) this.#units.set(declared.name, { ...unit, usedAtMs: this.#spec.context.timers.nowMs() })
    if (known !== undefined) return known
    if (!this.#mayBeHome(declared, server)) return undefined
    return this.#openHome(this.#unitFor(declared), server)
  }

  // A duty that has moved ends here once its statements are done.
  #letGoUnused (nowMs: number): void {
    for (const [name, unit] of this.#units) {
      if (this.#isHome(unit.declaration) || this.#holdsDuty) {
        this.#units.set(name, { ...unit, usedAtMs: nowMs })
        continue
      }
      const load = [...unit.homes.values()].reduce((sum, home) => sum + home.load(), 0)
      if (load === 0 && nowMs - unit.usedAtMs >= unusedMs) void this.#close(name, unit)
    }
  }

  #isHome (declared: DatabaseDeclaration): boolean {
    return [...dispatchersOf(declared, this.#live).values()].includes(this.#spec.context.settings.host.name)
  }

  // Views of the members may differ, so the second candidate serves as well.
  #mayBeHome (declared: DatabaseDeclaration, server: ServerDeclaration): boolean {
    const { name: self } = this.#spec.context.settings.host
    if (dispatchersOf(declared, this.#live).get(server.name) === self) return true
    const near = this.#listed.filter(member => member.failureDomain === server.failureDomain)
    const names = (near.length > 0 ? near : this.#listed).map(member => member.host)
    return rendezvousOrder(`home/${declared.name}/${server.name}`, names).slice(0, homeCandidates).includes(self)
  }

  #openHome (unit: Unit, server: ServerDeclaration): DispatcherTask {
    const home = startDispatcher({
      context: this.#spec.context,
      databaseName: unit.declaration.name,
      server,
      database: unit.task,
      onFailure: failure => {
        this.#spec.onFailure(server.name, failure)
        this.#spec.onConnectionLost(unit.declaration.name, server.name)
      }
    })
    home.setIdleTransactionMs(this.#idleTransactionMs)
    this.#units.set(unit.declaration.name, { ...unit, homes: new Map(unit.homes).set(server.name, home) })
    return home
  }

  #change (name: DatabaseName, unit: Unit, declared: DatabaseDeclaration): void {
    if (JSON.stringify(unit.declaration) === JSON.stringify(declared)) return
    unit.task.changeManifest(declared)
    const kept = [...unit.homes].filter(([server, home]) => {
      const same = sameServer(unit.declaration, declared, server)
      if (!same) void home.stop()
      return same
    })
    this.#units.set(name, { ...unit, declaration: declared, homes: new Map(kept) })
  }

  async #close (name: DatabaseName, unit: Unit): Promise<void> {
    this.#units.delete(name)
    await Promise.all([...unit.homes.values()].map(async home => { await home.stop() }))
    await unit.task.stop()
  }
}

// Statements of an open transaction, which only this host can run.
function goesOn (request: ExecuteRequest): boolean {
  switch (request.mode.kind) {
    case 'inTransaction':
    case 'commit':
    case 'rollback': return true
    case 'read':
    case 'write':
    case 'begin': return false
  }
}

function sameServer (before: DatabaseDeclaration, after: DatabaseDeclaration, name: ServerName): boolean {
  const find = (database: DatabaseDeclaration): ServerDeclaration | undefined => database.servers.find(server => server.name === name)
  const [old, fresh] = [find(before), find(after)]
  return old !== undefined && fresh !== undefined && old.ip === fresh.ip && old.port === fresh.port && old.slots === fresh.slots && old.maxConnections === fresh.maxConnections
}
