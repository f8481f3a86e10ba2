// Predicates on errors, for `assert.rejects`.

import { StoreError, type StoreFault } from '../../src/ports/index.js'

/** Checks that an error is a `StoreError` with a fault of the kind. */
export function isStoreFault (kind: StoreFault['kind']): (error: unknown) => boolean {
  return error => error instanceof StoreError && error.fault.kind === kind
}
