// What the execution mode of a statement says of its transaction.

import type { ExecutionMode } from './peer.js'

/**
 * Checks whether a statement belongs to an open transaction, which only its dispatcher
 * can continue. Any other statement is new work.
 * @param mode - the execution mode
 * @returns false for BEGIN and outside transactions
 */
export function belongsToTransaction (mode: ExecutionMode): boolean {
  switch (mode.kind) {
    case 'inTransaction':
    case 'commit':
    case 'rollback': return true
    case 'read':
    case 'write':
    case 'begin': return false
  }
}

/**
 * Checks whether a statement ends a transaction.
 * @param mode - the execution mode
 * @returns true for COMMIT and ROLLBACK
 */
export function endsTransaction (mode: ExecutionMode): boolean {
  switch (mode.kind) {
    case 'commit':
    case 'rollback': return true
    case 'read':
    case 'write':
    case 'begin':
    case 'inTransaction': return false
  }
}
