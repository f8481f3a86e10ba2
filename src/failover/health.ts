// Failure detection for servers. Only probes over fresh connections count as
// failures: an established connection that has become unresponsive proves
// nothing about the server, because a device between the two ends may have
// dropped the connection's state. A refused connection is stronger evidence
// than an overdue one, since it shows that the server's machine responds and
// the server does not.

import type { ServerName } from '../model/index.js'
import type { FailoverSettings } from './settings.js'

/** How a probe over a fresh connection failed. */
export type ProbeFailure = 'refused' | 'overdue'

/** Failure detection state of one server. */
export type ServerHealth = {
  readonly lastContactAtMs: number | undefined
  readonly consecutiveRefusals: number
  readonly consecutiveFailures: number
  readonly probeSentAtMs: number | undefined
  readonly probeOutstanding: boolean
  /**
   * A probe is due at the next tick: an established connection was lost, or
   * another host relayed a status of a server that is unresponsive here.
   */
  readonly probeRequested: boolean
}

/** Failure detection state of all servers. */
export type Health = Readonly<Record<ServerName, ServerHealth>>

const initialHealth: ServerHealth = {
  lastContactAtMs: undefined,
  consecutiveRefusals: 0,
  consecutiveFailures: 0,
  probeSentAtMs: undefined,
  probeOutstanding: false,
  probeRequested: false
}

/** A probe without a result is repeated after this many probe timeouts. */
const abandonedProbeTimeouts = 3

function healthOf (health: Health, server: ServerName): ServerHealth {
  return health[server] ?? initialHealth
}

/**
 * Records a contact with a server, which clears its failures.
 * @param health - the state before
 * @param server - the server that responded
 * @param nowMs - monotonic time of the contact
 * @returns the updated state
 */
export function recordContact (health: Health, server: ServerName, nowMs: number): Health {
  const alive = { ...healthOf(health, server), lastContactAtMs: nowMs, consecutiveRefusals: 0, consecutiveFailures: 0 }
  return { ...health, [server]: alive }
}

/**
 * Records the answer to a probe.
 * @param health - the state before
 * @param server - the server that answered
 * @param nowMs - monotonic time
 * @returns the updated state
 */
export function recordProbeAnswer (health: Health, server: ServerName, nowMs: number): Health {
  const alive = recordContact(health, server, nowMs)
  return { ...alive, [server]: { ...healthOf(alive, server), probeOutstanding: false } }
}

/**
 * Records the failure of a probe.
 * @param health - the state before
 * @param server - the server that was probed
 * @param failure - how the fresh connection failed
 * @returns the updated state
 */
export function recordProbeFailure (health: Health, server: ServerName, failure: ProbeFailure): Health {
  const before = healthOf(health, server)
  const consecutiveRefusals = before.consecutiveRefusals + (failure === 'refused' ? 1 : 0)
  return { ...health, [server]: { ...before, consecutiveRefusals, consecutiveFailures: before.consecutiveFailures + 1, probeOutstanding: false } }
}

/**
 * Requests a probe at the next tick.
 * @param health - the state before
 * @param server - the server to probe
 * @returns the updated state
 */
export function requestProbe (health: Health, server: ServerName): Health {
  return { ...health, [server]: { ...healthOf(health, server), probeRequested: true } }
}

/**
 * Clears all failures, after a pause of this host that may have caused them.
 * @param health - the state before
 * @returns the same servers without failures
 */
export function resetFailures (health: Health): Health {
  const cleared = Object.entries(health).map(([server, before]) => [server, { ...before, consecutiveRefusals: 0, consecutiveFailures: 0 }] as const)
  return Object.fromEntries(cleared)
}

/**
 * Lists the servers that are due for a probe.
 * @param health - the state
 * @param servers - all servers
 * @param settings - probe interval and timeout
 * @param nowMs - monotonic time
 * @returns the servers to probe
 */
export function dueProbes (health: Health, servers: readonly ServerName[], settings: FailoverSettings, nowMs: number): readonly ServerName[] {
  return servers.filter(server => {
    const { lastContactAtMs, probeSentAtMs, probeOutstanding, probeRequested, consecutiveFailures } = healthOf(health, server)
    if (probeRequested && !probeOutstanding) return true
    const idleMs = consecutiveFailures > 0 ? settings.reprobeEveryMs : settings.probeEveryMs
    const waitMs = probeOutstanding ? settings.probeTimeoutMs * abandonedProbeTimeouts : idleMs
    const lastActivityAtMs = Math.max(lastContactAtMs ?? -Infinity, probeSentAtMs ?? -Infinity)
    return nowMs - lastActivityAtMs >= waitMs
  })
}

/**
 * Records that probes were sent.
 * @param health - the state before
 * @param servers - the servers that are probed
 * @param nowMs - monotonic time
 * @returns the updated state
 */
export function recordProbesSent (health: Health, servers: readonly ServerName[], nowMs: number): Health {
  const sent = servers.map(server => [server, { ...healthOf(health, server), probeSentAtMs: nowMs, probeOutstanding: true, probeRequested: false }] as const)
  return { ...health, ...Object.fromEntries(sent) }
}

/**
 * Returns the kind of probe failure by which a server counts as dead.
 * @param health - the state
 * @param server - the server
 * @param settings - failure counts from which a server counts as dead
 * @returns the kind of failure that reached its count; undefined if the server counts as alive
 */
export function decisiveFailure (health: Health, server: ServerName, settings: FailoverSettings): ProbeFailure | undefined {
  const { consecutiveRefusals, consecutiveFailures } = healthOf(health, server)
  if (consecutiveRefusals >= settings.deadAfterRefusals) return 'refused'
  return consecutiveFailures >= settings.deadAfterFailures ? 'overdue' : undefined
}

/**
 * Lists the reachable servers: those with a recent contact and no failed probe since.
 * @param health - the state
 * @param servers - all servers
 * @param settings - how long a server stays reachable after a contact
 * @param nowMs - monotonic time
 * @returns the reachable servers
 */
export function reachableServers (health: Health, servers: readonly ServerName[], settings: FailoverSettings, nowMs: number): readonly ServerName[] {
  return servers.filter(server => {
    const { lastContactAtMs, consecutiveFailures } = healthOf(health, server)
    return consecutiveFailures === 0 && lastContactAtMs !== undefined && nowMs - lastContactAtMs <= settings.reachableForMs
  })
}
