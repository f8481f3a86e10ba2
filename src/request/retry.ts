// Decides what follows one attempt to run a statement: the answer to the caller
// or a retry. A statement is retried only if it is certain that it did not run,
// or if it may run twice.

import { notRun, unknownOutcome, type ExecuteReply, type NotRunReason, type Outcome } from '../model/index.js'
import type { Route } from './route.js'

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: 'replied', readonly reply: ExecuteReply }
  /** The dispatcher was not reached. */
  | { readonly kind: 'unsent' }
  /** The dispatcher may have received the statement, but no answer came. */
  | { readonly kind: 'lost' }
  /** No token was available on this host; nothing was sent. */
  | { readonly kind: 'refused', readonly outcome: Outcome }
  /** See `none` of `Route`. */
  | { readonly kind: 'noRoute', readonly missing: Extract<Route, { readonly kind: 'none' }>['missing'] }

/** Decision after an attempt. */
export type RetryDecision =
  | { readonly kind: 'answer', readonly outcome: Outcome }
  | { readonly kind: 'retry', readonly avoidServer: boolean, readonly mayHaveRun: boolean, readonly reason: NotRunReason }

/** Whether a statement that may have run may be retried. */
export type Repeatable = 'yes' | 'no'

/**
 * Decides whether to answer or to retry after an attempt.
 * @param attempt - the result of the attempt
 * @param repeatable - whether the statement may run twice
 * @returns the decision; the caller of this function checks the deadline
 */
export function decideRetry (attempt: AttemptResult, repeatable: Repeatable): RetryDecision {
  switch (attempt.kind) {
    case 'noRoute': return decideWithoutRoute(attempt.missing)
    case 'refused': return { kind: 'answer', outcome: attempt.outcome }
    case 'unsent': return { kind: 'retry', avoidServer: true, mayHaveRun: false, reason: 'noServer' }
    case 'lost': return decideAfterLoss(unknownOutcome('connectionLost', 'the connection was lost while the statement ran'), repeatable)
    case 'replied': return decideAfterOutcome(attempt.reply.outcome, repeatable)
  }
}

// Where all servers leave and their drain time is over, waiting does not help.
function decideWithoutRoute (missing: Extract<AttemptResult, { readonly kind: 'noRoute' }>['missing']): RetryDecision {
  switch (missing) {
    case 'primary': return { kind: 'retry', avoidServer: false, mayHaveRun: false, reason: 'noPrimary' }
    case 'openServer': return { kind: 'answer', outcome: notRun('noServer', 'all servers of the database leave and get no new statements') }
  }
}

function decideAfterOutcome (outcome: Outcome, repeatable: Repeatable): RetryDecision {
  switch (outcome.kind) {
    case 'answered':
    case 'refused':
    case 'failed': return { kind: 'answer', outcome }
    case 'unknown': return decideAfterLoss(outcome, repeatable)
    case 'notRun': return decideAfterNotRun(outcome)
  }
}

function decideAfterLoss (outcome: Outcome, repeatable: Repeatable): RetryDecision {
  if (repeatable === 'no') return { kind: 'answer', outcome }
  return { kind: 'retry', avoidServer: true, mayHaveRun: true, reason: 'noServer' }
}

function decideAfterNotRun (outcome: Extract<Outcome, { readonly kind: 'notRun' }>): RetryDecision {
  switch (outcome.reason) {
    case 'wrongHome':
    case 'noPrimary': return { kind: 'retry', avoidServer: false, mayHaveRun: false, reason: outcome.reason }
    case 'noServer':
    case 'stopping':
    case 'serverBusy':
    case 'behind': return { kind: 'retry', avoidServer: true, mayHaveRun: false, reason: outcome.reason }
    case 'badKey':
    case 'keyWithdrawn':
    case 'routeUnknown':
    case 'routeForbidden':
    case 'hintMalformed':
    case 'statementTooLong':
    case 'statementHoldsKey':
    case 'unsupported':
    case 'rateExceeded':
    case 'queueFull':
    case 'overloaded':
    case 'deadlinePassed':
    case 'unconfirmedConfiguration':
    case 'leaving':
    case 'transactionFailed':
    case 'preparedUnknown':
    case 'transactionLost': return { kind: 'answer', outcome }
  }
}

/**
 * Reasons of one server that tell nothing of the others: another server that may run
 * the statement is tried without delay.
 */
const serverReasons: ReadonlySet<NotRunReason> = new Set(['behind', 'serverBusy', 'noServer'])

/**
 * Decides whether the next attempt is made without delay.
 * @param reason - why the last attempt did not run
 * @param attempts - number of attempts so far
 * @param servers - number of servers that may run the statement
 * @returns true while servers are left that were not tried; any other failure needs
 *   time to recover
 */
export function triesNextAtOnce (reason: NotRunReason, attempts: number, servers: number): boolean {
  return serverReasons.has(reason) && attempts < servers
}

/**
 * Creates the outcome of a statement for which no further attempt is made.
 * @param reason - why the last attempt did not run
 * @param mayHaveRun - whether an earlier attempt was lost after it was sent
 * @param cause - why there is no further attempt; the deadline by default
 * @returns an unknown outcome if an attempt may have run, otherwise not run
 */
export function deadlineOutcome (reason: NotRunReason, mayHaveRun: boolean, cause = 'the deadline passed'): Outcome {
  if (mayHaveRun) return unknownOutcome('answerOverdue', `${cause} and an earlier attempt was lost`)
  return notRun(reason, `${cause} before a server accepted the statement`)
}
