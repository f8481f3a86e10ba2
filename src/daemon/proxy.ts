// One proxy process: joins the tasks, serves until it is told to stop, and
// stops without cutting off a request.

import { randomUUID } from 'node:crypto'
import { confirmedUntilMs, holdsKey, redirected, type Settings } from '../config/index.js'
import type { ExecuteReply, ExecuteRequest, HostName, MemberState, PrimaryView } from '../model/index.js'
import { sleep, systemTimers } from '../pipe/index.js'
import { requestPipe, type Attempt, type ConfigurationInForce, type OpenTransaction, type RequestServices } from '../request/index.js'
import { asWireError, decodeToken, encodeToken, listenForPeers, platformClient, updateObject, type PeerHandlers, type PlatformClient } from '../wire/index.js'
import { startCallers } from './callers.js'
import { startConfiguration } from './configuration-task.js'
import type { DaemonContext } from './context.js'
import { Databases } from './databases.js'
import { decodeAcceptedManifest, decodeListedHost, decodePrimary, decodeSeatTable } from './decode.js'
import { startLimits } from './limits-task.js'
import { startMembers, type MembersTask, type MembersView } from './members-task.js'
import type { Parts } from './parts.js'
import { PeerLinks, tlsOf } from './peers.js'
import { startReports } from './reports.js'
import { RoutingTable } from './routing.js'
import { stopParts } from './stop.js'

/** A running proxy. */
export type Proxy = {
  readonly mysqlPort: number
  readonly peerPort: number
  /** Lets running work finish within the grace time, then ends everything. */
  readonly stop: () => Promise<void>
}

/** Time beyond a statement's deadline in which its home may still answer. */
const answerMarginMs = 250
const rollBackTimeoutMs = 1000
const publishDeadlineMs = 5000
/** Longest deadline that a caller may ask for. */
const maxDeadlineMs = 600_000

/**
 * Starts a proxy.
 * @param settings - the settings of this host
 * @returns the running proxy; throws a `WireError` where a port is taken
 */
export async function startProxy (settings: Settings): Promise<Proxy> {
  const state = { stopping: false }
  const parts = joinParts(settings, () => state.stopping)
  const { context, reports } = parts
  const peers = await listenForPeers({ ip: settings.host.ip, port: settings.host.peerPort }, peerHandlers(parts), tlsOf(settings.peers))
  const configuration = (): ConfigurationInForce => ({ manifest: parts.configuration.inForce()?.manifest, confirmed: parts.configuration.mayServeKeyed() })
  const pipe = requestPipe(requestServices(parts, configuration), {
    self: settings.host.name,
    ownFailureDomain: settings.host.failureDomain,
    defaultDeadlineMs: settings.limits.defaultDeadlineMs,
    maxDeadlineMs
  })
  const callers = await startCallers({
    context,
    pipe,
    configuration,
    rollBack: async transaction => { await rollBack(parts, transaction) },
    onServed: reports.served,
    onLoginRefused: (user, outcome) => { reports.event('loginRefused', { account: user, reason: outcome.kind === 'notRun' ? outcome.reason : outcome.kind }) }
  }).catch(error => {
    peers.close()
    throw error
  })
  parts.members.begin()
  parts.configuration.begin()
  reports.event('started', { host: settings.host.name, mysqlPort: callers.port, peerPort: peers.port })
  return {
    mysqlPort: callers.port,
    peerPort: peers.port,
    stop: async () => {
      state.stopping = true
      await stopParts(parts, callers)
      peers.close()
    }
  }
}

function joinParts (settings: Settings, stopping: () => boolean): Parts {
  const timers = systemTimers()
  const incarnation = randomUUID()
  const random = Math.random
  const reports = startReports({ settings, timers, incarnation, random })
  const context: DaemonContext = {
    settings,
    timers,
    random,
    incarnation,
    onTaskError: task => error => { reports.event('taskFailed', { task, error: error.message }) }
  }
  const platform = platformClient({ url: settings.platform.url, callTimeoutMs: settings.platform.callTimeoutMs, redirect: address => redirected(settings.links, address) })
  const routing = new RoutingTable()
  const links = new PeerLinks(context, host => { members.tell({ kind: 'linkFailed', host, nowMs: timers.nowMs() }) })
  const databases = new Databases({
    context,
    onPrimary: view => {
      routing.sawPrimary(view)
      reports.event('primaryChanged', { database: view.database, term: view.term, primary: view.primary ?? 'none' })
    },
    publish: view => { void publishPrimary(context, platform, view).catch(() => { reports.event('storeUnreachable', { what: 'primary' }) }) },
    onFailure: (server, failure) => { reports.event('serverConnectionFailed', { server, failure }) }
  })
  const configuration = startConfiguration({
    context,
    platform,
    links,
    peers: () => members.view.get().live.map(member => member.host),
    watches: () => members.view.get().quorum.includes(settings.host.name),
    ownState: () => ownState(),
    decode: decodeAcceptedManifest,
    onApply: accepted => {
      routing.takeDatabases(accepted.manifest.databases)
      databases.takeManifest(accepted.manifest.databases)
      limits.takeManifest(accepted.manifest)
      reports.event('manifestApplied', { generation: accepted.generation })
    },
    onRejected: (generation, errors) => { reports.event('manifestRejected', { generation, errors: errors.join('; ') }) }
  })
  const limits = startLimits({
    context,
    platform,
    links,
    // A finite time, so that a lapse during a pause is seen although the confirmation is fresh again.
    confirmedUntilMs: () => confirmedUntilMs(configuration.state.get()),
    decodeTable: decodeSeatTable
  })
  const ownState = (): MemberState => ({
    host: settings.host.name,
    failureDomain: settings.host.failureDomain,
    incarnation: context.incarnation,
    state: stopping() ? 'stopping' : 'serving',
    ...configuration.told()
  })
  const members: MembersTask = startMembers({
    context,
    links,
    listHosts: async () => (await platform.hosts()).map(decodeListedHost),
    ownState,
    onFreshList: hosts => { limits.takeList(hosts) },
    onMembers: view => {
      takeMembers(view, { configuration, databases, routing, limits })
      reports.event('membersChanged', { live: view.live.length, listed: view.listed.length })
    },
    onHeard: (from, askedAtMs) => { configuration.heard(from, askedAtMs) }
  })
  reports.attach({ platform, members, configuration, databases, routing, links, stopping })
  return { context, reports, platform, links, members, configuration, databases, routing, limits, stopping, ownState }
}

function takeMembers (view: MembersView, to: Pick<Parts, 'configuration' | 'databases' | 'routing' | 'limits'>): void {
  to.configuration.quorumChanged(view.quorum)
  to.routing.takeMembers(view.live)
  to.databases.takeMembers(view.live, view.listed, view.silent)
  to.limits.takeMembers(view.live)
}

async function publishPrimary (context: DaemonContext, platform: PlatformClient, view: PrimaryView): Promise<void> {
  const sources = { timers: context.timers, random: context.random, newWriteId: randomUUID }
  await updateObject<PrimaryView>(platform, sources, {
    kind: 'primary',
    name: view.database,
    decode: decodePrimary,
    change: current => current !== undefined && current.term >= view.term ? undefined : view,
    deadlineMs: publishDeadlineMs
  })
}

function peerHandlers (parts: Parts): PeerHandlers {
  const { configuration, databases, members, limits, reports } = parts
  return {
    execute: async request => await databases.execute(request),
    heartbeat: async from => await members.answerHeartbeat(from),
    pullConfiguration: async ({ above }) => {
      const accepted = configuration.inForce()
      return { accepted: accepted !== undefined && accepted.generation > above ? accepted : undefined }
    },
    offerConfiguration: async ({ accepted }) => {
      configuration.offered(accepted)
      return { generation: configuration.told().generation }
    },
    listHosts: async () => ({ list: members.list() }),
    borrow: async params => await limits.lend(params),
    report: async ({ report }) => ({ accepted: reports.gathered(report) })
  }
}

function requestServices (parts: Parts, configuration: () => ConfigurationInForce): RequestServices {
  const { context, routing, limits } = parts
  const { timers } = context
  return {
    nowMs: timers.nowMs,
    sleep: async delayMs => { await sleep(timers, delayMs) },
    configuration,
    admit: limits.admit,
    routing: database => routing.view(database),
    execute: async (home, request) => await executeAt(parts, home, request),
    sawApplied: (server, applied) => { routing.sawApplied(server, applied, timers.nowMs()) },
    random: context.random,
    encodeToken,
    decodeToken,
    holdsKey
  }
}

async function executeAt (parts: Parts, home: HostName, request: ExecuteRequest): Promise<Attempt> {
  try {
    const reply = await callHome(parts, home, request)
    parts.routing.sawPrimary(reply.primary)
    if (isStopping(reply)) parts.members.tell({ kind: 'linkFailed', host: home, nowMs: parts.context.timers.nowMs() })
    return { kind: 'replied', reply }
  } catch (error) {
    return asWireError(error).failure === 'refused' ? { kind: 'unsent' } : { kind: 'lost' }
  }
}

// This host may be the home itself, which takes no link.
async function callHome (parts: Parts, home: HostName, request: ExecuteRequest): Promise<ExecuteReply> {
  if (home === parts.context.settings.host.name) return await parts.databases.execute(request)
  return await parts.links.call(home, 'execute', request, request.remainingMs + answerMarginMs)
}

// A heartbeat shows at once that the home stops, so that another one takes over.
function isStopping (reply: ExecuteReply): boolean {
  return reply.outcome.kind === 'notRun' && reply.outcome.reason === 'stopping'
}

async function rollBack (parts: Parts, transaction: OpenTransaction): Promise<void> {
  const request: ExecuteRequest = {
    from: parts.context.settings.host.name,
    database: transaction.database,
    server: transaction.server,
    account: transaction.account,
    weight: 1,
    sql: 'ROLLBACK',
    mode: { kind: 'rollback', transaction: transaction.id },
    remainingMs: rollBackTimeoutMs
  }
  await executeAt(parts, transaction.home, request)
}
