// How long a discovered server stays cold. Its entry states the time that was left
// when the server wrote it; an entry that is read again later still says the same.
// The time is therefore counted from the first read of the entry, which is never
// too early, and only a new start of the server extends it.

import type { DiscoveredServer } from '../model/index.js'

/** What is known of a server that is cold, or was. */
export type ColdEntry = {
  /** Time left as the entry states it. */
  readonly leftMs: number
  readonly startId: string | undefined
  readonly untilMs: number
}

/** Two hosts' times of the same start differ by less: the delay of a query. */
const sameStartMs = 1000

/**
 * Applies an entry that was read from the store.
 * @param before - what was known
 * @param server - the decoded entry
 * @param isRewritten - whether the entry was written since it was read last
 * @param nowMs - monotonic time
 * @returns what is known now; undefined for a server that was never cold
 */
export function coldFromEntry (before: ColdEntry | undefined, server: DiscoveredServer, isRewritten: boolean, nowMs: number): ColdEntry | undefined {
  const { coldLeftMs: leftMs = 0, startId } = server
  if (before === undefined && leftMs === 0) return undefined
  if (before !== undefined && before.leftMs === leftMs && before.startId === startId && !isRewritten) return before
  const untilMs = nowMs + leftMs
  if (before === undefined || isNewStart(before, leftMs, startId)) return { leftMs, startId, untilMs }
  return { leftMs, startId, untilMs: Math.min(before.untilMs, untilMs) }
}

// Without an id, an entry whose time has not become shorter is one of a new start.
function isNewStart (before: ColdEntry, leftMs: number, startId: string | undefined): boolean {
  if (startId !== undefined && before.startId !== undefined) return startId !== before.startId
  return leftMs > 0 && leftMs >= before.leftMs
}

/**
 * Applies the time that another host reported.
 * @param before - what was known
 * @param untilMs - the reported end; undefined where the host reported none
 * @returns what is known now
 */
export function coldFromReport (before: ColdEntry | undefined, untilMs: number | undefined): ColdEntry | undefined {
  if (untilMs === undefined) return before
  if (before !== undefined && Math.abs(before.untilMs - untilMs) <= sameStartMs) return before
  return { leftMs: before?.leftMs ?? 0, startId: before?.startId, untilMs }
}

/**
 * Returns an entry without the fields of its start, which are kept apart: they change
 * with time, and lists that hosts send each other are compared.
 * @param server - the decoded entry
 * @returns the server
 */
export function withoutStart (server: DiscoveredServer): DiscoveredServer {
  if (server.coldLeftMs === undefined && server.startId === undefined) return server
  const { coldLeftMs: _, startId: __, ...rest } = server
  return rest
}
