// Fixtures of local sets: real processes, which stop when the test ends.

import type { TestContext } from 'node:test'
import { connectCaller, type LocalCaller } from '../../standins/set/caller.js'
import { startLocalSet, type LocalProxy, type LocalSet, type LocalSetOptions } from '../../standins/set/local-set.js'
import { until } from './until.js'

/**
 * Control settings with short intervals and time limits, which keep failure
 * tests short.
 */
export const fastControlSettings = {
  heartbeat_ms: 100,
  probe_ms: 100,
  probe_timeout_ms: 400,
  promotion_delay_ms: 300,
  confirm_within_ms: 2000,
  pull_ms: 200,
  report_ms: 500
}

/**
 * Control settings with longer time limits, so that a loaded machine does not
 * make hosts or servers look failed.
 */
export const tolerantControlSettings = { ...fastControlSettings, heartbeat_ms: 500, probe_ms: 500, probe_timeout_ms: 4000, confirm_within_ms: 8000 }

/** Time limit until each proxy of a new set serves statements. */
const readyTimeoutMs = 30_000
/** Number of output lines of a proxy in the error of a failed start. */
const maxOutputLines = 30

/**
 * Starts a local set and waits until each proxy serves a statement.
 * @param t - the test; the set stops when it ends
 * @param changes - options that differ from the default set
 * @returns the running set
 */
export async function startServingSet (t: TestContext, changes: Partial<LocalSetOptions> = {}): Promise<LocalSet> {
  const settings = { ...changes.settings, control: { ...fastControlSettings, ...changes.settings?.['control'] } }
  const set = await startLocalSet({ ...changes, settings })
  t.after(async () => { await set.stop() })
  await Promise.all(set.proxies.map(async proxy => { await untilServing(set, proxy) }))
  return set
}

/** Waits until a proxy runs a read and a write on each database. */
export async function untilServing (set: LocalSet, proxy: LocalProxy): Promise<void> {
  try {
    for (const database of set.options.databases) {
      await until(`${proxy.name} serves ${database}`, async () => await serves(set, proxy, database), readyTimeoutMs)
    }
  } catch (error) {
    throw new Error(`${String(error)}\n${proxy.process.output().slice(-maxOutputLines).join('\n')}`)
  }
}

async function serves (set: LocalSet, proxy: LocalProxy, route: string): Promise<boolean> {
  const account = set.options.accounts[0]?.name ?? ''
  try {
    const caller = await connectCaller(proxy.mysql, { account, key: set.keys.get(account) ?? '', route })
    try {
      await caller.rows('SELECT 1')
      await caller.execute('CREATE TABLE IF NOT EXISTS tills (id BIGINT PRIMARY KEY, proxy VARCHAR(40), amount BIGINT)')
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
 * @param changes - account, key, route or session token in place of the default
 * @returns the open connection
 */
export async function openCaller (t: TestContext, set: LocalSet, proxy: LocalProxy, changes: CallerChanges = {}): Promise<LocalCaller> {
  const account = changes.account ?? set.options.accounts[0]?.name ?? ''
  const login = { account, key: set.keys.get(account) ?? '', route: set.options.databases[0] ?? '', ...changes }
  const caller = await connectCaller(proxy.mysql, login)
  t.after(() => { caller.close() })
  return caller
}

/** Returns the proxy of a set at an index. */
export function proxyAt (set: LocalSet, index: number): LocalProxy {
  const proxy = set.proxies[index]
  if (proxy === undefined) throw new RangeError(`the set has no proxy ${index}`)
  return proxy
}
