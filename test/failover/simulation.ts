// Deterministic simulation of one database: servers that follow the ledger's
// rules, dispatchers that run the decisions, and links that delay, reorder and
// lose messages. Time is virtual and all randomness comes from one seed, so a
// run can be repeated exactly.

import { defaultFailoverSettings, failoverStep, initialFailoverState, primaryView, proposerName, type FailoverEffect, type FailoverEvent, type FailoverState } from '../../src/failover/index.js'
import { covers, type Position, type ServerStatus } from '../../src/model/index.js'
import { emptyStaleness, recordResponse, isWithinStaleness, type StalenessState } from '../../src/request/staleness.js'
import { quorumWaitStep, initialQuorumWait, type QuorumWaitEvent, type QuorumWaitState } from '../../src/request/quorum-wait.js'
import { defaultMinPositionSettings, minPositionStep, initialMinPosition, type MinPositionEvent, type MinPositionState } from '../../src/request/min-position.js'
import { appendCommitted, applyDue, fence, follow, canCommit, newLedger, promote, receive, resumePosition, ship, statusOf, type Ledger, type LedgerCallResult, type Shipment } from '../../standins/database/ledger.js'
import { lastPosition } from '../../standins/database/log.js'
import { databaseOf } from './fixtures.js'
import { Oracle } from './oracle.js'

const tickMs = 20
const statusEveryMs = 40
const pullEveryMs = 10
const callTimeoutMs = 400
const writeDeadlineMs = 1500
const maxUsualDelayMs = 4
const maxLateDelayMs = 300
/** Fraction of the messages that arrive late. */
const lateFraction = 0.02

/** Random numbers uniformly distributed over [0, 1), from a linear congruential generator. */
export function seededRandom (seed: number): () => number {
  let state = (seed * 2654435761 + 1) >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 4294967296
  }
}

type Scheduled = { readonly atMs: number, readonly run: () => void }

type ServerNode = {
  readonly name: string
  readonly lagMs: number
  readonly ledger: Ledger
  /** Position after which it requests entries from its source. */
  readonly pullAfter: Position
}

/** Configuration of a simulation. */
export type SimulationSpec = {
  readonly servers: number
  readonly dispatchers: number
  readonly seed: number
  /** Every dispatcher has rank 0, as if it were the first. */
  readonly sameRank: boolean
}

export class Simulation {
  readonly oracle = new Oracle()
  readonly random: () => number
  readonly serverNames: readonly string[]
  readonly dispatchers: readonly SimulatedDispatcher[]
  readonly #servers = new Map<string, ServerNode>()
  readonly #cuts = new Set<string>()
  readonly #stopped = new Set<string>()
  readonly #deferred = new Map<string, ReadonlyArray<() => void>>()
  #queue: readonly Scheduled[] = []
  #nowMs = 0

  constructor (spec: SimulationSpec) {
    this.random = seededRandom(spec.seed)
    this.serverNames = Array.from({ length: spec.servers }, (_, index) => `s${index}`)
    for (const name of this.serverNames) {
      const ledger = newLedger(name)
      this.#servers.set(name, { name, lagMs: 5 + this.random() * 200, ledger, pullAfter: lastPosition(ledger.log) })
      this.repeat(name, pullEveryMs, () => { this.#pull(name) })
    }
    this.dispatchers = Array.from({ length: spec.dispatchers }, (_, index) => new SimulatedDispatcher(this, `h${index}`, spec.sameRank ? 0 : index))
  }

  get nowMs (): number {
    return this.#nowMs
  }

  get nodes (): readonly string[] {
    return [...this.serverNames, ...this.dispatchers.map(dispatcher => dispatcher.name)]
  }

  ledger (server: string): Ledger {
    return this.#node(server).ledger
  }

  after (delayMs: number, run: () => void): void {
    const atMs = this.#nowMs + delayMs
    const place = this.#queue.findLastIndex(other => other.atMs <= atMs) + 1
    this.#queue = this.#queue.toSpliced(place, 0, { atMs, run })
  }

  repeat (node: string, periodMs: number, run: () => void): void {
    this.after(periodMs * (0.5 + this.random()), () => {
      this.#runOn(node, () => {
        run()
        this.repeat(node, periodMs, run)
      })
    })
  }

  advance (durationMs: number): void {
    const untilMs = this.#nowMs + durationMs
    for (let first = this.#queue[0]; first !== undefined && first.atMs <= untilMs; first = this.#queue[0]) {
      this.#queue = this.#queue.slice(1)
      this.#nowMs = first.atMs
      first.run()
    }
    this.#nowMs = untilMs
  }

  cut (a: string, b: string): void {
    this.#cuts.add(`${a}-${b}`).add(`${b}-${a}`)
  }

  isolate (node: string): void {
    for (const other of this.nodes) this.cut(node, other)
  }

  pause (node: string): void {
    if (!this.#deferred.has(node)) this.#deferred.set(node, [])
  }

  /** Stops a server. Its log is kept; messages in flight to it are lost. */
  kill (server: string): void {
    this.#stopped.add(server)
  }

  heal (): void {
    this.#cuts.clear()
    this.#stopped.clear()
    const runs = [...this.#deferred.values()].flat()
    this.#deferred.clear()
    for (const run of runs) run()
  }

  /** Calls a server; the request or the answer may be lost. */
  call<A> (from: string, server: string, handle: (node: ServerNode) => A, answered: (answer: A) => void, refused: () => void = () => {}): void {
    this.#send(from, server, () => {
      if (this.#stopped.has(server)) return this.#send(server, from, refused)
      this.#applyDue(server)
      const answer = handle(this.#node(server))
      this.#send(server, from, () => { answered(answer) })
    })
  }

  applyLedgerChange (server: string, change: (ledger: Ledger) => LedgerCallResult): { readonly accepted: boolean, readonly status: ServerStatus } {
    const { accepted, ledger } = change(this.ledger(server))
    this.#setLedger(server, ledger)
    if (canCommit(ledger)) this.oracle.recordPromotion(ledger.role.term, ledger)
    return { accepted, status: statusOf(ledger) }
  }

  write (server: string): Position | undefined {
    const { ledger } = this.#node(server)
    if (!canCommit(ledger)) return undefined
    const written = appendCommitted(ledger, ['write'])
    this.#setLedger(server, written)
    const fencedAbove = this.serverNames.filter(name => this.ledger(name).fencedTerm > ledger.role.term).length
    this.oracle.recordWrite(lastPosition(written.log), fencedAbove, this.serverNames.length)
    return lastPosition(written.log)
  }

  #node (server: string): ServerNode {
    const node = this.#servers.get(server)
    if (node === undefined) throw new Error(`no server ${server}`)
    return node
  }

  #setLedger (server: string, ledger: Ledger): void {
    this.#servers.set(server, { ...this.#node(server), ledger })
  }

  #applyDue (server: string): void {
    this.#setLedger(server, applyDue(this.ledger(server), this.#nowMs).ledger)
  }

  #send (from: string, to: string, run: () => void): void {
    const isLate = this.random() < lateFraction
    const delayMs = 0.5 + this.random() * (isLate ? maxLateDelayMs : maxUsualDelayMs)
    this.after(delayMs, () => {
      if (!this.#cuts.has(`${from}-${to}`)) this.#runOn(to, run)
    })
  }

  #runOn (node: string, run: () => void): void {
    const deferred = this.#deferred.get(node)
    if (deferred === undefined) return run()
    this.#deferred.set(node, [...deferred, run])
  }

  #pull (server: string): void {
    const { ledger, pullAfter } = this.#node(server)
    const { role } = ledger
    if (this.#stopped.has(server) || role.kind !== 'replica' || role.source === undefined) return
    this.call(server, role.source.ip, node => ship(node.ledger, role.term, pullAfter), shipment => { this.#onShipment(server, role.term, shipment) })
  }

  #onShipment (server: string, term: number, shipment: Shipment): void {
    const node = this.#node(server)
    switch (shipment.kind) {
      case 'notPrimary': return
      case 'retry': {
        this.#servers.set(server, { ...node, pullAfter: resumePosition(node.ledger, shipment.at) })
        return
      }
      case 'entries': {
        const { ledger } = receive(node.ledger, term, shipment.entries, this.#nowMs + node.lagMs)
        this.#servers.set(server, { ...node, ledger, pullAfter: lastPosition(ledger.log) })
      }
    }
  }
}

/** A dispatcher: runs the decisions and performs their calls to servers. */
export class SimulatedDispatcher {
  readonly name: string
  readonly #simulation: Simulation
  readonly #rank: number
  #incarnation = 1
  #failover: FailoverState
  #quorumWait: QuorumWaitState
  #minPosition: MinPositionState
  #staleness: StalenessState
  #written = new Map<string, Position>()
  #openedAtMs = new Map<string, number>()

  constructor (simulation: Simulation, name: string, rank: number) {
    this.name = name
    this.#simulation = simulation
    this.#rank = rank
    this.#failover = this.#initialFailover()
    this.#quorumWait = initialQuorumWait(simulation.serverNames)
    this.#minPosition = initialMinPosition(simulation.serverNames, defaultMinPositionSettings)
    this.#staleness = emptyStaleness(simulation.serverNames)
    simulation.repeat(name, tickMs, () => { this.#tick() })
    for (const server of simulation.serverNames) simulation.repeat(name, statusEveryMs, () => { this.#queryStatus(server) })
  }

  /** Starts a new incarnation without any state of the one before. */
  restart (): void {
    this.#incarnation += 1
    this.#failover = this.#initialFailover()
    this.#quorumWait = initialQuorumWait(this.#simulation.serverNames)
    this.#minPosition = initialMinPosition(this.#simulation.serverNames, defaultMinPositionSettings)
    this.#staleness = emptyStaleness(this.#simulation.serverNames)
    this.#written = new Map()
    this.#openedAtMs = new Map()
  }

  /** Applies a manifest in which the given server, or none, is decommissioned. */
  declareDecommissioning (server: string | undefined): void {
    const database = databaseOf(this.#simulation.serverNames, server === undefined ? [] : [server])
    this.#stepFailover({ kind: 'manifestChanged', database, nowMs: this.#simulation.nowMs })
  }

  get primary (): string | undefined {
    return primaryView(this.#failover.group).primary
  }

  write (): void {
    const { primary } = primaryView(this.#failover.group)
    if (primary === undefined) return
    this.#callServer(primary, ({ name }) => this.#simulation.write(name), position => {
      if (position === undefined) return
      const id = `${position.term}/${position.index}`
      this.#written.set(id, position)
      this.#stepQuorumWait({ kind: 'pending', id, position, deadlineAtMs: this.#simulation.nowMs + writeDeadlineMs })
    })
  }

  /** Opens a session and reads at each server that has reached the session's minimum position. */
  openSession (): void {
    const id = String(this.#simulation.random())
    this.#openedAtMs.set(id, this.#simulation.nowMs)
    this.#stepMinPosition({ kind: 'requested', id, nowMs: this.#simulation.nowMs })
  }

  readWithStaleness (maxAgeMs: number): void {
    const decidedAtMs = this.#simulation.nowMs
    for (const { status } of Object.values(this.#failover.group.lastStatuses)) {
      if (!isWithinStaleness(this.#staleness, status.applied, maxAgeMs, decidedAtMs)) continue
      this.#callServer(status.server, ({ ledger }) => { this.#simulation.oracle.checkRead(`read with a staleness of ${maxAgeMs}`, ledger, decidedAtMs - maxAgeMs) }, () => {})
    }
  }

  #initialFailover (): FailoverState {
    const proposer = proposerName(this.name, String(this.#incarnation))
    const initial = initialFailoverState(databaseOf(this.#simulation.serverNames), proposer, defaultFailoverSettings)
    return failoverStep(initial, { kind: 'ranksChanged', rank: this.#rank, nowMs: this.#simulation.nowMs }).state
  }

  // Answers to calls of an earlier incarnation are dropped.
  #callServer<A> (server: string, handle: (node: ServerNode) => A, answered: (answer: A) => void, refused: () => void = () => {}): void {
    const calledBy = this.#incarnation
    const isSameIncarnation = (): boolean => calledBy === this.#incarnation
    this.#simulation.call(this.name, server, handle, answer => { if (isSameIncarnation()) answered(answer) }, () => { if (isSameIncarnation()) refused() })
  }

  #tick (): void {
    const { nowMs } = this.#simulation
    this.#stepFailover({ kind: 'tick', nowMs, random: this.#simulation.random() })
    this.#stepQuorumWait({ kind: 'tick', nowMs })
    this.#stepMinPosition({ kind: 'tick', nowMs })
  }

  #queryStatus (server: string): void {
    const sentAtMs = this.#simulation.nowMs
    this.#callServer(server, ({ ledger }) => statusOf(ledger), status => { this.#recordStatus(status, sentAtMs) })
  }

  #recordStatus (status: ServerStatus, sentAtMs: number): void {
    this.#staleness = recordResponse(this.#staleness, status.server, { received: status.received, queriedAtMs: sentAtMs })
    this.#stepQuorumWait({ kind: 'statusReceived', status })
    this.#stepFailover({ kind: 'statusReceived', status, nowMs: this.#simulation.nowMs })
  }

  #stepFailover (event: FailoverEvent): void {
    const { state, effects } = failoverStep(this.#failover, event)
    this.#failover = state
    for (const effect of effects) this.#perform(effect)
  }

  #stepQuorumWait (event: QuorumWaitEvent): void {
    const { state, effects } = quorumWaitStep(this.#quorumWait, event)
    this.#quorumWait = state
    for (const { kind, id } of effects) {
      const position = this.#written.get(id)
      if (kind === 'quorumReached' && position !== undefined) this.#simulation.oracle.recordAcknowledged(position, this.#simulation.nowMs)
    }
  }

  #stepMinPosition (event: MinPositionEvent): void {
    const { state, effects } = minPositionStep(this.#minPosition, event)
    this.#minPosition = state
    for (const effect of effects) {
      switch (effect.kind) {
        case 'startRound': this.#queryRound(effect.round); break
        case 'minPosition': this.#readFrom(effect.position, this.#openedAtMs.get(effect.id) ?? 0); break
        case 'noMinPosition': break
      }
    }
  }

  #queryRound (round: number): void {
    for (const server of this.#simulation.serverNames) {
      this.#callServer(server, ({ ledger }) => lastPosition(ledger.log), received => {
        this.#stepMinPosition({ kind: 'roundAnswered', round, server, received, nowMs: this.#simulation.nowMs })
      })
    }
  }

  #readFrom (minPosition: Position, openedAtMs: number): void {
    for (const { status } of Object.values(this.#failover.group.lastStatuses)) {
      if (!covers(status.applied, minPosition)) continue
      this.#callServer(status.server, ({ ledger }) => { this.#simulation.oracle.checkRead('session read', ledger, openedAtMs) }, () => {})
    }
  }

  #perform (effect: FailoverEffect): void {
    switch (effect.kind) {
      case 'probe': return this.#probe(effect.server)
      case 'fence': return this.#callAndStep('fence', effect.server, effect.term, ledger => fence(ledger, effect.term, effect.proposer))
      case 'promote': return this.#callAndStep('promote', effect.server, effect.term, ledger => promote(ledger, effect.term, effect.proposer))
      case 'follow': return this.#callAndStep('follow', effect.server, effect.term, ledger => follow(ledger, effect.term, effect.proposer, { ip: effect.primary, port: 1 }))
      case 'publish':
      case 'primaryChanged':
    }
  }

  #callAndStep (call: 'fence' | 'promote' | 'follow', server: string, term: number, change: (ledger: Ledger) => LedgerCallResult): void {
    this.#callServer(server, () => this.#simulation.applyLedgerChange(server, change), ({ accepted, status }) => {
      this.#stepFailover({ kind: `${call}Answered`, server, term, accepted, status, nowMs: this.#simulation.nowMs })
    }, () => {
      this.#stepFailover({ kind: 'callFailed', call, server, term, nowMs: this.#simulation.nowMs })
    })
  }

  #probe (server: string): void {
    let isPending = true
    const settle = (event: FailoverEvent): void => {
      if (isPending) this.#stepFailover(event)
      isPending = false
    }
    this.#callServer(server, () => {}, () => { settle({ kind: 'probeAnswered', server, nowMs: this.#simulation.nowMs }) },
      () => { settle({ kind: 'probeFailed', server, failure: 'refused', nowMs: this.#simulation.nowMs }) })
    this.#simulation.after(Math.min(callTimeoutMs, defaultFailoverSettings.probeTimeoutMs), () => {
      settle({ kind: 'probeFailed', server, failure: 'overdue', nowMs: this.#simulation.nowMs })
    })
  }
}
