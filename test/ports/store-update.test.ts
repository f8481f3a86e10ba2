import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { TimerService } from '../../src/pipe/index.js'
import { StoreError, updateObject, type ObjectStore, type StoredObject, type UpdateResult, type UpdateSpec } from '../../src/ports/index.js'

/** How the store handles one write. */
type WriteBehaviour = 'answered' | 'answerLost' | 'requestLost' | 'lostAndOverwritten' | 'late'

type Counter = { readonly count: number, readonly by: readonly string[] }

function decodeCounter (value: unknown): Counter {
  const { count, by } = value as Counter
  return { count, by }
}

/**
 * An in-memory store that handles its first writes as `behaviours` says and all
 * later ones normally.
 */
function fakeStore (behaviours: readonly WriteBehaviour[]) {
  let stored: StoredObject | undefined
  let late: (() => void) | undefined
  let writes = 0
  const store = (value: unknown): void => {
    stored = { kind: 'test', name: 'counter', version: (stored?.version ?? 0) + 1, value }
  }
  const overwrite = (): void => {
    const value = stored?.value as Counter & { readonly writeId: string, readonly earlierWriteIds: readonly string[] }
    store({ count: value.count + 1, by: [...value.by, 'other'], writeId: `other-${value.count}`, earlierWriteIds: [value.writeId, ...value.earlierWriteIds] })
  }
  const conditionally = (version: number, value: unknown): void => {
    if ((stored?.version ?? 0) !== version) throw new StoreError({ kind: 'conflict', version: stored?.version ?? 0 }, undefined, 'PUT')
    store(value)
  }
  const overdue = () => new StoreError({ kind: 'overdue', timeoutMs: 1 }, undefined, 'PUT')
  const client: Pick<ObjectStore, 'getObject' | 'putObject'> = {
    getObject: async () => stored,
    putObject: async (_kind, _name, version, value) => {
      const behaviour = behaviours[writes] ?? 'answered'
      writes += 1
      // A delayed write reaches the store before the next one.
      late?.()
      late = undefined
      switch (behaviour) {
        case 'answered': break
        case 'answerLost': conditionally(version, value); throw overdue()
        case 'requestLost': throw overdue()
        case 'lostAndOverwritten': conditionally(version, value); overwrite(); throw overdue()
        case 'late': late = () => { if ((stored?.version ?? 0) === version) store(value) }; throw overdue()
      }
      conditionally(version, value)
      return { version: stored?.version ?? 0, revision: 1 }
    }
  }
  return { client: client as ObjectStore, value: () => stored === undefined ? undefined : decodeCounter(stored.value) }
}

const tickAtOnce: TimerService['after'] = (_delayMs, port) => {
  port.send({ kind: 'tick', nowMs: 0 })
  return () => {}
}

const instantTimers: TimerService = { nowMs: () => 0, every: () => () => {}, after: tickAtOnce, about: tickAtOnce, atLeast: tickAtOnce, stop: () => {} }

function increment (by: string): UpdateSpec<Counter> {
  return {
    kind: 'test',
    name: 'counter',
    decode: decodeCounter,
    change: current => ({ count: (current?.count ?? 0) + 1, by: [...current?.by ?? [], by] }),
    deadlineMs: 1_000
  }
}

function sources () {
  let ids = 0
  return { timers: instantTimers, random: () => 0, newWriteId: () => `write-${ids++}` }
}

test('a change takes effect exactly once even if requests or responses are lost', async () => {
  const behaviour = fc.constantFrom<WriteBehaviour>('answered', 'answerLost', 'requestLost', 'lostAndOverwritten', 'late')
  await fc.assert(fc.asyncProperty(fc.array(behaviour, { maxLength: 6 }), async behaviours => {
    const store = fakeStore(behaviours)
    await updateObject(store.client, sources(), increment('own'))
    assert.equal(store.value()?.by.filter(name => name === 'own').length, 1)
  }), { seed: 20261, numRuns: 300 })
})

test('an overwritten attempt is reported with the value that superseded it', async () => {
  const store = fakeStore(['lostAndOverwritten'])
  const result = await updateObject(store.client, sources(), increment('own'))
  const expected: UpdateResult<Counter> = {
    kind: 'written',
    value: { count: 1, by: ['own'] },
    supersededBy: { count: 2, by: ['own', 'other'] }
  }
  assert.deepEqual(result, expected)
})

test('a change that returns undefined writes nothing', async () => {
  const store = fakeStore([])
  const result = await updateObject(store.client, sources(), { ...increment('own'), change: () => undefined })
  assert.deepEqual(result, { kind: 'unchanged', value: undefined })
  assert.equal(store.value(), undefined)
})
