// The discovery task: owns the list of servers that register in the store. It
// watches the store and lists anew now and then, as a watch may have gone
// silent; where the store does not answer, it asks another member.

import { noServers, serversStep, type ServersEvent, type ServersState } from '../discovery/index.js'
import type { FoundServer, HostName, ServerList } from '../model/index.js'
import { Latest, sleep, startTask, tickPort, type Port, type Snapshot } from '../pipe/index.js'
import { StoreError, type ServerSource } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { PeerLinks } from './peers.js'

/** What the task needs. */
export type DiscoverySpec = {
  readonly context: DaemonContext
  readonly source: Extract<ServerSource, { readonly kind: 'registered' }>
  readonly links: PeerLinks
  /** Members to ask where the store does not answer. */
  readonly peers: () => readonly HostName[]
  readonly onServers: (state: ServersState) => void
  readonly onStoreFailure: () => void
}

/** The running task. */
export type DiscoveryTask = {
  readonly begin: () => void
  readonly state: Snapshot<ServersState>
  /** The servers, for another member; undefined: none yet. */
  readonly list: () => ServerList | undefined
  readonly stop: () => Promise<void>
}

const mailboxCapacity = 1024
const tickMs = 500
const watchMs = 5000
/** A watch that may have gone silent is made up for by a listing this often. */
const relistMs = 10_000
const retryMs = 300
const askTimeoutMs = 500
/** A peer's list that is older than this is left alone. */
const maxPeerListMs = 3000

/**
 * Starts the task.
 * @param spec - what it needs
 * @returns the running task
 */
export function startDiscovery (spec: DiscoverySpec): DiscoveryTask {
  const { context } = spec
  const { timers } = context
  const published = new Latest(noServers)
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
    begin: () => { void watch(spec, task.port, stopping).catch(context.onTaskError('discovery')) },
    state: published,
    list: () => {
      const { known, answeredAtMs } = published.get()
      return answeredAtMs === undefined ? undefined : { servers: [...known.values()].filter(each => each.missingSinceMs === undefined).map(each => each.server), agoMs: timers.nowMs() - answeredAtMs }
    },
    stop: async () => {
      stopping.now = true
      await task.stop()
    }
  }
}

function hasChanged (before: ServersState, after: ServersState): boolean {
  const shown = (state: ServersState): string => JSON.stringify([...state.known.values()].map(({ server }) => server))
  return before.known !== after.known && shown(before) !== shown(after)
}

async function watch (spec: DiscoverySpec, port: Port<ServersEvent>, stopping: { readonly now: boolean }): Promise<void> {
  const { timers, random, ports: { store } } = spec.context
  const { objectKind } = spec.source
  let revision: number | undefined
  let listedAtMs = -Infinity
  while (!stopping.now) {
    try {
      if (revision === undefined || timers.nowMs() - listedAtMs >= relistMs) {
        const list = await store.listObjects(objectKind)
        listedAtMs = timers.nowMs()
        revision = list.revision
        port.send({ kind: 'listed', servers: decoded(spec, list.objects), nowMs: listedAtMs })
      }
      const changes = await store.watch(objectKind, revision, watchMs)
      revision = changes.revision
      port.send(changed(spec, changes, timers.nowMs()))
    } catch (error) {
      if (!(error instanceof StoreError)) throw error
      if (error.fault.kind === 'historyGone') {
        revision = undefined
        continue
      }
      spec.onStoreFailure()
      revision = undefined
      await askPeer(spec, port)
      await sleep(timers, retryMs * (0.5 + random()))
    }
  }
}

function decoded (spec: DiscoverySpec, objects: ReadonlyArray<{ readonly name: string, readonly value: unknown }>): readonly FoundServer[] {
  return objects.flatMap(({ name, value }) => spec.source.decode(name, value) ?? [])
}

// An entry that can't be read names no server any more.
function changed (spec: DiscoverySpec, changes: Awaited<ReturnType<DaemonContext['ports']['store']['watch']>>, nowMs: number): ServersEvent {
  const servers = decoded(spec, changes.objects)
  const unreadable = changes.objects.map(({ name }) => name).filter(name => !servers.some(server => server.name === name))
  return { kind: 'changed', servers, removed: [...changes.removed, ...unreadable], nowMs }
}

async function askPeer (spec: DiscoverySpec, port: Port<ServersEvent>): Promise<void> {
  const { timers, random } = spec.context
  const peers = spec.peers()
  const peer = peers[Math.floor(random() * peers.length)]
  if (peer === undefined) return
  const { list } = await spec.links.call(peer, 'listServers', {}, askTimeoutMs).catch(() => ({ list: undefined }))
  if (list !== undefined && list.agoMs <= maxPeerListMs) port.send({ kind: 'listed', servers: list.servers, nowMs: timers.nowMs() })
}
