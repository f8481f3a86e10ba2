// The discovery task: owns the list of servers that register in the store. Some
// hosts watch the store and list anew now and then, as a watch may have gone
// silent. All others, and a watcher that the store does not answer, ask a
// watcher.

import { noServers, serversStep, type ServersEvent, type ServersState } from '../discovery/index.js'
import type { DiscoveredServer, HostName, ServerList } from '../model/index.js'
import { SnapshotPublisher, sleep, startTask, tickPort, type Port, type Snapshot } from '../pipe/index.js'
import { StoreError, type ServerSource } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import { listDigest } from './list-digest.js'
import type { PeerLinks } from './peers.js'

/** What the task needs. */
export type DiscoverySpec = {
  readonly context: DaemonContext
  readonly source: Extract<ServerSource, { readonly kind: 'registered' }>
  readonly links: PeerLinks
  /** True where this host is one of those that watch the store. */
  readonly isWatcher: () => boolean
  /** The other members that watch the store. */
  readonly watchers: () => readonly HostName[]
  readonly onServers: (state: ServersState) => void
  readonly onStoreFailure: () => void
}

/** The running task. */
export type DiscoveryTask = {
  readonly begin: () => void
  readonly state: Snapshot<ServersState>
  /** The servers, for another member; undefined: none yet. */
  readonly list: (known: string) => ServerList | undefined
  readonly stop: () => Promise<void>
}

const mailboxCapacity = 1024
const tickMs = 500
const watchMs = 5000
/** A watch that may have gone silent is made up for by a listing this often. */
const relistMs = 10_000
const retryMs = 300
/** How often a host that does not watch asks one that does. */
const askEveryMs = 1000
const askTimeoutMs = 500
/** A watcher's list that is older than this is left alone; one answer of the store a watch period is usual. */
const maxWatcherListMs = watchMs + 1500

/**
 * Starts the task.
 * @param spec - what it needs
 * @returns the running task
 */
export function startDiscovery (spec: DiscoverySpec): DiscoveryTask {
  const { context } = spec
  const { timers } = context
  const published = new SnapshotPublisher(noServers)
  const task = startTask<ServersState, ServersEvent, ServersState>({
    name: 'discovery',
    initial: noServers,
    capacity: mailboxCapacity,
    onError: context.onTaskError('discovery'),
    step: (state, event) => {
      const next = serversStep(state, event)
      published.publish(next)
      return { state: next, effects: hasChanged(state, next) ? [next] : [] }
    },
    perform: state => { spec.onServers(state) }
  })
  const stopping = { now: false }
  timers.every(tickMs, tickPort<ServersEvent>(task.port, nowMs => ({ kind: 'tick', nowMs })))
  return {
    begin: () => { void run(spec, task.port, published, stopping).catch(context.onTaskError('discovery')) },
    state: published,
    list: known => {
      const { lastResponseAtMs: answeredAtMs } = published.get()
      if (answeredAtMs === undefined) return undefined
      const servers = present(published.get())
      const digest = listDigest(servers)
      return { servers: digest === known ? undefined : servers, digest, agoMs: timers.nowMs() - answeredAtMs }
    },
    stop: async () => {
      stopping.now = true
      await task.stop()
    }
  }
}

function hasChanged (before: ServersState, after: ServersState): boolean {
  const shown = (state: ServersState): string => JSON.stringify([...state.servers.values()].map(({ server }) => server))
  return before.servers !== after.servers && shown(before) !== shown(after)
}

function present (state: ServersState): readonly DiscoveredServer[] {
  return [...state.servers.values()].filter(each => each.missingSinceMs === undefined).map(each => each.server)
}

type Watching = { readonly revision: number | undefined, readonly listedAtMs: number }

const notWatching: Watching = { revision: undefined, listedAtMs: -Infinity }

async function run (spec: DiscoverySpec, port: Port<ServersEvent>, state: Snapshot<ServersState>, stopping: { readonly now: boolean }): Promise<void> {
  const { timers, random } = spec.context
  let watching = notWatching
  while (!stopping.now) {
    if (!spec.isWatcher() && await askWatcher(spec, port, state)) {
      await sleep(timers, askEveryMs * (0.5 + random()))
      continue
    }
    try {
      watching = await watchOnce(spec, port, watching)
    } catch (error) {
      if (!(error instanceof StoreError)) throw error
      watching = notWatching
      if (error.fault.kind === 'historyGone') continue
      spec.onStoreFailure()
      await askWatcher(spec, port, state)
      await sleep(timers, retryMs * (0.5 + random()))
    }
  }
}

async function watchOnce (spec: DiscoverySpec, port: Port<ServersEvent>, watching: Watching): Promise<Watching> {
  const { timers, ports: { store } } = spec.context
  const { objectKind } = spec.source
  const { revision, listedAtMs } = watching
  if (revision === undefined || timers.nowMs() - listedAtMs >= relistMs) {
    const list = await store.listObjects(objectKind)
    const nowMs = timers.nowMs()
    port.send({ kind: 'listed', servers: decoded(spec, list.objects), nowMs })
    return { revision: list.revision, listedAtMs: nowMs }
  }
  const changes = await store.watch(objectKind, revision, watchMs)
  port.send(changed(spec, changes, timers.nowMs()))
  return { revision: changes.revision, listedAtMs }
}

function decoded (spec: DiscoverySpec, objects: ReadonlyArray<{ readonly name: string, readonly value: unknown }>): readonly DiscoveredServer[] {
  return objects.flatMap(({ name, value }) => spec.source.decode(name, value) ?? [])
}

// An entry that can't be read names no server any more.
function changed (spec: DiscoverySpec, changes: Awaited<ReturnType<DaemonContext['ports']['store']['watch']>>, nowMs: number): ServersEvent {
  const servers = decoded(spec, changes.objects)
  const unreadable = changes.objects.map(({ name }) => name).filter(name => !servers.some(server => server.name === name))
  return { kind: 'changed', servers, removed: [...changes.removed, ...unreadable], nowMs }
}

// True where a watcher gave its list, and the list is not old.
async function askWatcher (spec: DiscoverySpec, port: Port<ServersEvent>, state: Snapshot<ServersState>): Promise<boolean> {
  const { timers, random } = spec.context
  const watchers = spec.watchers()
  const watcher = watchers[Math.floor(random() * watchers.length)]
  if (watcher === undefined) return false
  const own = present(state.get())
  const { list } = await spec.links.call(watcher, 'listServers', { known: listDigest(own) }, askTimeoutMs).catch(() => ({ list: undefined }))
  if (list === undefined || list.agoMs > maxWatcherListMs) return false
  port.send({ kind: 'listed', servers: list.servers ?? own, nowMs: timers.nowMs() })
  return true
}
