// State machine of the task of one database, without sockets or clocks. It
// combines the state machines of failover, quorum waits, minimum positions and
// staleness, and selects the servers that are queried for their positions.

import { defaultFailoverSettings, leaderFailoverSettings, failoverStep, initialFailoverState, majorityOf, primaryView, proposerName, type PromotionMethodKind, type FailoverEffect, type FailoverEvent, type FailoverSettings, type FailoverState } from '../failover/index.js'
import type { DatabaseDeclaration, Observation, Position, PrimaryView, ServerDeclaration, ServerName, ServerStatus } from '../model/index.js'
import { withoutAnswered, type Reply, type Transition } from '../pipe/index.js'
import { quorumWaitStep, emptyStaleness, minPositionStep, initialQuorumWait, initialMinPosition, recordResponse, recordWatermark, withStalenessServers, type StalenessState, type QuorumWaitEffect, type QuorumWaitEvent, type QuorumWaitState, type MinPositionEffect, type MinPositionEvent, type MinPositionState } from '../request/index.js'
import type { DaemonContext } from './context.js'

/** State of a database that other tasks may read. */
export type DatabaseView = {
  readonly primary: PrimaryView
  readonly statuses: ReadonlyMap<ServerName, ServerStatus>
  readonly staleness: StalenessState
  /** Time of the last contact with each server. */
  readonly lastContactAtMs: ReadonlyMap<ServerName, number>
  /** Time of the last observation that another host sent. */
  readonly observedAtMs: number
}

/** Messages to the task of a database. Times are monotonic. */
export type DatabaseMessage =
  /** Status from this host's watch of the server, or from a probe. */
  | { readonly kind: 'status', readonly status: ServerStatus, readonly sentAtMs: number, readonly nowMs: number }
  | { readonly kind: 'failover', readonly event: FailoverEvent }
  | { readonly kind: 'awaitQuorum', readonly position: Position, readonly deadlineAtMs: number, readonly nowMs: number, readonly reply: Reply<boolean> }
  /** Position in a server's answer to a statement of this host. */
  | { readonly kind: 'positionObserved', readonly server: ServerName, readonly position: Position, readonly sentAtMs: number, readonly nowMs: number }
  /** Statuses and watermark that another host relayed. */
  | { readonly kind: 'observationReceived', readonly observation: Observation, readonly sentAtMs: number, readonly nowMs: number }
  /**
   * A read requests a minimum position from the next round. `targetServer` is the
   * server on which it will run; undefined: any server, so the round omits none.
   */
  | { readonly kind: 'quorumMinPosition', readonly targetServer: ServerName | undefined, readonly nowMs: number, readonly reply: Reply<Position | undefined> }
  /** An event for the state machine of the minimum position rounds. */
  | { readonly kind: 'minPosition', readonly event: MinPositionEvent }
  /** A server answered the query of a round. */
  | { readonly kind: 'roundStatus', readonly round: number, readonly status: ServerStatus, readonly sentAtMs: number, readonly nowMs: number }
  | { readonly kind: 'manifest', readonly database: DatabaseDeclaration, readonly nowMs: number }
  /** `random` spreads the retries of failed proposals. */
  | { readonly kind: 'tick', readonly nowMs: number, readonly random: number }

/** Effects of the database state machine. */
export type DatabaseEffect =
  | FailoverEffect
  /**
   * Queries servers for their positions. `targetServer` is the primary on which all
   * reads of the round run. The primary has every position that it serves, so no
   * minimum position is needed from it: it counts as a response with the origin
   * position and is not queried.
   */
  | { readonly kind: 'queryRound', readonly round: number, readonly targetServer: ServerName | undefined, readonly servers: readonly ServerName[] }
  | { readonly kind: 'answerQuorumWait', readonly reply: Reply<boolean>, readonly hasQuorum: boolean }
  | { readonly kind: 'answerMinPosition', readonly reply: Reply<Position | undefined>, readonly minPosition: Position | undefined }
  | { readonly kind: 'changeServers', readonly servers: readonly ServerDeclaration[] }

/** Servers that a round skipped at first; they are queried if it still runs at `dueAtMs`. */
type SkippedServers = {
  readonly round: number
  readonly servers: readonly ServerName[]
  readonly dueAtMs: number
}

/** State of the task of a database. */
export type DatabaseState = {
  readonly failover: FailoverState
  readonly quorumWait: QuorumWaitState
  readonly minPosition: MinPositionState
  readonly staleness: StalenessState
  readonly quorumReplies: ReadonlyMap<string, Reply<boolean>>
  readonly minPositionReplies: ReadonlyMap<string, Reply<Position | undefined>>
  /** Servers on which the reads that wait for a minimum position will run. */
  readonly targetServers: ReadonlyMap<string, ServerName | undefined>
  /** Of the last round; undefined where it skipped none or has queried them. */
  readonly skipped: SkippedServers | undefined
  readonly nextId: number
  /** True where servers report their positions only when they are queried. */
  readonly isPolled: boolean
  /** Whether a round of queries for the pending writes is running. */
  readonly roundInProgress: boolean
  /** Consecutive rounds after which writes still waited. */
  readonly roundsWithoutProgress: number
  /** Time of the next round for the pending writes; -Infinity for at once. */
  readonly nextQuorumRoundMs: number
  /** Time of the last observation that another host sent. */
  readonly observedAtMs: number
}

type Next = Transition<DatabaseState, DatabaseEffect>

const minPositionRoundTimeoutMs = 300
const maxWaitingMinPositions = 4096
/**
 * Id under which all pending writes together wait for a minimum position round.
 * Used only where servers are polled.
 */
const quorumRound = 'quorum'
/**
 * Delay of the next round after a first one without progress; doubles with each
 * further one.
 */
const roundDelayMs: { readonly first: number, readonly max: number } = { first: 2, max: 40 }
/** Delay after which the servers that a round skipped at first are queried, too. */
const skippedQueryDelayMs = 10
/** Ticks while a failover may be needed or a round is running, and otherwise. */
const tickSpacingMs: { readonly urgent: number, readonly idle: number } = { urgent: 40, idle: 250 }

/**
 * Creates the state before any status was received.
 * @param context - settings, ports and ids of this process
 * @param database - the database
 * @returns the state
 */
export function initialState (context: DaemonContext, database: DatabaseDeclaration): DatabaseState {
  const names = database.servers.map(server => server.name)
  const { control, host } = context.settings
  const failoverSettings = failoverSettingsFor(context.ports.promotionMethod.kind, control)
  return {
    failover: initialFailoverState(database, proposerName(host.name, context.uniqueId()), failoverSettings),
    quorumWait: initialQuorumWait(names, context.ports.promotionMethod.kind === 'byLeader' ? 'temporary' : 'permanent'),
    minPosition: initialMinPosition(names, { roundTimeoutMs: minPositionRoundTimeoutMs, maxWaiting: maxWaitingMinPositions }),
    staleness: emptyStaleness(names),
    quorumReplies: new Map(),
    minPositionReplies: new Map(),
    targetServers: new Map(),
    skipped: undefined,
    nextId: 1,
    isPolled: context.ports.driver.statusDelivery === 'polled',
    roundInProgress: false,
    roundsWithoutProgress: 0,
    nextQuorumRoundMs: -Infinity,
    observedAtMs: -Infinity
  }
}

function failoverSettingsFor (method: PromotionMethodKind, control: DaemonContext['settings']['control']): FailoverSettings {
  switch (method) {
    case 'byQuorum': return { ...defaultFailoverSettings, probeEveryMs: control.probeMs, reprobeEveryMs: control.probeMs, probeTimeoutMs: control.probeTimeoutMs, rankDelayMs: control.promotionDelayMs }
    // The platform promotes on the order of the failover leader, and a fence only
    // pauses replication (see failover/settings.ts).
    case 'byLeader': return { ...leaderFailoverSettings, probeTimeoutMs: control.probeTimeoutMs }
  }
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the state
 * @param nowMs - monotonic time
 * @returns monotonic time
 */
export function databaseDueAtMs (state: DatabaseState, nowMs: number): number {
  const tickAtMs = nowMs + (isUrgent(state) ? tickSpacingMs.urgent : tickSpacingMs.idle)
  const isRoundDue = state.quorumWait.pending.length > 0 && !state.roundInProgress
  const skippedDueAtMs = skippedServers(state)?.dueAtMs ?? Infinity
  return Math.min(tickAtMs, skippedDueAtMs, isRoundDue ? state.nextQuorumRoundMs : Infinity)
}

function isUrgent (state: DatabaseState): boolean {
  return state.quorumWait.pending.length > 0 || state.minPosition.running !== undefined || isFailoverUrgent(state.failover)
}

// A host without a rank probes no server and proposes nothing, so a server that it
// finds unresponsive does not make its ticks frequent.
function isFailoverUrgent ({ rank, proposal, failureSinceMs, health }: FailoverState): boolean {
  if (rank === undefined) return false
  return proposal.kind !== 'idle' || failureSinceMs !== undefined ||
    Object.values(health).some(({ probeRequested, consecutiveFailures }) => probeRequested || consecutiveFailures > 0)
}

/**
 * Extracts the view of a state for other tasks.
 * @param state - the state
 * @returns the view
 */
export function viewOf (state: DatabaseState): DatabaseView {
  const lastStatuses = Object.entries(state.failover.group.lastStatuses)
  return {
    primary: primaryView(state.failover.group),
    statuses: new Map(lastStatuses.map(([server, { status }]) => [server, status])),
    staleness: state.staleness,
    lastContactAtMs: new Map(Object.entries(state.failover.health).flatMap(([server, { lastContactAtMs }]) => lastContactAtMs === undefined ? [] : [[server, lastContactAtMs] as const])),
    observedAtMs: state.observedAtMs
  }
}

/**
 * Makes the observation that this host sends to another one. `mark` is the wire
 * name of the watermark, `heardAgoMs` that of the time since the last contact.
 * @param view - the view of the state
 * @param nowMs - monotonic time
 * @returns the observation
 */
export function observationOf (view: DatabaseView, nowMs: number): Observation {
  const watermark = view.staleness.watermarks[0]
  return {
    servers: [...view.statuses].map(([server, status]) => ({ status, heardAgoMs: nowMs - (view.lastContactAtMs.get(server) ?? -Infinity) })),
    mark: watermark === undefined ? undefined : { position: watermark.position, agoMs: nowMs - watermark.queriedAtMs }
  }
}

/**
 * Step function of the task.
 * @param state - the current state
 * @param message - the message to handle
 * @returns the next state and its effects
 */
export function databaseStep (state: DatabaseState, message: DatabaseMessage): Next {
  switch (message.kind) {
    case 'status': return recordStatus(state, message)
    case 'failover': return withFailover(state, message.event)
    case 'awaitQuorum': return waitForQuorum(state, message)
    case 'positionObserved': return recordPosition(state, message)
    case 'observationReceived': return recordObservation(state, message)
    case 'quorumMinPosition': return waitForMinPosition(state, message)
    case 'minPosition': return withMinPosition(state, message.event)
    case 'roundStatus': return recordRoundStatus(state, message)
    case 'manifest': return applyManifest(state, message.database, message.nowMs)
    case 'tick': return chain(state, [
      next => withFailover(next, { kind: 'tick', nowMs: message.nowMs, random: message.random }),
      next => withQuorumWait(next, { kind: 'tick', nowMs: message.nowMs }),
      next => withMinPosition(next, { kind: 'tick', nowMs: message.nowMs }),
      next => startQuorumRound(next, message.nowMs),
      next => querySkipped(next, message.nowMs)
    ])
  }
}

function chain (state: DatabaseState, stages: ReadonlyArray<(state: DatabaseState) => Next>): Next {
  return stages.reduce<Next>((done, stage) => {
    const transition = stage(done.state)
    return { state: transition.state, effects: [...done.effects, ...transition.effects] }
  }, { state, effects: [] })
}

function recordStatus (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'status' }>): Next {
  const { status, sentAtMs, nowMs } = message
  const recorded = { ...state, staleness: recordResponse(state.staleness, status.server, { received: status.received, queriedAtMs: sentAtMs }) }
  return chain(recorded, [
    next => withQuorumWait(next, { kind: 'statusReceived', status }),
    next => withFailover(next, { kind: 'statusReceived', status, nowMs })
  ])
}

// A primary has received everything that it has applied, so the position in one
// of its answers counts like a status for quorum waits and staleness.
function recordPosition (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'positionObserved' }>): Next {
  const { server, position, sentAtMs, nowMs } = message
  const { termPrimary } = state.failover.group
  const isPrimary = termPrimary?.server === server && position.term <= termPrimary.term
  const observed = withFailover(state, { kind: 'positionObserved', server, position, nowMs })
  const status = observed.state.failover.group.lastStatuses[server]?.status
  if (!isPrimary || status === undefined) return observed
  const recorded = { ...observed.state, staleness: recordResponse(observed.state.staleness, server, { received: position, queriedAtMs: sentAtMs }) }
  return chain(recorded, [next => ({ state: next, effects: observed.effects }), next => withQuorumWait(next, { kind: 'statusReceived', status })])
}

function recordObservation (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'observationReceived' }>): Next {
  const { observation, sentAtMs, nowMs } = message
  const { mark } = observation
  const staleness = mark === undefined ? state.staleness : recordWatermark(state.staleness, { position: mark.position, queriedAtMs: sentAtMs - mark.agoMs })
  return chain({ ...state, staleness, observedAtMs: sentAtMs }, observation.servers.map(({ status, heardAgoMs }) =>
    next => withFailover(next, { kind: 'statusRelayed', status, heardAgoMs: heardAgoMs + nowMs - sentAtMs, nowMs })))
}

function applyManifest (state: DatabaseState, database: DatabaseDeclaration, nowMs: number): Next {
  const servers = database.servers.map(server => server.name)
  const changed = chain({ ...state, staleness: withStalenessServers(state.staleness, servers) }, [
    next => withFailover(next, { kind: 'manifestChanged', database, nowMs }),
    next => withQuorumWait(next, { kind: 'serversChanged', servers }),
    next => withMinPosition(next, { kind: 'serversChanged', servers, nowMs })
  ])
  return { ...changed, effects: [...changed.effects, { kind: 'changeServers', servers: database.servers }] }
}

function withFailover (state: DatabaseState, event: FailoverEvent): Next {
  const { state: failover, effects } = failoverStep(state.failover, event)
  return { state: { ...state, failover }, effects }
}

function waitForQuorum (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'awaitQuorum' }>): Next {
  const id = String(state.nextId)
  const waiting = { ...state, nextId: state.nextId + 1, quorumReplies: new Map(state.quorumReplies).set(id, message.reply) }
  return chain(waiting, [
    next => withQuorumWait(next, { kind: 'pending', id, position: message.position, deadlineAtMs: message.deadlineAtMs }),
    next => startQuorumRound(next, message.nowMs)
  ])
}

// Pending writes share the query rounds of the minimum positions: like one read,
// they wait together for the next round.
function startQuorumRound (state: DatabaseState, nowMs: number): Next {
  if (!state.isPolled || state.roundInProgress || state.quorumWait.pending.length === 0 || nowMs < state.nextQuorumRoundMs) return { state, effects: [] }
  return withMinPosition({ ...state, roundInProgress: true }, { kind: 'requested', id: quorumRound, nowMs })
}

function withQuorumWait (state: DatabaseState, event: QuorumWaitEvent): Next {
  const { state: quorumWait, effects } = quorumWaitStep(state.quorumWait, event)
  if (effects.length === 0) return { state: { ...state, quorumWait }, effects: [] }
  const quorumReplies = withoutAnswered(state.quorumReplies, effects.map(effect => effect.id))
  return { state: { ...state, quorumWait, quorumReplies }, effects: effects.flatMap(effect => answerQuorumWait(state, effect)) }
}

function answerQuorumWait (state: DatabaseState, effect: QuorumWaitEffect): readonly DatabaseEffect[] {
  const reply = state.quorumReplies.get(effect.id)
  return reply === undefined ? [] : [{ kind: 'answerQuorumWait', reply, hasQuorum: effect.kind === 'quorumReached' }]
}

function waitForMinPosition (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'quorumMinPosition' }>): Next {
  const id = String(state.nextId)
  const waiting = { ...state, nextId: state.nextId + 1, minPositionReplies: new Map(state.minPositionReplies).set(id, message.reply), targetServers: new Map(state.targetServers).set(id, message.targetServer) }
  return withMinPosition(waiting, { kind: 'requested', id, nowMs: message.nowMs })
}

function withMinPosition (state: DatabaseState, event: MinPositionEvent): Next {
  const { state: minPosition, effects } = minPositionStep(state.minPosition, event)
  if (effects.length === 0) return { state: { ...state, minPosition }, effects: [] }
  const answered = effects.flatMap(effect => effect.kind === 'startRound' ? [] : [effect.id])
  const targetServers = withoutAnswered(state.targetServers, answered)
  const next: DatabaseState = { ...state, minPosition, minPositionReplies: withoutAnswered(state.minPositionReplies, answered), targetServers }
  const answers = effects.reduce<Next>((done, effect) => effect.kind === 'startRound'
    ? chain(done.state, [after => ({ state: after, effects: done.effects }), after => queryRound(after, effect.round, event.nowMs)])
    : { state: done.state, effects: [...done.effects, ...answerMinPosition(state, effect)] }, { state: next, effects: [] })
  return answered.includes(quorumRound) ? quorumRoundEnded(answers, event.nowMs) : answers
}

function quorumRoundEnded ({ state, effects }: Next, nowMs: number): Next {
  const roundsWithoutProgress = state.quorumWait.pending.length > 0 ? state.roundsWithoutProgress + 1 : 0
  const delayMs = Math.min(roundDelayMs.first * 2 ** (roundsWithoutProgress - 1), roundDelayMs.max)
  const nextQuorumRoundMs = roundsWithoutProgress === 0 ? -Infinity : nowMs + delayMs
  const ended: DatabaseState = { ...state, roundInProgress: false, roundsWithoutProgress, nextQuorumRoundMs }
  return chain(ended, [next => ({ state: next, effects }), next => startQuorumRound(next, nowMs)])
}

// Where all reads of a round run on the primary, the primary counts as a response
// without a query (see `queryRound` of DatabaseEffect), and at first only as many
// other servers are queried as complete a majority with it. Those with the latest
// contact come first. One that is fenced above the primary's term counts as failed
// (see recordRoundStatus).
function queryRound (state: DatabaseState, round: number, nowMs: number): Next {
  const { group, health } = state.failover
  const targetServer = state.isPolled ? commonTargetServer(state) : undefined
  if (targetServer === undefined) return { state: { ...state, skipped: undefined }, effects: [{ kind: 'queryRound', round, targetServer, servers: group.servers }] }
  const lastContactAtMs = (server: ServerName): number => health[server]?.consecutiveFailures === 0 ? health[server]?.lastContactAtMs ?? 0 : 0
  const others = group.servers.filter(server => server !== targetServer).sort((a, b) => lastContactAtMs(b) - lastContactAtMs(a))
  const needed = majorityOf(group.servers.length) - 1
  const skipped = { round, servers: others.slice(needed), dueAtMs: nowMs + skippedQueryDelayMs }
  return { state: { ...state, skipped }, effects: [{ kind: 'queryRound', round, targetServer, servers: others.slice(0, needed) }] }
}

function commonTargetServer (state: DatabaseState): ServerName | undefined {
  const primary = state.failover.group.termPrimary?.server
  const ids = state.minPosition.running?.ids ?? []
  return ids.every(id => id === quorumRound || state.targetServers.get(id) === primary) ? primary : undefined
}

// A server that is fenced above the primary's term shows that the primary may
// have been replaced. In a round that omitted the primary, its answer counts as
// failed, so the round needs other servers for a majority.
function recordRoundStatus (state: DatabaseState, message: Extract<DatabaseMessage, { readonly kind: 'roundStatus' }>): Next {
  const { round, status, sentAtMs, nowMs } = message
  const hasTargetServer = commonTargetServer(state) !== undefined
  const isFencedAbove = status.fencedTerm > (state.failover.group.termPrimary?.term ?? 0)
  const recorded = recordStatus(state, { kind: 'status', status, sentAtMs, nowMs })
  const event: MinPositionEvent = hasTargetServer && isFencedAbove
    ? { kind: 'roundFailed', round, server: status.server, nowMs }
    : { kind: 'roundAnswered', round, server: status.server, received: status.received, nowMs }
  return chain(recorded.state, [next => ({ state: next, effects: recorded.effects }), next => withMinPosition(next, event)])
}

function skippedServers ({ skipped, minPosition }: DatabaseState): SkippedServers | undefined {
  return skipped !== undefined && skipped.servers.length > 0 && minPosition.running?.round === skipped.round ? skipped : undefined
}

function querySkipped (state: DatabaseState, nowMs: number): Next {
  const skipped = skippedServers(state)
  if (skipped === undefined || nowMs < skipped.dueAtMs) return { state, effects: [] }
  return { state: { ...state, skipped: undefined }, effects: [{ kind: 'queryRound', round: skipped.round, targetServer: undefined, servers: skipped.servers }] }
}

function answerMinPosition (state: DatabaseState, effect: Exclude<MinPositionEffect, { readonly kind: 'startRound' }>): readonly DatabaseEffect[] {
  const reply = state.minPositionReplies.get(effect.id)
  return reply === undefined ? [] : [{ kind: 'answerMinPosition', reply, minPosition: effect.kind === 'minPosition' ? effect.position : undefined }]
}

/**
 * Lists the answers to all waiting requests, for the end of the task.
 * @param state - the state
 * @returns no quorum for the writes, no minimum position for the reads
 */
export function waitingAnswers (state: DatabaseState): readonly DatabaseEffect[] {
  const writes = [...state.quorumReplies.values()].map((reply): DatabaseEffect => ({ kind: 'answerQuorumWait', reply, hasQuorum: false }))
  const reads = [...state.minPositionReplies.values()].map((reply): DatabaseEffect => ({ kind: 'answerMinPosition', reply, minPosition: undefined }))
  return [...writes, ...reads]
}
