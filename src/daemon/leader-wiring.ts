// Connects the leader task to the events of a proxy, and ranks the hosts for the leader
// lease. Event names and the value of `what` keep the earlier word duty for the lease
// (see report/events.ts).

import type { HostName } from '../model/index.js'
import type { DaemonContext } from './context.js'
import { startLeaderTask, type LeaderTask } from './leader-task.js'
import type { MembersView } from './members-task.js'
import type { Reports } from './reports.js'

/** In a fleet of at most this size all hosts are candidates for the leader lease. */
const maxCandidates = 24

/**
 * Starts the leader task where promotions are ordered by a leader.
 * @param context - settings, ports and time
 * @param reports - where the events go
 * @param setLeader - called when this host acquires or loses the lease
 * @returns the task, or undefined where a quorum orders promotions
 */
export function createLeaderTask (context: DaemonContext, reports: Pick<Reports, 'event'>, setLeader: (isLeader: boolean) => void): LeaderTask | undefined {
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

/**
 * Rank of a host as a candidate for the leader lease. Watchers rank first, in quorum
 * order; all other hosts share the rank after them.
 * @param view - the members
 * @param self - the host
 * @returns the rank, 0 for the first
 */
export function leaderRank (view: MembersView, self: HostName): number {
  const rank = view.quorum.indexOf(self)
  return rank < 0 ? view.quorum.length : rank
}

/**
 * Whether a host may acquire the leader lease.
 * @param view - the members
 * @param self - the host
 * @returns true for a watcher, any host of a small fleet, and any host while no watcher responds
 */
export function isLeaderCandidate ({ listed, quorum, unresponsive }: MembersView, self: HostName): boolean {
  return listed.length <= maxCandidates || quorum.includes(self) || quorum.every(host => unresponsive.has(host))
}
