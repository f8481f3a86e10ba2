// The latest of a row of read-only values. The task that owns a state
// publishes snapshots of it; other tasks read the latest one. Nobody can
// change a snapshot, so a reader sees one whole state, perhaps an older one.

/** The reading side. */
export type Snapshot<T> = {
  /** The value that was published last. */
  readonly get: () => T
}

/** The publishing side, kept by the task that owns the state. */
export class SnapshotPublisher<T> implements Snapshot<T> {
  #value: T

  /**
   * Begins with a value.
   * @param initial - the first value
   */
  constructor (initial: T) {
    this.#value = initial
  }

  /**
   * The value that was published last.
   * @returns the value
   */
  get (): T {
    return this.#value
  }

  /**
   * Publishes the next value.
   * @param value - the value
   */
  publish (value: T): void {
    this.#value = value
  }
}

/**
 * Makes a view of a snapshot that is worked out only when somebody asks, and
 * once for each value.
 * @param source - the snapshot
 * @param view - makes the view of a value
 * @returns the snapshot of the view
 */
export function derivedSnapshot<T extends object, V> (source: Snapshot<T>, view: (value: T) => V): Snapshot<V> {
  let known: { readonly value: T, readonly view: V } | undefined
  return {
    get () {
      const value = source.get()
      if (known?.value !== value) known = { value, view: view(value) }
      return known.view
    }
  }
}
