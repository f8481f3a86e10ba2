// A small model of one database: servers that keep the ledger's rules, homes
// that run the decisions, and links that delay, reorder and lose messages.
// Time is virtual and every draw comes from a seed, so a run repeats exactly.

import { defaultFailoverSettings, failoverStep, initialFailoverState, primaryView, proposerName, type FailoverEffect, type FailoverEvent, type FailoverState } from '../../src/failover/index.js'
import { covers, type Position, type ServerStatus } from '../../src/model/index.js'
import { emptyStaleness, recordResponse, isWithinStaleness, type StalenessState } from '../../src/request/staleness.js'
import { quorumWaitStep, initialQuorumWait, type QuorumWaitEvent, type QuorumWaitState } from '../../src/request/quorum-wait.js'
import { defaultMinPositionSettings, minPositionStep, initialMinPosition, type MinPositionEvent, type MinPositionState } from '../../src/request/min-position.js'
import { appendCommitted, applyDue, fence, follow, mayCommit, newLedger, promote, receive, resumeAt, ship, statusOf, type Ledger, type Ruling, type Shipment } from '../../standins/database/ledger.js'
import { lastPosition } from '../../standins/database/log.js'
import { databaseOf } from './fixtures.js'
import { Oracle } from './oracle.js'

const tickMs = 20
const statusEveryMs = 40
const pullEveryMs = 10
const callTimeoutMs = 400
const writeDeadlineMs = 1500
const usualDelayMs = 4
const lateDelayMs = 300
/** Part of the messages that is late. */
const lateShare = 0.02

/** Draws evenly from [0, 1); a linear congruential generator. */
export function drawsFrom (seed: number): () => number {
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
  readonly pullAfter: Position
}

/** What the model is made of. */
export type WorldSpec = {
  readonly servers: number
  readonly homes: number
  readonly seed: number
  /** Every home takes itself for the first one. */
  readonly sameRank: boolean
}

export class World {
  readonly oracle = new Oracle()
  readonly draw: () => number
  readonly serverNames: readonly string[]
  readonly homes: readonly Home[]
  readonly #servers = new Map<string, ServerNode>()
  readonly #cuts = new Set<string>()
  readonly #down = new Set<string>()
  readonly #paused = new Map<string, ReadonlyArray<() => void>>()
  #queue: readonly Scheduled[] = []
  #nowMs = 0

  constructor (spec: WorldSpec) {
    this.draw = drawsFrom(spec.seed)
    this.serverNames = Array.from({ length: spec.servers }, (_, index) => `s${index}`)
    for (const name of this.serverNames) {
      const ledger = newLedger(name)
      this.#servers.set(name, { name, lagMs: 5 + this.draw() * 200, ledger, pullAfter: lastPosition(ledger.log) })
      this.repeat(name, pullEveryMs, () => { this.#pull(name) })
    }
    this.homes = Array.from({ length: spec.homes }, (_, index) => new Home(this, `h${index}`, spec.sameRank ? 0 : index))
  }

  get nowMs (): number {
    return this.#nowMs
  }

  get nodes (): readonly string[] {
    return [...this.serverNames, ...this.homes.map(home => home.name)]
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
    this.after(periodMs * (0.5 + this.draw()), () => {
      this.#on(node, () => {
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
    if (!this.#paused.has(node)) this.#paused.set(node, [])
  }

  /** Its log outlasts it; messages under way to it are lost. */
  kill (server: string): void {
    this.#down.add(server)
  }

  heal (): void {
    this.#cuts.clear()
    this.#down.clear()
    const paused = [...this.#paused.values()].flat()
    this.#paused.clear()
    for (const run of paused) run()
  }

  /** Sends a question to a server; the answer may be lost on either way. */
  ask<A> (from: string, server: string, handle: (node: ServerNode) => A, answered: (answer: A) => void, refused: () => void = () => {}): void {
    this.#send(from, server, () => {
      if (this.#down.has(server)) return this.#send(server, from, refused)
      this.#apply(server)
      const answer = handle(this.#node(server))
      this.#send(server, from, () => { answered(answer) })
    })
  }

  rule (server: string, change: (ledger: Ledger) => Ruling): { readonly accepted: boolean, readonly status: ServerStatus } {
    const { accepted, ledger } = change(this.ledger(server))
    this.#setLedger(server, ledger)
    if (mayCommit(ledger)) this.oracle.promoted(ledger.role.term, ledger)
    return { accepted, status: statusOf(ledger) }
  }

  write (server: string): Position | undefined {
    const { ledger } = this.#node(server)
    if (!mayCommit(ledger)) return undefined
    const written = appendCommitted(ledger, ['write'])
    this.#setLedger(server, written)
    const fencedAbove = this.serverNames.filter(name => this.ledger(name).fencedTerm > ledger.role.term).length
    this.oracle.written(lastPosition(written.log), fencedAbove, this.serverNames.length)
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

  #apply (server: string): void {
    this.#setLedger(server, applyDue(this.ledger(server), this.#nowMs).ledger)
  }

  #send (from: string, to: string, run: () => void): void {
    const late = this.draw() < lateShare
    const delayMs = 0.5 + this.draw() * (late ? lateDelayMs : usualDelayMs)
    this.after(delayMs, () => {
      if (!this.#cuts.has(`${from}-${to}`)) this.#on(to, run)
    })
  }

  #on (node: string, run: () => void): void {
    const deferred = this.#paused.get(node)
    if (deferred === undefined) return run()
    this.#paused.set(node, [...deferred, run])
  }

  #pull (server: string): void {
    const { ledger, pullAfter } = this.#node(server)
    const { role } = ledger
    if (this.#down.has(server) || role.kind !== 'replica' || role.source === undefined) return
    this.ask(server, role.source.ip, node => ship(node.ledger, role.term, pullAfter), shipment => { this.#take(server, role.term, shipment) })
  }

  #take (server: string, term: number, shipment: Shipment): void {
    const node = this.#node(server)
    switch (shipment.kind) {
      case 'notPrimary': return
      case 'retry': {
        this.#servers.set(server, { ...node, pullAfter: resumeAt(node.ledger, shipment.at) })
        return
      }
      case 'entries': {
        const { ledger } = receive(node.ledger, term, shipment.entries, this.#nowMs + node.lagMs)
        this.#servers.set(server, { ...node, ledger, pullAfter: lastPosition(ledger.log) })
      }
    }
  }
}

/** A home: the decisions, and the questions that they ask of servers. */
export class Home {
  readonly name: string
  readonly #world: World
  readonly #rank: number
  #incarnation = 1
  #failover: FailoverState
  #confirm: QuorumWaitState
  #floor: MinPositionState
  #age: StalenessState
  #written = new Map<string, Position>()
  #openedAtMs = new Map<string, number>()

  constructor (world: World, name: string, rank: number) {
    this.name = name
    this.#world = world
    this.#rank = rank
    this.#failover = this.#firstFailover()
    this.#confirm = initialQuorumWait(world.serverNames)
    this.#floor = initialMinPosition(world.serverNames, defaultMinPositionSettings)
    this.#age = emptyStaleness(world.serverNames)
    world.repeat(name, tickMs, () => { this.#tick() })
    for (const server of world.serverNames) world.repeat(name, statusEveryMs, () => { this.#askStatus(server) })
  }

  /** A new process that knows nothing of the one before. */
  restart (): void {
    this.#incarnation += 1
    this.#failover = this.#firstFailover()
    this.#confirm = initialQuorumWait(this.#world.serverNames)
    this.#floor = initialMinPosition(this.#world.serverNames, defaultMinPositionSettings)
    this.#age = emptyStaleness(this.#world.serverNames)
    this.#written = new Map()
    this.#openedAtMs = new Map()
  }

  /** The manifest of this home says that a server is leaving, or none. */
  declareLeaving (server: string | undefined): void {
    const database = databaseOf(this.#world.serverNames, server === undefined ? [] : [server])
    this.#failedOver({ kind: 'manifestChanged', database, nowMs: this.#world.nowMs })
  }

  get primary (): string | undefined {
    return primaryView(this.#failover.group).primary
  }

  write (): void {
    const { primary } = primaryView(this.#failover.group)
    if (primary === undefined) return
    this.#ask(primary, ({ name }) => this.#world.write(name), position => {
      if (position === undefined) return
      const id = `${position.term}/${position.index}`
      this.#written.set(id, position)
      this.#confirmed({ kind: 'waiting', id, position, deadlineAtMs: this.#world.nowMs + writeDeadlineMs })
    })
  }

  /** Opens a session and reads in it where its floor is reached. */
  openSession (): void {
    const id = String(this.#world.draw())
    this.#openedAtMs.set(id, this.#world.nowMs)
    this.#floored({ kind: 'asked', id, nowMs: this.#world.nowMs })
  }

  readAged (maxAgeMs: number): void {
    const decidedAtMs = this.#world.nowMs
    for (const { status } of Object.values(this.#failover.group.lastStatuses)) {
      if (!isWithinStaleness(this.#age, status.applied, maxAgeMs, decidedAtMs)) continue
      this.#ask(status.server, ({ ledger }) => { this.#world.oracle.read(`read of age ${maxAgeMs}`, ledger, decidedAtMs - maxAgeMs) }, () => {})
    }
  }

  #firstFailover (): FailoverState {
    const proposer = proposerName(this.name, String(this.#incarnation))
    const initial = initialFailoverState(databaseOf(this.#world.serverNames), proposer, defaultFailoverSettings)
    return failoverStep(initial, { kind: 'ranksChanged', rank: this.#rank, nowMs: this.#world.nowMs }).state
  }

  // Answers to an earlier incarnation are lost with it.
  #ask<A> (server: string, handle: (node: ServerNode) => A, answered: (answer: A) => void, refused: () => void = () => {}): void {
    const asked = this.#incarnation
    const isSame = (): boolean => asked === this.#incarnation
    this.#world.ask(this.name, server, handle, answer => { if (isSame()) answered(answer) }, () => { if (isSame()) refused() })
  }

  #tick (): void {
    const { nowMs } = this.#world
    this.#failedOver({ kind: 'tick', nowMs, random: this.#world.draw() })
    this.#confirmed({ kind: 'tick', nowMs })
    this.#floored({ kind: 'tick', nowMs })
  }

  #askStatus (server: string): void {
    const askedAtMs = this.#world.nowMs
    this.#ask(server, ({ ledger }) => statusOf(ledger), status => { this.#learn(status, askedAtMs) })
  }

  #learn (status: ServerStatus, askedAtMs: number): void {
    this.#age = recordResponse(this.#age, status.server, { received: status.received, queriedAtMs: askedAtMs })
    this.#confirmed({ kind: 'statusReceived', status })
    this.#failedOver({ kind: 'statusReceived', status, nowMs: this.#world.nowMs })
  }

  #failedOver (event: FailoverEvent): void {
    const { state, effects } = failoverStep(this.#failover, event)
    this.#failover = state
    for (const effect of effects) this.#perform(effect)
  }

  #confirmed (event: QuorumWaitEvent): void {
    const { state, effects } = quorumWaitStep(this.#confirm, event)
    this.#confirm = state
    for (const { kind, id } of effects) {
      const position = this.#written.get(id)
      if (kind === 'confirmed' && position !== undefined) this.#world.oracle.acknowledge(position, this.#world.nowMs)
    }
  }

  #floored (event: MinPositionEvent): void {
    const { state, effects } = minPositionStep(this.#floor, event)
    this.#floor = state
    for (const effect of effects) {
      switch (effect.kind) {
        case 'startRound': this.#askRound(effect.round); break
        case 'floor': this.#readAbove(effect.position, this.#openedAtMs.get(effect.id) ?? 0); break
        case 'noFloor': break
      }
    }
  }

  #askRound (round: number): void {
    for (const server of this.#world.serverNames) {
      this.#ask(server, ({ ledger }) => lastPosition(ledger.log), received => {
        this.#floored({ kind: 'roundAnswered', round, server, received, nowMs: this.#world.nowMs })
      })
    }
  }

  #readAbove (floor: Position, openedAtMs: number): void {
    for (const { status } of Object.values(this.#failover.group.lastStatuses)) {
      if (!covers(status.applied, floor)) continue
      this.#ask(status.server, ({ ledger }) => { this.#world.oracle.read('session read', ledger, openedAtMs) }, () => {})
    }
  }

  #perform (effect: FailoverEffect): void {
    switch (effect.kind) {
      case 'probe': return this.#probe(effect.server)
      case 'fence': return this.#call('fence', effect.server, effect.term, ledger => fence(ledger, effect.term, effect.proposer))
      case 'promote': return this.#call('promote', effect.server, effect.term, ledger => promote(ledger, effect.term, effect.proposer))
      case 'follow': return this.#call('follow', effect.server, effect.term, ledger => follow(ledger, effect.term, effect.proposer, { ip: effect.primary, port: 1 }))
      case 'publish':
      case 'primaryChanged':
    }
  }

  #call (call: 'fence' | 'promote' | 'follow', server: string, term: number, change: (ledger: Ledger) => Ruling): void {
    this.#ask(server, () => this.#world.rule(server, change), ({ accepted, status }) => {
      this.#failedOver({ kind: `${call}Answered`, server, term, accepted, status, nowMs: this.#world.nowMs })
    }, () => {
      this.#failedOver({ kind: 'callFailed', call, server, term, nowMs: this.#world.nowMs })
    })
  }

  #probe (server: string): void {
    let open = true
    const close = (event: FailoverEvent): void => {
      if (open) this.#failedOver(event)
      open = false
    }
    this.#ask(server, () => {}, () => { close({ kind: 'probeAnswered', server, nowMs: this.#world.nowMs }) },
      () => { close({ kind: 'probeFailed', server, failure: 'refused', nowMs: this.#world.nowMs }) })
    this.#world.after(Math.min(callTimeoutMs, defaultFailoverSettings.probeTimeoutMs), () => {
      close({ kind: 'probeFailed', server, failure: 'overdue', nowMs: this.#world.nowMs })
    })
  }
}
