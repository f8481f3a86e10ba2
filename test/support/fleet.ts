// Fixtures of sets on the users' platform, ended with the test.

import type { TestContext } from 'node:test'
import { LineCaller, type LineAnswer } from '../../standins/fleet/caller.js'
import { startFleet, type Fleet, type FleetOptions } from '../../standins/fleet/set.js'
import { until } from './until.js'

const shownLines = 12

/** The key of the usual account. */
export const usualKey = 'key-of-bindery'

/**
 * Starts a set and waits until each proxy serves a write.
 * @param t - the test that it ends with
 * @param changes - what differs from the usual set
 * @returns the set
 */
export async function fleetOf (t: TestContext, changes: Partial<FleetOptions> = {}): Promise<Fleet> {
  const fleet = await startFleet(changes)
  t.after(async () => { await fleet.stop() })
  await Promise.all(fleet.proxies.map(async (_, at) => {
    await untilServed(fleet, at, 'WRITE start x').catch(error => { throw new Error(`${String(error)}\n${lastLines(fleet, at)}`) })
  }))
  return fleet
}

/** The last lines that a proxy wrote, for the message of a failed test. */
export function lastLines (fleet: Fleet, at: number): string {
  return (fleet.proxies[at]?.output() ?? []).slice(-shownLines).join('\n')
}

/** Opens a session at one proxy of a set. */
export async function callerAt (fleet: Fleet, at: number, database = 'orders', key = usualKey): Promise<LineCaller> {
  return await LineCaller.open(fleet.proxies[at]?.port ?? 0, database, key)
}

/** Runs a query on fresh sessions until it is answered with success. */
export async function untilServed (fleet: Fleet, at: number, text: string, database = 'orders'): Promise<LineAnswer> {
  return await until(`${text} at ${fleet.proxies[at]?.name ?? ''}`, async () => {
    const caller = await callerAt(fleet, at, database).catch(() => undefined)
    if (caller === undefined) return undefined
    const answer = await caller.query(text).catch(() => undefined)
    caller.leave()
    return answer?.signature === undefined ? undefined : answer
  })
}
