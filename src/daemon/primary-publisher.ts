// Publishes the primaries that this host has determined as objects in the store. A
// store that is down for longer than one update may take must not leave an earlier
// primary published, so each database's latest view is written until that succeeds.

import { randomUUID } from 'node:crypto'
import type { DatabaseName, PrimaryView } from '../model/index.js'
import { sleep, type TimerService } from '../pipe/index.js'
import { StoreError, updateObject, type ObjectStore } from '../ports/index.js'
import { decodePrimary } from './decode.js'

/** Dependencies of the publisher. */
export type PublisherSpec = {
  readonly store: ObjectStore
  readonly timers: TimerService
  readonly random: () => number
  readonly onStoreFailure: () => void
  /** Called with an error that is not one of the store. */
  readonly onError: (error: Error) => void
}

const updateDeadlineMs = 5000
/** Mean pause before the next update after one that failed. */
const retryMs = 2000

/** Publishes primaries. */
export class PrimaryPublisher {
  readonly #spec: PublisherSpec
  readonly #pending = new Map<DatabaseName, PrimaryView>()

  /**
   * Starts without anything to publish.
   * @param spec - dependencies of the publisher
   */
  constructor (spec: PublisherSpec) {
    this.#spec = spec
  }

  /**
   * Publishes a view in place of an earlier one of the same database.
   * @param view - the view; one of an earlier term has no effect
   */
  publish (view: PrimaryView): void {
    const pending = this.#pending.get(view.database)
    if (pending !== undefined && pending.term > view.term) return
    this.#pending.set(view.database, view)
    if (pending === undefined) void this.#writePending(view.database).catch(this.#spec.onError)
  }

  async #writePending (database: DatabaseName): Promise<void> {
    const { timers, random } = this.#spec
    for (let view = this.#pending.get(database); view !== undefined; view = this.#pending.get(database)) {
      if (await this.#write(view)) {
        if (this.#pending.get(database) === view) this.#pending.delete(database)
      } else {
        this.#spec.onStoreFailure()
        await sleep(timers, retryMs * (0.5 + random()))
      }
    }
  }

  async #write (view: PrimaryView): Promise<boolean> {
    const { store, timers, random } = this.#spec
    try {
      await updateObject<PrimaryView>(store, { timers, random, newWriteId: randomUUID }, {
        kind: 'primary',
        name: view.database,
        decode: decodePrimary,
        change: current => current !== undefined && current.term >= view.term ? undefined : view,
        deadlineMs: updateDeadlineMs
      })
      return true
    } catch (error) {
      if (error instanceof StoreError) return false
      throw error
    }
  }
}
