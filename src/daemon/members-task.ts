// The members task: owns the view of the fleet. It reads the platform's host
// list, exchanges heartbeats over the peer links and publishes who is live.

import { initialMembership, membershipStep, quorumHosts, rumoursOf, silentHosts, type ListedHost, type Member, type MembershipEffect, type MembershipEvent, type MembershipState } from '../members/index.js'
import type { HostName, MemberState } from '../model/index.js'
import { ask, Latest, startTask, tickPort, type Port, type Reply, type Snapshot } from '../pipe/index.js'
import type { DaemonContext } from './context.js'
import type { PeerLinks } from './peers.js'

/** What others see of the fleet. */
export type MembersView = {
  readonly live: readonly Member[]
  readonly listed: readonly ListedHost[]
  readonly quorum: readonly HostName[]
  /** Hosts that were found silent; a stopping host is not among them. */
  readonly silent: ReadonlySet<HostName>
}

/** A running members task. */
export type MembersTask = {
  /** Begins to read the host list and to exchange heartbeats. */
  readonly begin: () => void
  readonly view: Snapshot<MembersView>
  readonly tell: (event: MembershipEvent) => void
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
  readonly ownState: () => MemberState
  readonly onMembers: (view: MembersView) => void
  readonly onHeard: (state: MemberState, askedAtMs: number) => void
}

type Message =
  | { readonly kind: 'event', readonly event: MembershipEvent }
  | { readonly kind: 'heartbeatOf', readonly from: MemberState, readonly reply: Reply<MemberState> }

type Effect = MembershipEffect
  | { readonly kind: 'answer', readonly reply: Reply<MemberState>, readonly rumours: MemberState['rumours'] }

const mailboxCapacity = 4096
const tickMs = 50
/** How often the platform's host list is read. */
const listMs = 1000

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
  const published = new Latest<MembersView>(viewOf(initial))
  const task = startTask<MembershipState, Message, Effect>({
    name: 'members',
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError('members'),
    step: (state, message) => publish(published, step(state, message, timers.nowMs())),
    perform: (effect, port) => { perform(spec, effect, port, published) }
  })
  const tell = (event: MembershipEvent): void => { task.port.send({ kind: 'event', event }) }
  const list = async (): Promise<void> => {
    const hosts = await spec.listHosts()
    links.list(hosts)
    tell({ kind: 'hostsListed', hosts, nowMs: timers.nowMs() })
  }
  const listNow = (): void => { void list().catch(() => {}) }
  return {
    begin () {
      timers.every(tickMs, tickPort<Message>(task.port, nowMs => ({ kind: 'event', event: { kind: 'tick', nowMs } })))
      timers.every(listMs, { send: () => { listNow(); return 'accepted' } })
      listNow()
    },
    view: published,
    tell,
    answerHeartbeat: async from => await ask<Message, MemberState>(task.port, reply => ({ kind: 'heartbeatOf', from, reply }), spec.ownState()),
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

type Next = { readonly state: MembershipState, readonly effects: readonly Effect[] }

function step (state: MembershipState, message: Message, nowMs: number): Next {
  switch (message.kind) {
    case 'event': return membershipStep(state, message.event)
    case 'heartbeatOf': {
      const heard = membershipStep(state, { kind: 'heartbeatReceived', state: message.from, nowMs })
      const answer: Effect = { kind: 'answer', reply: message.reply, rumours: rumoursOf(heard.state, nowMs) }
      return { state: heard.state, effects: [...heard.effects, answer] }
    }
  }
}

function publish (published: Latest<MembersView>, transition: Next): Next {
  published.publish(viewOf(transition.state))
  return transition
}

function viewOf (state: MembershipState): MembersView {
  return { live: state.live, listed: state.listed, quorum: quorumHosts(state), silent: silentHosts(state) }
}

function perform (spec: MembersSpec, effect: Effect, port: Port<Message>, view: Snapshot<MembersView>): void {
  switch (effect.kind) {
    case 'membersChanged': {
      spec.onMembers(view.get())
      break
    }
    case 'heartbeat': {
      for (const member of effect.to) void sendHeartbeat(spec, member.host, effect.rumours, port)
      break
    }
    case 'answer': {
      effect.reply({ ...spec.ownState(), rumours: effect.rumours ?? [] })
      break
    }
  }
}

async function sendHeartbeat (spec: MembersSpec, host: HostName, rumours: MemberState['rumours'], port: Port<Message>): Promise<void> {
  const { timers, settings } = spec.context
  const askedAtMs = timers.nowMs()
  try {
    const state = await spec.links.call(host, 'heartbeat', { ...spec.ownState(), rumours: rumours ?? [] }, settings.control.heartbeatMs)
    spec.onHeard(state, askedAtMs)
    port.send({ kind: 'event', event: { kind: 'heartbeatAnswered', state, nowMs: timers.nowMs() } })
  } catch {
    // The link itself reports its failure to this task.
  }
}
