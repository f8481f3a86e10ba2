// Snapshots. The task that owns a state publishes immutable snapshots of it;
// other tasks read the latest one. A reader therefore sees a consistent state,
// which may be stale.

/** Read access to the latest published value. */
export type Snapshot<T> = {
  /** Returns the latest value. */
  readonly get: () => T
}

/** Publishes snapshots; held by the task that owns the state. */
export class SnapshotPublisher<T> implements Snapshot<T> {
  #value: T

  /**
   * Creates a publisher.
   * @param initial - the first snapshot
   */
  constructor (initial: T) {
    this.#value = initial
  }

  /**
   * Returns the latest value.
   * @returns the value
   */
  get (): T {
    return this.#value
  }

  /**
   * Publishes a value as the latest one.
   * @param value - the value; must not be changed afterwards
   */
  publish (value: T): void {
    this.#value = value
  }
}

/**
 * Derives a view of a snapshot. The view is computed lazily, at most once for
 * each value.
 * @param source - the snapshot
 * @param view - computes the view of a value
 * @returns a snapshot of the view
 */
export function derivedSnapshot<T extends object, V> (source: Snapshot<T>, view: (value: T) => V): Snapshot<V> {
  let cached: { readonly value: T, readonly view: V } | undefined
  return {
    get () {
      const value = source.get()
      if (cached?.value !== value) cached = { value, view: view(value) }
      return cached.view
    }
  }
}
