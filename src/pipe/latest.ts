// The latest of a row of read-only values. The task that owns a state
// publishes snapshots of it; other tasks read the latest one. Nobody can
// change a snapshot, so a reader sees one whole state, perhaps an older one.

/** The reading side. */
export type Snapshot<T> = {
  /** The value that was published last. */
  readonly get: () => T
}

/** The publishing side, kept by the task that owns the state. */
export class Latest<T> implements Snapshot<T> {
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
