// The port of the platform's store: objects by kind and name, conditional
// updates and watches.

import VError from 'verror'

/** One object of the store. */
export type StoredObject = {
  readonly kind: string
  readonly name: string
  readonly version: number
  readonly value: unknown
}

/** Objects of a kind and the revision of the store that they stand for. */
export type ObjectList = {
  readonly revision: number
  readonly objects: readonly StoredObject[]
}

/** What changed in a kind after a revision. */
export type ObjectChanges = ObjectList & {
  /** Names of objects that were removed. */
  readonly removed: readonly string[]
}

/** Where a conditional write stands after its success. */
export type WriteResult = {
  readonly version: number
  readonly revision: number
}

/** Why a call of the store failed. */
export type StoreFault =
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'overdue', readonly timeoutMs: number }
  | { readonly kind: 'conflict', readonly version: number }
  /** The changes since the revision are no longer known. */
  | { readonly kind: 'historyGone' }
  | { readonly kind: 'refused', readonly status: number }
  | { readonly kind: 'malformed' }

/** An error of the store. `unreachable`, `overdue` and `malformed` leave open whether a write took effect. */
export class StoreError extends VError {
  /**
   * Makes the error.
   * @param fault - why the call failed
   * @param cause - the error from below, if any
   * @param call - method and path
   */
  constructor (readonly fault: StoreFault, cause: Error | undefined, call: string) {
    super({ name: 'StoreError', ...(cause === undefined ? {} : { cause }) }, '%s: %s', call, faultText(fault))
  }
}

/** Calls of the store; each rejects with a `StoreError` only. */
export type ObjectStore = {
  /** The object, or undefined where there is none. */
  readonly getObject: (kind: string, name: string) => Promise<StoredObject | undefined>
  readonly listObjects: (kind: string) => Promise<ObjectList>
  /** Writes where the object's version is as expected; 0 creates. Rejects with a `conflict` otherwise. */
  readonly putObject: (kind: string, name: string, version: number, value: unknown) => Promise<WriteResult>
  /** Removes the object where its version is as expected. */
  readonly deleteObject: (kind: string, name: string, version: number) => Promise<void>
  /** Waits up to `waitMs` for objects of the kind that changed after the revision. */
  readonly watch: (kind: string, sinceRevision: number, waitMs: number) => Promise<ObjectChanges>
  /** Gives up all connections. */
  readonly close: () => void
}

function faultText (fault: StoreFault): string {
  switch (fault.kind) {
    case 'unreachable': return 'the platform is not reachable'
    case 'overdue': return `no answer within ${fault.timeoutMs} ms`
    case 'conflict': return `the object is at version ${fault.version}`
    case 'historyGone': return 'the changes since then are no longer known'
    case 'refused': return `status ${fault.status}`
    case 'malformed': return 'the answer is not of the agreed form'
  }
}
