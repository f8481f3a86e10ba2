// Helpers for configuration tests: manifests applied through the command line,
// and the configuration generations that hosts report.

import assert from 'node:assert/strict'
import type { TestContext } from 'node:test'
import type { LocalSet } from '../../standins/set/local-set.js'
import type { Generation, HostName, HostReport, Manifest } from '../../src/model/index.js'
import { writeTempFile, runCli } from './cli.js'

/** URL of the platform stand-in, bypassing the fault-injecting links. */
export function platformUrl (set: LocalSet): string {
  return `http://${set.platformAddress.ip}:${set.platformAddress.port}`
}

/**
 * Applies a manifest with the `apply` command, as an operator would.
 * @param t - the test
 * @param set - the local set
 * @param manifest - the manifest
 * @returns the accepted generation
 */
export async function applyManifest (t: TestContext, set: LocalSet, manifest: Manifest): Promise<Generation> {
  const { out, err } = await runCli(['apply', '--platform', platformUrl(set), '--manifest', writeTempFile(t, 'manifest.json', manifest)])
  const generation = /^accepted generation (\d+)/.exec(out)?.[1]
  assert.ok(generation !== undefined, err)
  return Number(generation)
}

/** Copies a manifest without one account's keys. */
export function withoutKeys (manifest: Manifest, account: string): Manifest {
  return { ...manifest, accounts: manifest.accounts.map(each => each.name === account ? { ...each, keys: [] } : each) }
}

/** Copies a manifest with another rate for anonymous callers. */
export function withAnonymousRate (manifest: Manifest, ratePerS: number): Manifest {
  return { ...manifest, anonymous: { ...manifest.anonymous, ratePerS } }
}

/** Latest report of each host of a set. */
export async function latestReports (set: LocalSet): Promise<readonly HostReport[]> {
  const domains = await Promise.all(set.options.failureDomains.map(async name => await set.platform.read('report', name).catch(() => undefined)))
  return domains.flatMap(domain => (domain?.value as unknown as { readonly hosts: readonly HostReport[] } | undefined)?.hosts ?? [])
}

/** Tracks the generation of each host incarnation and detects decreases. */
export class GenerationMonitor {
  readonly #lastGeneration = new Map<string, Generation>()
  readonly #reverted = new Set<string>()

  /**
   * Reads the latest reports and records their generations.
   * @param set - the local set
   * @returns generation of each host
   */
  async poll (set: LocalSet): Promise<ReadonlyMap<HostName, Generation>> {
    const reports = await latestReports(set)
    for (const { host, incarnation, generation } of reports) {
      const id = `${host} ${incarnation}`
      if (generation < (this.#lastGeneration.get(id) ?? 0)) this.#reverted.add(`${id}: ${this.#lastGeneration.get(id) ?? 0} to ${generation}`)
      this.#lastGeneration.set(id, generation)
    }
    return new Map(reports.map(report => [report.host, report.generation]))
  }

  /** Host incarnations that reported a lower generation than before. */
  get reverted (): readonly string[] {
    return [...this.#reverted]
  }
}
