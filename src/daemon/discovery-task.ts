// Discovery task: owns the list of the servers that register in the store.
// Watchers watch the store and also list the servers periodically, because a watch
// may become unresponsive. All other hosts, and a watcher without an answer from
// the store, query a watcher.

import { hasSameServers, hasUnknownEnding, noServers, serversDueAtMs, serversStep, withoutStart, type ServersEvent, type ServersState } from '../discovery/index.js'
import type { DiscoveredServer, EvacuationList, HostName, MemberState, ServerList } from '../model/index.js'
import { SnapshotPublisher, sleep, startTask, type Port, type Snapshot } from '../pipe/index.js'
import { asError, StoreError, watchInEra, type ServerSource } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import { listDigest } from './list-digest.js'
import type { PeerLinks } from './peers.js'

/** Where a list or change of the servers came from. */
export type ListOrigin = {
  /** `store`, or the host that sent its list. */
  readonly source: 'store' | HostName
  /** Time since the store's response that the list is from. */
  readonly ageMs: number
}

type Message =
  | { readonly kind: 'received', readonly event: ServersEvent, readonly origin: ListOrigin }
  | { readonly kind: 'tick', readonly nowMs: number }

type Effect =
  | { readonly kind: 'serversChanged', readonly state: ServersState }
  | { readonly kind: 'serverStateChanged', readonly server: DiscoveredServer, readonly origin: ListOrigin }

/** Dependencies of the task. */
export type DiscoverySpec = {
  readonly context: DaemonContext
  readonly source: Extract<ServerSource, { readonly kind: 'registered' }>
  readonly links: PeerLinks
  /** True while this host is a watcher, one of the hosts that watch the store. */
  readonly isWatcher: () => boolean
  /** The other watchers. */
  readonly watchers: () => readonly HostName[]
  readonly onServers: (state: ServersState) => void
  /** Called with the state that a watcher sent with its list. */
  readonly onPeerState: (from: MemberState, sentAtMs: number) => void
  /** Called with the evacuations that a watcher sent with its list. */
  readonly onEvacuations: (list: EvacuationList | undefined, sentAtMs: number) => void
  /** Called when a server that was known before has announced that it leaves, or is active again. */
  readonly onServerStateChanged: (server: DiscoveredServer, list: ListOrigin) => void
  readonly onStoreFailure: () => void
  /** Called once with the name of each entry that is no valid server. */
  readonly onInvalidEntry: (name: string) => void
}

/** The running task. */
export type DiscoveryTask = {
  readonly begin: () => void
  readonly state: Snapshot<ServersState>
  /**
   * The server list, for another member that has the list with digest `known`;
   * undefined: none yet.
   */
  readonly list: (known: string) => ServerList | undefined
  readonly stop: () => Promise<void>
}

const fromStore: ListOrigin = { source: 'store', ageMs: 0 }
const mailboxCapacity = 1024
const maxWatchMs = 5000
/**
 * Watch periods in the drain time of a server. A silent watch, the age of a list and
 * the period of the queries add up before a host knows of a leaving server.
 */
const watchesPerDrain = 7
/** Age in watch periods up to which the list of a watcher is used in place of the store's. */
const maxListAgeWatches = 2.5
/** Shortest time between two checks for missing entries whose time is over. */
const minExpiryCheckMs = 500
/** Period of listings, which bounds the delay when a watch is unresponsive. */
const relistMs = 10_000
const retryMs = 300
/** Period in which a host that is no watcher queries one. */
const queryPeriodMs = 1000
const queryTimeoutMs = 500
/**
 * Starts the task.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startDiscovery (spec: DiscoverySpec): DiscoveryTask {
  const { context } = spec
  const { timers } = context
  const published = new SnapshotPublisher(noServers)
  const task = startTask<ServersState, Message, Effect>({
    name: 'discovery',
    initial: noServers,
    capacity: mailboxCapacity,
    onError: context.onTaskError('discovery'),
    schedule: { timers, dueAtMs: state => expiryCheckAtMs(state, timers.nowMs()), tick: nowMs => ({ kind: 'tick', nowMs }) },
    step: (state, message) => {
      const next = serversStep(state, message.kind === 'tick' ? message : message.event)
      published.publish(next)
      return { state: next, effects: hasSameServers(state, next) ? [] : [...stateChanges(state, next, message), { kind: 'serversChanged', state: next }] }
    },
    perform: effect => {
      switch (effect.kind) {
        case 'serversChanged': return spec.onServers(effect.state)
        case 'serverStateChanged': return spec.onServerStateChanged(effect.server, effect.origin)
      }
    }
  })
  const stopping = { now: false }
  return {
    begin: () => { void run(spec, task.port, published, stopping).catch(context.onTaskError('discovery')) },
    state: published,
    list: known => {
      const state = published.get()
      return state.asOfMs === -Infinity ? undefined : listFor(state, known, timers.nowMs())
    },
    stop: async () => {
      stopping.now = true
      await task.stop()
    }
  }
}

function stateChanges (before: ServersState, after: ServersState, message: Message): readonly Effect[] {
  if (message.kind === 'tick') return []
  return [...after.servers.values()]
    .filter(({ server }) => (before.servers.get(server.name)?.server.state ?? 'active') !== server.state)
    .map(({ server }) => ({ kind: 'serverStateChanged', server, origin: message.origin }))
}

// An entry whose time is over stays while the store does not respond.
function expiryCheckAtMs (state: ServersState, nowMs: number): number {
  return Math.max(serversDueAtMs(state), nowMs + minExpiryCheckMs)
}

const presentLists = new WeakMap<ServersState['servers'], readonly DiscoveredServer[]>()

// The list is made once for each state, so that its digest is computed once, too.
function presentServers ({ servers }: ServersState): readonly DiscoveredServer[] {
  const known = presentLists.get(servers)
  if (known !== undefined) return known
  const list = [...servers.values()].filter(each => each.missingSinceMs === undefined).map(each => each.server)
  presentLists.set(servers, list)
  return list
}

function listFor (state: ServersState, known: string, nowMs: number): ServerList {
  const servers = presentServers(state)
  const digest = listDigest(servers)
  const leaving = servers.flatMap(({ name }) => {
    const sinceMs = state.servers.get(name)?.endingSinceMs
    return sinceMs === undefined ? [] : [{ server: name, agoMs: nowMs - sinceMs }]
  })
  return {
    servers: digest === known ? undefined : servers,
    digest,
    agoMs: nowMs - state.asOfMs,
    revision: state.revision,
    era: state.era,
    leaving: leaving.length === 0 ? undefined : leaving,
    cold: coldServers(state, servers, nowMs)
  }
}

function coldServers ({ servers }: ServersState, listed: readonly DiscoveredServer[], nowMs: number): ServerList['cold'] {
  const cold = listed.flatMap(({ name }) => {
    const leftMs = (servers.get(name)?.cold?.untilMs ?? nowMs) - nowMs
    return leftMs > 0 ? [{ server: name, leftMs }] : []
  })
  return cold.length === 0 ? undefined : cold
}

/**
 * Longest duration of one watch call.
 * @param drainMs - the drain time of a server
 * @returns milliseconds
 */
function watchDurationMs (drainMs: number): number {
  return Math.min(maxWatchMs, drainMs / watchesPerDrain)
}

type WatchState = {
  readonly position: { readonly revision: number, readonly era: number } | undefined
  readonly listedAtMs: number
  /** Names of the invalid entries that have been reported. */
  readonly ignored: ReadonlySet<string>
}

const noWatch: WatchState = { position: undefined, listedAtMs: -Infinity, ignored: new Set() }

async function run (spec: DiscoverySpec, port: Port<Message>, state: Snapshot<ServersState>, stopping: { readonly now: boolean }): Promise<void> {
  const { timers, random } = spec.context
  let watch = noWatch
  while (!stopping.now) {
    if (!spec.isWatcher() && await queryWatcher(spec, port, state)) {
      await sleep(timers, queryPeriodMs * (0.5 + random()))
      continue
    }
    try {
      watch = await watchOnce(spec, port, watch)
      if (hasUnknownEnding(state.get())) await queryWatcher(spec, port, state)
    } catch (error) {
      watch = { ...noWatch, ignored: watch.ignored }
      if (error instanceof StoreError && error.fault.kind === 'historyExpired') continue
      if (error instanceof StoreError) spec.onStoreFailure()
      else spec.context.onTaskError('discovery')(asError(error))
      await queryWatcher(spec, port, state)
      await sleep(timers, retryMs * (0.5 + random()))
    }
  }
}

async function watchOnce (spec: DiscoverySpec, port: Port<Message>, watch: WatchState): Promise<WatchState> {
  const { timers, ports: { store } } = spec.context
  const { objectKind } = spec.source
  const { position, listedAtMs } = watch
  const asOfMs = timers.nowMs()
  if (position === undefined || timers.nowMs() - listedAtMs >= relistMs) {
    const list = await store.listObjects(objectKind)
    const nowMs = timers.nowMs()
    const { servers, invalid } = decoded(spec, list.objects)
    port.send({ kind: 'received', event: { kind: 'listed', servers, version: { asOfMs, revision: list.revision, era: list.era || undefined }, endingSinceMs: new Map(), nowMs }, origin: fromStore })
    reportInvalid(spec, invalid, watch.ignored)
    return { position: { revision: list.revision, era: list.era ?? 0 }, listedAtMs: nowMs, ignored: new Set(invalid) }
  }
  const changes = await watchInEra(store, objectKind, position, watchDurationMs(spec.context.settings.control.drainMs))
  const { servers, invalid } = decoded(spec, changes.objects)
  port.send({ kind: 'received', event: { kind: 'changed', servers, removed: [...changes.removed, ...invalid], version: { asOfMs, revision: changes.revision, era: changes.era || undefined }, nowMs: timers.nowMs() }, origin: fromStore })
  reportInvalid(spec, invalid, watch.ignored)
  return { position: { ...position, revision: changes.revision }, listedAtMs, ignored: new Set([...watch.ignored, ...invalid]) }
}

type Decoded = { readonly servers: readonly DiscoveredServer[], readonly invalid: readonly string[] }

// An entry that can't be decoded counts as removed.
function decoded (spec: DiscoverySpec, objects: ReadonlyArray<{ readonly name: string, readonly value: unknown }>): Decoded {
  const entries = objects.map(({ name, value }) => ({ name, server: spec.source.decode(name, value) }))
  const hasColdServers = spec.context.settings.control.coldExcess !== undefined
  return {
    servers: entries.flatMap(({ server }) => server === undefined ? [] : hasColdServers ? server : withoutStart(server)),
    invalid: entries.filter(({ server }) => server === undefined).map(({ name }) => name)
  }
}

function reportInvalid (spec: DiscoverySpec, invalid: readonly string[], reported: ReadonlySet<string>): void {
  for (const name of invalid) {
    if (!reported.has(name)) spec.onInvalidEntry(name)
  }
}

// True where a watcher sent a recent list.
async function queryWatcher (spec: DiscoverySpec, port: Port<Message>, state: Snapshot<ServersState>): Promise<boolean> {
  const { timers, random, settings } = spec.context
  const watchers = spec.watchers()
  const watcher = watchers[Math.floor(random() * watchers.length)]
  if (watcher === undefined) return false
  const local = presentServers(state.get())
  const sentAtMs = timers.nowMs()
  const { list, from, evacuations } = await spec.links.call(watcher, 'listServers', { known: listDigest(local) }, queryTimeoutMs).catch(() => ({ list: undefined, from: undefined, evacuations: undefined }))
  if (from !== undefined) spec.onPeerState(from, sentAtMs)
  spec.onEvacuations(evacuations, sentAtMs)
  if (list === undefined) return false
  const nowMs = timers.nowMs()
  const event: ServersEvent = {
    kind: 'listed',
    servers: list.servers ?? local,
    version: { asOfMs: sentAtMs - list.agoMs, revision: list.revision, era: list.era },
    endingSinceMs: new Map((list.leaving ?? []).map(({ server, agoMs }) => [server, sentAtMs - agoMs])),
    coldUntilMs: new Map((list.cold ?? []).map(({ server, leftMs }) => [server, nowMs + leftMs])),
    nowMs
  }
  port.send({ kind: 'received', event, origin: { source: watcher, ageMs: list.agoMs } })
  return nowMs - event.version.asOfMs <= watchDurationMs(settings.control.drainMs) * maxListAgeWatches
}
