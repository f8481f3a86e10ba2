// The task that follows the list of servers, on timers that the test moves.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { startDiscovery, type DiscoveryTask } from '../../src/daemon/discovery-task.js'
import type { PeerLinks } from '../../src/daemon/peers.js'
import type { DiscoveredServer, HostName, PeerResult } from '../../src/model/index.js'
import { StoreError, type ObjectStore } from '../../src/ports/index.js'
import { fakeTimers, type FakeTimers } from '../support/timers.js'

/** Time after its announcement in which a server may get new statements. */
const drainMs = 7000
const stepMs = 20

type ListReply = PeerResult<'listServers'>

function serverOf (name: string, state: DiscoveredServer['state'] = 'active'): DiscoveredServer {
  return { name, database: 'ledger', ip: '127.0.0.1', port: 1, failureDomain: 'medina', slots: 5, state }
}

function replyOf (servers: readonly DiscoveredServer[], agoMs: number): ListReply {
  return { list: { servers, digest: '', agoMs } }
}

/** What the other hosts and the store answer. */
type World = {
  readonly isWatcher: boolean
  readonly watchers: readonly HostName[]
  readonly listServers: (host: HostName, nowMs: number) => ListReply
  readonly store: (timers: FakeTimers) => Pick<ObjectStore, 'listObjects' | 'watch'>
}

/** A store that turns this host away. */
function closedStore (): ReturnType<World['store']> {
  const refuse = async (): Promise<never> => { throw new StoreError({ kind: 'refused', status: 503 }, undefined, 'GET') }
  return { listObjects: refuse, watch: refuse }
}

type Started = { readonly task: DiscoveryTask, readonly pass: (untilMs: number) => Promise<void> }

/** Starts the task of one host, which queries the watchers in turn; `pass` lets the time pass, and the task's calls with it. */
function startIn (world: World): Started {
  const timers = fakeTimers()
  let drawn = 0
  const random = (): number => (drawn++ % 4) / 4
  const context = {
    settings: { control: { drainMs } },
    timers,
    ports: { store: world.store(timers) },
    random,
    incarnation: 'a',
    onTaskError: () => (error: Error) => { throw error }
  } as unknown as DaemonContext
  const links = { call: async (host: HostName) => world.listServers(host, timers.nowMs()) } as unknown as PeerLinks
  const task = startDiscovery({
    context,
    source: { kind: 'registered', objectKind: 'servers', decode: (_, value) => value as DiscoveredServer },
    links,
    isWatcher: () => world.isWatcher,
    watchers: () => world.watchers,
    onEvacuations: () => {},
    onServers: () => {},
    onPeerState: () => {},
    onServerStateChanged: () => {},
    onStoreFailure: () => {},
    onInvalidEntry: () => {}
  })
  task.begin()
  let passedMs = 0
  const pass = async (untilMs: number): Promise<void> => {
    while (passedMs < untilMs) {
      passedMs += stepMs
      timers.pass(passedMs)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  return { task, pass }
}

function stateOf (task: DiscoveryTask, name: string): string | undefined {
  return task.state.get().servers.get(name)?.server.state
}

// Guards against DRAIN: a leaving server was in use again after a list from a host that had lost the store.
test('an older list of another host does not replace a newer one', async () => {
  const announcedMs = 5000
  const { task, pass } = startIn({
    isWatcher: false,
    watchers: ['fresh', 'cut'],
    listServers: (host, nowMs) => host === 'fresh' && nowMs >= announcedMs && nowMs < announcedMs + 2500
      ? replyOf([serverOf('a', 'leaving')], 0)
      : replyOf([serverOf('a')], Math.max(0, nowMs - announcedMs + 500)),
    store: closedStore
  })
  let states: ReadonlyArray<string | undefined> = []
  for (let nowMs = stepMs; nowMs <= announcedMs + 4000; nowMs += stepMs) {
    await pass(nowMs)
    const state = stateOf(task, 'a')
    if (state !== states.at(-1)) states = [...states, state]
  }
  assert.deepEqual(states, ['active', 'leaving'])
})

// Guards against DRAIN: each hop dated the list anew, so that an old list was passed on as a new one.
test('the age of a list includes the time that it had at the host that sent it', async () => {
  const { task, pass } = startIn({ isWatcher: false, watchers: ['w'], listServers: () => replyOf([serverOf('a')], 1500), store: closedStore })
  await pass(1000)
  const agoMs = task.list('')?.agoMs ?? 0
  assert.ok(agoMs >= 1500, `${agoMs} ms`)
})

/** A store that lists a server as leaving from a time on, and whose watches stay silent until their timeout. */
function silentStore (announcedMs: number): World['store'] {
  return timers => ({
    listObjects: async () => ({ revision: timers.nowMs() >= announcedMs ? 2 : 1, objects: [{ kind: 'servers', name: 'a', version: 1, value: serverOf('a', timers.nowMs() >= announcedMs ? 'leaving' : 'active') }] }),
    watch: async (_kind, _revision, waitMs) => await new Promise((_resolve, reject) => {
      const timeoutMs = waitMs + 1000
      timers.after(timeoutMs, { send: () => { reject(new StoreError({ kind: 'overdue', timeoutMs }, undefined, 'GET')); return 'accepted' } })
    })
  })
}

// Guards against DRAIN: a silent watch, the age of its list and the period of the queries came to more than the drain time.
test('hosts learn of a leaving server within half of the drain time, also where the watch is silent', async () => {
  const announcedMs = 300
  const watcher = startIn({ isWatcher: true, watchers: [], listServers: () => ({ list: undefined }), store: silentStore(announcedMs) })
  const other = startIn({ isWatcher: false, watchers: ['w'], listServers: () => ({ list: watcher.task.list('') }), store: silentStore(announcedMs) })
  for (let nowMs = stepMs; nowMs <= announcedMs + drainMs / 2; nowMs += stepMs) {
    await watcher.pass(nowMs)
    await other.pass(nowMs)
  }
  assert.deepEqual([stateOf(watcher.task, 'a'), stateOf(other.task, 'a')], ['leaving', 'leaving'])
})
