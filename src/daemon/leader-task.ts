// Leader task: acquires and renews the leader lease in the store, and orders
// promotions while this host holds the lease. It runs only with the promotion
// method 'byLeader': there the platform promotes on an order, so the lease and not
// a fence of a majority excludes a second proposer (see failover/settings.ts).

import * as z from 'zod'
import { initialLease, leaseDueAtMs, leaseStep, heldToken, type LeaseEffect, type LeaseEvent, type LeaseRecord, type LeaseState } from '../leader/index.js'
import type { DatabaseName, LeaseRenewal, ServerName } from '../model/index.js'
import { sleep, SnapshotPublisher, startTask, type Port } from '../pipe/index.js'
import { asError, currentEra, putObjectInEra, readObject, StoreError, type PromotionMethod, type PromotionResult } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** Dependencies of the task. */
export type LeaderSpec = {
  readonly context: DaemonContext
  /** Orders the platform to promote a server. */
  readonly order: Extract<PromotionMethod, { readonly kind: 'byLeader' }>['order']
  /** Called when this host acquires the lease or loses it. */
  readonly onLeaseChange: (isLeader: boolean, token: number) => void
  readonly onOrder: (database: DatabaseName, server: ServerName, token: number, result: PromotionResult) => void
  readonly onStoreFailure: () => void
}

/** The running task. */
export type LeaderTask = {
  readonly isLeader: () => boolean
  /** Records that another member reported in a heartbeat that it holds the lease. */
  readonly recordOtherLeader: (lease: LeaseRenewal | undefined) => void
  /** The last acknowledged renewal while this host holds the lease. */
  readonly renewal: () => LeaseRenewal | undefined
  /** Records that the store's answers show a higher era. */
  readonly recordEra: (era: number) => void
  readonly changeRank: (rank: number | undefined, isWatcher: boolean) => void
  readonly orderPromotion: (database: DatabaseName, server: ServerName) => Promise<PromotionResult>
  /**
   * Releases the lease before a planned stop, so that another host can acquire
   * it at once. This host orders nothing from then on; an order in progress ends
   * before the release is written.
   */
  readonly releaseLease: () => Promise<void>
  readonly stop: () => Promise<void>
}

/**
 * Kind and name of the lease in the store. Stored and reported names, also the
 * task name 'duty', keep the earlier word for the leader lease.
 */
const leaseObject = { kind: 'duties', name: 'promotion' } as const
const mailboxCapacity = 256
/**
 * Timeout of an order to the platform. Shorter than the `marginMs` of the lease,
 * so that the call ends before another host can acquire an expired lease.
 */
const orderTimeoutMs = 450
/** Longest wait of a planned stop for the release of the lease. */
const maxReleaseMs = 1500
const releasePollMs = 10

const recordSchema = z.object({ holder: z.string(), incarnation: z.string(), token: z.int(), renewal: z.int(), released: z.boolean(), era: z.int().optional() })

/**
 * Starts the task.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startLeaderTask (spec: LeaderSpec): LeaderTask {
  const { context } = spec
  const { timers, settings } = context
  const initial = initialLease({ host: settings.host.name, incarnation: context.incarnation })
  const published = new SnapshotPublisher(initial)
  const orders = new Set<Promise<PromotionResult>>()
  const task = startTask<LeaseState, LeaseEvent, LeaseEffect>({
    name: 'duty',
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError('duty'),
    schedule: { timers, dueAtMs: leaseDueAtMs, tick: nowMs => ({ kind: 'tick', nowMs }) },
    step: (state, event) => {
      const transition = leaseStep(state, event)
      published.publish(transition.state)
      reportChange(spec, state, transition.state)
      return transition
    },
    perform: (effect, port) => { void perform(spec, effect, orders, port) }
  })
  // Any answer may have shown a higher era before the task knows of it.
  const token = (): number | undefined => currentEra(context.ports.store) === published.get().era ? heldToken(published.get(), timers.nowMs()) : undefined
  return {
    isLeader: () => token() !== undefined,
    recordOtherLeader: lease => { task.port.send({ kind: 'otherHolderReported', lease, nowMs: timers.nowMs() }) },
    renewal: () => token() === undefined ? undefined : renewalOf(published.get().observed?.record),
    recordEra: era => { task.port.send({ kind: 'eraSeen', era, nowMs: timers.nowMs() }) },
    changeRank: (rank, isWatcher) => { task.port.send({ kind: 'rankChanged', rank, isWatcher }) },
    async orderPromotion (database, server) {
      const held = token()
      if (held === undefined) return 'refused'
      const order = spec.order({ database, server, holder: settings.host.name, token: held }, orderTimeoutMs)
      orders.add(order)
      const result = await order.finally(() => { orders.delete(order) })
      spec.onOrder(database, server, held, result)
      return result
    },
    async releaseLease () {
      const untilMs = timers.nowMs() + maxReleaseMs
      task.port.send({ kind: 'release' })
      while ((token() !== undefined || published.get().callInProgress) && timers.nowMs() < untilMs) await sleep(timers, releasePollMs)
    },
    stop: task.stop
  }
}

function renewalOf (record: LeaseRecord | undefined): LeaseRenewal | undefined {
  return record === undefined ? undefined : { token: record.token, renewal: record.renewal }
}

function reportChange (spec: LeaderSpec, before: LeaseState, after: LeaseState): void {
  if ((before.held === undefined) === (after.held === undefined)) return
  spec.onLeaseChange(after.held !== undefined, after.held?.token ?? before.held?.token ?? 0)
}

async function perform (spec: LeaderSpec, effect: LeaseEffect, orders: ReadonlySet<Promise<PromotionResult>>, port: Port<LeaseEvent>): Promise<void> {
  const { timers } = spec.context
  try {
    if (effect.kind === 'write' && effect.record.released) await Promise.allSettled(orders)
    port.send(await storeCall(spec, effect))
  } catch (error) {
    if (!(error instanceof StoreError)) spec.context.onTaskError('duty')(asError(error))
    else if (error.fault.kind !== 'conflict' && error.fault.kind !== 'eraChanged') spec.onStoreFailure()
    port.send({ kind: 'callFailed', nowMs: timers.nowMs() })
  }
}

async function storeCall (spec: LeaderSpec, effect: LeaseEffect): Promise<LeaseEvent> {
  const { timers, ports: { store } } = spec.context
  switch (effect.kind) {
    case 'read': {
      const { object, era } = await readObject(store, leaseObject.kind, leaseObject.name)
      return { kind: 'read', record: recordOf(object?.value), version: object?.version ?? 0, era, nowMs: timers.nowMs() }
    }
    case 'write': {
      const sentAtMs = timers.nowMs()
      const base = { version: effect.version, era: effect.record.era ?? 0 }
      const { version } = await putObjectInEra(store, leaseObject.kind, leaseObject.name, base, effect.record)
      return { kind: 'written', record: effect.record, version, sentAtMs, nowMs: timers.nowMs() }
    }
  }
}

// A value of another form counts as no lease; the conditional write with its version
// still protects the takeover.
function recordOf (value: unknown): LeaseRecord | undefined {
  const parsed = recordSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
