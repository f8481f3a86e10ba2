// One proxy process: joins the tasks, serves until it is told to stop, and
// stops without cutting off a request.

import { randomBytes, randomUUID } from 'node:crypto'
import { confirmedUntilMs, containsKey, type Settings } from '../config/index.js'
import type { ExecuteReply, ExecuteRequest, HostName, MemberState, PrimaryView } from '../model/index.js'
import { sleep, systemTimers } from '../pipe/index.js'
import { asWireError, updateObject, type ObjectStore, type ProxyPorts } from '../ports/index.js'
import { requestPipe, type AttemptResult, type ConfigurationInForce, type OpenTransaction, type RequestServices } from '../request/index.js'
import { listenForPeers, type PeerHandlers } from '../wire/peer-link.js'
import { decodeToken, encodeToken } from '../wire/session-token.js'
import { startCallers } from './callers.js'
import { startConfiguration } from './configuration-task.js'
import type { DaemonContext } from './context.js'
import { Databases } from './databases.js'
import { decodePrimary, decodePartitionTable } from './decode.js'
import { startDiscovery } from './discovery-task.js'
import { startLeaderTask, type LeaderTask } from './leader-task.js'
import { EffectiveManifest } from './effective-manifest.js'
import { startLimits } from './limits-task.js'
import { startMembers, type MembersTask, type MembersView } from './members-task.js'
import type { ProxyComponents } from './components.js'
import { localObservation, startObservationRelay } from './observation-relay.js'
import { PeerLinks, tlsOf } from './peers.js'
import { startRegistry } from './registry-task.js'
import { startReports } from './reports.js'
import { RoutingTable } from './routing.js'
import { stopComponents } from './stop.js'

/** A running proxy. */
export type Proxy = {
  readonly callerPort: number
  readonly peerPort: number
  /** Notes that the settings file has changed; the settings of the start stay in force. */
  readonly reload: () => void
  /** Lets running work finish within the grace time, then ends everything. */
  readonly stop: () => Promise<void>
}

/** Time beyond a statement's deadline in which its home may still answer. */
const answerMarginMs = 250
const rollBackTimeoutMs = 1000
const publishDeadlineMs = 5000
/** Random bytes that tell two starts of a process apart; they stand in every heartbeat. */
const incarnationBytes = 6
/** Longest deadline that a caller may ask for. */
const maxDeadlineMs = 600_000

/**
 * Starts a proxy.
 * @param settings - the settings of this host
 * @param ports - what the proxy is joined with
 * @returns the running proxy; throws a `WireError` where a port is taken
 */
export async function startProxy (settings: Settings, ports: ProxyPorts): Promise<Proxy> {
  const state = { stopping: false }
  const parts = joinParts(settings, ports, () => state.stopping)
  const { context, reports } = parts
  const peers = await listenForPeers({ ip: settings.host.ip, port: settings.host.peerPort }, peerHandlers(parts), tlsOf(settings.peers))
  const configuration = (): ConfigurationInForce => ({ manifest: parts.effectiveManifest.manifest(), confirmed: parts.configuration.mayServeKeyed() })
  const generation = (): number => parts.configuration.inForce()?.generation ?? 0
  const pipe = requestPipe(requestServices(parts, configuration), {
    self: settings.host.name,
    localFailureDomain: settings.host.failureDomain,
    defaultDeadlineMs: settings.limits.defaultDeadlineMs,
    maxDeadlineMs,
    rules: ports.front.rules,
    strongReadsAt: ports.driver.statusDelivery === 'polled' ? 'primary' : 'anyServer'
  })
  const callers = await startCallers({
    context,
    pipe,
    configuration,
    isReady: () => !state.stopping && parts.configuration.mayServeKeyed() && parts.effectiveManifest.hasServers(),
    rollBack: async transaction => { await rollBack(parts, transaction) },
    onServed: (statement, outcome, tookMs) => { reports.recordServed(statement, outcome, tookMs, generation()) },
    onLoginRefused: (user, route, outcome) => { reports.event('loginRefused', { account: user, route, reason: outcome.kind === 'notRun' ? outcome.reason : outcome.kind, generation: generation() }) }
  }).catch(error => {
    peers.close()
    throw error
  })
  parts.members.begin()
  parts.configuration.begin()
  parts.discovery?.begin()
  reports.event('started', { host: settings.host.name, callerPort: callers.port, peerPort: peers.port })
  return {
    callerPort: callers.port,
    peerPort: peers.port,
    reload: () => { reports.event('reloadAsked', { host: settings.host.name }) },
    stop: async () => {
      state.stopping = true
      await stopComponents(parts, callers)
      peers.close()
    }
  }
}

function joinParts (settings: Settings, ports: ProxyPorts, stopping: () => boolean): ProxyComponents {
  const timers = systemTimers()
  const incarnation = randomBytes(incarnationBytes).toString('hex')
  const random = Math.random
  const reports = startReports({ settings, timers, incarnation, random })
  const context: DaemonContext = {
    settings,
    timers,
    ports,
    random,
    incarnation,
    onTaskError: task => error => { reports.event('taskFailed', { task, error: error.message }) }
  }
  const { store } = ports
  const routing = new RoutingTable()
  const links = new PeerLinks(context, host => { members.send({ kind: 'linkFailed', host, nowMs: timers.nowMs() }) })
  let dutyHolder: HostName | undefined
  const databases = new Databases({
    context,
    onPrimaryChanged: view => {
      routing.recordPrimary(view)
      if (duty?.isLeader() === true) tellPrimary(context, members, links, view)
      reports.event('primaryChanged', { database: view.database, term: view.term, primary: view.primary ?? 'none' })
    },
    publish: view => { void publishPrimary(context, store, view).catch(() => { reports.event('storeUnreachable', { what: 'primary' }) }) },
    orderPromotion: async (database, server) => await duty?.orderPromotion(database, server) ?? 'refused',
    onFailure: (server, failure) => { reports.event('serverConnectionFailed', { server, failure }) },
    onConnectionLost: (database, server) => {
      if (dutyHolder === undefined || dutyHolder === settings.host.name) return
      links.call(dutyHolder, 'suspect', { database, server }, tellPrimaryTimeoutMs).catch(() => {})
    }
  })
  const effective = new EffectiveManifest(manifest => {
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
    localState: () => ownState(),
    onApply: accepted => {
      effective.applyManifest(accepted.manifest)
      limits.applyManifest(accepted.manifest)
      reports.event('manifestApplied', { generation: accepted.generation })
    },
    onRejected: (generation, errors) => { reports.event('manifestRejected', { generation, errors: errors.join('; ') }) }
  })
  const limits = startLimits({
    context,
    store,
    links,
    // A finite time, so that a lapse during a pause is seen although the confirmation is fresh again.
    confirmedUntilMs: () => confirmedUntilMs(configuration.state.get()),
    decodeTable: decodePartitionTable
  })
  const noteDuty = (from: MemberState): void => {
    if (from.holdsDuty !== true) return
    dutyHolder = from.host
    duty?.recordOtherLeader()
  }
  const duty = joinDuty(context, reports, holds => { databases.setLeader(holds) })
  const discovery = ports.servers.kind === 'declared'
    ? undefined
    : startDiscovery({
      context,
      source: ports.servers,
      links,
      isWatcher: () => members.view.get().quorum.includes(settings.host.name),
      watchers: () => watchersBeside(members, settings.host.name),
      onServers: state => {
        effective.applyServers(state)
        reports.event('serversChanged', { servers: state.servers.size })
      },
      onStoreFailure: () => { reports.event('storeUnreachable', { what: 'servers' }) }
    })
  const registry = ports.hosts.kind === 'listed'
    ? undefined
    : startRegistry({
      context,
      source: ports.hosts,
      stopping,
      unresponsive: () => members.view.get().unresponsive,
      isCleaner: () => members.view.get().quorum[0] === settings.host.name,
      onDeregistered: host => { reports.event('hostForgotten', { forgotten: host }) }
    })
  const ownState = (): MemberState => ({
    host: settings.host.name,
    failureDomain: settings.host.failureDomain,
    incarnation: context.incarnation,
    state: stopping() ? 'stopping' : 'serving',
    ...(duty === undefined ? {} : { holdsDuty: duty.isLeader() }),
    ...configuration.advertised()
  })
  const members: MembersTask = startMembers({
    context,
    links,
    listHosts: ports.hosts.kind === 'listed' ? ports.hosts.list : async () => await registry?.list() ?? [],
    localState: ownState,
    onFreshHosts: hosts => {
      limits.updateHosts(hosts)
      registry?.checkRegistration(hosts)
    },
    onMembersChanged: view => {
      takeMembers(view, { configuration, databases, routing, limits })
      links.dropUnresponsive(view.unresponsive)
      duty?.changeRank(stopping() ? undefined : dutyRank(view, settings.host.name))
      reports.event('membersChanged', { live: view.live.length, listed: view.listed.length })
    },
    onHeartbeatAnswered: (from, askedAtMs) => {
      configuration.recordPeerState(from, askedAtMs)
      noteDuty(from)
    }
  })
  const observing = { context, links, databases, routing }
  if (ports.driver.statusDelivery === 'polled') startObservationRelay(observing)
  reports.attach({ store, members, configuration, databases, routing, links, stopping })
  return { context, reports, store, links, members, configuration, databases, routing, limits, effectiveManifest: effective, leaderTask: duty, discovery, registry, observationRelay: observing, recordLeader: noteDuty, stopping, localState: ownState }
}

function joinDuty (context: DaemonContext, reports: ProxyComponents['reports'], takeDuty: (holds: boolean) => void): LeaderTask | undefined {
  const { promotionMethod: appointment } = context.ports
  if (appointment.kind === 'byServers') return undefined
  return startLeaderTask({
    context,
    order: appointment.order,
    onLeaseChange: (holds, token) => {
      takeDuty(holds)
      reports.event(holds ? 'dutyTaken' : 'dutyLost', { token })
    },
    onOrder: (database, server, token, result) => { reports.event('promotionOrdered', { database, server, token, result }) },
    onStoreFailure: () => { reports.event('storeUnreachable', { what: 'duty' }) }
  })
}

// The hosts that watch the store come first; all others follow them.
function dutyRank (view: MembersView, self: HostName): number {
  const at = view.quorum.indexOf(self)
  return at < 0 ? view.quorum.length : at
}

function others (members: MembersTask, self: HostName): readonly HostName[] {
  return members.view.get().live.map(member => member.host).filter(host => host !== self)
}

function watchersBeside (members: MembersTask, self: HostName): readonly HostName[] {
  const { quorum, unresponsive: silent } = members.view.get()
  return quorum.filter(host => host !== self && !silent.has(host))
}

/** Time in which the others take in who leads; they learn it later by themselves. */
const tellPrimaryTimeoutMs = 500

function tellPrimary (context: DaemonContext, members: MembersTask, links: PeerLinks, view: PrimaryView): void {
  for (const host of others(members, context.settings.host.name)) {
    links.call(host, 'primaryChanged', { view }, tellPrimaryTimeoutMs).catch(() => {})
  }
}

function takeMembers (view: MembersView, to: Pick<ProxyComponents, 'configuration' | 'databases' | 'routing' | 'limits'>): void {
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

function peerHandlers (parts: ProxyComponents): PeerHandlers {
  const { configuration, databases, members, limits, reports } = parts
  return {
    execute: async request => await databases.execute(request),
    heartbeat: async from => {
      parts.recordLeader(from)
      return await members.answerHeartbeat(from)
    },
    pullConfiguration: async ({ above }) => {
      const accepted = configuration.inForce()
      return { accepted: accepted !== undefined && accepted.generation > above ? accepted : undefined }
    },
    offerConfiguration: async ({ accepted }) => {
      configuration.receiveOffer(accepted)
      return { generation: configuration.advertised().generation }
    },
    listHosts: async ({ known }) => ({ list: members.list(known) }),
    observe: async ({ database }) => ({ observation: localObservation(parts.observationRelay, database) }),
    suspect: async ({ database, server }) => {
      databases.task(database)?.suspect(server)
      return { accepted: true }
    },
    listServers: async ({ known }) => ({ list: parts.discovery?.list(known) }),
    primaryChanged: async ({ view }) => {
      parts.routing.recordPrimary(view)
      return { accepted: true }
    },
    borrow: async params => await limits.lend(params),
    report: async ({ report }) => ({ accepted: reports.collectReport(report) })
  }
}

function requestServices (parts: ProxyComponents, configuration: () => ConfigurationInForce): RequestServices {
  const { context, routing, limits } = parts
  const { timers } = context
  return {
    nowMs: timers.nowMs,
    sleep: async delayMs => { await sleep(timers, delayMs) },
    configuration,
    admit: limits.admit,
    routing: database => routing.view(database),
    execute: async (home, request) => await executeAt(parts, home, request),
    sawApplied: (server, applied) => { routing.recordApplied(server, applied, timers.nowMs()) },
    random: context.random,
    encodeToken,
    decodeToken,
    holdsKey: containsKey
  }
}

async function executeAt (parts: ProxyComponents, home: HostName, request: ExecuteRequest): Promise<AttemptResult> {
  try {
    const reply = await callHome(parts, home, request)
    parts.routing.recordPrimary(reply.primary)
    if (isStopping(reply)) parts.members.send({ kind: 'linkFailed', host: home, nowMs: parts.context.timers.nowMs() })
    return { kind: 'replied', reply }
  } catch (error) {
    return asWireError(error).failure === 'refused' ? { kind: 'unsent' } : { kind: 'lost' }
  }
}

// This host may be the home itself, which takes no link.
async function callHome (parts: ProxyComponents, home: HostName, request: ExecuteRequest): Promise<ExecuteReply> {
  if (home === parts.context.settings.host.name) return await parts.databases.execute(request)
  return await parts.links.call(home, 'execute', request, request.remainingMs + answerMarginMs)
}

// A heartbeat shows at once that the home stops, so that another one takes over.
function isStopping (reply: ExecuteReply): boolean {
  return reply.outcome.kind === 'notRun' && reply.outcome.reason === 'stopping'
}

async function rollBack (parts: ProxyComponents, transaction: OpenTransaction): Promise<void> {
  const request: ExecuteRequest = {
    from: parts.context.settings.host.name,
    database: transaction.database,
    server: transaction.server,
    account: transaction.account,
    weight: 1,
    statement: { id: undefined, text: 'ROLLBACK', prepared: undefined },
    values: {},
    mode: { kind: 'rollback', transaction: transaction.id },
    remainingMs: rollBackTimeoutMs
  }
  await executeAt(parts, transaction.dispatcher, request)
}
