// What the result of an attempt tells of the server, for routing.

import type { ExecuteRequest, Outcome } from '../model/index.js'
import type { AttemptResult } from './retry.js'

/** What an attempt tells of its server. */
export type ServerFeedback =
  | { readonly kind: 'served' }
  /** The server had no room for the statement before its deadline. */
  | { readonly kind: 'noRoom' }
  /** The server failed, refused the statement as busy, or its answer did not come. */
  | { readonly kind: 'failed' }
  /** Nothing: the statement did not get as far as the server for another reason. */
  | { readonly kind: 'none' }

/**
 * Derives what an attempt tells of its server.
 * @param attempt - result of the attempt
 * @returns the feedback
 */
export function feedbackOf (attempt: AttemptResult): ServerFeedback {
  switch (attempt.kind) {
    case 'replied': return feedbackOfOutcome(attempt.reply.outcome)
    case 'lost': return { kind: 'failed' }
    // Membership finds out about a host that is not reached, and another host
    // becomes the dispatcher.
    case 'unsent':
    case 'refused':
    case 'noRoute': return { kind: 'none' }
  }
}

/**
 * Checks whether the time of the reply tells of the wait at the server: only that of
 * reads outside transactions, since others wait for locks or for a majority too.
 * @param request - the statement
 * @returns true for a read outside a transaction
 */
export function isTimed (request: ExecuteRequest): boolean {
  return request.mode.kind === 'read'
}

function feedbackOfOutcome (outcome: Outcome): ServerFeedback {
  switch (outcome.kind) {
    case 'answered':
    case 'refused': return { kind: 'served' }
    case 'failed': return { kind: 'failed' }
    // Without a majority no server of the database confirms a write.
    case 'unknown': return { kind: outcome.reason === 'notConfirmed' ? 'none' : 'failed' }
    case 'notRun': return feedbackOfRefusal(outcome.reason)
  }
}

function feedbackOfRefusal (reason: Extract<Outcome, { readonly kind: 'notRun' }>['reason']): ServerFeedback {
  switch (reason) {
    case 'serverBusy':
    case 'noServer': return { kind: 'failed' }
    case 'queueFull':
    case 'deadlinePassed': return { kind: 'noRoom' }
    case 'behind':
    case 'wrongHome':
    case 'noPrimary':
    case 'stopping':
    case 'badKey':
    case 'keyWithdrawn':
    case 'routeUnknown':
    case 'routeForbidden':
    case 'hintMalformed':
    case 'statementTooLong':
    case 'statementHoldsKey':
    case 'unsupported':
    case 'rateExceeded':
    case 'overloaded':
    case 'unconfirmedConfiguration':
    case 'leaving':
    case 'transactionFailed':
    case 'preparedUnknown':
    case 'transactionLost': return { kind: 'none' }
  }
}
