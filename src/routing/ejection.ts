// Ejection of servers by the outcomes of their statements. A server that accepts
// connections and answers health checks may still fail its statements; such a server
// gets no reads for a while, and then a share that grows from a few probes to all of
// them. At most one server of a database is ejected at a time: if several fail, the
// cause is elsewhere, or none is left that would serve better. Writes are not
// concerned, as only the primary can run them.

import type { ServerName } from '../model/index.js'

/** Outcomes of a server's statements, as sums that decay. */
type OutcomeSums = { readonly failed: number, readonly total: number, readonly atMs: number }

/** The ejected server of a database. */
export type Ejection = {
  readonly server: ServerName
  readonly sinceMs: number
  /** Time without reads, before the return begins. */
  readonly pauseMs: number
}

/** Outcomes at the servers of one database, as one host knows them. */
export type DatabaseHealth = {
  readonly outcomes: ReadonlyMap<ServerName, OutcomeSums>
  readonly ejection: Ejection | undefined
}

/** One outcome of a statement at a server. */
export type ServerOutcome = { readonly server: ServerName, readonly result: 'served' | 'failed', readonly nowMs: number }

/** Change that an outcome brings about. */
export type EjectionChange =
  | { readonly kind: 'none' }
  | { readonly kind: 'ejected', readonly server: ServerName, readonly failedFraction: number, readonly pauseMs: number }
  | { readonly kind: 'returned', readonly server: ServerName }

/** Health of a database without any outcome. */
export const initialHealth: DatabaseHealth = { outcomes: new Map(), ejection: undefined }

/** Time after which an outcome counts half. */
const halfLifeMs = 5000
/** Failures, decayed, from which a server may be ejected; a single lost connection is no reason. */
const minFailures = 3
/** The same while the server returns, when few statements reach it. */
const minFailuresOnReturn = 1
/** Fraction of failures from which a server may be ejected. */
const minFailedFraction = 0.5
const firstPauseMs = 1000
const maxPauseMs = 30_000
/** Time in which the share of a returning server grows to all reads. */
const returnMs = 10_000
/** Share of the reads with which a return begins. */
const firstShare = 0.02

/**
 * Computes the share of the reads that a server gets.
 * @param health - outcomes at the servers of its database; undefined: none
 * @param server - the server
 * @param nowMs - monotonic time
 * @returns 1 for a server that is not ejected, 0 during the pause, between them
 *   during the return
 */
export function readShare (health: DatabaseHealth | undefined, server: ServerName, nowMs: number): number {
  const ejection = health?.ejection
  if (ejection?.server !== server) return 1
  const returningMs = nowMs - ejection.sinceMs - ejection.pauseMs
  return returningMs < 0 ? 0 : Math.min(1, firstShare + returningMs / returnMs)
}

/**
 * Records the outcome of a statement.
 * @param before - the health so far
 * @param servers - the active servers of the database
 * @param outcome - the outcome
 * @returns the new health, and the change of the ejected server
 */
export function recordOutcome (before: DatabaseHealth, servers: readonly ServerName[], outcome: ServerOutcome): { readonly health: DatabaseHealth, readonly change: EjectionChange } {
  const { server, nowMs } = outcome
  const returned = returnedServer(before, servers, nowMs)
  const sums = sumsAfter(before.outcomes.get(server), outcome)
  const outcomes = new Map([...before.outcomes].filter(([name]) => servers.includes(name))).set(server, sums)
  const health = { outcomes, ejection: returned === undefined ? before.ejection : undefined }
  const pauseMs = outcome.result === 'failed' ? pauseForMs(health, servers, outcome) : undefined
  if (pauseMs !== undefined) {
    outcomes.delete(server)
    const failedFraction = sums.failed / sums.total
    return { health: { outcomes, ejection: { server, sinceMs: nowMs, pauseMs } }, change: { kind: 'ejected', server, failedFraction, pauseMs } }
  }
  return { health, change: returned === undefined ? { kind: 'none' } : { kind: 'returned', server: returned } }
}

// A server whose return is complete, or that is no longer an active server.
function returnedServer ({ ejection }: DatabaseHealth, servers: readonly ServerName[], nowMs: number): ServerName | undefined {
  if (ejection === undefined) return undefined
  const isOver = nowMs - ejection.sinceMs >= ejection.pauseMs + returnMs || !servers.includes(ejection.server)
  return isOver ? ejection.server : undefined
}

// Pause of a server that is to be ejected now; undefined: it is not.
function pauseForMs (health: DatabaseHealth, servers: readonly ServerName[], { server, nowMs }: ServerOutcome): number | undefined {
  const { ejection } = health
  if (ejection === undefined) return isFailing(health, server, nowMs, minFailures) && hasHealthyOther(health, servers, server, nowMs) ? firstPauseMs : undefined
  // The answers to statements that were sent before the ejection come during the pause.
  if (ejection.server !== server || readShare(health, server, nowMs) === 0) return undefined
  return isFailing(health, server, nowMs, minFailuresOnReturn) ? Math.min(maxPauseMs, ejection.pauseMs * 2) : undefined
}

function hasHealthyOther (health: DatabaseHealth, servers: readonly ServerName[], server: ServerName, nowMs: number): boolean {
  return servers.some(other => other !== server && !isFailing(health, other, nowMs, minFailuresOnReturn))
}

function isFailing ({ outcomes }: DatabaseHealth, server: ServerName, nowMs: number, atLeast: number): boolean {
  const { failed, total } = decayed(outcomes.get(server), nowMs)
  return failed >= atLeast && failed >= total * minFailedFraction
}

function sumsAfter (sums: OutcomeSums | undefined, { result, nowMs }: ServerOutcome): OutcomeSums {
  const { failed, total } = decayed(sums, nowMs)
  return { failed: failed + (result === 'failed' ? 1 : 0), total: total + 1, atMs: nowMs }
}

function decayed (sums: OutcomeSums | undefined, nowMs: number): OutcomeSums {
  if (sums === undefined) return { failed: 0, total: 0, atMs: nowMs }
  const factor = 0.5 ** (Math.max(0, nowMs - sums.atMs) / halfLifeMs)
  return { failed: sums.failed * factor, total: sums.total * factor, atMs: nowMs }
}
