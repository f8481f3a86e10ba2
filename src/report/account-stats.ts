// Statistics of each client account on this host: counts of statements, and a
// histogram of the time from a statement's arrival to its outcome.

import type { Histogram } from 'hdr-histogram-js'
// The entry module of the library also loads its compression and WebAssembly parts.
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import type { AccountName, AccountReport, LatencySummary, Outcome } from '../model/index.js'

const { default: Int32Histogram } = histogramModule

const minLatencyUs = 1
/** Upper end of a histogram's range, in microseconds; higher values are clamped. */
const maxLatencyUs = 600_000_000
const significantDigits = 2
const usPerMs = 1000

type AccountStats = {
  readonly histogram: Histogram
  readonly admitted: number
  readonly refusedByRate: number
}

/** Statistics of all client accounts on this host. */
export class AccountStatsTable {
  readonly #accounts = new Map<AccountName, AccountStats>()

  /**
   * Records one statement with any outcome. A statement refused by its rate limit
   * is counted as such and does not enter the histogram; all others, including
   * those that were not run, count as admitted.
   * @param account - the account that sent the statement
   * @param outcome - the statement's outcome
   * @param tookMs - time from the statement's arrival to its outcome
   */
  record (account: AccountName, outcome: Outcome, tookMs: number): void {
    const stats = this.#statsOf(account)
    if (outcome.kind === 'notRun' && outcome.reason === 'rateExceeded') {
      this.#accounts.set(account, { ...stats, refusedByRate: stats.refusedByRate + 1 })
      return
    }
    this.#accounts.set(account, { ...stats, admitted: stats.admitted + 1 })
    stats.histogram.recordValue(Math.min(maxLatencyUs, Math.max(minLatencyUs, Math.round(tookMs * usPerMs))))
  }

  /**
   * Summarizes all accounts.
   * @returns one report per account, sorted by name
   */
  reports (): readonly AccountReport[] {
    return [...this.#accounts]
      .sort(([a], [b]) => a < b ? -1 : 1)
      .map(([account, { admitted, refusedByRate, histogram }]) => ({ account, admitted, refusedByRate, latency: latencySummary(histogram) }))
  }

  #statsOf (account: AccountName): AccountStats {
    const existing = this.#accounts.get(account)
    if (existing !== undefined) return existing
    const histogram = new Int32Histogram(minLatencyUs, maxLatencyUs, significantDigits)
    return { histogram, admitted: 0, refusedByRate: 0 }
  }
}

function latencySummary (histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50) / usPerMs,
    p99Ms: histogram.getValueAtPercentile(99) / usPerMs,
    maxMs: histogram.maxValue / usPerMs
  }
}
