// Limits task: owns this host's quota of the rate and burst of every account. The
// partitions task next to it owns the quota partitions that the quota is derived
// from and keeps their table in the platform's store. The time of an event is read
// when the event is handled, because the host may be paused while the event waits.

import type { Admission } from '../admission/index.js'
import { initialLimits, initialPartitions, layoutOf, limitsDueAtMs, limitsStep, partitionHandoverMs, partitionsDueAtMs, partitionsStep, type Confirmation, type AdmissionMode, type LimitsEffect, type LimitsEvent, type LimitsState, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable } from '../limits/index.js'
import type { ListedHost, Member } from '../members/index.js'
import { notRun, type AccountName, type HostName, type LoanReset, type Manifest, type Outcome, type PeerParams, type PeerResult } from '../model/index.js'
import { ask, sleep, startTask, withoutAnswered, type Port, type Reply } from '../pipe/index.js'
import { currentEra, putObjectInEra, readObject, StoreError, type ObjectStore } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { PeerLinks } from './peers.js'

/** Dependencies of both tasks. */
export type LimitsTaskSpec = {
  readonly context: DaemonContext
  readonly store: ObjectStore
  readonly links: PeerLinks
  /** When the confirmation of the configuration expires, and the contact to the fleet. */
  readonly confirmation: () => Confirmation
  readonly decodeTable: (value: unknown) => PartitionTable | undefined
}

/** The running limits and partitions tasks. */
export type LimitsTask = {
  /**
   * Takes one token, or lets the dispatcher take it where the mode is `delegable`; a
   * refusal where no token is available by the deadline.
   */
  readonly admit: (account: AccountName, deadlineAtMs: number, mode: AdmissionMode) => Promise<Admission>
  /** Records that a dispatcher refused a statement of the account for its rate. */
  readonly delegationRefused: (account: AccountName) => void
  /** Gives up the loans of a member's previous process. */
  readonly resetLoans: (lender: HostName) => Promise<PeerResult<'resetLoans'>>
  /** Answers the borrow request of another member. */
  readonly lend: (params: PeerParams<'borrow'>) => Promise<PeerResult<'borrow'>>
  readonly applyManifest: (manifest: Manifest) => void
  readonly updateMembers: (live: readonly Member[]) => void
  /**
   * Applies the platform's host list. The partitions of absent hosts are reclaimed,
   * so a stale list could free partitions in use; the members task passes on fresh
   * lists only (`freshListMs`).
   */
  readonly updateHosts: (hosts: readonly ListedHost[]) => void
  /** A higher era of the store was heard of, or is settled. */
  readonly recordEra: (event: { readonly kind: 'eraHeard' | 'eraSettled', readonly era: number }) => void
  /** Releases the partitions of this host. */
  readonly releasePartitions: () => void
  readonly stop: () => Promise<void>
}

/** An event whose time is set when the event is handled. */
type Untimed<E> = E extends { readonly nowMs: number } ? Omit<E, 'nowMs'> : never

type Message =
  | { readonly kind: 'event', readonly event: Untimed<LimitsEvent> }
  | { readonly kind: 'admitRequest', readonly account: AccountName, readonly deadlineAtMs: number, readonly mode: AdmissionMode, readonly reply: Reply<Admission> }
  | { readonly kind: 'resetRequest', readonly lender: HostName, readonly reply: Reply<PeerResult<'resetLoans'>> }
  | { readonly kind: 'lendRequest', readonly params: PeerParams<'borrow'>, readonly reply: Reply<PeerResult<'borrow'>> }

type Effect =
  | Extract<LimitsEffect, { readonly kind: 'borrow' }>
  | { readonly kind: 'answerAdmit', readonly reply: Reply<Admission>, readonly admission: Admission }
  | { readonly kind: 'answerReset', readonly reply: Reply<PeerResult<'resetLoans'>>, readonly result: PeerResult<'resetLoans'> }
  | { readonly kind: 'answerLend', readonly reply: Reply<PeerResult<'borrow'>>, readonly result: PeerResult<'borrow'> }

type WaitingAdmission = { readonly account: AccountName, readonly mode: AdmissionMode, readonly reply: Reply<Admission> }

type State = {
  readonly limits: LimitsState
  readonly admissions: ReadonlyMap<string, WaitingAdmission>
  readonly loans: ReadonlyMap<string, Reply<PeerResult<'borrow'>>>
  readonly resets: ReadonlyMap<string, Reply<PeerResult<'resetLoans'>>>
  readonly nextId: number
}

const mailboxCapacity = 65536
const partitionsMailboxCapacity = 1024
/** Interval over which the table reads of the hosts that own partitions are spread. */
const readSpreadMs: { readonly perHost: number, readonly max: number } = { perHost: 10, max: 400 }
/** Number of times that the expiry is read during the validity of one confirmation. */
const renewalsPerConfirmation = 4
const borrowTimeoutMs = 150
const resetTimeoutMs = 300
const resetRetryMs = 100
/**
 * Start of the process: the timer service's clock starts at 0 with the process. The
 * handover delay of partitions reacquired from an earlier incarnation counts from it,
 * unless a confirmation has expired since.
 */
const processStartMs = 0
/**
 * Kind of the partition tables in the store. `seats` is the stored and reported name
 * of the quota partitions, also in the manifest and as the task name.
 */
const partitionsKind = 'seats'

/**
 * Starts the limits task and the partitions task.
 * @param spec - dependencies of both tasks
 * @returns the running tasks
 */
export function startLimits (spec: LimitsTaskSpec): LimitsTask {
  const { context } = spec
  const { timers, settings } = context
  const task = startTask<State, Message, Effect>({
    name: 'limits',
    initial: { limits: initialLimits(settings.host.name, processStartMs), admissions: new Map(), loans: new Map(), resets: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError('limits'),
    step: (state, message) => {
      return step(withConfirmation(state, spec.confirmation(), timers.nowMs()), message, timers.nowMs())
    },
    schedule: { timers, dueAtMs: state => limitsDueAtMs(state.limits, timers.nowMs()), tick: () => ({ kind: 'event', event: { kind: 'tick' } }) },
    perform: (effect, port) => { perform(spec, effect, port) }
  })
  const send = (event: Untimed<LimitsEvent>): void => { task.port.send({ kind: 'event', event }) }
  let listed: readonly HostName[] = []
  let isClearing = false
  const partitions = startPartitions(spec, event => {
    send(event)
    if (isClearing || event.kind !== 'partitionsChanged' || event.reacquired.size === 0) return
    isClearing = true
    void clearLoans(spec, listed, send)
  })
  // The expiry is read with each message; without these ticks the confirmation
  // would expire while no request comes.
  const cancelRenewals = timers.every(settings.control.confirmWithinMs / renewalsPerConfirmation, {
    send: () => task.port.send({ kind: 'event', event: { kind: 'tick' } })
  })
  return {
    async admit (account, deadlineAtMs, mode) {
      const admission = await ask<Message, Admission>(task.port, reply => ({ kind: 'admitRequest', account, deadlineAtMs, mode, reply }), { kind: 'refused', outcome: notRun('queueFull', 'too many requests wait for a token') })
      context.activity.add('admission', mode === 'delegated' ? `${admission.kind} for a peer` : admission.kind)
      return admission
    },
    delegationRefused (account) {
      send({ kind: 'delegationRefused', account })
    },
    resetLoans: async lender => await ask<Message, PeerResult<'resetLoans'>>(task.port, reply => ({ kind: 'resetRequest', lender, reply }), { reset: undefined }),
    lend: async params => await ask<Message, PeerResult<'borrow'>>(task.port, reply => ({ kind: 'lendRequest', params, reply }), { grant: undefined }),
    applyManifest (manifest) {
      send({ kind: 'manifestApplied', manifest })
      partitions.port.send({ kind: 'manifestApplied', partitionCount: manifest.seats, nowMs: timers.nowMs() })
    },
    updateMembers (live) {
      send({ kind: 'membersChanged', live })
    },
    updateHosts (hosts) {
      listed = hosts.map(({ host }) => host)
      send({ kind: 'layoutChanged', layout: layoutOf(hosts) })
      partitions.port.send({ kind: 'hostsListed', hosts, nowMs: timers.nowMs() })
    },
    recordEra (event) {
      partitions.port.send({ ...event, nowMs: timers.nowMs() })
    },
    releasePartitions () {
      partitions.port.send({ kind: 'stopping', nowMs: timers.nowMs() })
    },
    async stop () {
      cancelRenewals()
      await Promise.all([partitions.stop(), task.stop()])
    }
  }
}

type Next = { readonly state: State, readonly effects: readonly Effect[] }

// Reads the expiry again for each message, because the host may have been paused
// since the last one.
function withConfirmation (state: State, confirmation: Confirmation, nowMs: number): State {
  const { confirmedUntilMs, contactUntilMs } = state.limits.confirmation
  if (confirmedUntilMs === confirmation.confirmedUntilMs && contactUntilMs === confirmation.contactUntilMs) return state
  return { ...state, limits: limitsStep(state.limits, { kind: 'confirmationChanged', confirmation, nowMs }).state }
}

function step (state: State, message: Message, nowMs: number): Next {
  const id = String(state.nextId)
  const advanced = { ...state, nextId: state.nextId + 1 }
  switch (message.kind) {
    case 'event': return decide(state, { ...message.event, nowMs } as LimitsEvent)
    case 'admitRequest': {
      const { account, deadlineAtMs: deadlineMs, mode, reply } = message
      const admissions = new Map(state.admissions).set(id, { account, mode, reply })
      return decide({ ...advanced, admissions }, { kind: 'admit', account, id, deadlineMs, mode, nowMs })
    }
    case 'resetRequest': {
      const resets = new Map(state.resets).set(id, message.reply)
      return decide({ ...advanced, resets }, { kind: 'resetLoans', callId: id, lender: message.lender, nowMs })
    }
    case 'lendRequest': {
      const loans = new Map(state.loans).set(id, message.reply)
      return decide({ ...advanced, loans }, { kind: 'borrowRequested', callId: id, ...message.params, nowMs })
    }
  }
}

function decide (state: State, event: LimitsEvent): Next {
  const { state: limits, effects } = limitsStep(state.limits, event)
  if (effects.length === 0) return { state: { ...state, limits }, effects: [] }
  const admissions = withoutAnswered(state.admissions, effects.flatMap(effect => effect.kind === 'admitted' || effect.kind === 'delegated' || effect.kind === 'refused' ? [effect.id] : []))
  const loans = withoutAnswered(state.loans, effects.flatMap(effect => effect.kind === 'lend' ? [effect.callId] : []))
  const resets = withoutAnswered(state.resets, effects.flatMap(effect => effect.kind === 'loansReset' ? [effect.callId] : []))
  return { state: { ...state, limits, admissions, loans, resets }, effects: effects.flatMap(effect => toEffects(state, effect)) }
}

function toEffects (state: State, effect: LimitsEffect): readonly Effect[] {
  switch (effect.kind) {
    case 'borrow': return [effect]
    case 'admitted': return answerAdmit(state, effect.id, () => ({ kind: 'admitted' }))
    case 'delegated': return answerAdmit(state, effect.id, () => ({ kind: 'delegated' }))
    case 'refused': return answerAdmit(state, effect.id, admission => ({ kind: 'refused', outcome: refusalOf(admission, effect) }))
    case 'loansReset': {
      const reply = state.resets.get(effect.callId)
      return reply === undefined ? [] : [{ kind: 'answerReset', reply, result: { reset: { clearInMs: effect.clearInMs, unusedMs: effect.unusedMs } } }]
    }
    case 'lend': {
      const reply = state.loans.get(effect.callId)
      return reply === undefined ? [] : [{ kind: 'answerLend', reply, result: { grant: effect.grant } }]
    }
  }
}

// The entry host of a delegated statement may be confirmed where this host is not; it
// then takes the token itself.
function refusalOf ({ account, mode }: WaitingAdmission, { cause, retryAfterMs }: Extract<LimitsEffect, { readonly kind: 'refused' }>): Outcome {
  if (mode === 'delegated' && cause === 'unconfirmed') return notRun('unconfirmedConfiguration', 'the configuration of the dispatcher is not confirmed')
  return notRun('rateExceeded', `${account} is above its rate; retry after ${Math.ceil(retryAfterMs)} ms`)
}

function answerAdmit (state: State, id: string, admission: (waiting: WaitingAdmission) => Admission): readonly Effect[] {
  const waiting = state.admissions.get(id)
  return waiting === undefined ? [] : [{ kind: 'answerAdmit', reply: waiting.reply, admission: admission(waiting) }]
}

function perform (spec: LimitsTaskSpec, effect: Effect, port: Port<Message>): void {
  switch (effect.kind) {
    case 'borrow': return void borrow(spec, effect, port)
    case 'answerAdmit': return effect.reply(effect.admission)
    case 'answerReset': return effect.reply(effect.result)
    case 'answerLend': return effect.reply(effect.result)
  }
}

async function borrow (spec: LimitsTaskSpec, effect: Extract<Effect, { readonly kind: 'borrow' }>, port: Port<Message>): Promise<void> {
  const { settings, incarnation } = spec.context
  const { to, request } = effect
  const response = await spec.links.call(to, 'borrow', { from: settings.host.name, incarnation, request }, borrowTimeoutMs)
    .catch(() => ({ grant: undefined }))
  port.send({ kind: 'event', event: { kind: 'borrowAnswered', from: to, account: request.account, sequence: request.sequence, grant: response.grant } })
}

// Asks every listed host to give up the loans of the previous process on this host.
// Hosts may restart at the same time, so one that does not answer is asked again. A
// host that never answers leaves the handover delay as it is.
async function clearLoans (spec: LimitsTaskSpec, hosts: readonly HostName[], send: (event: Untimed<LimitsEvent>) => void): Promise<void> {
  const { timers, settings } = spec.context
  let pending = hosts.filter(host => host !== settings.host.name)
  let clearMs = timers.nowMs()
  let unusedFromMs = processStartMs
  while (pending.length > 0 && timers.nowMs() < processStartMs + partitionHandoverMs) {
    const sentMs = timers.nowMs()
    const answers = await Promise.all(pending.map(async host => ({ host, result: await resetLoansAt(spec, host) })))
    for (const { result } of answers) {
      clearMs = Math.max(clearMs, timers.nowMs() + (result?.clearInMs ?? 0))
      unusedFromMs = Math.max(unusedFromMs, result === undefined ? sentMs : timers.nowMs() - result.unusedMs)
    }
    pending = answers.filter(({ result }) => result === undefined).map(({ host }) => host)
    if (pending.length > 0) await sleep(timers, resetRetryMs)
  }
  if (pending.length === 0) send({ kind: 'loansCleared', clearMs, unusedFromMs })
}

async function resetLoansAt (spec: LimitsTaskSpec, host: HostName): Promise<LoanReset | undefined> {
  const { reset } = await spec.links.call(host, 'resetLoans', { from: spec.context.settings.host.name }, resetTimeoutMs).catch(() => ({ reset: undefined }))
  return reset
}

function startPartitions (spec: LimitsTaskSpec, send: (event: Untimed<LimitsEvent>) => void): ReturnType<typeof startTask<PartitionsState, PartitionsEvent, PartitionsEffect>> {
  const { context } = spec
  return startTask<PartitionsState, PartitionsEvent, PartitionsEffect>({
    name: 'seats',
    initial: initialPartitions({ host: context.settings.host.name, incarnation: context.incarnation }),
    capacity: partitionsMailboxCapacity,
    onError: context.onTaskError('seats'),
    step: partitionsStep,
    schedule: { timers: context.timers, dueAtMs: partitionsDueAtMs, tick: nowMs => ({ kind: 'tick', nowMs }) },
    perform: (effect, port) => { performPartitions(spec, send, effect, port) }
  })
}

function performPartitions (spec: LimitsTaskSpec, send: (event: Untimed<LimitsEvent>) => void, effect: PartitionsEffect, port: Port<PartitionsEvent>): void {
  switch (effect.kind) {
    case 'partitionsChanged': return send(effect)
    case 'readTable': return void readTable(spec, effect, port)
    case 'writeTable': return void writeTable(spec, effect, port)
  }
}

// Events that make hosts change the table reach all hosts at about the same time,
// so each host reads the table after a random delay and writes right after the
// read. This avoids conflicts.
async function readTable (spec: LimitsTaskSpec, { table, hosts }: Extract<PartitionsEffect, { readonly kind: 'readTable' }>, port: Port<PartitionsEvent>): Promise<void> {
  const { timers, random } = spec.context
  await sleep(timers, random() * Math.min(readSpreadMs.max, hosts * readSpreadMs.perHost))
  try {
    port.send({ ...await readTableOfEra(spec, table), nowMs: timers.nowMs() })
  } catch {
    port.send({ kind: 'readFailed', nowMs: timers.nowMs() })
  }
}

// The name in era 0 is the plain one.
function tableName (table: string, era: number): string {
  return era === 0 ? table : `${table}.${era}`
}

type TableRead = Untimed<Extract<PartitionsEvent, { readonly kind: 'tableRead' | 'copyRead' }>>

async function readTableOfEra ({ store, decodeTable }: LimitsTaskSpec, table: string): Promise<TableRead> {
  const { object, era } = await readInNamedEra(store, table)
  if (object !== undefined || era === 0) return { kind: 'tableRead', table: decodeTable(object?.value), version: object?.version ?? 0, era }
  const { objects } = await store.listObjects(partitionsKind)
  const eraByName = new Map(Array.from({ length: era }, (_, earlier) => [tableName(table, earlier), earlier]))
  const earlier = objects.filter(({ name }) => eraByName.has(name)).sort((a, b) => (eraByName.get(b.name) ?? 0) - (eraByName.get(a.name) ?? 0))
  return { kind: 'copyRead', table: decodeTable(earlier[0]?.value), era }
}

// The answer may show that the era has risen; the name is then that of another era.
async function readInNamedEra (store: ObjectStore, table: string): Promise<Awaited<ReturnType<typeof readObject>>> {
  const era = currentEra(store)
  const read = await readObject(store, partitionsKind, tableName(table, era))
  return currentEra(store) === era ? read : await readInNamedEra(store, table)
}

async function writeTable (spec: LimitsTaskSpec, effect: Extract<PartitionsEffect, { readonly kind: 'writeTable' }>, port: Port<PartitionsEvent>): Promise<void> {
  const { timers, onTaskError } = spec.context
  const sentMs = timers.nowMs()
  try {
    const era = effect.value.era ?? 0
    const { version } = await putObjectInEra(spec.store, partitionsKind, tableName(effect.table, era), { version: effect.version, era }, effect.value)
    port.send({ kind: 'written', table: effect.value, version, sentMs })
  } catch (error) {
    if (!(error instanceof StoreError)) onTaskError('seats')(error as Error)
    port.send({ kind: 'writeEnded', nowMs: timers.nowMs() })
  }
}
