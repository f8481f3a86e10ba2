// The home of one server: owns the sessions on it, the open transactions and
// the fair queue in front of its slots, and runs statements through the home's
// pipe.

import { redirected } from '../config/index.js'
import { homePipe, type HomeReply, type HomeRequest, type HomeServices, type HomeTransaction, type ServerCheck, type ServerSession, type TransactionTable, type Turn } from '../home/index.js'
import { covers, type ExecuteRequest, type Freshness, type HostName, type Position, type PrimaryView, type ServerDeclaration } from '../model/index.js'
import { ask, Latest, runPipe, sleep, startTask, type Reply, type Snapshot, type Transition, withoutReplies } from '../pipe/index.js'
import { fairQueueStep, initialFairQueue, replicaServesAge, type FairQueueEffect, type FairQueueEvent, type FairQueueState } from '../request/index.js'
import type { DaemonContext } from './context.js'
import type { DatabaseTask, DatabaseView } from './database-task.js'
import { ServerPool } from './session-pool.js'

/** What a home needs. */
export type HomeSpec = {
  readonly context: DaemonContext
  readonly server: ServerDeclaration
  readonly database: DatabaseTask
  readonly onFailure: (failure: string) => void
}

/** The running home of a server. */
export type HomeTask = {
  readonly execute: (request: ExecuteRequest) => Promise<HomeReply>
  /** Statements that run or wait, and open transactions. */
  readonly load: () => number
  /** Ends what runs or waits here for the primary, where the server no longer is it. */
  readonly primaryChanged: (view: PrimaryView) => void
  /** Gives up sessions that may be silent: idle ones, and those whose answers do not come. */
  readonly giveUpSilent: () => void
  /** Rolls back the transactions whose callers' hosts are gone. */
  readonly letGo: (silent: ReadonlySet<HostName>) => void
  readonly stop: () => Promise<void>
}

/** Sessions of each home that are kept free of the server's cap, for watches and probes. */
const controlSessions = 12
/** Homes that may share a server while two views of the members differ. */
const sharingHomes = 2
/** A transaction without a statement for this time is rolled back. */
const idleTransactionMs = 10_000
/** Time that a replica has to apply what it has received. */
const catchUpMs = 15
const catchUpPollMs = 2
/** Time that a session still has to answer once another one to the same server was found silent. */
const answerGraceMs = 200
/** Part of all open transactions on a server that one account may hold. */
const accountShareOfTransactions = 0.5
const sweepMs = 500
const queueTickMs = 10
const mailboxCapacity = 65536

/**
 * Starts the home of a server.
 * @param spec - what it needs
 * @returns the running home
 */
export function startHome (spec: HomeSpec): HomeTask {
  const { context, server } = spec
  const budget = Math.max(1, Math.floor((server.maxConnections - controlSessions) / sharingHomes))
  const pool = new ServerPool(context, {
    address: redirected(context.settings.links, server),
    budget,
    onFailure: spec.onFailure
  })
  const transactions = new Transactions(context, Math.max(1, budget - server.slots), session => { pool.discard(session) })
  const queue = startQueue(context, server)
  const { timers } = context
  const services: HomeServices = {
    nowMs: timers.nowMs,
    pool,
    transactions,
    check: async message => await checkServer(spec, message),
    queue: async message => ownsSession(message) ? freeTurn : await queue.enter(message),
    confirm: async (position, deadlineAtMs) => {
      const latestAtMs = timers.nowMs() + context.settings.limits.confirmTimeoutMs
      return await spec.database.confirm(position, Math.min(deadlineAtMs, latestAtMs))
    },
    primary: async () => spec.database.view.get().primary,
    applied: async () => spec.database.view.get().statuses.get(server.name)?.applied
  }
  const pipe = homePipe(services)
  let running = 0
  let wasPrimary = spec.database.view.get().primary.primary === server.name
  return {
    load: () => running + transactions.size,
    giveUpSilent () {
      pool.retireIdle()
      const beforeMs = timers.nowMs()
      timers.after(answerGraceMs, { send: () => { pool.giveUpStuck(beforeMs); return 'accepted' } })
    },
    primaryChanged (view) {
      const leads = view.primary === server.name
      if (wasPrimary && !leads) {
        queue.refuseWrites()
        pool.abandon()
      }
      wasPrimary = leads
    },
    letGo: silent => { transactions.letGo(silent) },
    async execute (request) {
      running += 1
      try {
        return await runPipe(pipe, { request, deadlineAtMs: timers.nowMs() + request.remainingMs })
      } finally {
        running -= 1
      }
    },
    stop: async () => {
      transactions.stop()
      pool.close()
      await queue.stop()
    }
  }
}

const freeTurn: Turn = { kind: 'turn', end: () => {} }

// A statement of an open transaction never waits in the queue: others that wait
// for its locks may hold all turns. BEGIN does wait, and the number of open
// transactions is bounded for each account and as a whole.
function ownsSession (message: HomeRequest): boolean {
  switch (message.request.mode.kind) {
    case 'inTransaction':
    case 'commit':
    case 'rollback': return true
    case 'read':
    case 'write':
    case 'begin': return false
  }
}

async function checkServer (spec: HomeSpec, message: HomeRequest): Promise<ServerCheck> {
  const { mode } = message.request
  const { server, database } = spec
  switch (mode.kind) {
    case 'inTransaction':
    case 'commit':
    case 'rollback': return { kind: 'may', role: 'primary' }
    case 'write':
    case 'begin': return leads(spec) ? { kind: 'may', role: 'primary' } : { kind: 'mayNot', reason: 'noPrimary', detail: `${server.name} is not the primary` }
    case 'read': return await checkRead(spec, mode.freshness, database.view)
  }
}

async function checkRead (spec: HomeSpec, freshness: Freshness, view: Snapshot<DatabaseView>): Promise<ServerCheck> {
  const { server, context } = spec
  switch (freshness.kind) {
    case 'floor': return await checkFloor(spec, freshness.position)
    case 'age': {
      const applied = appliedBy(spec)
      const fresh = applied !== undefined && replicaServesAge(view.get().age, applied, freshness.maxAgeMs, context.timers.nowMs())
      return fresh ? mayRead(spec) : { kind: 'mayNot', reason: 'behind', detail: `${server.name} is older than ${freshness.maxAgeMs} ms` }
    }
    case 'newest': {
      const newest = await spec.database.openFloor()
      if (newest === undefined) return { kind: 'mayNot', reason: 'noServer', detail: 'no majority of the servers told its position' }
      const verdict = await checkFloor(spec, newest)
      return verdict.kind === 'may' ? verdict : { ...verdict, newest }
    }
  }
}

// A replica that has received the floor gets a little time to apply it, which
// costs less than the way to the primary.
async function checkFloor (spec: HomeSpec, floor: Position): Promise<ServerCheck> {
  const { timers } = spec.context
  const untilMs = timers.nowMs() + catchUpMs
  while (!coversFloor(spec, floor)) {
    const received = spec.database.view.get().statuses.get(spec.server.name)?.received
    const isComing = received !== undefined && covers(received, floor)
    if (!isComing || timers.nowMs() >= untilMs) return { kind: 'mayNot', reason: 'behind', detail: `${spec.server.name} has not applied the session's floor` }
    await sleep(timers, catchUpPollMs)
  }
  return mayRead(spec)
}

// A primary holds everything up to its own term, whatever it told last.
function coversFloor (spec: HomeSpec, floor: Position): boolean {
  if (leads(spec)) return floor.term <= spec.database.view.get().primary.term
  const applied = appliedBy(spec)
  return applied !== undefined && covers(applied, floor)
}

function mayRead (spec: HomeSpec): ServerCheck {
  return { kind: 'may', role: leads(spec) ? 'primary' : 'replica' }
}

function leads (spec: HomeSpec): boolean {
  return spec.database.view.get().primary.primary === spec.server.name
}

function appliedBy (spec: HomeSpec): Position | undefined {
  return spec.database.view.get().statuses.get(spec.server.name)?.applied
}

type QueueMessage = FairQueueEvent
  /** The server leads no more: its waiting writes have to go elsewhere. */
  | { readonly kind: 'refuseWrites', readonly nowMs: number }
  | { readonly kind: 'enter', readonly request: HomeRequest, readonly nowMs: number, readonly reply: Reply<Turn> }

type QueueEffect =
  | { readonly kind: 'answer', readonly reply: Reply<Turn>, readonly effect: FairQueueEffect }
  | { readonly kind: 'turnAway', readonly reply: Reply<Turn> }

type Waiting = { readonly reply: Reply<Turn>, readonly isRead: boolean }

type QueueState = {
  readonly queue: FairQueueState
  readonly replies: ReadonlyMap<string, Waiting>
  readonly nextId: number
}

type QueueTask = {
  readonly enter: (request: HomeRequest) => Promise<Turn>
  readonly refuseWrites: () => void
  readonly stop: () => Promise<void>
}

function startQueue (context: DaemonContext, server: ServerDeclaration): QueueTask {
  const { timers, settings } = context
  const isWaiting = new Latest(false)
  const task = startTask<QueueState, QueueMessage, QueueEffect>({
    name: `queue ${server.name}`,
    initial: { queue: initialFairQueue({ slots: server.slots, maxWaiting: settings.limits.queueLength }), replies: new Map(), nextId: 1 },
    capacity: mailboxCapacity,
    onError: context.onTaskError(`queue ${server.name}`),
    step: (state, message) => {
      const transition = queueStep(state, message)
      isWaiting.publish(transition.state.queue.waitingCount > 0)
      return transition
    },
    perform: (effect, port) => {
      switch (effect.kind) {
        case 'turnAway': return effect.reply({ kind: 'refused', reason: 'noPrimary' })
        case 'answer': return effect.reply(turnFor(effect.effect, timers.nowMs(), (id, tookMs) => {
          port.send({ kind: 'finished', id, tookMs, nowMs: timers.nowMs() })
        }, timers.nowMs))
      }
    }
  })
  const cancel = timers.every(queueTickMs, {
    send: tick => isWaiting.get() ? task.port.send(tick) : 'accepted'
  })
  return {
    enter: async request => await ask<QueueMessage, Turn>(task.port, reply => ({ kind: 'enter', request, nowMs: timers.nowMs(), reply }), { kind: 'refused', reason: 'queueFull' }),
    refuseWrites: () => { task.port.send({ kind: 'refuseWrites', nowMs: timers.nowMs() }) },
    stop: async () => {
      cancel()
      await task.stop()
    }
  }
}

function queueStep (state: QueueState, message: QueueMessage): Transition<QueueState, QueueEffect> {
  if (message.kind === 'refuseWrites') return refuseWrites(state, message.nowMs)
  if (message.kind !== 'enter') return answerAll(state, fairQueueStep(state.queue, message))
  const id = String(state.nextId)
  const { request, deadlineAtMs } = message.request
  const offered = fairQueueStep(state.queue, { kind: 'offered', id, account: request.account, weight: request.weight, deadlineAtMs, nowMs: message.nowMs })
  const waiting = { ...state, nextId: state.nextId + 1, replies: new Map(state.replies).set(id, { reply: message.reply, isRead: request.mode.kind === 'read' }) }
  return answerAll(waiting, offered)
}

function refuseWrites (state: QueueState, nowMs: number): Transition<QueueState, QueueEffect> {
  const writes = [...state.replies].filter(([, waiting]) => !waiting.isRead)
  const turnedAway = writes.map(([, { reply }]): QueueEffect => ({ kind: 'turnAway', reply }))
  const left = { ...state, replies: withoutReplies(state.replies, writes.map(([id]) => id)) }
  return writes.reduce<Transition<QueueState, QueueEffect>>((done, [id]) => {
    const after = answerAll(done.state, fairQueueStep(done.state.queue, { kind: 'cancelled', id, nowMs }))
    return { state: after.state, effects: [...done.effects, ...after.effects] }
  }, { state: left, effects: turnedAway })
}

function answerAll (state: QueueState, transition: Transition<FairQueueState, FairQueueEffect>): Transition<QueueState, QueueEffect> {
  const { state: queue, effects } = transition
  if (effects.length === 0) return { state: { ...state, queue }, effects: [] }
  const replies = withoutReplies(state.replies, effects.map(effect => effect.id))
  const answers = effects.flatMap((effect): readonly QueueEffect[] => {
    const reply = state.replies.get(effect.id)?.reply
    return reply === undefined ? [] : [{ kind: 'answer', reply, effect }]
  })
  return { state: { ...state, queue, replies }, effects: answers }
}

function turnFor (effect: FairQueueEffect, startedAtMs: number, finish: (id: string, tookMs: number) => void, nowMs: () => number): Turn {
  switch (effect.kind) {
    case 'start': return { kind: 'turn', end: () => { finish(effect.id, nowMs() - startedAtMs) } }
    case 'refuse': return { kind: 'refused', reason: effect.reason }
  }
}

type HeldTransaction = HomeTransaction & { readonly usedAtMs: number, readonly busy: boolean }

/** The open transactions of one server. */
class Transactions implements TransactionTable {
  readonly #context: DaemonContext
  readonly #capacity: number
  readonly #discard: (session: ServerSession) => void
  readonly #held = new Map<string, HeldTransaction>()
  readonly #cancel: () => void
  #nextId = 1

  constructor (context: DaemonContext, capacity: number, discard: (session: ServerSession) => void) {
    this.#context = context
    this.#capacity = capacity
    this.#discard = discard
    this.#cancel = context.timers.every(sweepMs, { send: tick => { this.#sweep(tick.nowMs); return 'accepted' } })
  }

  get size (): number {
    return this.#held.size
  }

  open (account: string, from: HostName, session: ServerSession): string | undefined {
    if (this.#held.size >= this.#capacity || this.#heldBy(account) >= this.#capacity * accountShareOfTransactions) return undefined
    const id = `${this.#context.incarnation}.${this.#nextId}`
    this.#nextId += 1
    this.#held.set(id, { id, account, from, session, usedAtMs: this.#context.timers.nowMs(), busy: false })
    return id
  }

  take (id: string, account: string): HomeTransaction | undefined {
    const held = this.#held.get(id)
    if (held === undefined || held.busy || held.account !== account) return undefined
    this.#held.set(id, { ...held, busy: true })
    return held
  }

  putBack (transaction: HomeTransaction): void {
    this.#held.set(transaction.id, { ...transaction, usedAtMs: this.#context.timers.nowMs(), busy: false })
  }

  remove (transaction: HomeTransaction): void {
    this.#held.delete(transaction.id)
  }

  stop (): void {
    this.#cancel()
    for (const held of this.#held.values()) this.#discard(held.session)
    this.#held.clear()
  }

  // Rolls back the transactions whose callers' hosts are gone.
  letGo (silent: ReadonlySet<HostName>): void {
    for (const held of this.#held.values()) {
      if (held.busy || !silent.has(held.from)) continue
      this.#held.delete(held.id)
      this.#discard(held.session)
    }
  }

  #heldBy (account: string): number {
    return [...this.#held.values()].filter(held => held.account === account).length
  }

  #sweep (nowMs: number): void {
    for (const held of this.#held.values()) {
      if (held.busy || nowMs - held.usedAtMs < idleTransactionMs) continue
      this.#held.delete(held.id)
      this.#discard(held.session)
    }
  }
}
