// What the proxies of a set do while it is at rest and while it serves, from the
// event `activity` that each of them logs.

import { setTimeout as delay } from 'node:timers/promises'
import { LineCaller } from './caller.js'
import type { Fleet, FleetProxy } from './set.js'

/** Rates of one host, as the mean over the hosts and periods that were observed. */
export type HostActivity = {
  readonly cpuMsPerS: number
  readonly wakesPerS: number
  readonly statementsPerS: number
  /** Counts a second by `kind name`, such as `peerCall borrow`. */
  readonly countsPerS: ReadonlyMap<string, number>
}

/** Load of each host of a set. */
export type FleetLoad = {
  readonly statementsPerS: number
  /** Keys of the accounts, used by turns; each has a session on each host. */
  readonly keys: readonly string[]
}

/** Every n-th statement is a write. */
const writeEvery = 7
const databases = ['orders', 'lookup', 'notes'] as const

type Line = { readonly periodMs: number, readonly cpuMs: number, readonly wakes: number, readonly counts: string }

/**
 * Reads what the hosts logged from a moment on.
 * @param fleet - the set
 * @param from - number of lines of each proxy to pass over, see `outputLengths`
 * @returns the rates of one host
 */
export function activityOf (fleet: Fleet, from: readonly number[]): HostActivity {
  // The first period began before the observation did.
  const lines = fleet.proxies.flatMap((proxy, at) => activityLines(proxy, from[at] ?? 0).slice(1))
  const observedS = lines.reduce((sum, { periodMs }) => sum + periodMs, 0) / 1000
  if (observedS === 0) throw new Error('no proxy logged what it does')
  const counts = new Map<string, number>()
  for (const line of lines) {
    for (const [name, count] of countsIn(line)) counts.set(name, (counts.get(name) ?? 0) + count / observedS)
  }
  return {
    cpuMsPerS: lines.reduce((sum, { cpuMs }) => sum + cpuMs, 0) / observedS,
    wakesPerS: lines.reduce((sum, { wakes }) => sum + wakes, 0) / observedS,
    statementsPerS: counts.get('statement') ?? 0,
    countsPerS: counts
  }
}

/**
 * Returns how much each proxy has written so far.
 * @param fleet - the set
 * @returns the number of lines of each proxy
 */
export function outputLengths (fleet: Fleet): readonly number[] {
  return fleet.proxies.map(proxy => proxy.output().length)
}

/**
 * Sends statements to all hosts for a time.
 * @param fleet - the set
 * @param load - the statements
 * @param durationMs - how long
 */
export async function runLoad (fleet: Fleet, load: FleetLoad, durationMs: number): Promise<void> {
  await Promise.all(fleet.proxies.map(async proxy => { await loadHost(proxy, load, durationMs) }))
}

async function loadHost (proxy: FleetProxy, { statementsPerS, keys }: FleetLoad, durationMs: number): Promise<void> {
  const sessions = await Promise.all(keys.map(async (key, at) => await LineCaller.open(proxy.port, databases[at % databases.length] ?? 'orders', key)))
  const endMs = performance.now() + durationMs
  for (let sent = 0; performance.now() < endMs; sent += 1) {
    const session = sessions[sent % sessions.length]
    await session?.query(sent % writeEvery === 0 ? `WRITE item-${sent % 50} x` : `READ item-${sent % 50}`)
    await delay(1000 / statementsPerS)
  }
  for (const session of sessions) session.disconnect()
}

function activityLines (proxy: FleetProxy, from: number): readonly Line[] {
  return proxy.output().slice(from).filter(line => line.includes('"name":"activity"')).map(line => JSON.parse(line) as Line)
}

function countsIn ({ counts }: Line): ReadonlyArray<readonly [string, number]> {
  return counts.split('; ').filter(text => text !== '').map(text => {
    const at = text.lastIndexOf('=')
    return [text.slice(0, at), Number(text.slice(at + 1))]
  })
}
