// Members task: owns the membership view of the fleet. It reads the platform's host
// list, exchanges heartbeats over the peer links and publishes the live members.

import { initialMembership, membershipDueAtMs, membershipStep, quorumHosts, gossipEntries, unresponsiveHosts, type ListedHost, type Member, type MembershipEffect, type MembershipEvent, type MembershipState } from '../members/index.js'
import type { HostListReply, HostList, HostName, MemberState, PeerResult } from '../model/index.js'
import { ask, SnapshotPublisher, startTask, type Port, type Reply, type Snapshot } from '../pipe/index.js'
import type { DaemonContext } from './context.js'
import { listDigest } from './list-digest.js'
import type { PeerLinks } from './peers.js'

/** Membership view that other tasks read. */
export type MembersView = {
  readonly live: readonly Member[]
  readonly listed: readonly ListedHost[]
  readonly quorum: readonly HostName[]
  /** Hosts that were found unresponsive; a stopping host is not among them. */
  readonly unresponsive: ReadonlySet<HostName>
}

/** A running members task. */
export type MembersTask = {
  /** Begins to read the host list and to exchange heartbeats. */
  readonly begin: () => void
  readonly view: Snapshot<MembersView>
  readonly send: (event: MembershipEvent) => void
  /**
   * The host list of this host, for a member that has the list with digest
   * `known`; undefined: none yet.
   */
  readonly list: (known: string) => HostListReply | undefined
  /** Records a heartbeat of another member and returns the answer. */
  readonly answerHeartbeat: (from: MemberState) => Promise<MemberState>
  readonly stop: () => Promise<void>
}

/** Dependencies of the task. */
export type MembersSpec = {
  readonly context: DaemonContext
  readonly links: PeerLinks
  readonly listHosts: () => Promise<readonly ListedHost[]>
  /** State of this host that is sent in heartbeats, without gossip entries. */
  readonly localState: () => MemberState
  readonly onMembersChanged: (view: MembersView) => void
  /** Called with each fresh host list, changed or not. */
  readonly onFreshHosts: (hosts: readonly ListedHost[]) => void
  /** Called with the state that another member sent in an answer. */
  readonly onPeerState: (state: MemberState, sentAtMs: number) => void
}

type Message =
  | { readonly kind: 'event', readonly event: MembershipEvent }
  | { readonly kind: 'heartbeatRequest', readonly from: MemberState, readonly reply: Reply<MemberState> }

/** `rumours` is the wire name of the gossip entries. */
type Effect = MembershipEffect
  | { readonly kind: 'answer', readonly reply: Reply<MemberState>, readonly rumours: MemberState['rumours'] }

const mailboxCapacity = 4096
/** Period in which the host list is read. */
const listMs = 1000
const listTimeoutMs = 500
/** An older list is not evidence that a host is present or absent now. */
const freshListMs = 3000

/**
 * Starts the members task.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startMembers (spec: MembersSpec): MembersTask {
  const { context, links } = spec
  const { timers, settings } = context
  const self: Member = { host: settings.host.name, failureDomain: settings.host.failureDomain, ip: settings.host.ip, port: settings.host.peerPort, capacityCores: settings.host.capacityCores }
  const initial = initialMembership(self, { ...membershipSettings(context) }, timers.nowMs())
  const published = new SnapshotPublisher<MembersView>(viewOf(initial))
  const task = startTask<MembershipState, Message, Effect>({
    name: 'members',
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError('members'),
    schedule: { timers, dueAtMs: membershipDueAtMs, tick: nowMs => ({ kind: 'event', event: { kind: 'tick', nowMs } }) },
    step: (state, message) => publish(published, membersStep(state, message, timers.nowMs())),
    perform: (effect, port) => { perform(spec, effect, port, published) }
  })
  const send = (event: MembershipEvent): void => { task.port.send({ kind: 'event', event }) }
  let lastList: { readonly hosts: readonly ListedHost[], readonly listedAtMs: number } | undefined
  const listHosts = async (): Promise<void> => {
    const sentAtMs = timers.nowMs()
    const onAnswer = (state: MemberState): void => {
      spec.onPeerState(state, sentAtMs)
      send({ kind: 'heartbeatAnswered', state, nowMs: timers.nowMs() })
    }
    const found = await findHosts(spec, published.get(), lastList?.hosts ?? [], onAnswer)
    if (found === undefined) return
    lastList = { hosts: found.hosts, listedAtMs: sentAtMs - found.agoMs }
    links.updateHosts(found.hosts)
    send({ kind: 'hostsListed', hosts: found.hosts, nowMs: timers.nowMs() })
    if (found.agoMs <= freshListMs) spec.onFreshHosts(found.hosts)
  }
  const listNow = (): void => { void listHosts().catch(context.onTaskError('members')) }
  return {
    begin () {
      timers.every(listMs, { send: () => { listNow(); return 'accepted' } })
      listNow()
    },
    view: published,
    send,
    list: digest => lastList === undefined ? undefined : hostAnswerFor(lastList, digest, timers.nowMs()),
    answerHeartbeat: async from => await ask<Message, MemberState>(task.port, reply => ({ kind: 'heartbeatRequest', from, reply }), spec.localState()),
    stop: task.stop
  }
}

function membershipSettings (context: DaemonContext): MembershipState['settings'] {
  const { control } = context.settings
  const suspectPeriods = 2.5
  return {
    periodMs: control.heartbeatMs,
    suspectAfterMs: control.heartbeatMs * suspectPeriods,
    linkGraceMs: Math.min(control.heartbeatMs, 300),
    fullMeshHosts: 24,
    watchersPerDomain: control.watchersPerDomain
  }
}

// The watchers of each failure domain query the platform. All other hosts query a
// watcher, and the platform only where the watcher doesn't answer. So the calls to
// the store grow with the number of failure domains, not of hosts. A host that
// starts while the store is unavailable finds the fleet through its seeds.
async function findHosts (spec: MembersSpec, view: MembersView, localList: readonly ListedHost[], onAnswer: (state: MemberState) => void): Promise<HostList | undefined> {
  const { settings, random } = spec.context
  const watchers = view.quorum.filter(host => host !== settings.host.name && !view.unresponsive.has(host))
  const isWatcher = view.quorum.includes(settings.host.name)
  const watcher = watchers[Math.floor(random() * watchers.length)]
  const fromPlatform = async (): Promise<HostList | undefined> => await spec.listHosts().then(hosts => ({ hosts, agoMs: 0 }), () => undefined)
  const fromWatcher = async (): Promise<HostList | undefined> => watcher === undefined ? undefined : await queryHosts(localList, onAnswer, async known => await spec.links.call(watcher, 'listHosts', { known }, listTimeoutMs))
  const sources = isWatcher || watcher === undefined ? [fromPlatform] : [fromWatcher, fromPlatform]
  const seeds = settings.seeds.map(seed => async () => await queryHosts(localList, onAnswer, async known => await spec.links.callAddress(seed, 'listHosts', { known }, listTimeoutMs)))
  for (const source of view.listed.length === 0 ? [...sources, ...seeds] : sources) {
    const list = await source()
    if (list !== undefined) return list
  }
  return undefined
}

async function queryHosts (localList: readonly ListedHost[], onAnswer: (state: MemberState) => void, call: (known: string) => Promise<PeerResult<'listHosts'>>): Promise<HostList | undefined> {
  const { list, from } = await call(listDigest(localList)).catch(() => ({ list: undefined, from: undefined }))
  if (from !== undefined) onAnswer(from)
  return list === undefined ? undefined : { hosts: list.hosts ?? localList, agoMs: list.agoMs }
}

function hostAnswerFor (list: { readonly hosts: readonly ListedHost[], readonly listedAtMs: number }, digest: string, nowMs: number): HostListReply {
  const localDigest = listDigest(list.hosts)
  return { hosts: localDigest === digest ? undefined : list.hosts, digest: localDigest, agoMs: nowMs - list.listedAtMs }
}

type Next = { readonly state: MembershipState, readonly effects: readonly Effect[] }

function membersStep (state: MembershipState, message: Message, nowMs: number): Next {
  switch (message.kind) {
    case 'event': return withMembersChanged(state, membershipStep(state, message.event))
    case 'heartbeatRequest': {
      const received = membershipStep(state, { kind: 'heartbeatReceived', state: message.from, nowMs })
      const answer: Effect = { kind: 'answer', reply: message.reply, rumours: gossipEntries(received.state, nowMs) }
      return { state: received.state, effects: [...received.effects, answer] }
    }
  }
}

// Other tasks are notified of a changed host list and of changes among the
// unresponsive hosts, too, not only of another set of live members.
function withMembersChanged (before: MembershipState, transition: ReturnType<typeof membershipStep>): Next {
  const { state, effects } = transition
  if (effects.some(effect => effect.kind === 'membersChanged') || !hasChanged(before, state)) return transition
  return { state, effects: [...effects, { kind: 'membersChanged', live: state.live }] }
}

function hasChanged (before: MembershipState, after: MembershipState): boolean {
  return before.listed !== after.listed || unresponsiveHosts(before) !== unresponsiveHosts(after)
}

function publish (published: SnapshotPublisher<MembersView>, transition: Next): Next {
  published.publish(viewOf(transition.state))
  return transition
}

function viewOf (state: MembershipState): MembersView {
  return { live: state.live, listed: state.listed, quorum: quorumHosts(state), unresponsive: unresponsiveHosts(state) }
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
      effect.reply({ ...spec.localState(), ...withGossip(effect.rumours) })
      break
    }
  }
}

function withGossip (rumours: MemberState['rumours']): Pick<MemberState, 'rumours'> {
  return rumours === undefined || rumours.length === 0 ? {} : { rumours }
}

async function sendHeartbeat (spec: MembersSpec, host: HostName, rumours: MemberState['rumours'], port: Port<Message>): Promise<void> {
  const { timers, settings } = spec.context
  const sentAtMs = timers.nowMs()
  try {
    const state = await spec.links.call(host, 'heartbeat', { ...spec.localState(), ...withGossip(rumours) }, settings.control.heartbeatMs)
    spec.onPeerState(state, sentAtMs)
    port.send({ kind: 'event', event: { kind: 'heartbeatAnswered', state, nowMs: timers.nowMs() } })
  } catch {
    // The link reports its failure to this task through `linkFailed`.
  }
}
