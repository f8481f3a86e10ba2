// A store of one object in virtual time that returns from copies: the version goes
// back with the value, is assigned again, and the era rises.

/** The stored object. */
export type StoredRecord<R> = { readonly record: R | undefined, readonly version: number, readonly era: number }

/** A store of one object with its copies. */
export type EraStore<R> = ReturnType<typeof eraStore<R>>

/** Creates an empty store. */
export function eraStore<R> () {
  let stored: StoredRecord<R> = { record: undefined, version: 0, era: 0 }
  let copies: ReadonlyArray<{ readonly atMs: number, readonly stored: StoredRecord<R> }> = [{ atMs: -Infinity, stored }]
  return {
    get: (): StoredRecord<R> => stored,
    /** Writes on condition of the version alone, as the store does; false on a conflict. */
    put (version: number, record: R, nowMs: number): boolean {
      if (version !== stored.version) return false
      stored = { ...stored, record, version: version + 1 }
      copies = [...copies, { atMs: nowMs, stored }]
      return true
    },
    restore (ageMs: number, nowMs: number): void {
      copies = copies.filter(({ atMs }) => atMs <= nowMs - ageMs)
      const copy = copies.at(-1)?.stored
      stored = { record: copy?.record, version: copy?.version ?? 0, era: stored.era + 1 }
    }
  }
}
