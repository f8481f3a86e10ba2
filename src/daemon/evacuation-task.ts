// Evacuation task: owns what this host knows of the evacuations of failure domains.
// Watchers watch the objects in the store and also list them periodically. All other
// hosts learn from the lists of servers that they get from a watcher; where these
// come too late, they query a watcher and then the store. The task runs only where
// the settings have `evacuate_ms`.

import { evacuationKind, evacuationListOf, evacuationsStep, hasSameEvacuations, unknownEvacuations, type EvacuationsEvent, type EvacuationsState } from '../evacuation/index.js'
import type { EvacuationList, FailureDomain, HostName } from '../model/index.js'
import { SnapshotPublisher, sleep, startTask, type Port, type Snapshot, type Task } from '../pipe/index.js'
import { asError, StoreError, watchInEra } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { PeerLinks } from './peers.js'

/** Dependencies of the task. */
export type EvacuationSpec = {
  readonly context: DaemonContext
  readonly links: PeerLinks
  /** Time from a request until nothing new reaches the domain's servers. */
  readonly evacuateMs: number
  /** True while this host is a watcher, one of the hosts that watch the store. */
  readonly isWatcher: () => boolean
  /** The other watchers. */
  readonly watchers: () => readonly HostName[]
  readonly onEvacuations: (state: EvacuationsState) => void
  /** Called with the longest possible time since the request; Infinity where nothing is known. */
  readonly onBegun: (domain: FailureDomain, sinceAgoMs: number) => void
  readonly onEnded: (domain: FailureDomain) => void
  readonly onStoreFailure: () => void
}

/** The running task. */
export type EvacuationTask = {
  readonly begin: () => void
  readonly state: Snapshot<EvacuationsState>
  /** The list for another member; undefined: nothing is known yet. */
  readonly list: () => EvacuationList | undefined
  /** Records the list of another member, which was asked for it at `sentAtMs`. */
  readonly recordList: (list: EvacuationList | undefined, sentAtMs: number) => void
  readonly stop: () => Promise<void>
}

type Message = { readonly kind: 'received', readonly event: EvacuationsEvent }

type Effect =
  | { readonly kind: 'evacuationsChanged', readonly state: EvacuationsState }
  | { readonly kind: 'begun', readonly domain: FailureDomain, readonly sinceMs: number }
  | { readonly kind: 'ended', readonly domain: FailureDomain }

const mailboxCapacity = 1024
/** Watch periods in `evacuateMs`; a watch that turns silent is noticed after one of them. */
const watchesPerEvacuation = 5
/**
 * Fraction of `evacuateMs` after which a list is too old. Query, own listing and the
 * query of all watchers have to fit in the rest (docs/PLATFORM.md).
 */
const maxListAgeFraction = 0.5
const maxWatchMs = 5000
/** Period of listings, which also find the ends that a store's watch does not report. */
const relistMs = 10_000
const retryMs = 300
const queryTimeoutMs = 500
/** Shortest pause of a host that waits for the list of a watcher to become too old. */
const minPauseMs = 200

/**
 * Starts the task.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startEvacuation (spec: EvacuationSpec): EvacuationTask {
  const { timers, onTaskError } = spec.context
  const published = new SnapshotPublisher(unknownEvacuations)
  const task: Task<Message> = startTask<EvacuationsState, Message, Effect>({
    name: 'evacuation',
    initial: unknownEvacuations,
    capacity: mailboxCapacity,
    onError: onTaskError('evacuation'),
    step: (state, { event }) => {
      const next = evacuationsStep(state, event)
      published.publish(next)
      return { state: next, effects: hasSameEvacuations(state, next) ? [] : [...changes(state, next), { kind: 'evacuationsChanged', state: next }] }
    },
    perform: effect => {
      switch (effect.kind) {
        case 'evacuationsChanged': return spec.onEvacuations(effect.state)
        case 'begun': return spec.onBegun(effect.domain, timers.nowMs() - effect.sinceMs)
        case 'ended': return spec.onEnded(effect.domain)
      }
    }
  })
  const stopping = { now: false }
  return {
    begin: () => { void run(spec, task.port, published, stopping).catch(onTaskError('evacuation')) },
    state: published,
    list: () => evacuationListOf(published.get(), timers.nowMs()),
    recordList: (list, sentAtMs) => { recordList(spec, task.port, list, sentAtMs) },
    stop: async () => {
      stopping.now = true
      await task.stop()
    }
  }
}

function changes (before: EvacuationsState, after: EvacuationsState): readonly Effect[] {
  const [earlier, later] = [before.requestedSinceMs, after.requestedSinceMs]
  return [
    ...[...later].filter(([domain]) => !earlier.has(domain)).map(([domain, sinceMs]): Effect => ({ kind: 'begun', domain, sinceMs })),
    ...[...earlier.keys()].filter(domain => !later.has(domain)).map((domain): Effect => ({ kind: 'ended', domain }))
  ]
}

function recordList (spec: EvacuationSpec, port: Port<Message>, list: EvacuationList | undefined, sentAtMs: number): void {
  if (list !== undefined) port.send({ kind: 'received', event: { kind: 'reported', list, sentAtMs, nowMs: spec.context.timers.nowMs() } })
}

type WatchState = {
  readonly position: { readonly revision: number, readonly era: number } | undefined
  readonly listedAtMs: number
}

const noWatch: WatchState = { position: undefined, listedAtMs: -Infinity }

async function run (spec: EvacuationSpec, port: Port<Message>, state: Snapshot<EvacuationsState>, stopping: { readonly now: boolean }): Promise<void> {
  const { timers, random } = spec.context
  let watch = noWatch
  while (!stopping.now) {
    const remainingMs = state.get().asOfMs + spec.evacuateMs * maxListAgeFraction - timers.nowMs()
    if (!spec.isWatcher() && (remainingMs > 0 || await queryOneWatcher(spec, port))) {
      watch = noWatch
      await sleep(timers, Math.max(minPauseMs, remainingMs))
      continue
    }
    try {
      watch = await readOnce(spec, port, watch)
    } catch (error) {
      watch = noWatch
      if (error instanceof StoreError && error.fault.kind === 'historyExpired') continue
      if (error instanceof StoreError) spec.onStoreFailure()
      else spec.context.onTaskError('evacuation')(asError(error))
      await Promise.all(spec.watchers().map(async watcher => await query(spec, port, watcher)))
      await sleep(timers, retryMs * (0.5 + random()))
    }
  }
}

async function readOnce (spec: EvacuationSpec, port: Port<Message>, watch: WatchState): Promise<WatchState> {
  const { timers, ports: { store } } = spec.context
  const asOfMs = timers.nowMs()
  const { position, listedAtMs } = watch
  if (position === undefined || asOfMs - listedAtMs >= relistMs) {
    const { revision, objects, era } = await store.listObjects(evacuationKind)
    port.send({ kind: 'received', event: { kind: 'listed', domains: objects.map(({ name }) => name), version: { asOfMs, revision, era: era || undefined }, nowMs: timers.nowMs() } })
    return { position: { revision, era: era ?? 0 }, listedAtMs: asOfMs }
  }
  const waitMs = Math.min(maxWatchMs, spec.evacuateMs / watchesPerEvacuation)
  const { revision, objects, removed, era } = await watchInEra(store, evacuationKind, position, waitMs)
  port.send({ kind: 'received', event: { kind: 'changed', domains: objects.map(({ name }) => name), removed, version: { asOfMs, revision, era: era || undefined }, nowMs: timers.nowMs() } })
  return { position: { ...position, revision }, listedAtMs }
}

async function queryOneWatcher (spec: EvacuationSpec, port: Port<Message>): Promise<boolean> {
  const watchers = spec.watchers()
  const watcher = watchers[Math.floor(spec.context.random() * watchers.length)]
  return watcher !== undefined && await query(spec, port, watcher)
}

// True where the watcher sent a list that is recent enough. A host of an earlier
// version sends none.
async function query (spec: EvacuationSpec, port: Port<Message>, watcher: HostName): Promise<boolean> {
  const { timers } = spec.context
  const sentAtMs = timers.nowMs()
  const { evacuations } = await spec.links.call(watcher, 'listServers', { known: '' }, queryTimeoutMs).catch(() => ({ evacuations: undefined }))
  recordList(spec, port, evacuations, sentAtMs)
  return evacuations !== undefined && timers.nowMs() - sentAtMs + evacuations.agoMs <= spec.evacuateMs * maxListAgeFraction
}
