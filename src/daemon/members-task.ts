// The members task: owns the view of the fleet. It reads the platform's host
// list, exchanges heartbeats over the peer links and publishes who is live.

import { initialMembership, membershipStep, quorumHosts, gossipEntries, unresponsiveHosts, type ListedHost, type Member, type MembershipEffect, type MembershipEvent, type MembershipState } from '../members/index.js'
import type { HostListReply, HostList, HostName, MemberState } from '../model/index.js'
import { ask, SnapshotPublisher, startTask, tickPort, type Port, type Reply, type Snapshot } from '../pipe/index.js'
import type { DaemonContext } from './context.js'
import { listDigest } from './list-digest.js'
import type { PeerLinks } from './peers.js'

/** What others see of the fleet. */
export type MembersView = {
  readonly live: readonly Member[]
  readonly listed: readonly ListedHost[]
  readonly quorum: readonly HostName[]
  /** Hosts that were found silent; a stopping host is not among them. */
  readonly unresponsive: ReadonlySet<HostName>
}

/** A running members task. */
export type MembersTask = {
  /** Begins to read the host list and to exchange heartbeats. */
  readonly begin: () => void
  readonly view: Snapshot<MembersView>
  readonly send: (event: MembershipEvent) => void
  /** The list of hosts as this host has it, for one that knows a digest; undefined: none yet. */
  readonly list: (known: string) => HostListReply | undefined
  /** Answers a heartbeat of another member. */
  readonly answerHeartbeat: (from: MemberState) => Promise<MemberState>
  readonly stop: () => Promise<void>
}

/** What the task needs. */
export type MembersSpec = {
  readonly context: DaemonContext
  readonly links: PeerLinks
  readonly listHosts: () => Promise<readonly ListedHost[]>
  /** What this host says of itself, without rumours. */
  readonly localState: () => MemberState
  readonly onMembersChanged: (view: MembersView) => void
  /** Told of each list that the platform gave a moment ago, changed or not. */
  readonly onFreshHosts: (hosts: readonly ListedHost[]) => void
  readonly onHeartbeatAnswered: (state: MemberState, askedAtMs: number) => void
}

type Message =
  | { readonly kind: 'event', readonly event: MembershipEvent }
  | { readonly kind: 'heartbeatOf', readonly from: MemberState, readonly reply: Reply<MemberState> }

type Effect = MembershipEffect
  | { readonly kind: 'answer', readonly reply: Reply<MemberState>, readonly rumours: MemberState['rumours'] }

const mailboxCapacity = 4096
const tickMs = 100
/** How often the platform's host list is read. */
const listMs = 1000
const listTimeoutMs = 500
/** An older list says nothing of who is there now. */
const freshListMs = 3000

/**
 * Starts the members task.
 * @param spec - what the task needs
 * @returns the running task
 */
export function startMembers (spec: MembersSpec): MembersTask {
  const { context, links } = spec
  const { timers, settings } = context
  const self: Member = { host: settings.host.name, failureDomain: settings.host.failureDomain, ip: settings.host.ip, port: settings.host.peerPort }
  const initial = initialMembership(self, { ...membershipSettings(context) }, timers.nowMs())
  const published = new SnapshotPublisher<MembersView>(viewOf(initial))
  const task = startTask<MembershipState, Message, Effect>({
    name: 'members',
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError('members'),
    step: (state, message) => publish(published, step(state, message, timers.nowMs())),
    perform: (effect, port) => { perform(spec, effect, port, published) }
  })
  const tell = (event: MembershipEvent): void => { task.port.send({ kind: 'event', event }) }
  let known: { readonly hosts: readonly ListedHost[], readonly listedAtMs: number } | undefined
  const list = async (): Promise<void> => {
    const askedAtMs = timers.nowMs()
    const found = await findHosts(spec, published.get(), known?.hosts ?? [])
    if (found === undefined) return
    known = { hosts: found.hosts, listedAtMs: askedAtMs - found.agoMs }
    links.updateHosts(found.hosts)
    tell({ kind: 'hostsListed', hosts: found.hosts, nowMs: timers.nowMs() })
    if (found.agoMs <= freshListMs) spec.onFreshHosts(found.hosts)
  }
  const listNow = (): void => { void list().catch(context.onTaskError('members')) }
  return {
    begin () {
      timers.every(tickMs, tickPort<Message>(task.port, nowMs => ({ kind: 'event', event: { kind: 'tick', nowMs } })))
      timers.every(listMs, { send: () => { listNow(); return 'accepted' } })
      listNow()
    },
    view: published,
    send: tell,
    list: digest => known === undefined ? undefined : answerFor(known, digest, timers.nowMs()),
    answerHeartbeat: async from => await ask<Message, MemberState>(task.port, reply => ({ kind: 'heartbeatOf', from, reply }), spec.localState()),
    stop: task.stop
  }
}

function membershipSettings (context: DaemonContext): MembershipState['settings'] {
  const { control } = context.settings
  const silentPeriods = 2.5
  return {
    periodMs: control.heartbeatMs,
    suspectAfterMs: control.heartbeatMs * silentPeriods,
    linkGraceMs: Math.min(control.heartbeatMs, 300),
    fullMeshHosts: 24,
    watchersPerDomain: control.watchersPerDomain
  }
}

// The watchers of each failure domain ask the platform; all others ask a
// watcher, and the platform only where none answers. So the store's calls grow
// with the failure domains, and a host that starts while the store is out finds
// the fleet through its seeds.
async function findHosts (spec: MembersSpec, view: MembersView, own: readonly ListedHost[]): Promise<HostList | undefined> {
  const { settings, random } = spec.context
  const watchers = view.quorum.filter(host => host !== settings.host.name && !view.unresponsive.has(host))
  const isWatcher = view.quorum.includes(settings.host.name)
  const watcher = watchers[Math.floor(random() * watchers.length)]
  const fromPlatform = async (): Promise<HostList | undefined> => await spec.listHosts().then(hosts => ({ hosts, agoMs: 0 }), () => undefined)
  const fromWatcher = async (): Promise<HostList | undefined> => watcher === undefined ? undefined : await askHosts(own, async known => await spec.links.call(watcher, 'listHosts', { known }, listTimeoutMs))
  const sources = isWatcher || watcher === undefined ? [fromPlatform] : [fromWatcher, fromPlatform]
  const seeds = settings.seeds.map(seed => async () => await askHosts(own, async known => await spec.links.callAddress(seed, 'listHosts', { known }, listTimeoutMs)))
  for (const source of view.listed.length === 0 ? [...sources, ...seeds] : sources) {
    const list = await source()
    if (list !== undefined) return list
  }
  return undefined
}

async function askHosts (own: readonly ListedHost[], call: (known: string) => Promise<{ readonly list: HostListReply | undefined }>): Promise<HostList | undefined> {
  const { list } = await call(listDigest(own)).catch(() => ({ list: undefined }))
  return list === undefined ? undefined : { hosts: list.hosts ?? own, agoMs: list.agoMs }
}

function answerFor (known: { readonly hosts: readonly ListedHost[], readonly listedAtMs: number }, digest: string, nowMs: number): HostListReply {
  const own = listDigest(known.hosts)
  return { hosts: own === digest ? undefined : known.hosts, digest: own, agoMs: nowMs - known.listedAtMs }
}

type Next = { readonly state: MembershipState, readonly effects: readonly Effect[] }

function step (state: MembershipState, message: Message, nowMs: number): Next {
  switch (message.kind) {
    case 'event': return tellChanges(state, membershipStep(state, message.event))
    case 'heartbeatOf': {
      const heard = membershipStep(state, { kind: 'heartbeatReceived', state: message.from, nowMs })
      const answer: Effect = { kind: 'answer', reply: message.reply, rumours: gossipEntries(heard.state, nowMs) }
      return { state: heard.state, effects: [...heard.effects, answer] }
    }
  }
}

// Others need to know of a changed list and of silent hosts, too, not only of
// another set of live members.
function tellChanges (before: MembershipState, transition: ReturnType<typeof membershipStep>): Next {
  const { state, effects } = transition
  if (effects.some(effect => effect.kind === 'membersChanged') || !hasChanged(before, state)) return transition
  return { state, effects: [...effects, { kind: 'membersChanged', live: state.live }] }
}

function hasChanged (before: MembershipState, after: MembershipState): boolean {
  if (before.listed !== after.listed && JSON.stringify(before.listed) !== JSON.stringify(after.listed)) return true
  if (before.peers === after.peers) return false
  return [...unresponsiveHosts(after)].sort().join() !== [...unresponsiveHosts(before)].sort().join()
}

function publish (published: SnapshotPublisher<MembersView>, transition: Next): Next {
  published.publish(viewOf(transition.state, published.get()))
  return transition
}

// The quorum is found by hashing names, so it is kept while the list is the same.
function viewOf (state: MembershipState, before?: MembersView): MembersView {
  const quorum = before !== undefined && before.listed === state.listed ? before.quorum : quorumHosts(state)
  return { live: state.live, listed: state.listed, quorum, unresponsive: unresponsiveHosts(state) }
}

function perform (spec: MembersSpec, effect: Effect, port: Port<Message>, view: Snapshot<MembersView>): void {
  switch (effect.kind) {
    case 'membersChanged': {
      spec.onMembersChanged(view.get())
      break
    }
    case 'heartbeat': {
      for (const member of effect.to) void sendHeartbeat(spec, member.host, effect.rumours, port)
      break
    }
    case 'answer': {
      effect.reply({ ...spec.localState(), ...withRumours(effect.rumours) })
      break
    }
  }
}

function withRumours (rumours: MemberState['rumours']): Pick<MemberState, 'rumours'> {
  return rumours === undefined || rumours.length === 0 ? {} : { rumours }
}

async function sendHeartbeat (spec: MembersSpec, host: HostName, rumours: MemberState['rumours'], port: Port<Message>): Promise<void> {
  const { timers, settings } = spec.context
  const askedAtMs = timers.nowMs()
  try {
    const state = await spec.links.call(host, 'heartbeat', { ...spec.localState(), ...withRumours(rumours) }, settings.control.heartbeatMs)
    spec.onHeartbeatAnswered(state, askedAtMs)
    port.send({ kind: 'event', event: { kind: 'heartbeatAnswered', state, nowMs: timers.nowMs() } })
  } catch {
    // The link itself reports its failure to this task.
  }
}
