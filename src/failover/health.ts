// Judges whether a server is alive. Only fresh connections count against it:
// an open connection that has gone silent says nothing of the server, because
// something between the two ends may have lost track of the connection. A
// refused connection counts sooner than an overdue one, since it shows that
// the host answers and the server does not.

import type { ServerName } from '../model/index.js'
import type { FailoverSettings } from './settings.js'

/** How a fresh connection failed. */
export type ProbeFailure = 'refused' | 'overdue'

/** What is known of one server's life. */
export type ServerHealth = {
  readonly lastContactAtMs: number | undefined
  readonly refusedInRow: number
  readonly consecutiveFailures: number
  readonly probeSentAtMs: number | undefined
  readonly probeOutstanding: boolean
  /** An open connection was lost: the next probe is due at once. */
  readonly probeRequested: boolean
}

/** What is known of the life of all servers. */
export type Health = Readonly<Record<ServerName, ServerHealth>>

const unknownHealth: ServerHealth = {
  lastContactAtMs: undefined,
  refusedInRow: 0,
  consecutiveFailures: 0,
  probeSentAtMs: undefined,
  probeOutstanding: false,
  probeRequested: false
}

/** A lost probe result is waited for this many probe timeouts. */
const lostProbeTimeouts = 3

function healthOf (health: Health, server: ServerName): ServerHealth {
  return health[server] ?? unknownHealth
}

/**
 * Takes in a sign of life.
 * @param health - what was known
 * @param server - the server that answered
 * @param nowMs - monotonic time
 * @returns what is known now
 */
export function recordContact (health: Health, server: ServerName, nowMs: number): Health {
  const alive = { ...healthOf(health, server), lastSignAtMs: nowMs, refusedInRow: 0, failedInRow: 0 }
  return { ...health, [server]: alive }
}

/**
 * Takes in the answer to a probe.
 * @param health - what was known
 * @param server - the server that answered
 * @param nowMs - monotonic time
 * @returns what is known now
 */
export function recordProbeAnswer (health: Health, server: ServerName, nowMs: number): Health {
  const alive = recordContact(health, server, nowMs)
  return { ...alive, [server]: { ...healthOf(alive, server), probeOutstanding: false } }
}

/**
 * Takes in the failure of a probe.
 * @param health - what was known
 * @param server - the server that was probed
 * @param how - how the fresh connection failed
 * @returns what is known now
 */
export function recordProbeFailure (health: Health, server: ServerName, how: ProbeFailure): Health {
  const before = healthOf(health, server)
  const refusedInRow = before.refusedInRow + (how === 'refused' ? 1 : 0)
  return { ...health, [server]: { ...before, refusedInRow, consecutiveFailures: before.consecutiveFailures + 1, probeOutstanding: false } }
}

/**
 * Has a server probed at the next tick, because an open connection was lost.
 * @param health - what was known
 * @param server - the server
 * @returns what is known now
 */
export function requestProbe (health: Health, server: ServerName): Health {
  return { ...health, [server]: { ...healthOf(health, server), probeRequested: true } }
}

/**
 * Forgets failures, after a pause of this host that may have caused them.
 * @param health - what was known
 * @returns the same servers without their failures
 */
export function forgetFailures (health: Health): Health {
  const calm = Object.entries(health).map(([server, known]) => [server, { ...known, refusedInRow: 0, failedInRow: 0 }] as const)
  return Object.fromEntries(calm)
}

/**
 * Lists the servers that are due for a probe.
 * @param health - what is known
 * @param servers - all servers
 * @param settings - when a probe is due
 * @param nowMs - monotonic time
 * @returns the servers to probe
 */
export function dueProbes (health: Health, servers: readonly ServerName[], settings: FailoverSettings, nowMs: number): readonly ServerName[] {
  return servers.filter(server => {
    const { lastContactAtMs: lastSignAtMs, probeSentAtMs, probeOutstanding, probeRequested: probeNow } = healthOf(health, server)
    if (probeNow && !probeOutstanding) return true
    const waitMs = probeOutstanding ? settings.probeTimeoutMs * lostProbeTimeouts : settings.probeEveryMs
    const quietSinceMs = Math.max(lastSignAtMs ?? -Infinity, probeSentAtMs ?? -Infinity)
    return nowMs - quietSinceMs >= waitMs
  })
}

/**
 * Notes that probes were sent.
 * @param health - what was known
 * @param servers - the servers that are probed
 * @param nowMs - monotonic time
 * @returns what is known now
 */
export function recordProbesSent (health: Health, servers: readonly ServerName[], nowMs: number): Health {
  const sent = servers.map(server => [server, { ...healthOf(health, server), probeSentAtMs: nowMs, probeOutstanding: true, probeNow: false }] as const)
  return { ...health, ...Object.fromEntries(sent) }
}

/**
 * Tells whether a server counts as dead.
 * @param health - what is known
 * @param server - the server
 * @param settings - how many failures it takes
 * @returns `refused` or `overdue` by the failures that decided, undefined where it counts as alive
 */
export function decisiveFailure (health: Health, server: ServerName, settings: FailoverSettings): ProbeFailure | undefined {
  const { refusedInRow, consecutiveFailures: failedInRow } = healthOf(health, server)
  if (refusedInRow >= settings.refusedUntilDead) return 'refused'
  return failedInRow >= settings.failedUntilDead ? 'overdue' : undefined
}

/**
 * Lists the servers that gave a sign of life a short time ago and have failed no probe since.
 * @param health - what is known
 * @param servers - all servers
 * @param settings - how long a sign of life counts
 * @param nowMs - monotonic time
 * @returns the reachable servers
 */
export function reachable (health: Health, servers: readonly ServerName[], settings: FailoverSettings, nowMs: number): readonly ServerName[] {
  return servers.filter(server => {
    const { lastContactAtMs: lastSignAtMs, consecutiveFailures: failedInRow } = healthOf(health, server)
    return failedInRow === 0 && lastSignAtMs !== undefined && nowMs - lastSignAtMs <= settings.reachableForMs
  })
}
