// Fixtures of fleets on the users' platform, which stop when the test ends.

import type { TestContext } from 'node:test'
import { LineCaller, type LineAnswer } from '../../standins/fleet/caller.js'
import { startFleet, type Fleet, type FleetOptions } from '../../standins/fleet/set.js'
import { until } from './until.js'

const maxOutputLines = 12

/** Key of the account that tests use by default. */
export const defaultKey = 'key-of-bindery'

/**
 * Starts a fleet and waits until each proxy serves a write.
 * @param t - the test; the fleet stops when it ends
 * @param changes - options that differ from the default fleet
 * @returns the running fleet
 */
export async function startServingFleet (t: TestContext, changes: Partial<FleetOptions> = {}): Promise<Fleet> {
  const fleet = await startFleet(changes)
  t.after(async () => { await fleet.stop() })
  await Promise.all(fleet.proxies.map(async (_, at) => {
    await untilServed(fleet, at, 'WRITE start x').catch(error => { throw new Error(`${String(error)}\n${outputTail(fleet, at)}`) })
  }))
  return fleet
}

/** Last output lines of a proxy, for the error message of a failed test. */
export function outputTail (fleet: Fleet, at: number): string {
  return (fleet.proxies[at]?.output() ?? []).slice(-maxOutputLines).join('\n')
}

/** Opens a session on one proxy of a fleet. */
export async function openSession (fleet: Fleet, at: number, database = 'orders', key = defaultKey): Promise<LineCaller> {
  return await LineCaller.open(fleet.proxies[at]?.port ?? 0, database, key)
}

/** Runs a query, on a new session each time, until it succeeds. */
export async function untilServed (fleet: Fleet, at: number, text: string, database = 'orders'): Promise<LineAnswer> {
  return await until(`${text} at ${fleet.proxies[at]?.name ?? ''}`, async () => {
    const caller = await openSession(fleet, at, database).catch(() => undefined)
    if (caller === undefined) return undefined
    const answer = await caller.query(text).catch(() => undefined)
    caller.disconnect()
    return answer?.signature === undefined ? undefined : answer
  })
}
