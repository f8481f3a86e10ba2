// Conditional updates of objects in the store. A response can be lost after the
// write has taken effect. Every attempt therefore stores a unique write id in
// the value, and a later read shows which attempt took effect.

import * as z from 'zod'
import { sleep, type TimerService } from '../pipe/index.js'
import { eraField, putObjectInEra, readObject } from './store-era.js'
import { StoreError, type ObjectStore, type StoredObject } from './store.js'

/** Specification of an update. */
export type UpdateSpec<V extends object> = {
  readonly kind: string
  readonly name: string
  /** Decodes a stored value; throws where its format is invalid. */
  readonly decode: (value: unknown) => V
  /**
   * Returns the next value, or undefined to leave the object unchanged. Must be
   * pure, because retries call it again.
   */
  readonly change: (current: V | undefined) => V | undefined
  readonly deadlineMs: number
}

/** Time, random numbers and ids for updates, injected by the caller. */
export type UpdateSources = {
  readonly timers: TimerService
  /** Returns a number in [0, 1). */
  readonly random: () => number
  /** Returns an id that is unique to an attempt. */
  readonly newWriteId: () => string
}

/**
 * Result of an update. `supersededBy`: a later value that has already
 * overwritten the written one.
 */
export type UpdateResult<V> =
  | { readonly kind: 'written', readonly value: V, readonly supersededBy: V | undefined }
  | { readonly kind: 'unchanged', readonly value: V | undefined }

/**
 * Number of earlier write ids that an object keeps, so that an attempt is
 * recognised after another write has overwritten it.
 */
const maxEarlierWriteIds = 16
const firstDelayMs = 50
const maxDelayMs = 1_000

const envelopeSchema = z.object({ writeId: z.string(), earlierWriteIds: z.array(z.string()) })

/**
 * Reads an object, changes it and writes it back, on condition that it has not
 * changed in between, nor the store's era. Failed attempts are retried with a randomised exponential
 * back-off until the deadline.
 * @param client - the store
 * @param sources - time, random numbers and ids
 * @param spec - the object and its change
 * @returns the result; rejects with a `StoreError` after the deadline, in which
 *   case the last attempt may still take effect
 */
export async function updateObject<V extends object> (client: ObjectStore, sources: UpdateSources, spec: UpdateSpec<V>): Promise<UpdateResult<V>> {
  const deadlineAtMs = sources.timers.nowMs() + spec.deadlineMs
  let attempts: Attempts<V> = new Map()
  for (let failures = 0; ; failures += 1) {
    const outcome = await attempt(client, sources, spec, attempts)
    if (outcome.kind === 'completed') return outcome.result
    attempts = outcome.attempts
    const delayMs = sources.random() * Math.min(maxDelayMs, firstDelayMs * 2 ** failures)
    if (sources.timers.nowMs() + delayMs >= deadlineAtMs) throw outcome.error
    await sleep(sources.timers, delayMs)
  }
}

// Written values by the write id of their attempt.
type Attempts<V> = ReadonlyMap<string, V>

type AttemptResult<V> =
  | { readonly kind: 'completed', readonly result: UpdateResult<V> }
  | { readonly kind: 'failed', readonly error: StoreError, readonly attempts: Attempts<V> }

async function attempt<V extends object> (
  client: ObjectStore,
  sources: UpdateSources,
  spec: UpdateSpec<V>,
  earlier: Attempts<V>
): Promise<AttemptResult<V>> {
  const read = await callStore(readObject(client, spec.kind, spec.name))
  if (read.kind === 'failed') return { kind: 'failed', error: read.error, attempts: earlier }
  const { object: stored, era } = read.value
  const current = stored === undefined ? undefined : spec.decode(stored.value)
  const ids = writeIds(stored)
  const effectiveId = ids.find(id => earlier.has(id))
  if (effectiveId !== undefined) return completed(earlier.get(effectiveId) as V, effectiveId === ids[0] ? undefined : current)
  const value = spec.change(current)
  if (value === undefined) return { kind: 'completed', result: { kind: 'unchanged', value: current } }
  const writeId = sources.newWriteId()
  const envelope = { ...value, writeId, earlierWriteIds: ids.slice(0, maxEarlierWriteIds), ...eraField(era) }
  const written = await callStore(putObjectInEra(client, spec.kind, spec.name, { version: stored?.version ?? 0, era }, envelope))
  if (written.kind === 'succeeded') return completed(value, undefined)
  return { kind: 'failed', error: written.error, attempts: new Map([...earlier, [writeId, value]]) }
}

type CallResult<T> =
  | { readonly kind: 'succeeded', readonly value: T }
  | { readonly kind: 'failed', readonly error: StoreError }

async function callStore<T> (call: Promise<T>): Promise<CallResult<T>> {
  try {
    return { kind: 'succeeded', value: await call }
  } catch (error) {
    if (error instanceof StoreError) return { kind: 'failed', error }
    throw error
  }
}

function completed<V> (value: V, supersededBy: V | undefined): AttemptResult<V> {
  return { kind: 'completed', result: { kind: 'written', value, supersededBy } }
}

function writeIds (stored: StoredObject | undefined): readonly string[] {
  const envelope = envelopeSchema.safeParse(stored?.value)
  return envelope.success ? [envelope.data.writeId, ...envelope.data.earlierWriteIds] : []
}
