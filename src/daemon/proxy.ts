// One proxy process: creates and wires the components, serves until it is stopped,
// and stops without interrupting a request.

import { randomBytes } from 'node:crypto'
import { ownFeatures, type Admission } from '../admission/index.js'
import { confirmedUntilMs, contactUntilMs, containsKey, type Settings } from '../config/index.js'
import type { PromotionProgress } from '../failover/index.js'
import type { HostName, MemberState, Outcome, PrimaryView } from '../model/index.js'
import { sleep, systemTimers, uniqueIds } from '../pipe/index.js'
import type { ProxyPorts } from '../ports/index.js'
import { Activity, type EventFields, processTotals } from '../report/index.js'
import { requestPipe, type ConfigurationInForce, type RequestServices } from '../request/index.js'
import { listenForPeers } from '../wire/peer-link.js'
import { decodeToken, encodeToken } from '../wire/session-token.js'
import { startCallers } from './callers.js'
import { startConfiguration } from './configuration-task.js'
import type { DaemonContext } from './context.js'
import { countedHandlers, countedPorts } from './counted-ports.js'
import { Databases } from './databases.js'
import { decodePartitionTable } from './decode.js'
import { startDiscovery } from './discovery-task.js'
import { createLeaderTask, isLeaderCandidate, leaderRank } from './leader-wiring.js'
import { observedStore, startEras, statedEra, type EraTask } from './era-task.js'
import { EffectiveManifest } from './effective-manifest.js'
import { createEvacuation, UnknownDomains } from './evacuation-wiring.js'
import { startLimits } from './limits-task.js'
import { startMembers, type MembersTask, type MembersView } from './members-task.js'
import type { ProxyComponents } from './components.js'
import { startObservationRelay } from './observation-relay.js'
import { peerHandlers } from './peer-handlers.js'
import { startGuard } from './guard-task.js'
import { PeerLinks, tlsOf } from './peers.js'
import { PeerSupportTable } from './peer-support.js'
import { startRegistry } from './registry-task.js'
import { startHostLoad } from './host-load-task.js'
import { PrimaryPublisher } from './primary-publisher.js'
import { cancelAt, executeAt, rollBack } from './remote-statements.js'
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

/** Random bytes of the incarnation, which is part of every heartbeat. */
const incarnationBytes = 6
/** Names of other writers' entries may be long. */
const maxLoggedNameLength = 64
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
  const peers = await listenForPeers({ ip: settings.host.ip, port: settings.host.peerPort }, countedHandlers(peerHandlers(components), context.activity), tlsOf(settings.peers), context.onTaskError('peers'), components.guard.connections)
  const configuration = (): ConfigurationInForce => ({ manifest: components.effectiveManifest.current(), confirmed: components.configuration.canServeAuthenticated() })
  const generation = (): number => components.configuration.inForce()?.generation ?? 0
  const pipe = requestPipe(requestServices(components, configuration), {
    self: settings.host.name,
    localFailureDomain: settings.host.failureDomain,
    defaultDeadlineMs: settings.limits.defaultDeadlineMs,
    maxDeadlineMs,
    rules: ports.frontEnd.rules,
    retryBudget: { fraction: settings.limits.retryFraction, minPerS: settings.limits.retryMinPerS },
    strongReadsAt: ports.driver.statusDelivery === 'polled' ? 'primary' : 'anyServer'
  })
  const callers = await startCallers({
    context,
    pipe,
    configuration,
    stopSignal: signal,
    guard: components.guard,
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
  const counted = countedPorts(uncounted, activity)
  const ports = { ...counted, store: observedStore(counted.store, () => { eras.checkStore() }) }
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
    uniqueId: uniqueIds(incarnation),
    onTaskError: task => error => { reports.recordTaskFailure(task, error) }
  }
  const guard = startGuard({ limits: settings.limits, timers, onClosed: reason => { reports.recordGuardClosed(reason) } })
  const hostLoad = startHostLoad({
    timers,
    random,
    cpuShare: settings.host.cpuShare,
    cpuMs: () => processTotals().cpuMs,
    onChanged: state => {
      members.send({ kind: 'loadChanged', load: state.load, nowMs: timers.nowMs() })
      reports.event('hostLoadChanged', { load: state.load, lagMs: Math.round(state.lagMs), cpuPercent: Math.round(100 * state.cpuFraction) })
    }
  })
  const { store } = ports
  const routing = new RoutingTable()
  const peerSupport = new PeerSupportTable(settings.host.name, timers.nowMs)
  const links = new PeerLinks(context, host => {
    peerSupport.record({ kind: 'linkFailed', host })
    members.send({ kind: 'linkFailed', host, nowMs: timers.nowMs() })
  })
  let leader: HostName | undefined
  const publisher = new PrimaryPublisher({
    store,
    timers,
    random,
    onStoreFailure: () => { reports.event('storeUnreachable', { what: 'primary' }) },
    onError: context.onTaskError('primary publisher')
  })
  const databases = new Databases({
    context,
    takeToken: async (account, deadlineAtMs) => refusalOf(await limits.admit(account, deadlineAtMs, 'delegated')),
    onPrimaryChanged: view => {
      routing.recordPrimary(view)
      if (leaderTask?.isLeader() === true) announcePrimary(context, members, links, view)
      reports.event('primaryChanged', { database: view.database, term: view.term, primary: view.primary ?? 'none' })
    },
    onPromotionProgress: (database, progress) => { reports.event('promotionProgress', { database, ...progressFields(progress) }) },
    publish: view => { publisher.publish(view) },
    orderPromotion: async (database, server) => await leaderTask?.orderPromotion(database, server) ?? 'refused',
    onFailure: (server, failure) => { reports.event('serverConnectionFailed', { server, failure }) },
    onColdLimit: (server, perS) => { reports.event('coldLimitChanged', { server, perS: perS ?? 'none' }) },
    onPaceFall: (server, cause, slots) => { reports.recordPaceFall(server, cause, slots) },
    onDispatcherEnded: end => { reports.event('dispatcherEnded', end) },
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
    onPeerState: from => { eras.recordPeerState(from) },
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
    eras.recordPeerState(from)
    if (from.holdsDuty !== true) return
    leader = from.host
    leaderTask?.recordOtherLeader(from.lease)
  }
  const recordPeerState = (from: MemberState, sentAtMs: number): void => {
    configuration.recordPeerState(from, sentAtMs)
    peerSupport.record({ kind: 'stateAnswered', state: from, nowMs: timers.nowMs() })
    recordLeader(from)
  }
  const eras: EraTask = startEras({
    context,
    onEffect: effect => {
      if (effect.kind === 'raised') leaderTask?.recordEra(effect.era)
      else limits.recordEra({ kind: effect.kind === 'heard' ? 'eraHeard' : 'eraSettled', era: effect.era })
      if (effect.kind !== 'heard') reports.event(effect.kind === 'raised' ? 'storeRestored' : 'storeEraSettled', { era: effect.era })
    },
    onIgnored: ignored => { reports.event('storeEraIgnored', { ignored }) }
  })
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
      heardEra: eras.heardEra,
      isCleaner: () => members.view.get().quorum[0] === settings.host.name,
      // `hostForgotten` and `forgotten` are the reported names of the deregistration.
      onDeregistered: host => { reports.event('hostForgotten', { forgotten: host }) }
    })
  const localState = (): MemberState => ({
    host: settings.host.name,
    failureDomain: settings.host.failureDomain,
    incarnation: context.incarnation,
    state: stopping() ? 'stopping' : 'serving',
    features: ownFeatures,
    ...(leaderTask === undefined ? {} : { holdsDuty: leaderTask.isLeader(), lease: leaderTask.renewal() }),
    ...statedEra(store),
    ...configuration.advertised(),
    ...(hostLoad.load() === 'normal' ? {} : { load: hostLoad.load() })
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
      const before = routing.placementKind()
      applyMembers(view, { configuration, databases, routing, limits })
      const placement = routing.placementKind()
      if (placement !== before) reports.event('placementChanged', { placement })
      links.dropUnresponsive(view.unresponsive)
      eras.quorumChanged(view.quorum)
      leaderTask?.changeRank(stopping() ? undefined : leaderRank(view, settings.host.name), isLeaderCandidate(view, settings.host.name))
      reports.event('membersChanged', { live: view.live.length, listed: view.listed.length })
    },
    onPeerState: recordPeerState
  })
  const observationRelay = { context, links, databases, routing }
  if (ports.driver.statusDelivery === 'polled') startObservationRelay(observationRelay)
  reports.attach({ guard, store, members, configuration, databases, routing, links, hostLoad, stopping })
  return { context, reports, guard, store, links, members, peerSupport, configuration, databases, hostLoad, routing, limits, effectiveManifest, eras, leaderTask, discovery, evacuation, registry, observationRelay, recordLeader, stopping, localState }
}

// The refusal of an admission that is not delegated.
function refusalOf (admission: Admission): Outcome | undefined {
  return admission.kind === 'refused' ? admission.outcome : undefined
}

function progressFields (progress: PromotionProgress): Omit<EventFields<'promotionProgress'>, 'database'> {
  switch (progress.kind) {
    case 'none': return { progress: 'none', reason: '', waitsFor: '' }
    case 'running': return { progress: progress.step, reason: '', waitsFor: '' }
    case 'waiting': return { progress: 'waiting', reason: progress.reason, waitsFor: progress.blocker }
  }
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
  to.routing.updateMembers(view.live, view.listed)
  to.databases.updateMembers(view.live, view.listed, view.unresponsive)
  to.limits.updateMembers(view.live)
}

function requestServices (components: ProxyComponents, configuration: () => ConfigurationInForce): RequestServices {
  const { context, routing, limits, peerSupport } = components
  const { timers } = context
  return {
    nowMs: timers.nowMs,
    sleep: async delayMs => { await sleep(timers, delayMs) },
    configuration,
    admit: async (account, deadlineAtMs) => refusalOf(await limits.admit(account, deadlineAtMs, 'local')),
    admitOrDelegate: async (account, deadlineAtMs) => await limits.admit(account, deadlineAtMs, 'delegable'),
    dispatcherSupport: dispatcher => peerSupport.supportOf(dispatcher),
    onDelegationRefused: limits.delegationRefused,
    routing: database => routing.view(database),
    execute: async (dispatcher, request) => await executeAt(components, dispatcher, request),
    cancel: (dispatcher, call) => { cancelAt(components, dispatcher, call) },
    sheds: components.hostLoad.sheds,
    onRetry: result => { components.reports.recordRetry(result) },
    onAppliedPosition: (server, applied) => { routing.recordApplied(server, applied, timers.nowMs()) },
    random: context.random,
    encodeToken,
    decodeToken,
    containsKey,
    keepBytes: (sessionBytes, addedBytes) => components.guard.kept.change(sessionBytes, addedBytes)
  }
}
