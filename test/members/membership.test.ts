import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { GossipEntry, MemberState } from '../../src/model/index.js'
import {
  defaultMembershipSettings, initialMembership, membershipDueAtMs, membershipStep, quorumHosts, ringNeighbours, gossipEntries, unresponsiveHosts,
  type ListedHost, type MembershipEvent, type MembershipState
} from '../../src/members/index.js'

const settings = defaultMembershipSettings

function hosts (count: number): readonly ListedHost[] {
  return Array.from({ length: count }, (_, at) => ({ host: `h${at}`, failureDomain: `d${at % 3}`, ip: '127.0.0.1', port: 7000 + at, state: 'live' }))
}

function memberState (host: string, state: 'serving' | 'stopping' = 'serving', rumours: readonly GossipEntry[] = []): MemberState {
  return { host, failureDomain: 'd0', incarnation: 'a', state, generation: 1, storeConfirmedAgoMs: 0, rumours }
}

function memberOf (list: readonly ListedHost[], at = 0): MembershipState {
  const start = initialMembership(list[at] as ListedHost, settings, 0)
  return membershipStep(start, { kind: 'hostsListed', hosts: list, nowMs: 0 }).state
}

function after (state: MembershipState, events: readonly MembershipEvent[]): MembershipState {
  return events.reduce((now, event) => membershipStep(now, event).state, state)
}

function liveHosts (state: MembershipState): readonly string[] {
  return state.live.map(member => member.host)
}

function answers (list: readonly string[], nowMs: number): readonly MembershipEvent[] {
  return list.map(host => ({ kind: 'heartbeatAnswered', state: memberState(host), nowMs }))
}

/** Ticks every 500 ms, at which the given hosts answer heartbeats. */
function ticksAndAnswers (answering: readonly string[], fromMs: number, toMs: number): readonly MembershipEvent[] {
  const times = Array.from({ length: (toMs - fromMs) / 500 }, (_, at) => fromMs + (at + 1) * 500)
  return times.flatMap(nowMs => [...answers(answering, nowMs), { kind: 'tick' as const, nowMs }])
}

test('a listed host is live until it becomes unresponsive, and again when it answers', () => {
  const start = memberOf(hosts(3))
  assert.deepEqual(liveHosts(start), ['h0', 'h1', 'h2'])
  const later = after(start, ticksAndAnswers(['h1'], 0, 4000))
  assert.deepEqual(liveHosts(later), ['h0', 'h1'])
  assert.deepEqual(liveHosts(after(later, answers(['h2'], 4100))), ['h0', 'h1', 'h2'])
})

test('a store outage, in which no list arrives, changes nothing', () => {
  const later = after(memberOf(hosts(3)), ticksAndAnswers(['h1', 'h2'], 0, 600_000))
  assert.deepEqual(liveHosts(later), ['h0', 'h1', 'h2'])
})

test('after a pause of its own process a member does not suspect its peers at once', () => {
  const paused = after(memberOf(hosts(3)), [...ticksAndAnswers(['h1', 'h2'], 0, 2000), { kind: 'tick', nowMs: 30_000 }])
  assert.deepEqual(liveHosts(paused), ['h0', 'h1', 'h2'])
})

test('a failed link is checked at once, and the host is not live unless it answers', () => {
  const failed = membershipStep(memberOf(hosts(3)), { kind: 'linkFailed', host: 'h1', nowMs: 10 })
  assert.deepEqual(failed.effects.map(effect => effect.kind), ['heartbeat'])
  const received: MembershipEvent = { kind: 'heartbeatReceived', state: memberState('h1'), nowMs: 100 }
  const tick: MembershipEvent = { kind: 'tick', nowMs: 10 + settings.linkGraceMs }
  assert.deepEqual(liveHosts(after(failed.state, [received, tick])), ['h0', 'h2'])
  assert.deepEqual(liveHosts(after(failed.state, [...answers(['h1'], 100), tick])), ['h0', 'h1', 'h2'])
})

test('a stopping member and a host being decommissioned are not live', () => {
  const list = hosts(4).map(host => host.host === 'h3' ? { ...host, state: 'leaving' as const } : host)
  const state = after(memberOf(list), [{ kind: 'heartbeatReceived', state: memberState('h1', 'stopping'), nowMs: 1 }])
  assert.deepEqual(liveHosts(state), ['h0', 'h2'])
  assert.deepEqual(liveHosts(after(state, [{ kind: 'stopping', nowMs: 2 }])), ['h2'])
})

test('a host that is not listed is no member, even if it sends heartbeats', () => {
  const state = after(memberOf(hosts(3)), [{ kind: 'heartbeatReceived', state: memberState('stranger'), nowMs: 1 }])
  assert.deepEqual(liveHosts(state), ['h0', 'h1', 'h2'])
})

test('one end of each pair sends one heartbeat per period', () => {
  const list = hosts(18)
  const sent = [0, 9].map(at => {
    const warm = after(memberOf(list, at), [{ kind: 'tick', nowMs: 0 }, ...answers(list.map(host => host.host), 0)])
    const { effects } = membershipStep(warm, { kind: 'tick', nowMs: settings.periodMs })
    return effects.flatMap(effect => effect.kind === 'heartbeat' ? effect.to : []).length
  })
  assert.deepEqual(sent, [17, 0])
})

test('the quorum consists of listed hosts, responsive or not', () => {
  const start = memberOf(hosts(9))
  const later = after(start, ticksAndAnswers([], 0, 5000))
  assert.deepEqual(liveHosts(later), ['h0'])
  assert.deepEqual(quorumHosts(later), quorumHosts(start))
  assert.equal(quorumHosts(start).length, 3 * settings.watchersPerDomain)
})

test('in a large fleet the peers are few and observe each other mutually', () => {
  const names = hosts(2000).map(host => host.host)
  const neighbours = ringNeighbours('h0', names.slice(1))
  assert.ok(neighbours.length <= 22, `${neighbours.length}`)
  const [peer] = neighbours
  assert.ok(ringNeighbours(peer as string, names.filter(name => name !== peer)).includes('h0'))
})

test('a host that a member does not observe is not live once two observers report it; one is not enough', () => {
  const list = hosts(100)
  const state = memberOf(list)
  const far = list.map(({ host }) => host).find(host => host !== 'h0' && !state.observed.has(host)) as string
  const gossipOf = (observer: string): GossipEntry => ({ host: far, observer, silent: true, agoMs: 5 })
  const one = after(state, [{ kind: 'heartbeatReceived', state: memberState('h1', 'serving', [gossipOf('h1')]), nowMs: 10 }])
  assert.ok(liveHosts(one).includes(far))
  const two = membershipStep(one, { kind: 'heartbeatReceived', state: memberState('h2', 'serving', [gossipOf('h2'), gossipOf('h1')]), nowMs: 20 })
  assert.ok(!liveHosts(two.state).includes(far))
  assert.deepEqual(gossipEntries(two.state, 25).map(({ observer }) => observer).sort(), ['h1', 'h2'])
  const back = { ...gossipOf('h2'), silent: false, agoMs: 1 }
  const answered = after(two.state, [{ kind: 'heartbeatReceived', state: memberState('h2', 'serving', [back]), nowMs: 40 }])
  assert.ok(liveHosts(answered).includes(far))
})

test('many observations that arrive at once cost one heartbeat to each peer', () => {
  const list = hosts(100)
  const state = after(memberOf(list), [{ kind: 'tick', nowMs: 0 }])
  const far = list.map(({ host }) => host).filter(host => host !== 'h0' && !state.observed.has(host)).slice(0, 16)
  const news = far.map((host, at): MembershipEvent => ({ kind: 'heartbeatReceived', state: memberState('h1', 'serving', [{ host, observer: 'h1', silent: true, agoMs: 5 }]), nowMs: 10 + at }))
  const received = news.reduce((done, event) => {
    const next = membershipStep(done.state, event)
    return { state: next.state, effects: [...done.effects, ...next.effects] }
  }, { state, effects: [] as ReadonlyArray<ReturnType<typeof membershipStep>['effects'][number]> })
  assert.deepEqual(received.effects.filter(effect => effect.kind === 'heartbeat'), [])
  const nowMs = membershipDueAtMs(received.state)
  assert.ok(nowMs <= 100, `${nowMs}`)
  const [sent] = membershipStep(received.state, { kind: 'tick', nowMs }).effects.flatMap(effect => effect.kind === 'heartbeat' ? [effect] : [])
  assert.equal(sent?.to.length, new Set([...state.observed, ...quorumHosts(state)]).size)
  assert.equal(sent?.rumours.length, far.length)
})

test('observations of hosts without tasks for others go to the peers and the watchers, and are not relayed', () => {
  const list = hosts(100).map((host, at) => ({ ...host, capacityCores: at < 6 ? 1.35 : 0.227 }))
  const start = after(memberOf(list, 50), [{ kind: 'tick', nowMs: 0 }])
  const [small = '', capable = ''] = [list.find(({ host }) => host !== 'h50' && Number(host.slice(1)) > 5 && !start.observed.has(host)), list.find(({ host }) => Number(host.slice(1)) < 6 && !start.observed.has(host))].map(host => host?.host ?? '')
  const told = (host: string): MembershipState => after(start, [{ kind: 'heartbeatReceived', state: memberState('h1', 'serving', [{ host, observer: 'h1', silent: true, agoMs: 5 }]), nowMs: 10 }])
  assert.deepEqual(gossipEntries(told(small), 20), [])
  assert.equal(told(small).gossipAtMs, Infinity)
  assert.deepEqual(gossipEntries(told(capable), 20).map(({ host }) => host), [capable])
  const own = after(start, ticksAndAnswers([...start.observed].slice(1), 0, 12_000))
  const sent = membershipStep({ ...own, gossipAtMs: 12_000 }, { kind: 'tick', nowMs: 12_000 }).effects.flatMap(effect => effect.kind === 'heartbeat' ? effect.to.map(({ host }) => host) : [])
  for (const watcher of quorumHosts(start)) assert.ok(sent.includes(watcher), watcher)
})

test('an idle member of a small fleet is woken a few times in a second', () => {
  const list = hosts(15)
  let state = after(memberOf(list), [{ kind: 'tick', nowMs: 0 }, ...answers(list.map(({ host }) => host), 1)])
  let ticks = 0
  for (let nowMs = membershipDueAtMs(state); nowMs <= 10_000; nowMs = membershipDueAtMs(state)) {
    const { state: ticked, effects } = membershipStep(state, { kind: 'tick', nowMs })
    const asked = effects.flatMap(effect => effect.kind === 'heartbeat' ? effect.to.map(({ host }) => host) : [])
    state = after(ticked, answers(asked, nowMs + 1))
    ticks += 1
  }
  assert.ok(ticks <= 40, `${ticks} ticks in 10 s`)
  assert.equal(liveHosts(state).length, 15)
})

test('a peer of a large fleet that answers again after a cut is found within half a period', () => {
  const list = hosts(100)
  const state = memberOf(list)
  const [peer = ''] = [...state.observed]
  const silent = after(state, ticksAndAnswers([...state.observed].filter(host => host !== peer), 0, 12_000))
  assert.equal(liveHosts(silent).includes(peer), false)
  const asked = Array.from({ length: 10 }, (_, at) => 12_050 + at * 50).reduce<{ readonly state: MembershipState, readonly count: number }>((done, nowMs) => {
    const { state: next, effects } = membershipStep(done.state, { kind: 'tick', nowMs })
    return { state: next, count: done.count + effects.filter(effect => effect.kind === 'heartbeat' && effect.to.some(({ host }) => host === peer)).length }
  }, { state: silent, count: 0 })
  assert.ok(asked.count >= 1, `${asked.count}`)
})

test('the watchers of a large fleet observe each other as closely as a small fleet does', () => {
  const list = hosts(100)
  const watchers = quorumHosts(memberOf(list))
  const at = list.findIndex(({ host }) => host === watchers[0])
  const state = memberOf(list, at)
  for (const host of watchers.slice(1)) assert.ok(state.observed.has(host))
  const silent = after(state, ticksAndAnswers(list.map(({ host }) => host).filter(host => host !== watchers[1]), 0, 3000))
  assert.equal(liveHosts(silent).includes(watchers[1] as string), false)
})

test('gossip of an unresponsive host reaches the whole of a large fleet', () => {
  const list = hosts(64)
  const views = new Map(list.map(({ host }, at) => [host, memberOf(list, at)]))
  const deliver = (from: string, event: MembershipEvent): void => {
    const { state, effects } = membershipStep(views.get(from) as MembershipState, event)
    views.set(from, state)
    for (const effect of effects) {
      if (effect.kind !== 'heartbeat') continue
      for (const { host } of effect.to.filter(to => to.host !== 'h7')) {
        deliver(host, { kind: 'heartbeatReceived', state: memberState(from, 'serving', effect.rumours), nowMs: event.nowMs })
        const rumours = gossipEntries(views.get(host) as MembershipState, event.nowMs)
        deliver(from, { kind: 'heartbeatAnswered', state: memberState(host, 'serving', rumours), nowMs: event.nowMs })
      }
    }
  }
  for (let nowMs = 0; nowMs <= 20_000; nowMs += 500) {
    for (const { host } of list.filter(listed => listed.host !== 'h7')) deliver(host, { kind: 'tick', nowMs })
  }
  for (const [host, view] of views) {
    if (host !== 'h7') assert.deepEqual(liveHosts(view), list.map(listed => listed.host).filter(name => name !== 'h7'), host)
  }
})

// Guards against hosts that are declared unresponsive by one that is short of processor
// time: its ticks come late, and so do the answers that it reads.
test('a member does not count its own lateness against its peers, and still finds an unresponsive one', () => {
  const suspectedWhileLate = (answering: readonly string[]): readonly string[] => {
    let state = memberOf(hosts(3))
    const suspected = new Set<string>()
    for (let tick = 1; tick <= 20; tick += 1) {
      const nowMs = tick * 1150
      state = after(state, [...(tick % 4 === 0 ? answers(answering, nowMs) : []), { kind: 'tick', nowMs }])
      for (const host of unresponsiveHosts(state)) suspected.add(host)
    }
    return [...suspected]
  }
  assert.deepEqual(suspectedWhileLate(['h1', 'h2']), [])
  assert.deepEqual(suspectedWhileLate(['h1']), ['h2'])
})
