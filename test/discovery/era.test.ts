// The registered servers while the store returns from a copy.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { eraRestorationMs, noServers, serversStep, type ServersEvent, type ServersState } from '../../src/discovery/index.js'
import type { DiscoveredServer } from '../../src/model/index.js'

type ServerEntry = readonly [name: string, state: DiscoveredServer['state']]

function serverOf ([name, state]: ServerEntry): DiscoveredServer {
  return { name, database: 'ledger', ip: '127.0.0.1', port: 1, failureDomain: 'medina', slots: 5, state }
}

function listed (nowMs: number, version: { readonly era?: number, readonly revision: number }, ...servers: readonly ServerEntry[]): ServersEvent {
  return { kind: 'listed', servers: servers.map(serverOf), version: { asOfMs: nowMs, ...version }, endingSinceMs: new Map(), nowMs }
}

function changed (nowMs: number, version: { readonly era?: number, readonly revision: number }, ...servers: readonly ServerEntry[]): ServersEvent {
  return { kind: 'changed', servers: servers.map(serverOf), removed: [], version: { asOfMs: nowMs, ...version }, nowMs }
}

function after (...events: readonly ServersEvent[]): ServersState {
  return events.reduce(serversStep, noServers)
}

function statesOf (state: ServersState): Readonly<Record<string, string>> {
  return Object.fromEntries([...state.servers].map(([name, { server }]) => [name, server.state]))
}

// Guards against new statements for a server whose announcement the copy lacks.
test('a leaving server stays leaving where the copy shows it as active, until it changes its entry', () => {
  const restored = after(listed(0, { revision: 90 }, ['a', 'leaving']), listed(100, { era: 1, revision: 80 }, ['a', 'active']), listed(5000, { era: 1, revision: 81 }, ['a', 'active']))
  assert.deepEqual(statesOf(restored), { a: 'leaving' })
  assert.equal(restored.servers.get('a')?.endingSinceMs, -Infinity)
  assert.deepEqual(statesOf(serversStep(restored, changed(5100, { era: 1, revision: 82 }, ['a', 'active']))), { a: 'active' })
})

// Guards against a majority of too few servers.
test('a server that the copy lacks is kept while the servers write their entries again', () => {
  const events = [listed(0, { revision: 90 }, ['a', 'active'], ['b', 'active'])]
  const lists = Array.from({ length: eraRestorationMs / 1000 }, (_, at) => listed(100 + at * 1000, { era: 1, revision: 80 }, ['a', 'active']))
  assert.deepEqual(statesOf(after(...events, ...lists)), { a: 'active', b: 'active' })
  assert.deepEqual(statesOf(after(...events, ...lists, listed(100 + eraRestorationMs, { era: 1, revision: 81 }, ['a', 'active']))), { a: 'active' })
})

// Guards against a list of another host that replaces a newer one, because its revision was assigned before the restore.
test('of two lists that state their eras the one of the higher era is newer, whatever the revisions', () => {
  const current = after(listed(0, { era: 2, revision: 10 }, ['a', 'active']))
  assert.deepEqual(statesOf(serversStep(current, listed(100, { era: 1, revision: 500 }, ['b', 'active']))), { a: 'active' })
  assert.deepEqual(statesOf(serversStep(current, listed(100, { era: 3, revision: 5 }, ['a', 'active'], ['b', 'active']))), { a: 'active', b: 'active' })
})

// Guards against a host that follows no list any more during a rolling upgrade.
test('a list of a host that states no era is compared by its time', () => {
  const current = after(listed(1000, { era: 1, revision: 500 }, ['a', 'active']))
  assert.deepEqual(statesOf(serversStep(current, listed(2000, { revision: 10 }, ['a', 'leaving']))), { a: 'leaving' })
  assert.deepEqual(statesOf(serversStep(current, listed(900, { revision: 900 }, ['a', 'leaving']))), { a: 'active' })
})

const lists = fc.array(fc.record({ afterMs: fc.nat(3000), raisesEra: fc.boolean(), state: fc.constantFrom('active' as const, 'leaving' as const, undefined) }), { maxLength: 20 })

test('over any lists of restored stores a server that leaves is neither active nor gone before the restoration time is over', () => {
  fc.assert(fc.property(lists, plan => {
    let state = after(listed(0, { era: 1, revision: 50 }, ['a', 'leaving'], ['b', 'active']))
    let restoredMs = -Infinity
    let era = 1
    let nowMs = 0
    for (const [at, step] of plan.entries()) {
      nowMs += step.afterMs
      if (at === 0 || step.raisesEra) {
        era += 1
        restoredMs = nowMs
      }
      state = serversStep(state, listed(nowMs, { era, revision: at }, ...(step.state === undefined ? [] : [['a', step.state] as const])))
      if (nowMs - restoredMs >= eraRestorationMs) return
      assert.deepEqual(statesOf(state), { a: 'leaving', b: 'active' })
    }
  }))
})
