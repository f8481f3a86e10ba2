// The task that follows the evacuations, on timers that the test moves.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { startEvacuation, type EvacuationTask } from '../../src/daemon/evacuation-task.js'
import type { PeerLinks } from '../../src/daemon/peers.js'
import { eraRestorationMs } from '../../src/discovery/index.js'
import type { EvacuationList } from '../../src/model/index.js'
import { StoreError, type ObjectStore } from '../../src/ports/index.js'
import { fakeTimers, type FakeTimers } from '../support/timers.js'

const evacuateMs = 5000
const stepMs = 20

type World = {
  readonly isWatcher: boolean
  /** What the only other watcher answers. */
  readonly peer: (nowMs: number) => EvacuationList | undefined
  readonly store: (timers: FakeTimers) => Pick<ObjectStore, 'listObjects' | 'watch' | 'eras'>
}

type Started = { readonly task: EvacuationTask, readonly calls: () => number, readonly pass: (untilMs: number) => Promise<void> }

function startIn (world: World): Started {
  const timers = fakeTimers()
  const store = world.store(timers)
  let calls = 0
  const counted: typeof store = {
    ...store,
    listObjects: async kind => { calls += 1; return await store.listObjects(kind) },
    watch: async (...args) => { calls += 1; return await store.watch(...args) }
  }
  const context = { timers, ports: { store: counted }, random: () => 0.5, onTaskError: () => (error: Error) => { throw error } } as unknown as DaemonContext
  const links = { call: async () => ({ list: undefined, evacuations: world.peer(timers.nowMs()) }) } as unknown as PeerLinks
  const task = startEvacuation({ context, links, evacuateMs, isWatcher: () => world.isWatcher, watchers: () => ['w'], onEvacuations: () => {}, onBegun: () => {}, onEnded: () => {}, onStoreFailure: () => {} })
  task.begin()
  let passedMs = 0
  const pass = async (untilMs: number): Promise<void> => {
    while (passedMs < untilMs) {
      passedMs += stepMs
      timers.pass(passedMs)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  return { task, calls: () => calls, pass }
}

/** A store that holds a request from a time on, and whose watches stay silent until their timeout. */
function silentStore (requestedMs: number): World['store'] {
  return timers => ({
    listObjects: async kind => ({ revision: timers.nowMs() >= requestedMs ? 2 : 1, objects: timers.nowMs() >= requestedMs ? [{ kind, name: 'medina', version: 1, value: 7 }] : [] }),
    watch: async (_kind, _revision, waitMs) => await new Promise((_resolve, reject) => {
      timers.after(waitMs + 1000, { send: () => { reject(new StoreError({ kind: 'overdue', timeoutMs: waitMs }, undefined, 'GET')); return 'accepted' } })
    })
  })
}

function closedStore (): ReturnType<World['store']> {
  const refuse = async (): Promise<never> => { throw new StoreError({ kind: 'refused', status: 503 }, undefined, 'GET') }
  return { listObjects: refuse, watch: refuse }
}

function domainsOf (task: EvacuationTask): readonly string[] {
  return [...task.state.get().requestedSinceMs.keys()]
}

// Guards against a chain of intervals (silent watch, age of a list, pauses) that comes to more than the bound.
test('a watcher with a silent watch and a host that asks it know of an evacuation before its bound', async () => {
  const requestedMs = 300
  const watcher = startIn({ isWatcher: true, peer: () => undefined, store: silentStore(requestedMs) })
  const other = startIn({ isWatcher: false, peer: () => watcher.task.list(), store: silentStore(requestedMs) })
  for (let nowMs = stepMs; nowMs <= requestedMs + evacuateMs - 250; nowMs += stepMs) {
    await watcher.pass(nowMs)
    await other.pass(nowMs)
  }
  assert.deepEqual([domainsOf(watcher.task), domainsOf(other.task)], [['medina'], ['medina']])
  assert.ok((other.task.state.get().requestedSinceMs.get('medina') ?? Infinity) <= requestedMs)
})

// Guards against an evacuation that is forgotten while the store is down, and a host that starts then and does not ask its peers.
test('while the store is down, the last known state stays, and a host that starts learns from a peer', async () => {
  const { task, pass } = startIn({ isWatcher: true, peer: nowMs => nowMs < 1000 ? { agoMs: 9000, domains: [{ domain: 'medina', agoMs: 9500 }], ended: [] } : undefined, store: closedStore })
  await pass(20_000)
  assert.deepEqual(domainsOf(task), ['medina'])
})

// Guards against calls to the store that grow with the number of hosts.
test('a host that gets recent lists from a watcher makes no call to the store', async () => {
  const { task, calls, pass } = startIn({ isWatcher: false, peer: () => ({ agoMs: 100, domains: [], ended: [] }), store: closedStore })
  await pass(30_000)
  assert.deepEqual([calls(), domainsOf(task)], [0, []])
})

// Guards against an evacuation that ends without a word when the store returns from a copy, and against one of the copy that a watch from the earlier revision does not show.
test('a store that returns from a copy is listed again within a watch, and a request that the copy lacks stays in force for the restoration time', async () => {
  const restoredMs = 2000
  const eraAt = (timers: FakeTimers): number => timers.nowMs() < restoredMs ? 0 : 1
  const { task, pass } = startIn({
    isWatcher: true,
    peer: () => undefined,
    store: timers => ({
      eras: () => ({ era: eraAt(timers), ignored: 0 }),
      listObjects: async kind => ({ revision: 7, era: eraAt(timers), objects: [{ kind, name: eraAt(timers) === 0 ? 'medina' : 'hlm', version: 1, value: 7 }] }),
      watch: async (_kind, revision, waitMs) => await new Promise(resolve => {
        timers.after(waitMs, { send: () => { resolve({ revision, era: eraAt(timers), objects: [], removed: [] }); return 'accepted' } })
      })
    })
  })
  await pass(restoredMs - stepMs)
  assert.deepEqual(domainsOf(task), ['medina'])
  await pass(restoredMs + 1500)
  assert.deepEqual([domainsOf(task), task.state.get().era], [['medina', 'hlm'], 1])
  await pass(restoredMs + eraRestorationMs)
  assert.deepEqual(domainsOf(task), ['medina', 'hlm'])
  await pass(restoredMs + eraRestorationMs + 15_000)
  assert.deepEqual(domainsOf(task), ['hlm'])
})
