// Heartbeat periods, which depend on the size of the fleet.

import type { HostName } from '../model/index.js'
import type { MembershipState } from './membership.js'

/**
 * Factor by which the heartbeat period is longer in a fleet above the full
 * mesh size.
 */
const ringPeriodFactor = 4

/**
 * Checks whether every member observes every other.
 * @param state - the current state
 * @returns true in a small fleet
 */
export function isFullMesh (state: MembershipState): boolean {
  return state.listed.length <= state.settings.fullMeshHosts
}

/**
 * Returns the heartbeat period between this member and its peers on the ring.
 * @param state - the current state
 * @returns milliseconds
 */
export function periodOf (state: MembershipState): number {
  return state.settings.periodMs * (isFullMesh(state) ? 1 : ringPeriodFactor)
}

/**
 * Returns the factor of the heartbeat period and of the time to suspicion between
 * this member and a peer: the watchers observe each other as a small fleet does.
 * @param state - the current state
 * @param host - the peer
 * @returns the factor, at least 1
 */
export function peerPeriodFactor (state: MembershipState, host: HostName): number {
  return isFullMesh(state) || (state.quorum.includes(host) && state.quorum.includes(state.self.host)) ? 1 : ringPeriodFactor
}
