// One proxy process: creates and wires the components, serves until it is stopped,
// and stops without interrupting a request.

import { randomBytes, randomUUID } from 'node:crypto'
import { confirmedUntilMs, contactUntilMs, containsKey, type Settings } from '../config/index.js'
import type { PromotionProgress } from '../failover/index.js'
import type { HostName, MemberState, PrimaryView } from '../model/index.js'
import { sleep, systemTimers } from '../pipe/index.js'
import { updateObject, type ObjectStore, type ProxyPorts } from '../ports/index.js'
import { Activity, type EventFields } from '../report/index.js'
import { requestPipe, type ConfigurationInForce, type RequestServices } from '../request/index.js'
import { listenForPeers } from '../wire/peer-link.js'
import { decodeToken, encodeToken } from '../wire/session-token.js'
import { startCallers } from './callers.js'
import { startConfiguration } from './configuration-task.js'
import type { DaemonContext } from './context.js'
import { countedHandlers, countedPorts } from './counted-ports.js'
import { Databases } from './databases.js'
import { decodePrimary, decodePartitionTable } from './decode.js'
import { startDiscovery } from './discovery-task.js'
import { startLeaderTask, type LeaderTask } from './leader-task.js'
import { EffectiveManifest } from './effective-manifest.js'
import { createEvacuation, UnknownDomains } from './evacuation-wiring.js'
import { startLimits } from './limits-task.js'
import { startMembers, type MembersTask, type MembersView } from './members-task.js'
import type { ProxyComponents } from './components.js'
import { startObservationRelay } from './observation-relay.js'
import { peerHandlers } from './peer-handlers.js'
import { PeerLinks, tlsOf } from './peers.js'
import { startRegistry } from './registry-task.js'
import { executeAt, rollBack } from './remote-statements.js'
import { startReports } from './reports.js'
import { RoutingTable } from './routing.js'
import { stopComponents } from './stop.js'
import { StopSignal } from './stop-signal.js'

/** A running proxy. */
export type Proxy = {
  readonly callerPort: number
  readonly peerPort: number
  /** Logs that a reload was requested; the settings read at the start stay in force. */
  readonly reload: () => void
  /** Logs an error that no task caught. */
  readonly recordError: (error: Error) => void
  /** Lets running work finish within the grace time, then stops all components. */
  readonly stop: () => Promise<void>
}

const publishDeadlineMs = 5000
/** Random bytes of the incarnation, which is part of every heartbeat. */
const incarnationBytes = 6
/** Names of other writers' entries may be long. */
const maxLoggedNameLength = 64
/** In a fleet of at most this size all hosts are candidates for the leader lease. */
const maxCandidates = 24
/** Maximum deadline that a caller may request. */
const maxDeadlineMs = 600_000

/**
 * Starts a proxy.
 * @param settings - the settings of this host
 * @param ports - front end, database driver, store and sources of the proxy
 * @returns the running proxy; throws a `WireError` where a port is taken
 */
export async function startProxy (settings: Settings, ports: ProxyPorts): Promise<Proxy> {
  const signal = new StopSignal()
  const isStopping = (): boolean => signal.phase() !== 'serving'
  const components = createComponents(settings, ports, isStopping)
  const { context, reports } = components
  const peers = await listenForPeers({ ip: settings.host.ip, port: settings.host.peerPort }, countedHandlers(peerHandlers(components), context.activity), tlsOf(settings.peers), context.onTaskError('peers'))
  const configuration = (): ConfigurationInForce => ({ manifest: components.effectiveManifest.current(), confirmed: components.configuration.canServeAuthenticated() })
  const generation = (): number => components.configuration.inForce()?.generation ?? 0
  const pipe = requestPipe(requestServices(components, configuration), {
    self: settings.host.name,
    localFailureDomain: settings.host.failureDomain,
    defaultDeadlineMs: settings.limits.defaultDeadlineMs,
    maxDeadlineMs,
    rules: ports.frontEnd.rules,
    strongReadsAt: ports.driver.statusDelivery === 'polled' ? 'primary' : 'anyServer'
  })
  const callers = await startCallers({
    context,
    pipe,
    configuration,
    stopSignal: signal,
    isReady: () => !isStopping() && components.configuration.canServeAuthenticated() && components.effectiveManifest.hasServers(),
    rollBack: async transaction => { await rollBack(components, transaction) },
    onServed: (statement, outcome, tookMs) => { reports.recordServed(statement, outcome, tookMs, generation()) },
    onLoginRefused: (user, route, outcome) => { reports.event('loginRefused', { account: user, route, reason: outcome.kind === 'notRun' ? outcome.reason : outcome.kind, generation: generation() }) }
  }).catch(error => {
    peers.close()
    throw error
  })
  components.members.begin()
  components.configuration.begin()
  components.discovery?.begin()
  components.evacuation?.begin()
  reports.event('started', { host: settings.host.name, callerPort: callers.port, peerPort: peers.port })
  return {
    callerPort: callers.port,
    peerPort: peers.port,
    recordError: context.onTaskError('process'),
    reload: () => { reports.event('reloadAsked', { host: settings.host.name }) },
    stop: async () => {
      await stopComponents(components, callers, signal)
      peers.close()
    }
  }
}

function createComponents (settings: Settings, uncounted: ProxyPorts, stopping: () => boolean): ProxyComponents {
  const activity = new Activity()
  const timers = systemTimers(() => { activity.add('timer') })
  const ports = countedPorts(uncounted, activity)
  const incarnation = randomBytes(incarnationBytes).toString('hex')
  const random = Math.random
  const reports = startReports({ settings, timers, incarnation, random, activity })
  const context: DaemonContext = {
    settings,
    timers,
    ports,
    activity,
    random,
    incarnation,
    onTaskError: task => error => { reports.recordTaskFailure(task, error) }
  }
  const { store } = ports
  const routing = new RoutingTable()
  const links = new PeerLinks(context, host => { members.send({ kind: 'linkFailed', host, nowMs: timers.nowMs() }) })
  let leader: HostName | undefined
  const databases = new Databases({
    context,
    onPrimaryChanged: view => {
      routing.recordPrimary(view)
      if (leaderTask?.isLeader() === true) announcePrimary(context, members, links, view)
      reports.event('primaryChanged', { database: view.database, term: view.term, primary: view.primary ?? 'none' })
    },
    onPromotionProgress: (database, progress) => { reports.event('promotionProgress', { database, ...progressFields(progress) }) },
    publish: view => { void publishPrimary(context, store, view).catch(() => { reports.event('storeUnreachable', { what: 'primary' }) }) },
    orderPromotion: async (database, server) => await leaderTask?.orderPromotion(database, server) ?? 'refused',
    onFailure: (server, failure) => { reports.event('serverConnectionFailed', { server, failure }) },
    onColdLimit: (server, perS) => { reports.event('coldLimitChanged', { server, perS: perS ?? 'none' }) },
    onPaceFall: (server, cause, slots) => { reports.recordPaceFall(server, cause, slots) },
    onConnectionLost: (database, server) => {
      if (leader === undefined || leader === settings.host.name) return
      links.call(leader, 'suspect', { database, server }, announceTimeoutMs).catch(() => {})
    }
  })
  const unknownDomains = new UnknownDomains(reports)
  const effectiveManifest = new EffectiveManifest(settings.control, manifest => {
    if (evacuation !== undefined) unknownDomains.check(evacuation.state.get(), manifest.databases, members.view.get().listed)
    routing.updateDatabases(manifest.databases)
    databases.applyManifest(manifest.databases)
    databases.setIdleTransactionMs(manifest.idleTransactionMs)
  })
  const configuration = startConfiguration({
    context,
    store,
    source: ports.manifest,
    links,
    peers: () => members.view.get().live.filter(member => member.failureDomain === settings.host.failureDomain).map(member => member.host),
    isWatcher: () => members.view.get().quorum.includes(settings.host.name),
    localState: () => localState(),
    onApply: accepted => {
      effectiveManifest.applyManifest(accepted.manifest)
      limits.applyManifest(accepted.manifest)
      reports.event('manifestApplied', { generation: accepted.generation })
    },
    onRejected: (generation, errors) => { reports.event('manifestRejected', { generation, errors: errors.join('; ') }) }
  })
  const limits = startLimits({
    context,
    store,
    links,
    // A time and not a flag, so that an expiry during a pause is detected although the
    // confirmation has been renewed since.
    confirmation: () => ({ confirmedUntilMs: confirmedUntilMs(configuration.state.get()), contactUntilMs: contactUntilMs(configuration.state.get()) }),
    decodeTable: decodePartitionTable
  })
  const recordLeader = (from: MemberState): void => {
    if (from.holdsDuty !== true) return
    leader = from.host
    leaderTask?.recordOtherLeader(from.lease)
  }
  const recordPeerState = (from: MemberState, sentAtMs: number): void => {
    configuration.recordPeerState(from, sentAtMs)
    recordLeader(from)
  }
  const leaderTask = createLeaderTask(context, reports, isLeader => { databases.setLeader(isLeader) })
  const evacuation = createEvacuation({
    context,
    links,
    reports,
    isWatcher: () => members.view.get().quorum.includes(settings.host.name),
    watchers: () => otherWatchers(members, settings.host.name),
    onEvacuations: state => { effectiveManifest.applyEvacuations(state) }
  })
  const discovery = ports.servers.kind === 'declared'
    ? undefined
    : startDiscovery({
      context,
      source: ports.servers,
      links,
      isWatcher: () => members.view.get().quorum.includes(settings.host.name),
      watchers: () => otherWatchers(members, settings.host.name),
      onPeerState: recordPeerState,
      onEvacuations: (list, sentAtMs) => { evacuation?.recordList(list, sentAtMs) },
      onServers: state => {
        effectiveManifest.applyServers(state)
        reports.event('serversChanged', { servers: state.servers.size })
      },
      onServerStateChanged: ({ name: server, database, state }, { source, ageMs }) => {
        reports.event('serverStateChanged', { server, database, state, source, listAgeMs: Math.round(ageMs) })
      },
      onStoreFailure: () => { reports.event('storeUnreachable', { what: 'servers' }) },
      onInvalidEntry: name => { reports.event('serverEntryIgnored', { entry: name.slice(0, maxLoggedNameLength) }) }
    })
  const registry = ports.hosts.kind === 'listed'
    ? undefined
    : startRegistry({
      context,
      source: ports.hosts,
      stopping,
      unresponsive: () => members.view.get().unresponsive,
      isCleaner: () => members.view.get().quorum[0] === settings.host.name,
      // `hostForgotten` and `forgotten` are the reported names of the deregistration.
      onDeregistered: host => { reports.event('hostForgotten', { forgotten: host }) }
    })
  const localState = (): MemberState => ({
    host: settings.host.name,
    failureDomain: settings.host.failureDomain,
    incarnation: context.incarnation,
    state: stopping() ? 'stopping' : 'serving',
    ...(leaderTask === undefined ? {} : { holdsDuty: leaderTask.isLeader(), lease: leaderTask.renewal() }),
    ...configuration.advertised()
  })
  const members: MembersTask = startMembers({
    context,
    links,
    listHosts: ports.hosts.kind === 'listed' ? ports.hosts.list : async () => await registry?.list() ?? [],
    localState,
    onFreshHosts: hosts => {
      limits.updateHosts(hosts)
      registry?.checkRegistration(hosts)
    },
    onMembersChanged: view => {
      applyMembers(view, { configuration, databases, routing, limits })
      links.dropUnresponsive(view.unresponsive)
      leaderTask?.changeRank(stopping() ? undefined : leaderRank(view, settings.host.name), isLeaderCandidate(view, settings.host.name))
      reports.event('membersChanged', { live: view.live.length, listed: view.listed.length })
    },
    onPeerState: recordPeerState
  })
  const observationRelay = { context, links, databases, routing }
  if (ports.driver.statusDelivery === 'polled') startObservationRelay(observationRelay)
  reports.attach({ store, members, configuration, databases, routing, links, stopping })
  return { context, reports, store, links, members, configuration, databases, routing, limits, effectiveManifest, leaderTask, discovery, evacuation, registry, observationRelay, recordLeader, stopping, localState }
}

// Event names and the value of `what` keep the earlier word duty for the leader
// lease (see report/events.ts).
function createLeaderTask (context: DaemonContext, reports: ProxyComponents['reports'], setLeader: (isLeader: boolean) => void): LeaderTask | undefined {
  const { promotionMethod } = context.ports
  if (promotionMethod.kind === 'byQuorum') return undefined
  return startLeaderTask({
    context,
    order: promotionMethod.order,
    onLeaseChange: (isLeader, token) => {
      setLeader(isLeader)
      reports.event(isLeader ? 'dutyTaken' : 'dutyLost', { token })
    },
    onOrder: (database, server, token, result) => { reports.event('promotionOrdered', { database, server, token, result }) },
    onStoreFailure: () => { reports.event('storeUnreachable', { what: 'duty' }) }
  })
}

function progressFields (progress: PromotionProgress): Omit<EventFields<'promotionProgress'>, 'database'> {
  switch (progress.kind) {
    case 'none': return { progress: 'none', reason: '', waitsFor: '' }
    case 'running': return { progress: progress.step, reason: '', waitsFor: '' }
    case 'waiting': return { progress: 'waiting', reason: progress.reason, waitsFor: progress.blocker }
  }
}

// Watchers rank first, in quorum order; all other hosts share the rank after them.
function leaderRank (view: MembersView, self: HostName): number {
  const rank = view.quorum.indexOf(self)
  return rank < 0 ? view.quorum.length : rank
}

// A watcher, any host of a small fleet, or any host while no watcher responds.
function isLeaderCandidate ({ listed, quorum, unresponsive }: MembersView, self: HostName): boolean {
  return listed.length <= maxCandidates || quorum.includes(self) || quorum.every(host => unresponsive.has(host))
}

function otherHosts (members: MembersTask, self: HostName): readonly HostName[] {
  return members.view.get().live.map(member => member.host).filter(host => host !== self)
}

function otherWatchers (members: MembersTask, self: HostName): readonly HostName[] {
  const { quorum, unresponsive } = members.view.get()
  return quorum.filter(host => host !== self && !unresponsive.has(host))
}

/**
 * Timeout of announcements to other hosts; one that misses a new primary finds
 * it in later replies.
 */
const announceTimeoutMs = 500

function announcePrimary (context: DaemonContext, members: MembersTask, links: PeerLinks, view: PrimaryView): void {
  for (const host of otherHosts(members, context.settings.host.name)) {
    links.call(host, 'primaryChanged', { view }, announceTimeoutMs).catch(() => {})
  }
}

function applyMembers (view: MembersView, to: Pick<ProxyComponents, 'configuration' | 'databases' | 'routing' | 'limits'>): void {
  to.configuration.quorumChanged(view.quorum)
  to.routing.updateMembers(view.live)
  to.databases.updateMembers(view.live, view.listed, view.unresponsive)
  to.limits.updateMembers(view.live)
}

async function publishPrimary (context: DaemonContext, store: ObjectStore, view: PrimaryView): Promise<void> {
  const sources = { timers: context.timers, random: context.random, newWriteId: randomUUID }
  await updateObject<PrimaryView>(store, sources, {
    kind: 'primary',
    name: view.database,
    decode: decodePrimary,
    change: current => current !== undefined && current.term >= view.term ? undefined : view,
    deadlineMs: publishDeadlineMs
  })
}

function requestServices (components: ProxyComponents, configuration: () => ConfigurationInForce): RequestServices {
  const { context, routing, limits } = components
  const { timers } = context
  return {
    nowMs: timers.nowMs,
    sleep: async delayMs => { await sleep(timers, delayMs) },
    configuration,
    admit: limits.admit,
    routing: database => routing.view(database),
    execute: async (dispatcher, request) => await executeAt(components, dispatcher, request),
    onAppliedPosition: (server, applied) => { routing.recordApplied(server, applied, timers.nowMs()) },
    random: context.random,
    encodeToken,
    decodeToken,
    containsKey
  }
}
