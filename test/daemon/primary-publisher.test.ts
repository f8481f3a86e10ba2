import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PrimaryPublisher } from '../../src/daemon/primary-publisher.js'
import { StoreError, type ObjectStore } from '../../src/ports/index.js'
import { fakeTimers } from '../support/timers.js'

/** A store that fails until a time, and the primaries that were written to it. */
function storeDownUntil (upFromMs: number, nowMs: () => number): { readonly store: ObjectStore, readonly written: readonly unknown[] } {
  const written: unknown[] = []
  const check = (): void => {
    if (nowMs() < upFromMs) throw new StoreError({ kind: 'unreachable' }, undefined, 'GET /')
  }
  const store: Partial<ObjectStore> = {
    getObject: async () => { check(); return undefined },
    putObject: async (_kind, _name, _version, value) => {
      check()
      written.push(value)
      return { version: 1, revision: 1 }
    }
  }
  return { store: store as ObjectStore, written }
}

// Guards against an earlier primary that stays published: the store was down for longer
// than the time of one update.
test('a primary is published after a long outage of the store, the latest one only', async () => {
  const timers = fakeTimers()
  const { store, written } = storeDownUntil(20_000, timers.nowMs)
  let failures = 0
  const publisher = new PrimaryPublisher({ store, timers, random: () => 0.5, onStoreFailure: () => { failures += 1 }, onError: error => { throw error } })
  publisher.publish({ database: 'ledger', term: 2, primary: 'a' })
  for (let atMs = 50; atMs <= 30_000; atMs += 50) {
    if (atMs === 10_000) publisher.publish({ database: 'ledger', term: 3, primary: 'b' })
    timers.pass(atMs)
    await new Promise(resolve => { setImmediate(resolve) })
  }
  assert.deepEqual(written.map(value => (value as { readonly primary: string }).primary), ['b'])
  assert.ok(failures >= 2 && failures <= 10, `${failures} failures reported`)
})
