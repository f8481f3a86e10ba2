// What each client account got on this host: counts and a histogram of the
// time from a statement's arrival to its answer.

import { build, type Histogram } from 'hdr-histogram-js'
import type { AccountName, AccountReport, LatencySummary, Outcome } from '../model/index.js'

/** Highest latency that a histogram tells apart, in microseconds. */
const highestUs = 600_000_000
const significantDigits = 2
const usPerMs = 1000

type AccountFigures = {
  readonly histogram: Histogram
  readonly admitted: number
  readonly refusedByRate: number
}

/** Figures of all client accounts on this host. */
export class AccountFigureTable {
  readonly #accounts = new Map<AccountName, AccountFigures>()

  /**
   * Notes one answered statement.
   * @param account - whose it was
   * @param outcome - what became of it
   * @param tookMs - time from its arrival to its answer
   */
  note (account: AccountName, outcome: Outcome, tookMs: number): void {
    const figures = this.#figures(account)
    if (outcome.kind === 'notRun' && outcome.reason === 'rateExceeded') {
      this.#accounts.set(account, { ...figures, refusedByRate: figures.refusedByRate + 1 })
      return
    }
    this.#accounts.set(account, { ...figures, admitted: figures.admitted + 1 })
    figures.histogram.recordValue(Math.min(highestUs, Math.max(1, Math.round(tookMs * usPerMs))))
  }

  /**
   * Sums up all accounts.
   * @returns one report an account, by name
   */
  reports (): readonly AccountReport[] {
    return [...this.#accounts]
      .sort(([a], [b]) => a < b ? -1 : 1)
      .map(([account, { admitted, refusedByRate, histogram }]) => ({ account, admitted, refusedByRate, latency: summaryOf(histogram) }))
  }

  #figures (account: AccountName): AccountFigures {
    const known = this.#accounts.get(account)
    if (known !== undefined) return known
    const histogram = build({ highestTrackableValue: highestUs, numberOfSignificantValueDigits: significantDigits })
    return { histogram, admitted: 0, refusedByRate: 0 }
  }
}

function summaryOf (histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50) / usPerMs,
    p99Ms: histogram.getValueAtPercentile(99) / usPerMs,
    maxMs: histogram.maxValue / usPerMs
  }
}
