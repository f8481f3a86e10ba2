// Fixtures of real processes, ended with the test.

import type { TestContext } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { startLocalSet, type LocalProxy, type LocalSet, type LocalSetOptions } from '../../standins/set/local-set.js'
import { until } from './until.js'

/** Settings that let tests of failures end soon. */
export const quickControl = {
  heartbeat_ms: 100,
  probe_ms: 100,
  probe_timeout_ms: 400,
  promotion_delay_ms: 300,
  confirm_within_ms: 2000,
  pull_ms: 200,
  report_ms: 500
}

/** Settings under which a busy machine is no failure of a host or a server. */
export const calmControl = { ...quickControl, heartbeat_ms: 500, probe_ms: 500, probe_timeout_ms: 4000, confirm_within_ms: 8000 }

/** How long a set may take until its proxies serve. */
const readyTimeoutMs = 30_000
/** Lines of a proxy's output that a failed start shows. */
const shownLines = 30

/**
 * Starts a local set and waits until each proxy serves a statement.
 * @param t - the test that it ends with
 * @param changes - what differs from the default set
 * @returns the set
 */
export async function localSet (t: TestContext, changes: Partial<LocalSetOptions> = {}): Promise<LocalSet> {
  const settings = { ...changes.settings, control: { ...quickControl, ...changes.settings?.['control'] } }
  const set = await startLocalSet({ ...changes, settings })
  t.after(async () => { await set.stop() })
  await Promise.all(set.proxies.map(async proxy => { await untilServing(set, proxy) }))
  return set
}

/** Waits until a proxy has run a read and knows the primary of each database. */
export async function untilServing (set: LocalSet, proxy: LocalProxy): Promise<void> {
  try {
    for (const database of set.options.databases) {
      await until(`${proxy.name} serves ${database}`, async () => await serves(set, proxy, database), readyTimeoutMs)
    }
  } catch (error) {
    throw new Error(`${String(error)}\n${proxy.process.output().slice(-shownLines).join('\n')}`)
  }
}

async function serves (set: LocalSet, proxy: LocalProxy, route: string): Promise<boolean> {
  const account = set.options.accounts[0]?.name ?? ''
  try {
    const caller = await connectCaller(proxy.mysql, { account, key: set.keys.get(account) ?? '', route })
    try {
      await caller.rows('SELECT 1')
      await caller.changed('CREATE TABLE IF NOT EXISTS tills (id BIGINT PRIMARY KEY, proxy VARCHAR(40), amount BIGINT)')
      return true
    } finally {
      caller.close()
    }
  } catch {
    return false
  }
}

export type CallerChanges = {
  readonly account?: string
  readonly key?: string
  readonly route?: string
  readonly token?: string
}

/**
 * Connects a caller of the set's first account to a proxy.
 * @param t - the test that it ends with
 * @param set - the set
 * @param proxy - the proxy
 * @param changes - what differs: account, key, route, session token
 * @returns the open connection
 */
export async function callerOf (t: TestContext, set: LocalSet, proxy: LocalProxy, changes: CallerChanges = {}): Promise<LocalCaller> {
  const account = changes.account ?? set.options.accounts[0]?.name ?? ''
  const login = { account, key: set.keys.get(account) ?? '', route: set.options.databases[0] ?? '', ...changes }
  const caller = await connectCaller(proxy.mysql, login)
  t.after(() => { caller.close() })
  return caller
}

/** One proxy of a set by its place. */
export function proxyAt (set: LocalSet, index: number): LocalProxy {
  const proxy = set.proxies[index]
  if (proxy === undefined) throw new RangeError(`the set has no proxy ${index}`)
  return proxy
}
