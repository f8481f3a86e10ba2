// Whether a host can be sure to be the only dispatcher of its servers. Views of the
// members differ for a while after a change, and while a listed host does not
// respond here it may still respond to others and to the servers.

import type { Member } from '../members/index.js'
import type { HostName } from '../model/index.js'

/** What a host knows of the other possible dispatchers. */
export type SoleDispatcher = {
  readonly live: ReadonlySet<HostName>
  readonly hasUnresponsive: boolean
  readonly changedAtMs: number
}

/**
 * Time after a change of the members until the views of all hosts agree: several
 * heartbeats, and the time until an unresponsive host is noticed.
 */
const settleMs = 10_000

/** The state of a host that has just started, which knows no members. */
export const soleFromStart: SoleDispatcher = { live: new Set(), hasUnresponsive: false, changedAtMs: Infinity }

/**
 * Applies a view of the members.
 * @param state - the current state
 * @param live - members that respond
 * @param unresponsive - members that were found unresponsive
 * @param nowMs - monotonic time
 * @returns the next state
 */
export function soleAfterMembers (state: SoleDispatcher, live: ReadonlyArray<Pick<Member, 'host'>>, unresponsive: ReadonlySet<HostName>, nowMs: number): SoleDispatcher {
  const hasUnresponsive = unresponsive.size > 0
  const isSame = live.length === state.live.size && live.every(({ host }) => state.live.has(host)) && hasUnresponsive === state.hasUnresponsive
  return isSame ? state : { live: new Set(live.map(({ host }) => host)), hasUnresponsive, changedAtMs: nowMs }
}

/**
 * Whether this host can be sure that no other one dispatches for its servers.
 * @param state - the state
 * @param nowMs - monotonic time
 * @returns false while a member does not respond, and for some time after a change
 */
export function isSoleDispatcher (state: SoleDispatcher, nowMs: number): boolean {
  return !state.hasUnresponsive && nowMs - state.changedAtMs >= settleMs
}
