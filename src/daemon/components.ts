// Components of one proxy process, as `proxy.ts` wires them.

import type { MemberState } from '../model/index.js'
import type { ObjectStore } from '../ports/index.js'
import type { ConfigurationTask } from './configuration-task.js'
import type { DaemonContext } from './context.js'
import type { DiscoveryTask } from './discovery-task.js'
import type { EraTask } from './era-task.js'
import type { EvacuationTask } from './evacuation-task.js'
import type { GuardTask } from './guard-task.js'
import type { LeaderTask } from './leader-task.js'
import type { EffectiveManifest } from './effective-manifest.js'
import type { ObservationRelaySpec } from './observation-relay.js'
import type { Registry } from './registry-task.js'
import type { Databases } from './databases.js'
import type { HostLoadTask } from './host-load-task.js'
import type { LimitsTask } from './limits-task.js'
import type { MembersTask } from './members-task.js'
import type { PeerLinks } from './peers.js'
import type { PeerSupportTable } from './peer-support.js'
import type { Reports } from './reports.js'
import type { RoutingTable } from './routing.js'

/** The wired components of a proxy. */
export type ProxyComponents = {
  readonly context: DaemonContext
  readonly reports: Reports
  readonly guard: GuardTask
  readonly store: ObjectStore
  readonly links: PeerLinks
  readonly members: MembersTask
  /** Which other hosts take tokens for entry hosts. */
  readonly peerSupport: PeerSupportTable
  readonly configuration: ConfigurationTask
  readonly databases: Databases
  readonly hostLoad: HostLoadTask
  readonly routing: RoutingTable
  readonly limits: LimitsTask
  readonly effectiveManifest: EffectiveManifest
  readonly eras: EraTask
  /** Set where the platform promotes on the order of the failover leader. */
  readonly leaderTask: LeaderTask | undefined
  /** Set where servers register themselves. */
  readonly discovery: DiscoveryTask | undefined
  /** Set where the settings have `evacuate_ms`. */
  readonly evacuation: EvacuationTask | undefined
  /** Set where hosts register themselves. */
  readonly registry: Registry | undefined
  readonly observationRelay: ObservationRelaySpec
  /**
   * Records a member's state, also the era of the store that it knows; where it holds the leader lease, the host becomes
   * the known leader.
   */
  readonly recordLeader: (from: MemberState) => void
  readonly stopping: () => boolean
  /** State of this host that is sent to other members. */
  readonly localState: () => MemberState
}
