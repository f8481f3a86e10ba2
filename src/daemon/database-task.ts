// The task of one database at one of its homes: owns what is known of the
// servers, the failover, the writes that wait for a majority and the floors
// that sessions wait for. It watches the servers and carries out the ledger
// calls; the decisions are the pure parts of src/failover and src/request.

import { redirected } from '../config/index.js'
import { defaultFailoverSettings, dutyFailoverSettings, failoverStep, initialFailover, majorityOf, primaryView, proposerName, type FailoverEffect, type FailoverEvent, type FailoverSettings, type FailoverState, type AppointmentKind } from '../failover/index.js'
import { originPosition, type DatabaseDeclaration, type DatabaseName, type Observation, type Position, type PrimaryView, type ServerDeclaration, type ServerName, type ServerStatus } from '../model/index.js'
import { ask, derived, Latest, pacedTicks, startTask, tickPort, type Port, type Reply, withoutReplies, type Snapshot, type Transition } from '../pipe/index.js'
import { confirmStep, emptyAgeRecord, floorStep, initialConfirm, initialFloor, noteAnswer, takeMark, withAgeServers, type AgeRecord, type ConfirmEffect, type ConfirmEvent, type ConfirmState, type FloorEffect, type FloorEvent, type FloorState } from '../request/index.js'
import type { PromotionResult } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import { ServerWatch, type LedgerCommand, type WatchHooks, type WatchReport } from './server-watch.js'

/** What others see of a database. */
export type DatabaseView = {
  readonly primary: PrimaryView
  readonly statuses: ReadonlyMap<ServerName, ServerStatus>
  readonly age: AgeRecord
  /** When each server gave a sign of life last. */
  readonly heardAtMs: ReadonlyMap<ServerName, number>
  /** When another host told what it knows. */
  readonly observedAtMs: number
}

/** What the task needs. */
export type DatabaseSpec = {
  readonly context: DaemonContext
  readonly database: DatabaseDeclaration
  readonly onPrimary: (view: PrimaryView) => void
  /** A watched connection had gone silent while fresh ones work; others to that server may be silent. */
  readonly onWasSilent: (server: ServerName) => void
  /** A connection to the server was lost. */
  readonly onLost: (server: ServerName) => void
  /** Orders the platform to promote a server, where that is its task. */
  readonly orderPromotion: (database: DatabaseName, server: ServerName) => Promise<PromotionResult>
  /** Writes the view to the store; may fail. */
  readonly publish: (view: PrimaryView) => void
}

/** A running database task. */
export type DatabaseTask = {
  readonly view: Snapshot<DatabaseView>
  /** True once a majority has received the position in its own term. */
  readonly confirm: (position: Position, deadlineAtMs: number) => Promise<boolean>
  /**
   * A floor that covers every write acknowledged before the call. Where the read
   * runs at a primary, that server's own log covers what it holds.
   */
  readonly openFloor: (runsAt: ServerName | undefined) => Promise<Position | undefined>
  /** A statement was answered. */
  readonly seen: (server: ServerName, position: Position, askedAtMs: number) => void
  /** Another host, which watches the servers, told what it knows. */
  readonly observed: (observation: Observation, askedAtMs: number) => void
  /** What this host knows, for another one. */
  readonly observation: () => Observation
  /** Another host does not reach a server. */
  readonly suspected: (server: ServerName) => void
  readonly changeManifest: (database: DatabaseDeclaration) => void
  readonly changeRank: (rank: number | undefined) => void
  readonly stop: () => Promise<void>
}

type Message =
  | { readonly kind: 'status', readonly status: ServerStatus, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'failover', readonly event: FailoverEvent }
  | { readonly kind: 'confirm', readonly position: Position, readonly deadlineAtMs: number, readonly nowMs: number, readonly reply: Reply<boolean> }
  | { readonly kind: 'seen', readonly server: ServerName, readonly position: Position, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'observed', readonly observation: Observation, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'openFloor', readonly runsAt: ServerName | undefined, readonly nowMs: number, readonly reply: Reply<Position | undefined> }
  | { readonly kind: 'floor', readonly event: FloorEvent }
  /** A server answered a round. */
  | { readonly kind: 'roundStatus', readonly round: number, readonly status: ServerStatus, readonly askedAtMs: number, readonly nowMs: number }
  /** The round is not over yet: ask the others, too. */
  | { readonly kind: 'askRest', readonly round: number, readonly servers: readonly ServerName[] }
  | { readonly kind: 'manifest', readonly database: DatabaseDeclaration, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number, readonly random: number }

type Effect =
  | FailoverEffect
  /** Ask servers for their positions; `own`: the read runs there, so its log need not be asked for. */
  | { readonly kind: 'askRound', readonly round: number, readonly own: ServerName | undefined, readonly servers: readonly ServerName[], readonly rest: readonly ServerName[] }
  | { readonly kind: 'answerConfirm', readonly reply: Reply<boolean>, readonly confirmed: boolean }
  | { readonly kind: 'answerFloor', readonly reply: Reply<Position | undefined>, readonly floor: Position | undefined }
  | { readonly kind: 'changeServers', readonly servers: readonly ServerDeclaration[] }

type State = {
  readonly failover: FailoverState
  readonly confirm: ConfirmState
  readonly floor: FloorState
  readonly age: AgeRecord
  readonly confirmReplies: ReadonlyMap<string, Reply<boolean>>
  readonly floorReplies: ReadonlyMap<string, Reply<Position | undefined>>
  /** Where the reads run that wait for a floor. */
  readonly runsAt: ReadonlyMap<string, ServerName | undefined>
  readonly nextId: number
  /** Servers tell their positions only when they are asked. */
  readonly isPolled: boolean
  /** A round of questions for the writes that wait is under way. */
  readonly asking: boolean
  /** Rounds in a row that confirmed nothing; after some of them the next one waits for a tick. */
  readonly fruitlessRounds: number
  /** When another host told what it knows. */
  readonly observedAtMs: number
}

type Next = Transition<State, Effect>

const mailboxCapacity = 16384
const tickMs = 40
/** Period of the ticks while nothing waits and no failover is under way. */
const restTickMs = 120
const floorRoundTimeoutMs = 300
const maxWaitingFloors = 4096
/** A primary that was not heard for this time is asked for its status. */
const quietPrimaryMs = 250
/** The same for a replica. */
const quietReplicaMs = 600
/** How long another host's word spares questions of one's own. */
const observedValidMs = 1000
/** Id of the round that writes wait for. */
const confirmRound = 'confirm'
/** Rounds in a row that may follow each other at once without confirming anything. */
const roundsAtOnce = 3
/** Time until the servers that were spared at first are asked, too. */
const askRestMs = 10

/**
 * Starts the task of a database.
 * @param spec - what the task needs
 * @returns the running task
 */
export function startDatabase (spec: DatabaseSpec): DatabaseTask {
  const { context, database } = spec
  const { timers } = context
  const initial = initialState(context, database)
  const published = new Latest(initial)
  const view = derived(published, viewOf)
  const watches = new Watches(spec, server => statusDueInMs(view.get(), server, timers.nowMs()))
  const task = startTask<State, Message, Effect>({
    name: `database ${database.name}`,
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError(`database ${database.name}`),
    step: (state, message) => {
      const transition = step(state, message)
      published.publish(transition.state)
      return transition
    },
    perform: (effect, port) => { perform(spec, watches, effect, port) }
  })
  const cancel = pacedTicks(timers, () => isUrgent(published.get()) ? tickMs : restTickMs, tickPort<Message>(task.port, nowMs => ({ kind: 'tick', nowMs, random: context.random() })))
  watches.change(database.servers, task.port)
  return {
    view,
    confirm: async (position, deadlineAtMs) => await ask<Message, boolean>(task.port, reply => ({ kind: 'confirm', position, deadlineAtMs, nowMs: timers.nowMs(), reply }), false),
    openFloor: async runsAt => await ask<Message, Position | undefined>(task.port, reply => ({ kind: 'openFloor', runsAt, nowMs: timers.nowMs(), reply }), undefined),
    seen: (server, position, askedAtMs) => { task.port.send({ kind: 'seen', server, position, askedAtMs, nowMs: timers.nowMs() }) },
    observed: (observation, askedAtMs) => { task.port.send({ kind: 'observed', observation, askedAtMs, nowMs: timers.nowMs() }) },
    observation: () => observationOf(view.get(), timers.nowMs()),
    suspected: server => { task.port.send({ kind: 'failover', event: { kind: 'connectionLost', server, nowMs: timers.nowMs() } }) },
    changeManifest: changed => { task.port.send({ kind: 'manifest', database: changed, nowMs: timers.nowMs() }) },
    changeRank: rank => { task.port.send({ kind: 'failover', event: { kind: 'ranksChanged', rank, nowMs: timers.nowMs() } }) },
    stop: async () => {
      cancel()
      watches.stop()
      await task.stop()
    }
  }
}

function initialState (context: DaemonContext, database: DatabaseDeclaration): State {
  const names = database.servers.map(server => server.name)
  const { control, host } = context.settings
  const failoverSettings = failoverSettingsFor(context.ports.appointment.kind, control)
  return {
    failover: initialFailover(database, proposerName(host.name, context.incarnation), failoverSettings),
    confirm: initialConfirm(names, context.ports.appointment.kind === 'byDuty' ? 'passing' : 'lasting'),
    floor: initialFloor(names, { roundTimeoutMs: floorRoundTimeoutMs, maxWaiting: maxWaitingFloors }),
    age: emptyAgeRecord(names),
    confirmReplies: new Map(),
    floorReplies: new Map(),
    runsAt: new Map(),
    nextId: 1,
    isPolled: context.ports.driver.statusDelivery === 'polled',
    asking: false,
    fruitlessRounds: 0,
    observedAtMs: -Infinity
  }
}

// Another host's word spares a status, and so does any sign of life of the server.
function statusDueInMs (view: DatabaseView, server: ServerName, nowMs: number): number {
  const observedForMs = nowMs - view.observedAtMs
  if (observedForMs < observedValidMs) return observedValidMs - observedForMs
  const periodMs = server === view.primary.primary ? quietPrimaryMs : quietReplicaMs
  return (view.heardAtMs.get(server) ?? -Infinity) + periodMs - nowMs
}

function failoverSettingsFor (appointment: AppointmentKind, control: DaemonContext['settings']['control']): FailoverSettings {
  switch (appointment) {
    case 'byServers': return { ...defaultFailoverSettings, probeEveryMs: control.probeMs, probeTimeoutMs: control.probeTimeoutMs, rankDelayMs: control.promotionDelayMs }
    case 'byDuty': return { ...dutyFailoverSettings, probeTimeoutMs: control.probeTimeoutMs }
  }
}

function isUrgent (state: State): boolean {
  const { failover, confirm, floor } = state
  return failover.proposal.kind !== 'idle' || failover.troubleSinceMs !== undefined || confirm.waiting.length > 0 || floor.running !== undefined ||
    Object.values(failover.health).some(({ probeNow, failedInRow }) => probeNow || failedInRow > 0)
}

function viewOf (state: State): DatabaseView {
  const known = Object.entries(state.failover.group.known)
  return {
    primary: primaryView(state.failover.group),
    statuses: new Map(known.map(([server, { status }]) => [server, status])),
    age: state.age,
    heardAtMs: new Map(Object.entries(state.failover.health).flatMap(([server, { lastSignAtMs }]) => lastSignAtMs === undefined ? [] : [[server, lastSignAtMs] as const])),
    observedAtMs: state.observedAtMs
  }
}

function observationOf (view: DatabaseView, nowMs: number): Observation {
  const mark = view.age.marks[0]
  return {
    servers: [...view.statuses].map(([server, status]) => ({ status, heardAgoMs: nowMs - (view.heardAtMs.get(server) ?? -Infinity) })),
    mark: mark === undefined ? undefined : { position: mark.position, agoMs: nowMs - mark.askedAtMs }
  }
}

function step (state: State, message: Message): Next {
  switch (message.kind) {
    case 'status': return takeStatus(state, message)
    case 'failover': return withFailover(state, message.event)
    case 'confirm': return waitForConfirm(state, message)
    case 'seen': return takeSeen(state, message)
    case 'observed': return takeObserved(state, message)
    case 'openFloor': return waitForFloor(state, message)
    case 'floor': return withFloor(state, message.event)
    case 'roundStatus': return takeRoundStatus(state, message)
    case 'askRest': return askRest(state, message)
    case 'manifest': return takeManifest(state, message.database, message.nowMs)
    case 'tick': return chain(state, [
      next => withFailover(next, { kind: 'tick', nowMs: message.nowMs, random: message.random }),
      next => withConfirm(next, { kind: 'tick', nowMs: message.nowMs }),
      next => withFloor(next, { kind: 'tick', nowMs: message.nowMs }),
      next => askForConfirm(next, message.nowMs)
    ])
  }
}

function chain (state: State, stages: ReadonlyArray<(state: State) => Next>): Next {
  return stages.reduce<Next>((done, stage) => {
    const transition = stage(done.state)
    return { state: transition.state, effects: [...done.effects, ...transition.effects] }
  }, { state, effects: [] })
}

function takeStatus (state: State, message: Extract<Message, { readonly kind: 'status' }>): Next {
  const { status, askedAtMs, nowMs } = message
  const noted = { ...state, age: noteAnswer(state.age, status.server, { received: status.received, askedAtMs }) }
  return chain(noted, [
    next => withConfirm(next, { kind: 'statusReceived', status }),
    next => withFailover(next, { kind: 'statusReceived', status, nowMs })
  ])
}

// A primary has received what it has applied, so its answers count for
// confirmations and ages like a status.
function takeSeen (state: State, message: Extract<Message, { readonly kind: 'seen' }>): Next {
  const { server, position, askedAtMs, nowMs } = message
  const { leadership } = state.failover.group
  const leads = leadership?.server === server && position.term <= leadership.term
  const observed = withFailover(state, { kind: 'answerSeen', server, position, nowMs })
  const status = observed.state.failover.group.known[server]?.status
  if (!leads || status === undefined) return observed
  const noted = { ...observed.state, age: noteAnswer(observed.state.age, server, { received: position, askedAtMs }) }
  return chain(noted, [next => ({ state: next, effects: observed.effects }), next => withConfirm(next, { kind: 'statusReceived', status })])
}

function takeObserved (state: State, message: Extract<Message, { readonly kind: 'observed' }>): Next {
  const { observation, askedAtMs, nowMs } = message
  const { mark } = observation
  const age = mark === undefined ? state.age : takeMark(state.age, { position: mark.position, askedAtMs: askedAtMs - mark.agoMs })
  return chain({ ...state, age, observedAtMs: askedAtMs }, observation.servers.map(({ status, heardAgoMs }) =>
    next => withFailover(next, { kind: 'statusRelayed', status, heardAgoMs: heardAgoMs + nowMs - askedAtMs, nowMs })))
}

function takeManifest (state: State, database: DatabaseDeclaration, nowMs: number): Next {
  const servers = database.servers.map(server => server.name)
  const changed = chain({ ...state, age: withAgeServers(state.age, servers) }, [
    next => withFailover(next, { kind: 'manifestChanged', database, nowMs }),
    next => withConfirm(next, { kind: 'serversChanged', servers }),
    next => withFloor(next, { kind: 'serversChanged', servers, nowMs })
  ])
  return { ...changed, effects: [...changed.effects, { kind: 'changeServers', servers: database.servers }] }
}

function withFailover (state: State, event: FailoverEvent): Next {
  const { state: failover, effects } = failoverStep(state.failover, event)
  return { state: { ...state, failover }, effects }
}

function waitForConfirm (state: State, message: Extract<Message, { readonly kind: 'confirm' }>): Next {
  const id = String(state.nextId)
  const waiting = { ...state, nextId: state.nextId + 1, confirmReplies: new Map(state.confirmReplies).set(id, message.reply) }
  return chain(waiting, [
    next => withConfirm(next, { kind: 'waiting', id, position: message.position, deadlineAtMs: message.deadlineAtMs }),
    next => askForConfirm(next, message.nowMs)
  ])
}

// Writes that wait share the rounds of questions of the floors.
function askForConfirm (state: State, nowMs: number): Next {
  if (!state.isPolled || state.asking || state.confirm.waiting.length === 0) return { state, effects: [] }
  return withFloor({ ...state, asking: true }, { kind: 'asked', id: confirmRound, nowMs })
}

function withConfirm (state: State, event: ConfirmEvent): Next {
  const { state: confirm, effects } = confirmStep(state.confirm, event)
  if (effects.length === 0) return { state: { ...state, confirm }, effects: [] }
  const confirmReplies = withoutReplies(state.confirmReplies, effects.map(effect => effect.id))
  return { state: { ...state, confirm, confirmReplies }, effects: effects.flatMap(effect => answerConfirm(state, effect)) }
}

function answerConfirm (state: State, effect: ConfirmEffect): readonly Effect[] {
  const reply = state.confirmReplies.get(effect.id)
  return reply === undefined ? [] : [{ kind: 'answerConfirm', reply, confirmed: effect.kind === 'confirmed' }]
}

function waitForFloor (state: State, message: Extract<Message, { readonly kind: 'openFloor' }>): Next {
  const id = String(state.nextId)
  const waiting = { ...state, nextId: state.nextId + 1, floorReplies: new Map(state.floorReplies).set(id, message.reply), runsAt: new Map(state.runsAt).set(id, message.runsAt) }
  return withFloor(waiting, { kind: 'asked', id, nowMs: message.nowMs })
}

function withFloor (state: State, event: FloorEvent): Next {
  const { state: floor, effects } = floorStep(state.floor, event)
  if (effects.length === 0) return { state: { ...state, floor }, effects: [] }
  const answered = effects.flatMap(effect => effect.kind === 'startRound' ? [] : [effect.id])
  const runsAt = withoutReplies(state.runsAt, answered)
  const next: State = { ...state, floor, floorReplies: withoutReplies(state.floorReplies, answered), runsAt }
  const told: Next = { state: next, effects: effects.flatMap(effect => effect.kind === 'startRound' ? [askRound(next, effect.round)] : answerFloor(state, effect)) }
  return answered.includes(confirmRound) ? confirmRoundEnded(told, event.nowMs) : told
}

function confirmRoundEnded ({ state, effects }: Next, nowMs: number): Next {
  const fruitlessRounds = state.confirm.waiting.length > 0 ? state.fruitlessRounds + 1 : 0
  const ended: State = { ...state, asking: false, fruitlessRounds }
  if (fruitlessRounds >= roundsAtOnce) return { state: ended, effects }
  return chain(ended, [next => ({ state: next, effects }), next => askForConfirm(next, nowMs)])
}

// Where all reads of a round run at the primary, its own log need not be asked
// for, and so many others as complete a majority are asked first.
function askRound (state: State, round: number): Effect {
  const { group, health } = state.failover
  const own = state.isPolled ? commonServer(state) : undefined
  if (own === undefined) return { kind: 'askRound', round, own, servers: group.servers, rest: [] }
  const heardAtMs = (server: ServerName): number => health[server]?.failedInRow === 0 ? health[server]?.lastSignAtMs ?? 0 : 0
  const others = group.servers.filter(server => server !== own).sort((a, b) => heardAtMs(b) - heardAtMs(a))
  const needed = majorityOf(group.servers.length) - 1
  return { kind: 'askRound', round, own, servers: others.slice(0, needed), rest: others.slice(needed) }
}

function commonServer (state: State): ServerName | undefined {
  const primary = state.failover.group.leadership?.server
  const ids = state.floor.running?.ids ?? []
  return ids.every(id => id === confirmRound || state.runsAt.get(id) === primary) ? primary : undefined
}

// A server that is fenced above the primary's term shows that the primary may
// have been replaced, so its answer completes no round that left the primary out.
function takeRoundStatus (state: State, message: Extract<Message, { readonly kind: 'roundStatus' }>): Next {
  const { round, status, askedAtMs, nowMs } = message
  const isOwn = commonServer(state) !== undefined
  const isAbove = status.fencedTerm > (state.failover.group.leadership?.term ?? 0)
  const taken = takeStatus(state, { kind: 'status', status, askedAtMs, nowMs })
  const event: FloorEvent = isOwn && isAbove
    ? { kind: 'roundFailed', round, server: status.server, nowMs }
    : { kind: 'roundAnswered', round, server: status.server, received: status.received, nowMs }
  return chain(taken.state, [next => ({ state: next, effects: taken.effects }), next => withFloor(next, event)])
}

function askRest (state: State, message: Extract<Message, { readonly kind: 'askRest' }>): Next {
  if (state.floor.running?.round !== message.round || message.servers.length === 0) return { state, effects: [] }
  return { state, effects: [{ kind: 'askRound', round: message.round, own: undefined, servers: message.servers, rest: [] }] }
}

function answerFloor (state: State, effect: Exclude<FloorEffect, { readonly kind: 'startRound' }>): readonly Effect[] {
  const reply = state.floorReplies.get(effect.id)
  return reply === undefined ? [] : [{ kind: 'answerFloor', reply, floor: effect.kind === 'floor' ? effect.position : undefined }]
}

function perform (spec: DatabaseSpec, watches: Watches, effect: Effect, port: Port<Message>): void {
  switch (effect.kind) {
    case 'probe': return void probe(spec.context, watches, effect.server, port)
    case 'fence': return void command(spec.context, watches, effect.server, { kind: 'fence', term: effect.term, proposer: effect.proposer }, port)
    case 'promote': return promote(spec, watches, effect, port)
    case 'follow': return follow(spec.context, watches, effect, port)
    case 'publish': return spec.publish(effect.view)
    case 'primaryChanged': return spec.onPrimary(effect.view)
    case 'askRound': return askServers(spec.context, watches, effect, port)
    case 'answerConfirm': return effect.reply(effect.confirmed)
    case 'answerFloor': return effect.reply(effect.floor)
    case 'changeServers': return watches.change(effect.servers, port)
  }
}

async function probe (context: DaemonContext, watches: Watches, server: ServerName, port: Port<Message>): Promise<void> {
  const watch = watches.get(server)
  if (watch === undefined) return
  const askedAtMs = context.timers.nowMs()
  const result = await watch.probe(context.settings.control.probeTimeoutMs)
  const nowMs = context.timers.nowMs()
  switch (result.kind) {
    case 'answered': {
      port.send({ kind: 'failover', event: { kind: 'probeAnswered', server, nowMs } })
      port.send({ kind: 'status', status: result.status, askedAtMs, nowMs })
      break
    }
    case 'failed': {
      port.send({ kind: 'failover', event: { kind: 'probeFailed', server, how: result.how, nowMs } })
      break
    }
  }
}

async function command (context: DaemonContext, watches: Watches, server: ServerName, call: LedgerCommand, port: Port<Message>): Promise<void> {
  const watch = watches.get(server)
  if (watch === undefined) return
  const { term } = call
  try {
    const { accepted, status } = await watch.command(call)
    port.send({ kind: 'failover', event: { kind: `${call.kind}Answered`, server, term, accepted, status, nowMs: context.timers.nowMs() } })
  } catch {
    port.send({ kind: 'failover', event: { kind: 'callFailed', call: call.kind, server, term, nowMs: context.timers.nowMs() } })
  }
}

function promote (spec: DatabaseSpec, watches: Watches, effect: Extract<Effect, { readonly kind: 'promote' }>, port: Port<Message>): void {
  const { server, term, proposer } = effect
  switch (spec.context.ports.appointment.kind) {
    case 'byServers': return void command(spec.context, watches, server, { kind: 'promote', term, proposer }, port)
    case 'byDuty': return void orderPromotion(spec, server, term, port)
  }
}

// Whether an order took effect shows in the server's status.
async function orderPromotion (spec: DatabaseSpec, server: ServerName, term: number, port: Port<Message>): Promise<void> {
  const result = await spec.orderPromotion(spec.database.name, server)
  if (result !== 'refused') return
  port.send({ kind: 'failover', event: { kind: 'callFailed', call: 'promote', server, term, nowMs: spec.context.timers.nowMs() } })
}

function follow (context: DaemonContext, watches: Watches, effect: Extract<Effect, { readonly kind: 'follow' }>, port: Port<Message>): void {
  const primary = watches.declaredAddress(effect.primary)
  if (primary === undefined) return
  void command(context, watches, effect.server, { kind: 'follow', term: effect.term, proposer: effect.proposer, primary }, port)
}

function askServers (context: DaemonContext, watches: Watches, effect: Extract<Effect, { readonly kind: 'askRound' }>, port: Port<Message>): void {
  const { round, own, rest } = effect
  const { timers } = context
  if (own !== undefined) port.send({ kind: 'floor', event: { kind: 'roundAnswered', round, server: own, received: originPosition, nowMs: timers.nowMs() } })
  if (rest.length > 0) timers.after(askRestMs, { send: () => port.send({ kind: 'askRest', round, servers: rest }) })
  const askedAtMs = timers.nowMs()
  for (const server of effect.servers) {
    const failed = (): void => { port.send({ kind: 'floor', event: { kind: 'roundFailed', round, server, nowMs: timers.nowMs() } }) }
    const watch = watches.get(server)
    if (watch === undefined) failed()
    else watch.status().then(status => { port.send({ kind: 'roundStatus', round, status, askedAtMs, nowMs: timers.nowMs() }) }, failed)
  }
}

/** The watches of one database's servers. */
class Watches {
  readonly #spec: DatabaseSpec
  readonly #watches = new Map<ServerName, ServerWatch>()
  readonly #dueInMs: (server: ServerName) => number
  #declared: readonly ServerDeclaration[] = []

  constructor (spec: DatabaseSpec, dueInMs: (server: ServerName) => number) {
    this.#spec = spec
    this.#dueInMs = dueInMs
  }

  get (server: ServerName): ServerWatch | undefined {
    return this.#watches.get(server)
  }

  declaredAddress (server: ServerName): ServerDeclaration | undefined {
    return this.#declared.find(one => one.name === server)
  }

  change (servers: readonly ServerDeclaration[], port: Port<Message>): void {
    this.#declared = servers
    for (const [name, watch] of this.#watches) {
      const declared = servers.find(server => server.name === name)
      if (declared !== undefined && sameAddress(watch, redirected(this.#spec.context.settings.links, declared))) continue
      watch.stop()
      this.#watches.delete(name)
    }
    for (const server of servers) {
      if (!this.#watches.has(server.name)) this.#watches.set(server.name, this.#start(server, port))
    }
  }

  stop (): void {
    for (const watch of this.#watches.values()) watch.stop()
  }

  #start (server: ServerDeclaration, port: Port<Message>): ServerWatch {
    const { context, database, onWasSilent } = this.#spec
    const { timers, settings } = context
    const report = (report: WatchReport): void => {
      const nowMs = timers.nowMs()
      switch (report.kind) {
        case 'status': {
          port.send({ kind: 'status', status: report.status, askedAtMs: report.askedAtMs, nowMs })
          break
        }
        case 'connectionLost': {
          port.send({ kind: 'failover', event: { kind: 'connectionLost', server: server.name, nowMs } })
          this.#spec.onLost(server.name)
          break
        }
        case 'wasSilent': {
          onWasSilent(server.name)
          break
        }
        case 'busy': {
          port.send({ kind: 'failover', event: { kind: 'probeAnswered', server: server.name, nowMs } })
          break
        }
      }
    }
    const hooks: WatchHooks = { report, dueInMs: () => this.#dueInMs(server.name) }
    return new ServerWatch(context, database.name, server.name, redirected(settings.links, server), hooks)
  }
}

function sameAddress (watch: ServerWatch, address: { readonly ip: string, readonly port: number }): boolean {
  return watch.address.ip === address.ip && watch.address.port === address.port
}
