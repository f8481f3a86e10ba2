import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { areEvacuationsKnown, evacuationListOf, evacuationsStep, transitMs, unknownDomains, unknownEvacuations, withEvacuations, type EvacuationsEvent, type EvacuationsState } from '../../src/evacuation/index.js'
import type { DatabaseDeclaration, ServerDeclaration } from '../../src/model/index.js'

const evacuateMs = 5000

function listed (nowMs: number, domains: readonly string[], revision?: number): EvacuationsEvent {
  return { kind: 'listed', domains, version: { asOfMs: nowMs, revision }, nowMs }
}

function after (...events: readonly EvacuationsEvent[]): EvacuationsState {
  return events.reduce(evacuationsStep, unknownEvacuations)
}

function ledger (changes: Partial<ServerDeclaration> = {}): DatabaseDeclaration {
  const servers = ['hlm', 'medina', 'plateau'].map((failureDomain): ServerDeclaration => ({ name: `s-${failureDomain}`, ip: '127.0.0.1', port: 1, failureDomain, slots: 5, maxConnections: 60, state: 'active', ...changes }))
  return { name: 'ledger', servers, state: 'active' }
}

function endsOf (state: EvacuationsState, database = ledger()): readonly unknown[] {
  return withEvacuations([database], state, evacuateMs)[0]?.servers.map(({ state: each, newWorkUntilMs }) => each === 'active' ? 'active' : newWorkUntilMs) ?? []
}

// Guards against a bound that counts from when a host hears of the request.
test('the servers of an evacuated domain leave, with an end counted from when the domain was last known not to be evacuated', () => {
  const state = after(listed(100, []), listed(900, []), listed(1400, ['medina']), listed(2400, ['medina']))
  assert.deepEqual(endsOf(state), ['active', 900 + evacuateMs - transitMs, 'active'])
  assert.deepEqual(endsOf(state, ledger({ newWorkUntilMs: 300, state: 'leaving' })), [300, 300, 300])
})

// Guards against a restarted host that serves a domain whose evacuation it has not heard of, or gives it the whole time anew.
test('a host that knows nothing yet says so, and one that finds an evacuation at its start gives the domain no new work unless a peer knows more', () => {
  assert.equal(areEvacuationsKnown(unknownEvacuations), false)
  const first = after(listed(100, ['medina']))
  assert.deepEqual(endsOf(first), ['active', -Infinity, 'active'])
  const told = evacuationsStep(first, { kind: 'reported', list: { agoMs: 50, domains: [{ domain: 'medina', agoMs: 3000 }], ended: [] }, sentAtMs: 4000, nowMs: 4010 })
  assert.deepEqual(endsOf(told), ['active', 1000 + evacuateMs - transitMs, 'active'])
})

test('all domains at once, and twice in a row: everything ends, and the second request counts from the end of the first', () => {
  const all = after(listed(0, []), listed(1000, ['hlm', 'medina', 'plateau']))
  assert.deepEqual(endsOf(all), [4750, 4750, 4750])
  const again = after(listed(0, []), listed(1000, ['hlm']), listed(2000, []), listed(3000, ['hlm']))
  assert.deepEqual(endsOf(again), [2000 + evacuateMs - transitMs, 'active', 'active'])
  assert.equal(again.endedAtMs.has('hlm'), false)
  assert.equal(after(listed(0, ['hlm']), listed(2000, [])).endedAtMs.get('hlm'), 2000)
})

// Guards against a domain that gets its whole load at once after an evacuation.
test('servers of a domain whose evacuation ended are cold, where the database has a bound', () => {
  const state = after(listed(0, ['hlm']), listed(2000, []))
  const coldOf = (database: DatabaseDeclaration): unknown => withEvacuations([database], state, evacuateMs)[0]?.servers.map(({ coldUntilMs }) => coldUntilMs)
  assert.deepEqual(coldOf({ ...ledger(), coldS: 10, coldPerS: 4 }), [12_000, undefined, undefined])
  assert.deepEqual(coldOf({ ...ledger(), coldS: 0, coldPerS: 4 }), [undefined, undefined, undefined])
})

test('names that no server and no host is in have no effect and are found', () => {
  const state = after(listed(0, ['nowhere', 'medina', 'spare', 'x'.repeat(300), '']))
  assert.deepEqual(unknownDomains(state, [ledger()], new Set(['spare'])), ['nowhere'])
  assert.deepEqual(endsOf(state), ['active', -Infinity, 'active'])
  assert.equal(evacuationListOf(after(listed(0, Array.from({ length: 1001 }, (_, at) => `d${at}`))), 100), undefined)
})

type Action =
  | { readonly kind: 'request' | 'end', readonly domain: string }
  /** A host reads the store and gets the answer after further actions, or never. */
  | { readonly kind: 'read', readonly host: 0 | 1, readonly delay: number }
  | { readonly kind: 'ask', readonly host: 0 | 1 }

const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ kind: fc.constantFrom('request', 'end'), domain: fc.constantFrom('hlm', 'medina') }),
  fc.record({ kind: fc.constant('read'), host: fc.constantFrom(0, 1), delay: fc.nat(4) }),
  fc.record({ kind: fc.constant('ask'), host: fc.constantFrom(0, 1) })
)

type Pending = { readonly host: 0 | 1, readonly at: number, readonly event: Extract<EvacuationsEvent, { readonly kind: 'listed' }> }

type World = {
  readonly hosts: readonly [EvacuationsState, EvacuationsState]
  readonly revision: number
  /** Time of each request that the store holds. */
  readonly requestedAtMs: ReadonlyMap<string, number>
  /** What the store held at each revision. */
  readonly history: ReadonlyMap<number, ReadonlyMap<string, number>>
  readonly pending: readonly Pending[]
}

const initialWorld: World = { hosts: [unknownEvacuations, unknownEvacuations], revision: 1, requestedAtMs: new Map(), history: new Map([[1, new Map()]]), pending: [] }
const actionMs = 100

function act (world: World, each: Action, at: number): World {
  const nowMs = (at + 1) * actionMs
  const delivered = world.pending.filter(pending => pending.at === at).reduce((next, { host, event }) => withHost(next, host, { ...event, nowMs }), world)
  switch (each.kind) {
    case 'request':
    case 'end': {
      const requestedAtMs = new Map(delivered.requestedAtMs)
      if (each.kind === 'end') requestedAtMs.delete(each.domain)
      else if (!requestedAtMs.has(each.domain)) requestedAtMs.set(each.domain, nowMs)
      const revision = delivered.revision + 1
      return { ...delivered, revision, requestedAtMs, history: new Map(delivered.history).set(revision, requestedAtMs) }
    }
    case 'read': {
      const event = { kind: 'listed', domains: [...delivered.requestedAtMs.keys()], version: { asOfMs: nowMs, revision: delivered.revision }, nowMs } as const
      return { ...delivered, pending: [...delivered.pending, { host: each.host, at: at + each.delay + 1, event }] }
    }
    case 'ask': {
      const list = evacuationListOf(delivered.hosts[each.host === 0 ? 1 : 0], nowMs)
      return list === undefined ? delivered : withHost(delivered, each.host, { kind: 'reported', list, sentAtMs: nowMs, nowMs })
    }
  }
}

function withHost (world: World, host: 0 | 1, event: EvacuationsEvent): World {
  const [first, second] = world.hosts
  return { ...world, hosts: host === 0 ? [evacuationsStep(first, event), second] : [first, evacuationsStep(second, event)] }
}

// Guards against late, lost and reordered lists: a domain back in use, a bound that counts too late, a host that forgets.
test('whatever the order of requests, ends, lists and answers, a host has the newest list that it got, and no bound counts from after a request', () => {
  fc.assert(fc.property(fc.array(action, { maxLength: 60 }), actions => {
    let world = initialWorld
    for (const [at, each] of actions.entries()) {
      const before = world.hosts.map(({ revision }) => revision ?? 0)
      world = act(world, each, at)
      for (const [host, state] of world.hosts.entries()) {
        assert.ok((state.revision ?? 0) >= (before[host] ?? 0))
        const held = world.history.get(state.revision ?? 0) ?? new Map<string, number>()
        assert.deepEqual([...state.requestedSinceMs.keys()].sort(), [...held.keys()].sort())
        for (const [domain, sinceMs] of state.requestedSinceMs) assert.ok(sinceMs <= (held.get(domain) ?? 0), `${domain}: ${sinceMs}`)
      }
    }
  }), { seed: 34, numRuns: 500 })
})
