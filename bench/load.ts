// Runs a schedule against proxies. Each arrival starts at its scheduled time,
// regardless of earlier ones. It waits only if all sessions of its account on
// its database are in use; the history shows that wait as the time between
// `scheduledMs` and `startMs`.

import { setTimeout as delay } from 'node:timers/promises'
import type { Address } from '../src/model/index.js'
import { Caller, type CallerTarget } from './caller.js'
import type { Operation } from './history.js'
import type { Arrival } from './schedule.js'

/** Options of a load. */
export type LoadSpec = {
  readonly arrivals: readonly Arrival[]
  readonly databases: readonly string[]
  readonly proxies: readonly Address[]
  /** Indexes of the proxies on which sessions start. */
  readonly entryProxies: readonly number[]
  readonly keys: ReadonlyMap<string, string>
  readonly sessionsPerGroup: number
  /** First session number; several loads with disjoint numbers can share databases. */
  readonly firstSession: number
}

/** Sessions of one account on one database. */
class SessionGroup {
  readonly #idle: Caller[] = []
  readonly #waiting: Array<(caller: Caller) => void> = []

  constructor (readonly callers: readonly Caller[]) {
    this.#idle.push(...callers)
  }

  async acquire (draw: number): Promise<Caller> {
    const at = Math.floor(draw * this.#idle.length)
    const [caller] = this.#idle.splice(at, 1)
    return caller ?? await new Promise(resolve => { this.#waiting.push(resolve) })
  }

  release (caller: Caller): void {
    const next = this.#waiting.shift()
    if (next === undefined) this.#idle.push(caller)
    else next(caller)
  }

  /** Picks the register of one session of the group; `draw` is in [0, 1). */
  registerOf (draw: number): number {
    return this.callers[Math.floor(draw * this.callers.length)]?.session ?? 0
  }
}

/**
 * Runs a load until all its operations have ended.
 * @param spec - options of the load
 * @returns history of all operations
 */
export async function runLoad (spec: LoadSpec): Promise<readonly Operation[]> {
  const groups = sessionGroups(spec)
  await Promise.all([...groups.values()].flatMap(group => group.callers.map(async caller => { await caller.connect() })))
  const startedMs = performance.now()
  const history = await Promise.all(spec.arrivals.map(async arrival => {
    const scheduledMs = startedMs + arrival.atMs
    await delay(Math.max(0, scheduledMs - performance.now()))
    return await runArrival(groups, spec, arrival, scheduledMs)
  }))
  for (const group of groups.values()) {
    for (const caller of group.callers) caller.close()
  }
  return history
}

async function runArrival (groups: ReadonlyMap<string, SessionGroup>, spec: LoadSpec, arrival: Arrival, scheduledMs: number): Promise<Operation> {
  const group = groups.get(groupKey(arrival.account, spec.databases[arrival.database] ?? ''))
  if (group === undefined) throw new RangeError(`no sessions for account ${arrival.account}`)
  const caller = await group.acquire(arrival.draw)
  try {
    return await caller.run(arrival, group.registerOf(arrival.draw), scheduledMs)
  } finally {
    group.release(caller)
  }
}

function sessionGroups (spec: LoadSpec): ReadonlyMap<string, SessionGroup> {
  const groups = new Map<string, SessionGroup>()
  let session = spec.firstSession
  for (const [account, key] of spec.keys) {
    for (const database of spec.databases) {
      const target: CallerTarget = { account, key, database, proxies: spec.proxies }
      const callers: Caller[] = []
      while (callers.length < spec.sessionsPerGroup) {
        callers.push(new Caller(session, target, spec.entryProxies[session % spec.entryProxies.length] ?? 0))
        session += 1
      }
      groups.set(groupKey(account, database), new SessionGroup(callers))
    }
  }
  return groups
}

function groupKey (account: string, database: string): string {
  return JSON.stringify([account, database])
}
