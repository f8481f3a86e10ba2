import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { configurationStep, confirmedGeneration, confirmedUntilMs, generationInForce, initialConfiguration, canServeAuthenticated, storeConfirmedAgoMs, type ConfigurationEvent, type ConfigurationState } from '../../src/config/index.js'
import type { AcceptedManifest } from '../../src/model/index.js'
import { manifestOf } from './fixtures.js'

const confirmWithinMs = 1_000
const hostNames = ['host-0', 'host-1', 'host-2', 'host-3', 'host-4']

function acceptedOf (generation: number, seats = 18): AcceptedManifest {
  return { generation, manifest: manifestOf({ seats }) }
}

function stateOf (events: readonly ConfigurationEvent[], host = 'host-0', startedAtMs = 0): ConfigurationState {
  const initial = initialConfiguration({ host, startedAtMs, confirmWithinMs, pullMs: 100 })
  return events.reduce((state, event) => configurationStep(state, event).state, initial)
}

function storeAnswered (generation: number, askedAtMs: number): ConfigurationEvent {
  return { kind: 'storeAnswered', accepted: acceptedOf(generation), askedAtMs }
}

function peerConfirmed (host: string, generation: number, askedAtMs: number, agoMs?: number): ConfigurationEvent {
  return { kind: 'peerConfirmed', host, generation, storeConfirmedAgoMs: agoMs, askedAtMs, nowMs: askedAtMs }
}

const quorumOfFive: ConfigurationEvent = { kind: 'quorumChanged', hosts: hostNames }

test('an invalid manifest is rejected as a whole and the previous one stays in force', () => {
  const before = stateOf([storeAnswered(1, 0)])
  const { state, effects } = configurationStep(before, { kind: 'storeAnswered', accepted: acceptedOf(2, 0), askedAtMs: 5 })
  const rejected = { generation: 2, errors: ['seats: found 0, allowed: a whole number from 1 to 100000'] }
  assert.deepEqual(effects, [{ kind: 'rejected', rejected }])
  assert.equal(generationInForce(state), 1)
  assert.equal(canServeAuthenticated(state, 5), true)
  assert.equal(generationInForce(configurationStep(state, storeAnswered(3, 6)).state), 3)
})

test('a manifest from the store is pushed to the peers, but not the first one after a start', () => {
  const effectsOf = (state: ConfigurationState, event: ConfigurationEvent): readonly string[] => configurationStep(state, event).effects.map(({ kind }) => kind)
  assert.deepEqual(effectsOf(stateOf([]), storeAnswered(1, 0)), ['apply'])
  assert.deepEqual(effectsOf(stateOf([storeAnswered(1, 0)]), storeAnswered(2, 5)), ['apply', 'offer'])
})

test('a lower generation is never applied, whether from the store or from a peer', () => {
  const before = stateOf([storeAnswered(2, 0)])
  for (const event of [storeAnswered(1, 900), { kind: 'peerOffered', accepted: acceptedOf(1) } as const]) {
    const { state, effects } = configurationStep(before, event)
    assert.deepEqual(effects, [])
    assert.equal(generationInForce(state), 2)
    assert.equal(canServeAuthenticated(state, confirmWithinMs + 1), false, 'a stale response of the store confirms nothing')
  }
})

test('authenticated requests are refused once neither the store nor a majority has confirmed the generation in time', () => {
  const state = stateOf([quorumOfFive, storeAnswered(1, 0)])
  assert.equal(canServeAuthenticated(state, confirmWithinMs), true)
  assert.equal(canServeAuthenticated(state, confirmWithinMs + 1), false)
  const withNewHosts = stateOf([quorumOfFive, storeAnswered(1, 0), peerConfirmed('host-3', 0, 900), peerConfirmed('host-4', 0, 900)])
  assert.equal(canServeAuthenticated(withNewHosts, confirmWithinMs + 1), false, 'newly started hosts do not count for majorities')
  const one = configurationStep(state, peerConfirmed('host-1', 1, 900)).state
  assert.equal(canServeAuthenticated(one, confirmWithinMs + 1), false)
  const two = configurationStep(one, peerConfirmed('host-2', 1, 900)).state
  assert.equal(canServeAuthenticated(two, confirmWithinMs + 1), true)
  assert.equal(canServeAuthenticated(two, 900 + confirmWithinMs + 1), false)
})

test('a confirmation expires with the oldest response of its majority', () => {
  const state = stateOf([quorumOfFive, storeAnswered(1, 0), peerConfirmed('host-1', 1, 900), peerConfirmed('host-2', 1, 500), peerConfirmed('host-3', 1, 400)])
  assert.equal(confirmedUntilMs(state), 500 + confirmWithinMs)
  assert.equal(confirmedUntilMs(configurationStep(state, peerConfirmed('host-4', 2, 950)).state), -Infinity)
})

test('a peer relays the store\'s confirmation with its age', () => {
  const state = stateOf([quorumOfFive, storeAnswered(1, 0), peerConfirmed('host-1', 1, 900, 200)])
  assert.equal(storeConfirmedAgoMs(state, 1_000), 300)
  assert.equal(canServeAuthenticated(state, 700 + confirmWithinMs), true)
  assert.equal(canServeAuthenticated(state, 700 + confirmWithinMs + 1), false)
})

test('a host that learns of a higher generation pulls it before it serves authenticated requests', () => {
  const { state, effects } = configurationStep(stateOf([quorumOfFive, storeAnswered(1, 0)]), peerConfirmed('host-1', 2, 10))
  assert.deepEqual(effects, [{ kind: 'pull', host: 'host-1', above: 1 }, { kind: 'relist' }])
  assert.equal(canServeAuthenticated(state, 10), false)
  assert.deepEqual(configurationStep(state, { kind: 'tick', nowMs: 50 }).effects, [], 'one pull at a time')
  assert.equal(configurationStep(state, { kind: 'tick', nowMs: 110 }).effects.length, 2)
  assert.equal(canServeAuthenticated(configurationStep(state, { kind: 'peerOffered', accepted: acceptedOf(2) }).state, 10), true)
})

test('a host outside the quorum does not count for its majority', () => {
  const quorum: ConfigurationEvent = { kind: 'quorumChanged', hosts: ['host-1', 'host-2', 'host-3'] }
  const one = stateOf([quorum, storeAnswered(1, 0), peerConfirmed('host-1', 1, 900)])
  assert.equal(canServeAuthenticated(one, confirmWithinMs + 1), false)
  assert.equal(canServeAuthenticated(configurationStep(one, peerConfirmed('host-2', 1, 900)).state, confirmWithinMs + 1), true)
})

test('the quorum is queried once the store\'s confirmation is older than half of its validity', () => {
  const state = stateOf([quorumOfFive, storeAnswered(1, 0), peerConfirmed('host-1', 1, 400)])
  assert.deepEqual(configurationStep(state, { kind: 'tick', nowMs: 500 }).effects, [])
  const queried = configurationStep(state, { kind: 'tick', nowMs: 501 })
  assert.deepEqual(queried.effects, [{ kind: 'queryPeers', hosts: ['host-2', 'host-3', 'host-4'] }])
  assert.deepEqual(configurationStep(queried.state, { kind: 'tick', nowMs: 600 }).effects, [], 'no second query before the responses can have arrived')
})

test('the only host of a host list needs the confirmation of the store', () => {
  const state = stateOf([{ kind: 'quorumChanged', hosts: ['host-0'] }, storeAnswered(1, 0)])
  assert.equal(canServeAuthenticated(state, confirmWithinMs + 1), false)
})

test('a replaced host is confirmed by a majority of other hosts while the store is unavailable', () => {
  const offered = stateOf([quorumOfFive, { kind: 'peerOffered', accepted: acceptedOf(4) }, peerConfirmed('host-1', 4, 60, 9_000), peerConfirmed('host-2', 4, 60, 9_000)], 'host-0', 50)
  assert.equal(canServeAuthenticated(offered, 70), false, 'two other hosts are not a majority of five')
  assert.equal(confirmedGeneration(offered), 0)
  const voting = configurationStep(offered, peerConfirmed('host-3', 3, 60)).state
  assert.equal(canServeAuthenticated(voting, 70), true)
  assert.equal(confirmedGeneration(voting), 4)
})

test('a newly started host does not count for majorities while its generation is lower than that of others', () => {
  const others = [...['host-1', 'host-2', 'host-3'].map(host => peerConfirmed(host, 3, 60)), peerConfirmed('host-4', 2, 60)]
  const behind = stateOf([quorumOfFive, { kind: 'peerOffered', accepted: acceptedOf(2) }, ...others], 'host-0', 50)
  assert.equal(confirmedGeneration(behind), 0)
  assert.equal(confirmedGeneration(configurationStep(behind, { kind: 'peerOffered', accepted: acceptedOf(3) }).state), 3)
})

// Stateful fuzz test: a quorum of three hosts, with or without a host outside
// it, one store, network partitions, late responses and replaced hosts. The
// oracle records when each generation was accepted and when a majority of
// voting hosts held it.

type Action =
  | { readonly kind: 'accept' }
  | { readonly kind: 'queryStore', readonly host: number }
  | { readonly kind: 'heartbeat', readonly host: number, readonly peer: number }
  | { readonly kind: 'deliver', readonly pick: number }
  | { readonly kind: 'lose', readonly pick: number }
  | { readonly kind: 'advance', readonly byMs: number }
  | { readonly kind: 'tick', readonly host: number }
  | { readonly kind: 'setStore', readonly up: boolean }
  | { readonly kind: 'setLink', readonly host: number, readonly up: boolean }
  | { readonly kind: 'isolate', readonly host: number }
  | { readonly kind: 'replace', readonly host: number }
  /** Every host queries every other, and all pending events are delivered. */
  | { readonly kind: 'gossip' }
  /** A generation is accepted and reaches every host that is not partitioned. */
  | { readonly kind: 'rollOut' }

/** Maximum number of deliveries in one round of heartbeats and offers. */
const maxDeliveriesPerRound = 1_000

type PendingEvent = { readonly to: number, readonly incarnation: number, readonly event: ConfigurationEvent }

class FleetModel {
  readonly #hosts: readonly string[]
  readonly #quorum: readonly string[]
  #nowMs = 0
  #storeUp = true
  #states: readonly ConfigurationState[]
  #incarnations: readonly number[]
  #partitioned: ReadonlySet<number> = new Set()
  #pending: readonly PendingEvent[] = []
  /** Index is the generation. */
  #acceptedAtMs: readonly number[] = [0]
  #heldAtMs: ReadonlyArray<number | undefined> = [0]

  constructor (hosts: readonly string[], quorum: readonly string[]) {
    this.#hosts = hosts
    this.#quorum = quorum
    this.#states = hosts.map(host => this.#initialState(host))
    this.#incarnations = hosts.map(() => 0)
  }

  act (action: Action): void {
    const before = this.#states.map(generationInForce)
    switch (action.kind) {
      case 'accept': {
        if (this.#storeUp) this.#acceptedAtMs = [...this.#acceptedAtMs, this.#nowMs]
        break
      }
      case 'queryStore': {
        if (!this.#storeUp || this.#partitioned.has(action.host)) break
        this.#send(action.host, { kind: 'storeAnswered', accepted: this.#stored(), askedAtMs: this.#nowMs })
        break
      }
      case 'heartbeat': {
        if (this.#linked(action.host, action.peer)) this.#send(action.host, this.#heartbeatOf(action.peer))
        break
      }
      case 'deliver': this.#takePending(action.pick, pending => this.#dispatch(pending.to, pending.event)); break
      case 'lose': this.#takePending(action.pick, () => {}); break
      case 'tick': this.#dispatch(action.host, { kind: 'tick', nowMs: this.#nowMs }); break
      case 'advance': this.#nowMs += action.byMs; break
      case 'setStore': this.#storeUp = action.up; break
      case 'setLink': {
        const others = [...this.#partitioned].filter(host => host !== action.host)
        this.#partitioned = new Set(action.up ? others : [...others, action.host])
        break
      }
      case 'isolate': this.#partitioned = new Set([action.host]); break
      case 'gossip': this.#gossip(); break
      case 'rollOut': {
        this.act({ kind: 'accept' })
        this.#hosts.forEach((_, host) => this.act({ kind: 'queryStore', host }))
        this.#gossip()
        break
      }
      case 'replace': {
        this.#states = this.#states.with(action.host, this.#initialState(this.#hosts[action.host] as string))
        this.#incarnations = this.#incarnations.with(action.host, (this.#incarnations[action.host] as number) + 1)
        break
      }
    }
    this.#check(action, before)
  }

  converge (): void {
    this.act({ kind: 'setStore', up: true })
    this.#hosts.forEach((_, host) => this.act({ kind: 'setLink', host, up: true }))
    // One host queries the store; heartbeats and offers spread the generation
    // to all others.
    for (let round = 0; round < 4; round += 1) {
      this.act({ kind: 'advance', byMs: 200 })
      this.act({ kind: 'queryStore', host: 0 })
      this.#gossip()
    }
    const generation = this.#acceptedAtMs.length - 1
    for (const state of this.#states) {
      assert.equal(generationInForce(state), generation, 'all hosts converge')
      assert.equal(canServeAuthenticated(state, this.#nowMs), generation > 0, 'all hosts serve again')
    }
  }

  #gossip (): void {
    this.#hosts.forEach((_, host) => this.#hosts.forEach((__, peer) => this.act({ kind: 'heartbeat', host, peer })))
    for (let count = 0; this.#pending.length > 0; count += 1) {
      assert.ok(count < maxDeliveriesPerRound, 'hosts offer manifests without end')
      this.act({ kind: 'deliver', pick: 0 })
    }
  }

  #check (action: Action, before: readonly number[]): void {
    this.#heldAtMs = this.#acceptedAtMs.map((_, generation) => {
      const holders = this.#states.filter(state => this.#quorum.includes(state.spec.host) && confirmedGeneration(state) >= generation)
      return this.#heldAtMs[generation] ?? (holders.length > this.#quorum.length / 2 ? this.#nowMs : undefined)
    })
    this.#states.forEach((state, host) => {
      const generation = generationInForce(state)
      if (action.kind !== 'replace') assert.ok(generation >= (before[host] as number), 'a generation reverted')
      if (!canServeAuthenticated(state, this.#nowMs)) return
      const sinceMs = this.#nowMs - confirmWithinMs
      for (let above = generation + 1; above < this.#acceptedAtMs.length; above += 1) {
        const heldAtMs = this.#heldAtMs[above]
        const overdue = heldAtMs !== undefined && heldAtMs < sinceMs && (this.#acceptedAtMs[above] as number) < sinceMs
        assert.ok(!overdue, `host ${host} serves generation ${generation} though ${above} has been held by a majority since ${heldAtMs} ms (now ${this.#nowMs})`)
      }
    })
  }

  #initialState (host: string): ConfigurationState {
    const initial = initialConfiguration({ host, startedAtMs: this.#nowMs, confirmWithinMs, pullMs: 100 })
    return configurationStep(initial, { kind: 'quorumChanged', hosts: this.#quorum }).state
  }

  #stored (): AcceptedManifest | undefined {
    const generation = this.#acceptedAtMs.length - 1
    return generation === 0 ? undefined : acceptedOf(generation)
  }

  #linked (a: number, b: number): boolean {
    return a !== b && !this.#partitioned.has(a) && !this.#partitioned.has(b)
  }

  #heartbeatOf (peer: number): ConfigurationEvent {
    const state = this.#states[peer] as ConfigurationState
    return peerConfirmed(this.#hosts[peer] as string, confirmedGeneration(state), this.#nowMs, storeConfirmedAgoMs(state, this.#nowMs))
  }

  #send (to: number, event: ConfigurationEvent): void {
    this.#pending = [...this.#pending, { to, incarnation: this.#incarnations[to] as number, event }]
  }

  #takePending (pick: number, use: (pending: PendingEvent) => void): void {
    if (this.#pending.length === 0) return
    const at = pick % this.#pending.length
    const pending = this.#pending[at] as PendingEvent
    this.#pending = this.#pending.toSpliced(at, 1)
    if (pending.incarnation === this.#incarnations[pending.to]) use(pending)
  }

  #dispatch (host: number, event: ConfigurationEvent): void {
    const { state, effects } = configurationStep(this.#states[host] as ConfigurationState, event)
    this.#states = this.#states.with(host, state)
    for (const effect of effects) {
      switch (effect.kind) {
        case 'offer': {
          this.#hosts.forEach((_, peer) => {
            if (this.#linked(host, peer)) this.#send(peer, { kind: 'peerOffered', accepted: effect.accepted })
          })
          break
        }
        case 'pull': {
          const peer = this.#hosts.indexOf(effect.host)
          const accepted = this.#states[peer]?.accepted
          if (accepted !== undefined && this.#linked(host, peer)) this.#send(host, { kind: 'peerOffered', accepted })
          break
        }
        case 'queryPeers': {
          for (const peer of effect.hosts.map(name => this.#hosts.indexOf(name))) {
            if (this.#linked(host, peer)) this.#send(host, this.#heartbeatOf(peer))
          }
          break
        }
        case 'apply':
        case 'relist':
        case 'rejected':
      }
    }
  }
}

function actions (hostCount: number): fc.Arbitrary<readonly Action[]> {
  const host = fc.nat({ max: hostCount - 1 })
  const pick = fc.nat({ max: 20 })
  const plain = <K extends Action['kind']>(kind: K) => fc.constant({ kind })
  const action = fc.oneof(
    { weight: 2, arbitrary: plain('accept') },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('queryStore' as const), host }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('heartbeat' as const), host, peer: host }) },
    { weight: 8, arbitrary: fc.record({ kind: fc.constant('deliver' as const), pick }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), pick }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), byMs: fc.constantFrom(1, 100, 600, 1_500) }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('tick' as const), host }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('setStore' as const), up: fc.boolean() }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('setLink' as const), host, up: fc.boolean() }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('isolate' as const), host }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('replace' as const), host }) },
    { weight: 5, arbitrary: plain('gossip') },
    { weight: 5, arbitrary: plain('rollOut') }
  )
  return fc.array(action, { minLength: 30, maxLength: 150 })
}

function fuzz (hosts: readonly string[], quorum: readonly string[]): void {
  fc.assert(fc.property(actions(hosts.length), list => {
    const model = new FleetModel(hosts, quorum)
    for (const action of list) model.act(action)
    model.converge()
  }), { seed: 1117, numRuns: 600, endOnFailure: true })
}

test('hosts of a quorum never revert, stop serving a replaced generation in time and converge', () => {
  fuzz(hostNames.slice(0, 3), hostNames.slice(0, 3))
})

test('a host outside the quorum never reverts, stops serving a replaced generation in time and converges', () => {
  fuzz(hostNames.slice(0, 4), hostNames.slice(0, 3))
})
