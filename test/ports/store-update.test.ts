import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { TimerService } from '../../src/pipe/index.js'
import { StoreError, updateObject, type ObjectStore, type StoredObject, type UpdateResult, type UpdateSpec } from '../../src/ports/index.js'

/** What the store does with one write. */
type WriteFate = 'answered' | 'answerLost' | 'requestLost' | 'lostAndOvertaken' | 'late'

type Counter = { readonly count: number, readonly by: readonly string[] }

function decodeCounter (value: unknown): Counter {
  const { count, by } = value as Counter
  return { count, by }
}

/** A store in memory that treats its writes as told, and then answers all. */
function fakeStore (fates: readonly WriteFate[]) {
  let stored: StoredObject | undefined
  let late: (() => void) | undefined
  let writes = 0
  const store = (value: unknown): void => {
    stored = { kind: 'test', name: 'counter', version: (stored?.version ?? 0) + 1, value }
  }
  const overtake = (): void => {
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
      const fate = fates[writes] ?? 'answered'
      writes += 1
      // A write that was under way reaches the store before the next one.
      late?.()
      late = undefined
      switch (fate) {
        case 'answered': break
        case 'answerLost': conditionally(version, value); throw overdue()
        case 'requestLost': throw overdue()
        case 'lostAndOvertaken': conditionally(version, value); overtake(); throw overdue()
        case 'late': late = () => { if ((stored?.version ?? 0) === version) store(value) }; throw overdue()
      }
      conditionally(version, value)
      return { version: stored?.version ?? 0, revision: 1 }
    }
  }
  return { client: client as ObjectStore, value: () => stored === undefined ? undefined : decodeCounter(stored.value) }
}

const instantTimers: TimerService = {
  nowMs: () => 0,
  every: () => () => {},
  after: (_delayMs, port) => { port.send({ kind: 'tick', nowMs: 0 }); return () => {} },
  stop: () => {}
}

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

test('a change takes effect exactly once, whatever becomes of the answers', async () => {
  const fate = fc.constantFrom<WriteFate>('answered', 'answerLost', 'requestLost', 'lostAndOvertaken', 'late')
  await fc.assert(fc.asyncProperty(fc.array(fate, { maxLength: 6 }), async fates => {
    const store = fakeStore(fates)
    await updateObject(store.client, sources(), increment('own'))
    assert.equal(store.value()?.by.filter(name => name === 'own').length, 1)
  }), { seed: 20261, numRuns: 300 })
})

test('an attempt that was overwritten is reported with what came after it', async () => {
  const store = fakeStore(['lostAndOvertaken'])
  const result = await updateObject(store.client, sources(), increment('own'))
  const expected: UpdateResult<Counter> = {
    kind: 'written',
    value: { count: 1, by: ['own'] },
    supersededBy: { count: 2, by: ['own', 'other'] }
  }
  assert.deepEqual(result, expected)
})

test('a change that gives nothing writes nothing', async () => {
  const store = fakeStore([])
  const result = await updateObject(store.client, sources(), { ...increment('own'), change: () => undefined })
  assert.deepEqual(result, { kind: 'unchanged', value: undefined })
  assert.equal(store.value(), undefined)
})
