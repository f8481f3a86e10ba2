// The decisions of the task of one database, without sockets or clocks: they
// join failover, confirmation, floors and ages, and decide which servers are
// asked for their positions.

import { defaultFailoverSettings, leaderFailoverSettings, failoverStep, initialFailoverState, majorityOf, primaryView, proposerName, type PromotionMethodKind, type FailoverEffect, type FailoverEvent, type FailoverSettings, type FailoverState } from '../failover/index.js'
import type { DatabaseDeclaration, Observation, Position, PrimaryView, ServerDeclaration, ServerName, ServerStatus } from '../model/index.js'
import { withoutAnswered, type Reply, type Transition } from '../pipe/index.js'
import { quorumWaitStep, emptyStaleness, minPositionStep, initialQuorumWait, initialMinPosition, recordResponse, recordWatermark, withStalenessServers, type StalenessState, type QuorumWaitEffect, type QuorumWaitEvent, type QuorumWaitState, type MinPositionEffect, type MinPositionEvent, type MinPositionState } from '../request/index.js'
import type { DaemonContext } from './context.js'

/** What others see of a database. */
export type DatabaseView = {
  readonly primary: PrimaryView
  readonly statuses: ReadonlyMap<ServerName, ServerStatus>
  readonly staleness: StalenessState
  /** When each server gave a sign of life last. */
  readonly lastContactAtMs: ReadonlyMap<ServerName, number>
  /** When another host told what it knows. */
  readonly observedAtMs: number
}

/** What the task of a database is told. Times are monotonic. */
export type DatabaseMessage =
  | { readonly kind: 'status', readonly status: ServerStatus, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'failover', readonly event: FailoverEvent }
  | { readonly kind: 'confirm', readonly position: Position, readonly deadlineAtMs: number, readonly nowMs: number, readonly reply: Reply<boolean> }
  | { readonly kind: 'seen', readonly server: ServerName, readonly position: Position, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'observed', readonly observation: Observation, readonly askedAtMs: number, readonly nowMs: number }
  | { readonly kind: 'openFloor', readonly targetServer: ServerName | undefined, readonly nowMs: number, readonly reply: Reply<Position | undefined> }
  | { readonly kind: 'floor', readonly event: MinPositionEvent }
  /** A server answered a round. */
  | { readonly kind: 'roundStatus', readonly round: number, readonly status: ServerStatus, readonly askedAtMs: number, readonly nowMs: number }
  /** The round is not over yet: ask the others, too. */
  | { readonly kind: 'askRest', readonly round: number, readonly servers: readonly ServerName[] }
  | { readonly kind: 'manifest', readonly database: DatabaseDeclaration, readonly nowMs: number }
  | { readonly kind: 'tick', readonly nowMs: number, readonly random: number }

/** What is to be done about it. */
export type DatabaseEffect =
  | FailoverEffect
  /** Ask servers for their positions; `own`: the read runs there, so its log need not be asked for. */
  | { readonly kind: 'askRound', readonly round: number, readonly targetServer: ServerName | undefined, readonly servers: readonly ServerName[], readonly remaining: readonly ServerName[] }
  | { readonly kind: 'answerConfirm', readonly reply: Reply<boolean>, readonly hasQuorum: boolean }
  | { readonly kind: 'answerFloor', readonly reply: Reply<Position | undefined>, readonly minPosition: Position | undefined }
  | { readonly kind: 'changeServers', readonly servers: readonly ServerDeclaration[] }

/** What the task of a database knows. */
export type DatabaseState = {
  readonly failover: FailoverState
  readonly confirm: QuorumWaitState
  readonly floor: MinPositionState
  readonly age: StalenessState
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

type Next = Transition<DatabaseState, DatabaseEffect>

const floorRoundTimeoutMs = 300
const maxWaitingFloors = 4096
/** Id of the round that writes wait for. */
const confirmRound = 'confirm'
/** Rounds in a row that may follow each other at once without confirming anything. */
const roundsAtOnce = 3

/**
 * The state before any status came in.
 * @param context - settings, ports and name of this run
 * @param database - the database
 * @returns the state
 */
export function initialState (context: DaemonContext, database: DatabaseDeclaration): DatabaseState {
  const names = database.servers.map(server => server.name)
  const { control, host } = context.settings
  const failoverSettings = failoverSettingsFor(context.ports.promotionMethod.kind, control)
  return {
    failover: initialFailoverState(database, proposerName(host.name, context.incarnation), failoverSettings),
    confirm: initialQuorumWait(names, context.ports.promotionMethod.kind === 'byDuty' ? 'passing' : 'lasting'),
    floor: initialMinPosition(names, { roundTimeoutMs: floorRoundTimeoutMs, maxWaiting: maxWaitingFloors }),
    age: emptyStaleness(names),
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

function failoverSettingsFor (appointment: PromotionMethodKind, control: DaemonContext['settings']['control']): FailoverSettings {
  switch (appointment) {
    case 'byServers': return { ...defaultFailoverSettings, probeEveryMs: control.probeMs, probeTimeoutMs: control.probeTimeoutMs, rankDelayMs: control.promotionDelayMs }
    case 'byDuty': return { ...leaderFailoverSettings, probeTimeoutMs: control.probeTimeoutMs }
  }
}

/**
 * Tells whether something waits for the next tick.
 * @param state - the state
 * @returns true where ticks have to come often
 */
export function isUrgent (state: DatabaseState): boolean {
  const { failover, confirm, floor } = state
  return failover.proposal.kind !== 'idle' || failover.failureSinceMs !== undefined || confirm.pending.length > 0 || floor.running !== undefined ||
    Object.values(failover.health).some(({ probeRequested: probeNow, consecutiveFailures: failedInRow }) => probeNow || failedInRow > 0)
}

/**
 * What others see of a state.
 * @param state - the state
 * @returns the view
 */
export function viewOf (state: DatabaseState): DatabaseView {
  const known = Object.entries(state.failover.group.lastStatuses)
  return {
    primary: primaryView(state.failover.group),
    statuses: new Map(known.map(([server, { status }]) => [server, status])),
    staleness: state.age,
    lastContactAtMs: new Map(Object.entries(state.failover.health).flatMap(([server, { lastContactAtMs: lastSignAtMs }]) => lastSignAtMs === undefined ? [] : [[server, lastSignAtMs] as const])),
    observedAtMs: state.observedAtMs
  }
}

/**
 * What this host tells another one.
 * @param view - the view of the state
 * @param nowMs - monotonic time
 * @returns the observation
 */
export function observationOf (view: DatabaseView, nowMs: number): Observation {
  const mark = view.staleness.watermarks[0]
  return {
    servers: [...view.statuses].map(([server, status]) => ({ status, heardAgoMs: nowMs - (view.lastContactAtMs.get(server) ?? -Infinity) })),
    mark: mark === undefined ? undefined : { position: mark.position, agoMs: nowMs - mark.queriedAtMs }
  }
}

/**
 * The decision of the task.
 * @param state - what is known
 * @param message - what happened
 * @returns the next state and what to do
 */
export function databaseStep (state: DatabaseState, message: DatabaseMessage): Next {
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

function chain (state: DatabaseState, stages: ReadonlyArray<(state: DatabaseState) => Next>): Next {
  return stages.reduce<Next>((done, stage) => {
    const transition = stage(done.state)
    return { state: transition.state, effects: [...done.effects, ...transition.effects] }
  }, { state, effects: [] })
}

function takeStatus (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'status' }>): Next {
  const { status, askedAtMs, nowMs } = message
  const noted = { ...state, age: recordResponse(state.age, status.server, { received: status.received, queriedAtMs: askedAtMs }) }
  return chain(noted, [
    next => withConfirm(next, { kind: 'statusReceived', status }),
    next => withFailover(next, { kind: 'statusReceived', status, nowMs })
  ])
}

// A primary has received what it has applied, so its answers count for
// confirmations and ages like a status.
function takeSeen (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'seen' }>): Next {
  const { server, position, askedAtMs, nowMs } = message
  const { termPrimary: leadership } = state.failover.group
  const leads = leadership?.server === server && position.term <= leadership.term
  const observed = withFailover(state, { kind: 'answerSeen', server, position, nowMs })
  const status = observed.state.failover.group.lastStatuses[server]?.status
  if (!leads || status === undefined) return observed
  const noted = { ...observed.state, age: recordResponse(observed.state.age, server, { received: position, queriedAtMs: askedAtMs }) }
  return chain(noted, [next => ({ state: next, effects: observed.effects }), next => withConfirm(next, { kind: 'statusReceived', status })])
}

function takeObserved (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'observed' }>): Next {
  const { observation, askedAtMs, nowMs } = message
  const { mark } = observation
  const age = mark === undefined ? state.age : recordWatermark(state.age, { position: mark.position, queriedAtMs: askedAtMs - mark.agoMs })
  return chain({ ...state, age, observedAtMs: askedAtMs }, observation.servers.map(({ status, heardAgoMs }) =>
    next => withFailover(next, { kind: 'statusRelayed', status, heardAgoMs: heardAgoMs + nowMs - askedAtMs, nowMs })))
}

function takeManifest (state: DatabaseState, database: DatabaseDeclaration, nowMs: number): Next {
  const servers = database.servers.map(server => server.name)
  const changed = chain({ ...state, age: withStalenessServers(state.age, servers) }, [
    next => withFailover(next, { kind: 'manifestChanged', database, nowMs }),
    next => withConfirm(next, { kind: 'serversChanged', servers }),
    next => withFloor(next, { kind: 'serversChanged', servers, nowMs })
  ])
  return { ...changed, effects: [...changed.effects, { kind: 'changeServers', servers: database.servers }] }
}

function withFailover (state: DatabaseState, event: FailoverEvent): Next {
  const { state: failover, effects } = failoverStep(state.failover, event)
  return { state: { ...state, failover }, effects }
}

function waitForConfirm (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'confirm' }>): Next {
  const id = String(state.nextId)
  const waiting = { ...state, nextId: state.nextId + 1, confirmReplies: new Map(state.confirmReplies).set(id, message.reply) }
  return chain(waiting, [
    next => withConfirm(next, { kind: 'waiting', id, position: message.position, deadlineAtMs: message.deadlineAtMs }),
    next => askForConfirm(next, message.nowMs)
  ])
}

// Writes that wait share the rounds of questions of the floors.
function askForConfirm (state: DatabaseState, nowMs: number): Next {
  if (!state.isPolled || state.asking || state.confirm.pending.length === 0) return { state, effects: [] }
  return withFloor({ ...state, asking: true }, { kind: 'asked', id: confirmRound, nowMs })
}

function withConfirm (state: DatabaseState, event: QuorumWaitEvent): Next {
  const { state: confirm, effects } = quorumWaitStep(state.confirm, event)
  if (effects.length === 0) return { state: { ...state, confirm }, effects: [] }
  const confirmReplies = withoutAnswered(state.confirmReplies, effects.map(effect => effect.id))
  return { state: { ...state, confirm, confirmReplies }, effects: effects.flatMap(effect => answerConfirm(state, effect)) }
}

function answerConfirm (state: DatabaseState, effect: QuorumWaitEffect): readonly DatabaseEffect[] {
  const reply = state.confirmReplies.get(effect.id)
  return reply === undefined ? [] : [{ kind: 'answerConfirm', reply, hasQuorum: effect.kind === 'confirmed' }]
}

function waitForFloor (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'openFloor' }>): Next {
  const id = String(state.nextId)
  const waiting = { ...state, nextId: state.nextId + 1, floorReplies: new Map(state.floorReplies).set(id, message.reply), runsAt: new Map(state.runsAt).set(id, message.targetServer) }
  return withFloor(waiting, { kind: 'asked', id, nowMs: message.nowMs })
}

function withFloor (state: DatabaseState, event: MinPositionEvent): Next {
  const { state: floor, effects } = minPositionStep(state.floor, event)
  if (effects.length === 0) return { state: { ...state, floor }, effects: [] }
  const answered = effects.flatMap(effect => effect.kind === 'startRound' ? [] : [effect.id])
  const runsAt = withoutAnswered(state.runsAt, answered)
  const next: DatabaseState = { ...state, floor, floorReplies: withoutAnswered(state.floorReplies, answered), runsAt }
  const told: Next = { state: next, effects: effects.flatMap(effect => effect.kind === 'startRound' ? [askRound(next, effect.round)] : answerFloor(state, effect)) }
  return answered.includes(confirmRound) ? confirmRoundEnded(told, event.nowMs) : told
}

function confirmRoundEnded ({ state, effects }: Next, nowMs: number): Next {
  const fruitlessRounds = state.confirm.pending.length > 0 ? state.fruitlessRounds + 1 : 0
  const ended: DatabaseState = { ...state, asking: false, fruitlessRounds }
  if (fruitlessRounds >= roundsAtOnce) return { state: ended, effects }
  return chain(ended, [next => ({ state: next, effects }), next => askForConfirm(next, nowMs)])
}

// Where all reads of a round run at the primary, its own log need not be asked
// for, and so many others as complete a majority are asked first.
function askRound (state: DatabaseState, round: number): DatabaseEffect {
  const { group, health } = state.failover
  const own = state.isPolled ? commonServer(state) : undefined
  if (own === undefined) return { kind: 'askRound', round, targetServer: own, servers: group.servers, remaining: [] }
  const heardAtMs = (server: ServerName): number => health[server]?.consecutiveFailures === 0 ? health[server]?.lastContactAtMs ?? 0 : 0
  const others = group.servers.filter(server => server !== own).sort((a, b) => heardAtMs(b) - heardAtMs(a))
  const needed = majorityOf(group.servers.length) - 1
  return { kind: 'askRound', round, targetServer: own, servers: others.slice(0, needed), remaining: others.slice(needed) }
}

function commonServer (state: DatabaseState): ServerName | undefined {
  const primary = state.failover.group.termPrimary?.server
  const ids = state.floor.running?.ids ?? []
  return ids.every(id => id === confirmRound || state.runsAt.get(id) === primary) ? primary : undefined
}

// A server that is fenced above the primary's term shows that the primary may
// have been replaced, so its answer completes no round that left the primary out.
function takeRoundStatus (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'roundStatus' }>): Next {
  const { round, status, askedAtMs, nowMs } = message
  const isOwn = commonServer(state) !== undefined
  const isAbove = status.fencedTerm > (state.failover.group.termPrimary?.term ?? 0)
  const taken = takeStatus(state, { kind: 'status', status, askedAtMs, nowMs })
  const event: MinPositionEvent = isOwn && isAbove
    ? { kind: 'roundFailed', round, server: status.server, nowMs }
    : { kind: 'roundAnswered', round, server: status.server, received: status.received, nowMs }
  return chain(taken.state, [next => ({ state: next, effects: taken.effects }), next => withFloor(next, event)])
}

function askRest (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'askRest' }>): Next {
  if (state.floor.running?.round !== message.round || message.servers.length === 0) return { state, effects: [] }
  return { state, effects: [{ kind: 'askRound', round: message.round, targetServer: undefined, servers: message.servers, remaining: [] }] }
}

function answerFloor (state: DatabaseState, effect: Exclude<MinPositionEffect, { readonly kind: 'startRound' }>): readonly DatabaseEffect[] {
  const reply = state.floorReplies.get(effect.id)
  return reply === undefined ? [] : [{ kind: 'answerFloor', reply, minPosition: effect.kind === 'floor' ? effect.position : undefined }]
}
