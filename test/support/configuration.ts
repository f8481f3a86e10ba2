// What tests of the configuration see and do: apply through the command line,
// and the generations that hosts report.

import assert from 'node:assert/strict'
import type { TestContext } from 'node:test'
import type { LocalSet } from '../../standins/set/local-set.js'
import type { Generation, HostName, HostReport, Manifest } from '../../src/model/index.js'
import { fileOf, runCli } from './cli.js'

/** The platform's URL, past all faulty links. */
export function platformUrl (set: LocalSet): string {
  return `http://${set.platformAddress.ip}:${set.platformAddress.port}`
}

/**
 * Applies a manifest as an operator does.
 * @param t - the test
 * @param set - the set
 * @param manifest - the manifest
 * @returns the accepted generation
 */
export async function applyTo (t: TestContext, set: LocalSet, manifest: Manifest): Promise<Generation> {
  const { out, err } = await runCli(['apply', '--platform', platformUrl(set), '--manifest', fileOf(t, 'manifest.json', manifest)])
  const generation = /^accepted generation (\d+)/.exec(out)?.[1]
  assert.ok(generation !== undefined, err)
  return Number(generation)
}

/** A manifest without the keys of an account. */
export function withoutKeys (manifest: Manifest, account: string): Manifest {
  return { ...manifest, accounts: manifest.accounts.map(each => each.name === account ? { ...each, keys: [] } : each) }
}

/** A manifest that differs from others by its anonymous rate only. */
export function withAnonymousRate (manifest: Manifest, ratePerS: number): Manifest {
  return { ...manifest, anonymous: { ...manifest.anonymous, ratePerS } }
}

/** What the hosts of a set have reported last. */
export async function reportsOf (set: LocalSet): Promise<readonly HostReport[]> {
  const domains = await Promise.all(set.options.failureDomains.map(async name => await set.platform.read('report', name).catch(() => undefined)))
  return domains.flatMap(domain => (domain?.value as unknown as { readonly hosts: readonly HostReport[] } | undefined)?.hosts ?? [])
}

/** Notes the generations that each incarnation of a host reports, in order. */
export class GenerationWatch {
  readonly #seen = new Map<string, Generation>()
  readonly #reverted = new Set<string>()

  /**
   * Looks once.
   * @param set - the set
   * @returns generation by host
   */
  async look (set: LocalSet): Promise<ReadonlyMap<HostName, Generation>> {
    const reports = await reportsOf(set)
    for (const { host, incarnation, generation } of reports) {
      const id = `${host} ${incarnation}`
      if (generation < (this.#seen.get(id) ?? 0)) this.#reverted.add(`${id}: ${this.#seen.get(id) ?? 0} to ${generation}`)
      this.#seen.set(id, generation)
    }
    return new Map(reports.map(report => [report.host, report.generation]))
  }

  /** Hosts that went back to a lower generation. */
  get reverted (): readonly string[] {
    return [...this.#reverted]
  }
}
