// The oracle of the fuzz tests: records acknowledged writes and promotions, and
// checks their invariants against the servers' logs, which no dispatcher sees.

import assert from 'node:assert/strict'
import type { Position } from '../../src/model/index.js'
import { holdsPosition } from '../../standins/database/log.js'
import type { Ledger } from '../../standins/database/ledger.js'

type Acknowledged = {
  readonly position: Position
  readonly atMs: number
}

type Promotion = {
  readonly server: string
  readonly ledger: Ledger
}

function nameOf (position: Position): string {
  return `(${position.term}, ${position.index})`
}

export class Oracle {
  readonly #acknowledged: Acknowledged[] = []
  readonly #promotions = new Map<number, Promotion>()
  /** Entries that a primary wrote after a majority had been fenced above its term. */
  readonly #writtenLate = new Set<string>()

  get acknowledged (): readonly Acknowledged[] {
    return this.#acknowledged
  }

  get promotions (): number {
    return this.#promotions.size
  }

  recordWrite (position: Position, fencedAbove: number, serverCount: number): void {
    if (fencedAbove * 2 > serverCount) this.#writtenLate.add(nameOf(position))
  }

  recordAcknowledged (position: Position, atMs: number): void {
    assert.ok(!this.#writtenLate.has(nameOf(position)), `${nameOf(position)} was written by a replaced primary and acknowledged`)
    this.#acknowledged.push({ position, atMs })
    for (const [term, { server, ledger }] of this.#promotions) {
      if (term > position.term) assert.ok(holdsPosition(ledger.log, position), `${server}, primary of term ${term}, lacks ${nameOf(position)}`)
    }
  }

  recordPromotion (term: number, ledger: Ledger): void {
    const before = this.#promotions.get(term)
    assert.ok(before === undefined || before.server === ledger.server, `term ${term} has two primaries`)
    if (before !== undefined) return
    this.#promotions.set(term, { server: ledger.server, ledger })
    for (const { position } of this.#acknowledged) {
      if (position.term < term) assert.ok(holdsPosition(ledger.log, position), `new primary of term ${term} lacks ${nameOf(position)}`)
    }
  }

  /** Checks that a read sees every write acknowledged before a time. */
  checkRead (what: string, ledger: Ledger, seesBeforeMs: number): void {
    for (const { position, atMs } of this.#acknowledged) {
      if (atMs >= seesBeforeMs) continue
      const isVisible = position.index <= ledger.applied.index && holdsPosition(ledger.log, position)
      assert.ok(isVisible, `${what} at ${ledger.server} misses ${nameOf(position)}, acknowledged at ${atMs}, must see up to ${seesBeforeMs}`)
    }
  }
}
