// Configuration task: owns the state of which manifest is in force. Watchers read
// the store; every host compares generations with its peers in heartbeats and
// accepts manifests that peers push. Decisions are made in src/config; this module
// makes the calls.

import { configurationDueAtMs, confirmedGeneration, configurationStep, initialConfiguration, canServeAuthenticated, storeConfirmedAgoMs, type ConfigurationEffect, type ConfigurationEvent, type ConfigurationState } from '../config/index.js'
import type { AcceptedManifest, Generation, HostName, MemberState } from '../model/index.js'
import { SnapshotPublisher, sleep, startTask, type Port, type Snapshot } from '../pipe/index.js'
import { readObject, StoreError, watchInEra, type ManifestSource, type ObjectStore } from '../ports/index.js'
import type { DaemonContext } from './context.js'
import type { PeerLinks } from './peers.js'

/** Dependencies of the task. */
export type ConfigurationTaskSpec = {
  readonly context: DaemonContext
  readonly store: ObjectStore
  readonly source: ManifestSource
  readonly links: PeerLinks
  /**
   * Members to push manifests to. Those of the local failure domain suffice, since
   * each domain has hosts that read the store.
   */
  readonly peers: () => readonly HostName[]
  /** True while this host is a watcher, one of the hosts that watch the store. */
  readonly isWatcher: () => boolean
  /** State of this host that is sent in heartbeats. */
  readonly localState: () => MemberState
  /** Called with the state that a queried host sent. */
  readonly onPeerState: (from: MemberState) => void
  readonly onApply: (accepted: AcceptedManifest) => void
  readonly onRejected: (generation: Generation, errors: readonly string[]) => void
}

/** A running configuration task. */
export type ConfigurationTask = {
  /** Begins to read the store; called once all components are wired. */
  readonly begin: () => void
  readonly state: Snapshot<ConfigurationState>
  readonly canServeAuthenticated: () => boolean
  readonly inForce: () => AcceptedManifest | undefined
  /** Fields of this host's heartbeats that describe its configuration. */
  readonly advertised: () => { readonly generation: Generation, readonly storeConfirmedAgoMs: number | undefined }
  readonly receiveOffer: (accepted: AcceptedManifest) => void
  readonly recordPeerState: (state: MemberState, sentAtMs: number) => void
  readonly quorumChanged: (hosts: readonly HostName[]) => void
  readonly stop: () => Promise<void>
}

const mailboxCapacity = 4096
/** Fraction of its validity after which a host that is no watcher renews a confirmation itself. */
const dueFraction = 0.7
/** Period in which such a host checks the age of its confirmation. */
const confirmationCheckMs = 400
/** Shortest time between two ticks while something is overdue, such as an answer of the store. */
const minTickMs = 100

/**
 * Starts the configuration task.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startConfiguration (spec: ConfigurationTaskSpec): ConfigurationTask {
  const { context } = spec
  const { timers, settings } = context
  const initial = initialConfiguration({
    host: settings.host.name,
    startedAtMs: timers.nowMs(),
    confirmWithinMs: settings.control.confirmWithinMs,
    pullMs: settings.control.pullMs,
    check: spec.source.check
  })
  const published = new SnapshotPublisher(initial)
  const task = startTask<ConfigurationState, ConfigurationEvent, ConfigurationEffect>({
    name: 'configuration',
    initial,
    capacity: mailboxCapacity,
    onError: context.onTaskError('configuration'),
    schedule: { timers, dueAtMs: state => Math.max(configurationDueAtMs(state), timers.nowMs() + minTickMs), tick: nowMs => ({ kind: 'tick', nowMs }) },
    step: (state, event) => {
      const transition = configurationStep(state, event)
      published.publish(transition.state)
      return transition
    },
    perform: (effect, port) => { perform(spec, effect, port) }
  })
  const stopping = { now: false }
  return {
    begin () {
      void watchStore(spec, task.port, stopping)
      void relistLoop(spec, task.port, published, stopping)
    },
    state: published,
    canServeAuthenticated: () => canServeAuthenticated(published.get(), timers.nowMs()),
    inForce: () => published.get().accepted,
    advertised: () => ({ generation: confirmedGeneration(published.get()), storeConfirmedAgoMs: roundedUp(storeConfirmedAgoMs(published.get(), timers.nowMs())) }),
    receiveOffer: accepted => { task.port.send({ kind: 'peerOffered', accepted }) },
    recordPeerState: (state, sentAtMs) => { task.port.send(confirmationOf(state, sentAtMs, timers.nowMs())) },
    quorumChanged: hosts => { task.port.send({ kind: 'quorumChanged', hosts }) },
    stop: async () => {
      stopping.now = true
      await task.stop()
    }
  }
}

// Whole milliseconds keep heartbeats short. Rounding goes up, because a
// confirmation may be reported as older than it is but not as newer.
function roundedUp (ageMs: number | undefined): number | undefined {
  return ageMs === undefined ? undefined : Math.ceil(ageMs)
}

function perform (spec: ConfigurationTaskSpec, effect: ConfigurationEffect, port: Port<ConfigurationEvent>): void {
  switch (effect.kind) {
    case 'apply': return spec.onApply(effect.accepted)
    case 'offer': return offer(spec, effect.accepted)
    case 'pull': return void pull(spec, effect.host, effect.above, port)
    case 'queryPeers': return queryPeers(spec, effect.hosts, port)
    case 'relist': return void readStore(spec, port)
    case 'rejected': return spec.onRejected(effect.rejected.generation, effect.rejected.errors)
  }
}

function offer (spec: ConfigurationTaskSpec, accepted: AcceptedManifest): void {
  if (!spec.isWatcher()) return
  const { settings } = spec.context
  for (const host of spec.peers()) {
    if (host === settings.host.name) continue
    spec.links.call(host, 'offerConfiguration', { accepted }, settings.platform.callTimeoutMs).catch(() => {})
  }
}

async function pull (spec: ConfigurationTaskSpec, host: HostName, above: Generation, port: Port<ConfigurationEvent>): Promise<void> {
  try {
    const { accepted } = await spec.links.call(host, 'pullConfiguration', { above }, spec.context.settings.control.pullMs)
    if (accepted !== undefined) port.send({ kind: 'peerOffered', accepted })
  } catch {
    // A later tick pulls again, from the host that advertises the highest
    // generation then.
  }
}

function queryPeers (spec: ConfigurationTaskSpec, hosts: readonly HostName[], port: Port<ConfigurationEvent>): void {
  const { timers, settings } = spec.context
  const sentAtMs = timers.nowMs()
  for (const host of hosts) {
    spec.links.call(host, 'heartbeat', spec.localState(), settings.control.pullMs).then(
      from => {
        spec.onPeerState(from)
        port.send(confirmationOf(from, sentAtMs, timers.nowMs()))
      },
      () => {}
    )
  }
}

async function readStore (spec: ConfigurationTaskSpec, port: Port<ConfigurationEvent>): Promise<void> {
  const { timers } = spec.context
  const sentAtMs = timers.nowMs()
  try {
    const { object, era } = await readObject(spec.store, spec.source.kind, spec.source.name)
    reportStoreValue(spec, port, { value: object?.value, era, askedAtMs: sentAtMs })
  } catch {
    port.send({ kind: 'storeFailed', nowMs: timers.nowMs() })
  }
}

type StoreAnswer = { readonly value: unknown, readonly era: number, readonly askedAtMs: number }

function reportStoreValue (spec: ConfigurationTaskSpec, port: Port<ConfigurationEvent>, { value, era, askedAtMs }: StoreAnswer): void {
  const accepted = value === undefined ? undefined : spec.source.decode(value)
  if (value !== undefined && accepted === undefined) {
    spec.onRejected(0, ['the stored object has no generation'])
    return
  }
  port.send({ kind: 'storeAnswered', accepted, era, askedAtMs })
}

function confirmationOf (from: MemberState, sentAtMs: number, nowMs: number): ConfigurationEvent {
  return { kind: 'peerConfirmed', host: from.host, generation: from.generation, storeConfirmedAgoMs: from.storeConfirmedAgoMs, askedAtMs: sentAtMs, nowMs }
}

// A watch has its own deadline, and one that stays unresponsive costs only delay,
// since `relistLoop` reads the store independently of it.
async function watchStore (spec: ConfigurationTaskSpec, port: Port<ConfigurationEvent>, stopping: { readonly now: boolean }): Promise<void> {
  const { timers, settings, random } = spec.context
  let position: WatchPosition | undefined
  while (!stopping.now) {
    if (!spec.isWatcher()) {
      await sleep(timers, settings.control.pullMs)
      continue
    }
    try {
      position = await watchOnce(spec, port, position)
    } catch (error) {
      if (error instanceof StoreError && error.fault.kind === 'historyExpired') position = undefined
      port.send({ kind: 'storeFailed', nowMs: timers.nowMs() })
      await sleep(timers, settings.control.pullMs * random())
    }
  }
}

type WatchPosition = { readonly revision: number, readonly era: number }

// Returns the position to watch from next.
async function watchOnce (spec: ConfigurationTaskSpec, port: Port<ConfigurationEvent>, position: WatchPosition | undefined): Promise<WatchPosition> {
  const { timers, settings } = spec.context
  const { kind, name } = spec.source
  const sentAtMs = timers.nowMs()
  const list = position === undefined ? await spec.store.listObjects(kind) : await watchInEra(spec.store, kind, position, settings.platform.watchMs)
  const current = list.objects.find(object => object.name === name)
  const era = list.era ?? 0
  if (current !== undefined) reportStoreValue(spec, port, { value: current.value, era, askedAtMs: sentAtMs })
  return { revision: list.revision, era }
}

async function relistLoop (spec: ConfigurationTaskSpec, port: Port<ConfigurationEvent>, state: Snapshot<ConfigurationState>, stopping: { readonly now: boolean }): Promise<void> {
  const { timers, settings, random } = spec.context
  while (!stopping.now) {
    const isWatcher = spec.isWatcher()
    if (isWatcher || isConfirmationDue(spec, state.get())) await readStore(spec, port)
    await sleep(timers, isWatcher ? relistMs(settings) * (0.5 + random()) : confirmationCheckMs)
  }
}

// Heartbeats and the answers of watchers carry the age of the sender's last
// confirmation by the store, so a host that is no watcher reads the store only where
// no recent confirmation has reached it.
function isConfirmationDue (spec: ConfigurationTaskSpec, state: ConfigurationState): boolean {
  const { timers, settings } = spec.context
  const agoMs = storeConfirmedAgoMs(state, timers.nowMs())
  return agoMs === undefined || agoMs > settings.control.confirmWithinMs * dueFraction
}

// At most a third of a confirmation's validity, so that reads of the store renew it
// before it expires.
function relistMs (settings: DaemonContext['settings']): number {
  return Math.min(settings.platform.relistMs, settings.control.confirmWithinMs / 3)
}
