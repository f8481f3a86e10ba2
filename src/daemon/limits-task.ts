// The limits task: owns this host's part of every account's rate and burst.
// The seats task beside it owns the seats that the part comes from and keeps
// them in the platform's store. Times of events are taken when an event is
// handled, because a host may be paused while one waits.

import { initialLimits, initialSeats, limitsStep, limitsTickMs, seatQuietMs, seatsStep, type LimitsEffect, type LimitsEvent, type LimitsState, type RecallAnswer, type SeatsEffect, type SeatsEvent, type SeatsState, type SeatTable } from '../limits/index.js'
import type { ListedHost, Member } from '../members/index.js'
import { notRun, type AccountName, type HostName, type Manifest, type Outcome, type PeerParams, type PeerResult } from '../model/index.js'
import { ask, Latest, pacedTicks, sleep, startTask, tickPort, withoutReplies, type Port, type Reply } from '../pipe/index.js'
import { StoreError, type ObjectStore } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { PeerLinks } from './peers.js'

/** What the tasks need. */
export type LimitsTaskSpec = {
  readonly context: DaemonContext
  readonly store: ObjectStore
  readonly links: PeerLinks
  /** Until when the configuration is confirmed, by the monotonic clock. */
  readonly confirmedUntilMs: () => number
  readonly decodeTable: (value: unknown) => SeatTable | undefined
  /** Told of other seats, and of another time from which they may be used. */
  readonly onSeats: (seats: number, usableInMs: number, recall: string) => void
}

/** The running limits. */
export type LimitsTask = {
  /** Takes one token; gives the refusal where there is none in time. */
  readonly admit: (account: AccountName, deadlineAtMs: number) => Promise<Outcome | undefined>
  /** Answers another member that wants to borrow. */
  readonly lend: (params: PeerParams<'borrow'>) => Promise<PeerResult<'borrow'>>
  readonly takeManifest: (manifest: Manifest) => void
  readonly takeMembers: (live: readonly Member[]) => void
  /** Takes the platform's list, as it was at a time; only a fresh one may tell who is absent. */
  readonly takeList: (hosts: readonly ListedHost[], listedAtMs: number) => void
  /** Answers another member that has just started. */
  readonly recall: (params: PeerParams<'recallLoans'>) => Promise<PeerResult<'recallLoans'>>
  /** Gives the seats back. */
  readonly leave: () => void
  readonly stop: () => Promise<void>
}

/** An event whose time is put in when it is handled. */
type Untimed<E> = E extends { readonly nowMs: number } ? Omit<E, 'nowMs'> : never

type Message =
  | { readonly kind: 'event', readonly event: Untimed<LimitsEvent> }
  | { readonly kind: 'admitFor', readonly account: AccountName, readonly deadlineAtMs: number, readonly reply: Reply<Outcome | undefined> }
  | { readonly kind: 'recallBy', readonly from: HostName, readonly reply: Reply<RecallAnswer> }
  | { readonly kind: 'lendTo', readonly params: PeerParams<'borrow'>, readonly reply: Reply<PeerResult<'borrow'>> }

type Effect =
  | Extract<LimitsEffect, { readonly kind: 'borrow' | 'recall' }>
  | { readonly kind: 'answerRecall', readonly reply: Reply<RecallAnswer>, readonly answer: RecallAnswer }
  | { readonly kind: 'answerAdmit', readonly reply: Reply<Outcome | undefined>, readonly outcome: Outcome | undefined }
  | { readonly kind: 'answerLend', readonly reply: Reply<PeerResult<'borrow'>>, readonly result: PeerResult<'borrow'> }

type WaitingAdmission = { readonly account: AccountName, readonly reply: Reply<Outcome | undefined> }

type State = {
  readonly limits: LimitsState
  readonly admissions: ReadonlyMap<string, WaitingAdmission>
  readonly loans: ReadonlyMap<string, Reply<PeerResult<'borrow'>>>
  readonly recalls: ReadonlyMap<string, Reply<RecallAnswer>>
  readonly nextId: number
}

const mailboxCapacity = 65536
const seatsMailboxCapacity = 1024
const seatsTickMs = 200
/** Time between the turns of two hosts that read the same table. */
const readTurnMs = 6
/** How often a confirmation is taken in while it holds. */
const renewalsPerConfirmation = 4
const borrowTimeoutMs = 150
const recallTimeoutMs = 250
/** Hosts that start at the same time begin to listen a little later than each other. */
const recallRetryMs = 50
/** The timer service counts from the start of the process. */
const processStartMs = 0
/** Period of the ticks while nobody waits for a token. */
const restTickMs = 60
/** Kind of the seat tables in the store. */
const seatsKind = 'seats'

/**
 * Starts the limits and the seats.
 * @param spec - what they need
 * @returns the running tasks
 */
export function startLimits (spec: LimitsTaskSpec): LimitsTask {
  const { context } = spec
  const { timers, settings } = context
  const pace = new Latest<'idle' | 'active' | 'waiting'>('idle')
  const task = startTask<State, Message, Effect>({
    name: 'limits',
    initial: { limits: initialLimits(settings.host.name, processStartMs), admissions: new Map(), loans: new Map(), recalls: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError('limits'),
    step: (state, message) => {
      const transition = step(confirmed(state, spec.confirmedUntilMs(), timers.nowMs()), message, timers.nowMs())
      pace.publish(paceOf(transition.state))
      tellSeats(spec, state.limits, transition.state.limits)
      return transition
    },
    perform: (effect, port) => { perform(spec, effect, port) }
  })
  const tell = (event: Untimed<LimitsEvent>): void => { task.port.send({ kind: 'event', event }) }
  const seats = startSeats(spec, tell)
  const cancelTicks = pacedTicks(timers, () => pace.get() === 'waiting' ? limitsTickMs : restTickMs, {
    send: () => pace.get() === 'idle' ? 'accepted' : task.port.send({ kind: 'event', event: { kind: 'tick' } })
  })
  // The confirmation is taken in with each message; without one it would lapse while nobody asks.
  const cancelRenewals = timers.every(settings.control.confirmWithinMs / renewalsPerConfirmation, {
    send: () => task.port.send({ kind: 'event', event: { kind: 'tick' } })
  })
  return {
    admit: async (account, deadlineAtMs) => await ask<Message, Outcome | undefined>(task.port, reply => ({ kind: 'admitFor', account, deadlineAtMs, reply }), notRun('queueFull', 'too many requests wait for a token')),
    lend: async params => await ask<Message, PeerResult<'borrow'>>(task.port, reply => ({ kind: 'lendTo', params, reply }), { grant: undefined }),
    recall: async ({ from }) => await ask<Message, RecallAnswer>(task.port, reply => ({ kind: 'recallBy', from, reply }), { freeInMs: seatQuietMs, unusedMs: 0 }),
    takeManifest (manifest) {
      tell({ kind: 'manifestApplied', manifest })
      seats.port.send({ kind: 'manifestApplied', seats: manifest.seats, nowMs: timers.nowMs() })
    },
    takeMembers (live) {
      tell({ kind: 'membersChanged', live })
    },
    takeList (hosts, listedAtMs) {
      tell({ kind: 'hostsListed', hosts: hosts.map(({ host }) => host), listedAtMs })
      seats.port.send({ kind: 'hostsListed', hosts, nowMs: timers.nowMs() })
    },
    leave () {
      seats.port.send({ kind: 'stopping', nowMs: timers.nowMs() })
    },
    async stop () {
      cancelTicks()
      cancelRenewals()
      await Promise.all([seats.stop(), task.stop()])
    }
  }
}

function tellSeats (spec: LimitsTaskSpec, before: LimitsState, after: LimitsState): void {
  if (before.held === after.held) return
  const usableAtMs = Math.max(0, ...after.held.values())
  spec.onSeats(after.held.size, Math.max(0, Math.round(usableAtMs - spec.context.timers.nowMs())), after.recall.kind)
}

type Next = { readonly state: State, readonly effects: readonly Effect[] }

// Asked anew at each message: this host may have been paused since the last one.
function confirmed (state: State, confirmedUntilMs: number, nowMs: number): State {
  if (state.limits.confirmedUntilMs === confirmedUntilMs) return state
  return { ...state, limits: limitsStep(state.limits, { kind: 'confirmationChanged', confirmedUntilMs, nowMs }).state }
}

function step (state: State, message: Message, nowMs: number): Next {
  const id = String(state.nextId)
  const advanced = { ...state, nextId: state.nextId + 1 }
  switch (message.kind) {
    case 'event': return decide(state, { ...message.event, nowMs } as LimitsEvent)
    case 'admitFor': {
      const { account, deadlineAtMs: deadlineMs, reply } = message
      const admissions = new Map(state.admissions).set(id, { account, reply })
      return decide({ ...advanced, admissions }, { kind: 'admit', account, id, deadlineMs, nowMs })
    }
    case 'recallBy': {
      const recalls = new Map(state.recalls).set(id, message.reply)
      return decide({ ...advanced, recalls }, { kind: 'recallRequested', callId: id, from: message.from, nowMs })
    }
    case 'lendTo': {
      const loans = new Map(state.loans).set(id, message.reply)
      return decide({ ...advanced, loans }, { kind: 'borrowRequested', callId: id, ...message.params, nowMs })
    }
  }
}

function decide (state: State, event: LimitsEvent): Next {
  const { state: limits, effects } = limitsStep(state.limits, event)
  if (effects.length === 0) return { state: { ...state, limits }, effects: [] }
  const admissions = withoutReplies(state.admissions, effects.flatMap(effect => effect.kind === 'admitted' || effect.kind === 'refused' ? [effect.id] : []))
  const loans = withoutReplies(state.loans, effects.flatMap(effect => effect.kind === 'lend' ? [effect.callId] : []))
  const recalls = withoutReplies(state.recalls, effects.flatMap(effect => effect.kind === 'recalled' ? [effect.callId] : []))
  return { state: { ...state, limits, admissions, loans, recalls }, effects: effects.flatMap(effect => translate(state, effect)) }
}

function translate (state: State, effect: LimitsEffect): readonly Effect[] {
  switch (effect.kind) {
    case 'borrow':
    case 'recall': return [effect]
    case 'recalled': {
      const reply = state.recalls.get(effect.callId)
      return reply === undefined ? [] : [{ kind: 'answerRecall', reply, answer: effect.answer }]
    }
    case 'admitted': return answerAdmit(state, effect.id, () => undefined)
    case 'refused': return answerAdmit(state, effect.id, account => notRun('rateExceeded', `${account} is above its rate; retry after ${Math.ceil(effect.retryAfterMs)} ms`))
    case 'lend': {
      const reply = state.loans.get(effect.callId)
      return reply === undefined ? [] : [{ kind: 'answerLend', reply, result: { grant: effect.grant } }]
    }
  }
}

function answerAdmit (state: State, id: string, outcome: (account: AccountName) => Outcome | undefined): readonly Effect[] {
  const waiting = state.admissions.get(id)
  return waiting === undefined ? [] : [{ kind: 'answerAdmit', reply: waiting.reply, outcome: outcome(waiting.account) }]
}

function perform (spec: LimitsTaskSpec, effect: Effect, port: Port<Message>): void {
  switch (effect.kind) {
    case 'borrow': return void borrow(spec, effect, port)
    case 'recall': {
      for (const host of effect.to) void recallFrom(spec, host, port)
      return
    }
    case 'answerRecall': return effect.reply(effect.answer)
    case 'answerAdmit': return effect.reply(effect.outcome)
    case 'answerLend': return effect.reply(effect.result)
  }
}

async function borrow (spec: LimitsTaskSpec, effect: Extract<Effect, { readonly kind: 'borrow' }>, port: Port<Message>): Promise<void> {
  const { settings, incarnation } = spec.context
  const { to, request } = effect
  const answer = await spec.links.call(to, 'borrow', { from: settings.host.name, incarnation, request }, borrowTimeoutMs)
    .catch(() => ({ grant: undefined }))
  port.send({ kind: 'event', event: { kind: 'borrowAnswered', from: to, account: request.account, sequence: request.sequence, grant: answer.grant } })
}

// Asked until there is an answer or the seats have rested for long enough anyway.
async function recallFrom (spec: LimitsTaskSpec, host: HostName, port: Port<Message>): Promise<void> {
  const { timers, settings } = spec.context
  while (timers.nowMs() < processStartMs + seatQuietMs) {
    const answer = await spec.links.call(host, 'recallLoans', { from: settings.host.name }, recallTimeoutMs).catch(() => undefined)
    if (answer !== undefined) return void port.send({ kind: 'event', event: { kind: 'recallAnswered', from: host, answer } })
    await sleep(timers, recallRetryMs)
  }
}

function paceOf (state: State): 'idle' | 'active' | 'waiting' {
  if (state.admissions.size > 0) return 'waiting'
  return state.limits.active.size > 0 ? 'active' : 'idle'
}

function startSeats (spec: LimitsTaskSpec, tell: (event: Untimed<LimitsEvent>) => void): ReturnType<typeof startTask<SeatsState, SeatsEvent, SeatsEffect>> {
  const { context } = spec
  const task = startTask<SeatsState, SeatsEvent, SeatsEffect>({
    name: 'seats',
    initial: initialSeats({ host: context.settings.host.name, incarnation: context.incarnation }),
    capacity: seatsMailboxCapacity,
    onError: context.onTaskError('seats'),
    step: seatsStep,
    perform: (effect, port) => { performSeats(spec, tell, effect, port) }
  })
  context.timers.every(seatsTickMs, tickPort<SeatsEvent>(task.port, nowMs => ({ kind: 'tick', nowMs })))
  return task
}

function performSeats (spec: LimitsTaskSpec, tell: (event: Untimed<LimitsEvent>) => void, effect: SeatsEffect, port: Port<SeatsEvent>): void {
  switch (effect.kind) {
    case 'seatsChanged': return tell(effect)
    case 'readTable': return void readTable(spec, effect, port)
    case 'writeTable': return void writeTable(spec, effect, port)
  }
}

async function readTable (spec: LimitsTaskSpec, { table, turn }: Extract<SeatsEffect, { readonly kind: 'readTable' }>, port: Port<SeatsEvent>): Promise<void> {
  const { timers } = spec.context
  await sleep(timers, turn * readTurnMs)
  try {
    const object = await spec.store.getObject(seatsKind, table)
    port.send({ kind: 'tableRead', table: object === undefined ? undefined : spec.decodeTable(object.value), version: object?.version ?? 0, nowMs: timers.nowMs() })
  } catch {
    port.send({ kind: 'readFailed', nowMs: timers.nowMs() })
  }
}

async function writeTable (spec: LimitsTaskSpec, effect: Extract<SeatsEffect, { readonly kind: 'writeTable' }>, port: Port<SeatsEvent>): Promise<void> {
  const { timers } = spec.context
  const sentMs = timers.nowMs()
  const answered = await spec.store.putObject(seatsKind, effect.table, effect.version, effect.value).then(
    ({ version }) => ({ table: effect.value, version }),
    error => conflictingTable(spec, error)
  )
  const nowMs = timers.nowMs()
  port.send(answered === undefined ? { kind: 'writeEnded', nowMs } : { kind: 'writeAnswered', ...answered, sentMs, nowMs })
}

// The table that a write conflicted with, where the store tells it.
function conflictingTable (spec: LimitsTaskSpec, error: unknown): { readonly table: SeatTable | undefined, readonly version: number } | undefined {
  if (!(error instanceof StoreError)) {
    spec.context.onTaskError('seats')(error as Error)
    return undefined
  }
  const object = error.fault.kind === 'conflict' ? error.fault.object : undefined
  return object === undefined ? undefined : { table: spec.decodeTable(object.value), version: object.version }
}
