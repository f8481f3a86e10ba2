// Eras of the store. A store that returns from a copy loses what was written after the
// copy was taken, and assigns the same revisions again. Its answers then carry a
// higher era. A revision or version is therefore only comparable within its era, and a
// conditional write is valid only in the era of the read that it is based on.
// A store without eras is always in era 0.

import { StoreError, type ObjectChanges, type ObjectStore, type StoredObject, type WriteResult } from './store.js'

/**
 * Highest era that is accepted: with a higher one, fencing tokens (leader/lease) would
 * no longer be exact numbers.
 */
export const maxEra = 90_000

/** Era of a store as its client knows it. */
export type EraState = {
  /** The highest era of all answers. */
  readonly era: number
  /** Number of answers whose era was ignored. */
  readonly ignored: number
}

/** The state before the first answer. */
export const initialEra: EraState = { era: 0, ignored: 0 }

/**
 * What an answer's era means. `current`: the answer is of the current era, also where
 * its own statement is ignored; `outdated`: it was requested before the era rose, and
 * may be of the earlier one.
 */
export type EraVerdict = 'current' | 'outdated'

/**
 * Takes the era of one answer into account.
 * @param state - the state
 * @param stated - the era as the answer states it, undefined where it states none
 * @param askedInEra - the client's era when the request was sent
 * @returns the next state, and whether the answer may be used
 */
export function recordEra (state: EraState, stated: string | undefined, askedInEra: number): { readonly state: EraState, readonly verdict: EraVerdict } {
  const era = stated === undefined ? 0 : parsedEra(stated)
  if (era !== undefined && era >= state.era) return { state: era === state.era ? state : { ...state, era }, verdict: 'current' }
  const verdict = askedInEra < state.era ? 'outdated' : 'current'
  // A late answer of the earlier era is expected after a restore and is no fault.
  const isFault = verdict === 'current' || era === undefined
  return { state: isFault ? { ...state, ignored: state.ignored + 1 } : state, verdict }
}

function parsedEra (stated: string): number | undefined {
  if (!/^\d{1,9}$/.test(stated)) return undefined
  const era = Number(stated)
  return era <= maxEra ? era : undefined
}

/**
 * Returns the highest era that a store's answers have shown.
 * @param store - the store
 * @returns the era, 0 for a store without eras
 */
export function currentEra (store: ObjectStore): number {
  return store.eras?.().era ?? 0
}

/** Result of reading one object; `object` is undefined where it does not exist. */
export type ObjectRead = {
  readonly object: StoredObject | undefined
  readonly era: number
}

/**
 * Reads an object together with the era of the answer.
 * @param store - the store
 * @param kind - kind of the object
 * @param name - name of the object
 * @returns the object; for a missing one the era from before the call, which may be
 *   lower than that of the answer and then makes a write based on it fail
 */
export async function readObject (store: ObjectStore, kind: string, name: string): Promise<ObjectRead> {
  const eraBefore = currentEra(store)
  const object = await store.getObject(kind, name)
  return { object, era: object?.era ?? eraBefore }
}

/** Version that a conditional write is based on, and the era in which it was read. */
export type VersionInEra = {
  readonly version: number
  readonly era: number
}

/**
 * Writes an object on condition of a version that was read in an era.
 * @param store - the store
 * @param kind - kind of the object
 * @param name - name of the object
 * @param base - the version and its era
 * @param value - the value
 * @returns the result; rejects with `eraChanged` where the store is in another era,
 *   after which the write may have taken effect there
 */
export async function putObjectInEra (store: ObjectStore, kind: string, name: string, base: VersionInEra, value: unknown): Promise<WriteResult> {
  checkEra(store, base.era, `PUT ${kind}/${name}`)
  const result = await store.putObject(kind, name, base.version, value)
  if ((result.era ?? 0) !== base.era) throw eraChanged(result.era ?? 0, `PUT ${kind}/${name}`)
  return result
}

/**
 * Waits for changes after a revision of an era.
 * @param store - the store
 * @param kind - kind of the objects
 * @param since - the revision and its era
 * @param waitMs - longest wait
 * @returns the changes; rejects with `historyExpired` where the store is in another era
 */
export async function watchInEra (store: ObjectStore, kind: string, since: { readonly revision: number, readonly era: number }, waitMs: number): Promise<ObjectChanges> {
  const expired = (): StoreError => new StoreError({ kind: 'historyExpired' }, undefined, `WATCH ${kind}`)
  if (currentEra(store) !== since.era) throw expired()
  const changes = await store.watch(kind, since.revision, waitMs)
  if ((changes.era ?? 0) !== since.era) throw expired()
  return changes
}

/**
 * The field that a written value carries so that readers see its era.
 * @param era - the era
 * @returns the field; none in era 0, so that values stay the same in a store without eras
 */
export function eraField (era: number): { readonly era?: number } {
  return era === 0 ? {} : { era }
}

function checkEra (store: ObjectStore, era: number, call: string): void {
  const current = currentEra(store)
  if (current !== era) throw eraChanged(current, call)
}

function eraChanged (era: number, call: string): StoreError {
  return new StoreError({ kind: 'eraChanged', era }, undefined, call)
}
