// The limits task: owns this host's part of every account's rate and burst.
// The seats task beside it owns the seats that the part comes from and keeps
// them in the platform's store. Times of events are taken when an event is
// handled, because a host may be paused while one waits.

import { initialLimits, initialPartitions, limitsStep, limitsTickMs, partitionsStep, type LimitsEffect, type LimitsEvent, type LimitsState, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable } from '../limits/index.js'
import type { ListedHost, Member } from '../members/index.js'
import { notRun, type AccountName, type Manifest, type Outcome, type PeerParams, type PeerResult } from '../model/index.js'
import { ask, SnapshotPublisher, pacedTicks, sleep, startTask, tickPort, withoutAnswered, type Port, type Reply } from '../pipe/index.js'
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
  readonly decodeTable: (value: unknown) => PartitionTable | undefined
}

/** The running limits. */
export type LimitsTask = {
  /** Takes one token; gives the refusal where there is none in time. */
  readonly admit: (account: AccountName, deadlineAtMs: number) => Promise<Outcome | undefined>
  /** Answers another member that wants to borrow. */
  readonly lend: (params: PeerParams<'borrow'>) => Promise<PeerResult<'borrow'>>
  readonly applyManifest: (manifest: Manifest) => void
  readonly updateMembers: (live: readonly Member[]) => void
  /** Takes the platform's list; only a fresh one may tell who is absent. */
  readonly updateHosts: (hosts: readonly ListedHost[]) => void
  /** Gives the seats back. */
  readonly releasePartitions: () => void
  readonly stop: () => Promise<void>
}

/** An event whose time is put in when it is handled. */
type Untimed<E> = E extends { readonly nowMs: number } ? Omit<E, 'nowMs'> : never

type Message =
  | { readonly kind: 'event', readonly event: Untimed<LimitsEvent> }
  | { readonly kind: 'admitFor', readonly account: AccountName, readonly deadlineAtMs: number, readonly reply: Reply<Outcome | undefined> }
  | { readonly kind: 'lendTo', readonly params: PeerParams<'borrow'>, readonly reply: Reply<PeerResult<'borrow'>> }

type Effect =
  | Extract<LimitsEffect, { readonly kind: 'borrow' }>
  | { readonly kind: 'answerAdmit', readonly reply: Reply<Outcome | undefined>, readonly outcome: Outcome | undefined }
  | { readonly kind: 'answerLend', readonly reply: Reply<PeerResult<'borrow'>>, readonly result: PeerResult<'borrow'> }

type WaitingAdmission = { readonly account: AccountName, readonly reply: Reply<Outcome | undefined> }

type State = {
  readonly limits: LimitsState
  readonly admissions: ReadonlyMap<string, WaitingAdmission>
  readonly loans: ReadonlyMap<string, Reply<PeerResult<'borrow'>>>
  readonly nextId: number
}

const mailboxCapacity = 65536
const seatsMailboxCapacity = 1024
const seatsTickMs = 200
/** Reads of the table by all hosts are spread over this time. */
const readSpreadMs = 400
/** How often a confirmation is taken in while it holds. */
const renewalsPerConfirmation = 4
const borrowTimeoutMs = 150
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
  const pace = new SnapshotPublisher<'idle' | 'active' | 'waiting'>('idle')
  const task = startTask<State, Message, Effect>({
    name: 'limits',
    initial: { limits: initialLimits(settings.host.name, processStartMs), admissions: new Map(), loans: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError('limits'),
    step: (state, message) => {
      const transition = step(confirmed(state, spec.confirmedUntilMs(), timers.nowMs()), message, timers.nowMs())
      pace.publish(paceOf(transition.state))
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
    applyManifest (manifest) {
      tell({ kind: 'manifestApplied', manifest })
      seats.port.send({ kind: 'manifestApplied', partitionCount: manifest.seats, nowMs: timers.nowMs() })
    },
    updateMembers (live) {
      tell({ kind: 'membersChanged', live })
    },
    updateHosts (hosts) {
      seats.port.send({ kind: 'hostsListed', hosts, nowMs: timers.nowMs() })
    },
    releasePartitions () {
      seats.port.send({ kind: 'stopping', nowMs: timers.nowMs() })
    },
    async stop () {
      cancelTicks()
      cancelRenewals()
      await Promise.all([seats.stop(), task.stop()])
    }
  }
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
    case 'lendTo': {
      const loans = new Map(state.loans).set(id, message.reply)
      return decide({ ...advanced, loans }, { kind: 'borrowRequested', callId: id, ...message.params, nowMs })
    }
  }
}

function decide (state: State, event: LimitsEvent): Next {
  const { state: limits, effects } = limitsStep(state.limits, event)
  if (effects.length === 0) return { state: { ...state, limits }, effects: [] }
  const admissions = withoutAnswered(state.admissions, effects.flatMap(effect => effect.kind === 'admitted' || effect.kind === 'refused' ? [effect.id] : []))
  const loans = withoutAnswered(state.loans, effects.flatMap(effect => effect.kind === 'lend' ? [effect.callId] : []))
  return { state: { ...state, limits, admissions, loans }, effects: effects.flatMap(effect => translate(state, effect)) }
}

function translate (state: State, effect: LimitsEffect): readonly Effect[] {
  switch (effect.kind) {
    case 'borrow': return [effect]
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

function paceOf (state: State): 'idle' | 'active' | 'waiting' {
  if (state.admissions.size > 0) return 'waiting'
  return state.limits.active.size > 0 ? 'active' : 'idle'
}

function startSeats (spec: LimitsTaskSpec, tell: (event: Untimed<LimitsEvent>) => void): ReturnType<typeof startTask<PartitionsState, PartitionsEvent, PartitionsEffect>> {
  const { context } = spec
  const task = startTask<PartitionsState, PartitionsEvent, PartitionsEffect>({
    name: 'seats',
    initial: initialPartitions({ host: context.settings.host.name, incarnation: context.incarnation }),
    capacity: seatsMailboxCapacity,
    onError: context.onTaskError('seats'),
    step: partitionsStep,
    perform: (effect, port) => { performSeats(spec, tell, effect, port) }
  })
  context.timers.every(seatsTickMs, tickPort<PartitionsEvent>(task.port, nowMs => ({ kind: 'tick', nowMs })))
  return task
}

function performSeats (spec: LimitsTaskSpec, tell: (event: Untimed<LimitsEvent>) => void, effect: PartitionsEffect, port: Port<PartitionsEvent>): void {
  switch (effect.kind) {
    case 'seatsChanged': return tell(effect)
    case 'readTable': return void readTable(spec, effect.table, port)
    case 'writeTable': return void writeTable(spec, effect, port)
  }
}

// All hosts have cause to change the table at the same moments, so each reads it
// at a time of its own and writes right after.
async function readTable (spec: LimitsTaskSpec, table: string, port: Port<PartitionsEvent>): Promise<void> {
  const { timers, random } = spec.context
  await sleep(timers, random() * readSpreadMs)
  try {
    const object = await spec.store.getObject(seatsKind, table)
    port.send({ kind: 'tableRead', table: object === undefined ? undefined : spec.decodeTable(object.value), version: object?.version ?? 0, nowMs: timers.nowMs() })
  } catch {
    port.send({ kind: 'readFailed', nowMs: timers.nowMs() })
  }
}

// Whatever became of the write, the table is read again.
async function writeTable (spec: LimitsTaskSpec, effect: Extract<PartitionsEffect, { readonly kind: 'writeTable' }>, port: Port<PartitionsEvent>): Promise<void> {
  const { timers, onTaskError } = spec.context
  try {
    await spec.store.putObject(seatsKind, effect.table, effect.version, effect.value)
  } catch (error) {
    if (!(error instanceof StoreError)) onTaskError('seats')(error as Error)
  }
  port.send({ kind: 'writeEnded', nowMs: timers.nowMs() })
}
