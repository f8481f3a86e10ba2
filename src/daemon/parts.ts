// Components of one proxy process, as `proxy.ts` wires them.

import type { MemberState } from '../model/index.js'
import type { ObjectStore } from '../ports/index.js'
import type { ConfigurationTask } from './configuration-task.js'
import type { DaemonContext } from './context.js'
import type { DiscoveryTask } from './discovery-task.js'
import type { DutyTask } from './duty-task.js'
import type { Effective } from './effective.js'
import type { ObservingSpec } from './observing.js'
import type { Registry } from './registry-task.js'
import type { Databases } from './databases.js'
import type { LimitsTask } from './limits-task.js'
import type { MembersTask } from './members-task.js'
import type { PeerLinks } from './peers.js'
import type { Reports } from './reports.js'
import type { RoutingTable } from './routing.js'

/** The wired components of a proxy. */
export type Parts = {
  readonly context: DaemonContext
  readonly reports: Reports
  readonly store: ObjectStore
  readonly links: PeerLinks
  readonly members: MembersTask
  readonly configuration: ConfigurationTask
  readonly databases: Databases
  readonly routing: RoutingTable
  readonly limits: LimitsTask
  readonly effective: Effective
  /** Set where the platform promotes on the order of the failover leader. */
  readonly duty: DutyTask | undefined
  /** Set where servers register themselves. */
  readonly discovery: DiscoveryTask | undefined
  /** Set where hosts register themselves. */
  readonly registry: Registry | undefined
  readonly observing: ObservingSpec
  /**
   * Records a member's state; where it holds the leader lease, the host becomes
   * the known leader.
   */
  readonly noteDuty: (from: MemberState) => void
  readonly stopping: () => boolean
  /** State of this host that is sent to other members. */
  readonly ownState: () => MemberState
}
