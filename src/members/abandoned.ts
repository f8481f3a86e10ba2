// Hosts that are gone for everybody. Where all live members exchange
// heartbeats, each tells whom it finds silent, so a member knows when nobody
// hears a host any more. Only a majority of the listed hosts may say so: on
// the smaller side of a cut everybody else is silent.

import type { HostName } from '../model/index.js'
import type { MembershipState } from './membership.js'
import { isFullMesh } from './membership.js'

/** Hosts that are gone, and the time after which they may be forgotten. */
export type Abandoned = {
  readonly hosts: ReadonlySet<HostName>
  readonly forgetAfterMs: number
}

/** Silence for everybody, after which no loan to the host can be left. */
const agreedAfterMs = 3000
/** Silence for some observers in a fleet where nobody hears all. */
const observedAfterMs = 20_000

/**
 * Finds the hosts that are gone.
 * @param state - what a member knows
 * @param silent - whom it finds silent, by itself or by observers
 * @returns the hosts that may be forgotten after a while
 */
export function abandonedHosts (state: MembershipState, silent: ReadonlySet<HostName>): Abandoned {
  if (!isFullMesh(state)) return { hosts: silent, forgetAfterMs: observedAfterMs }
  const others = state.live.filter(member => member.host !== state.self.host)
  const isMajority = (others.length + 1) * 2 > state.listed.length
  const agree = (host: HostName): boolean => others.every(member => state.peers.get(member.host)?.tellsSilent.includes(host) === true)
  return { hosts: new Set(isMajority ? [...silent].filter(agree) : []), forgetAfterMs: agreedAfterMs }
}
