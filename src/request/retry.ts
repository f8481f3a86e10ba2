// Decides what follows one attempt to run a statement: the answer to the
// caller, or another attempt. A statement is sent again only where it surely
// did not run, or where it is a read that may run twice.

import { notRun, unknownOutcome, type ExecuteReply, type NotRunReason, type Outcome } from '../model/index.js'

/** What became of one attempt. */
export type AttemptResult =
  | { readonly kind: 'replied', readonly reply: ExecuteReply }
  /** The home was never reached. */
  | { readonly kind: 'unsent' }
  /** The home may have taken the statement; no answer came. */
  | { readonly kind: 'lost' }
  /** No home of any server is known. */
  | { readonly kind: 'noRoute', readonly missing: 'primary' }

/** What follows an attempt. */
export type RetryDecision =
  | { readonly kind: 'answer', readonly outcome: Outcome }
  | { readonly kind: 'again', readonly avoidServer: boolean, readonly mayHaveRun: boolean, readonly reason: NotRunReason }

/** Whether a statement may be sent again after it may have run. */
export type Repeatable = 'yes' | 'no'

/**
 * Decides what follows an attempt.
 * @param attempt - what became of it
 * @param repeatable - whether the statement may run twice
 * @returns the verdict; the caller of this function minds the deadline
 */
export function decideRetry (attempt: AttemptResult, repeatable: Repeatable): RetryDecision {
  switch (attempt.kind) {
    case 'noRoute': return { kind: 'again', avoidServer: false, mayHaveRun: false, reason: 'noPrimary' }
    case 'unsent': return { kind: 'again', avoidServer: true, mayHaveRun: false, reason: 'noServer' }
    case 'lost': return afterLoss(unknownOutcome('connectionLost', 'the connection was lost while the statement ran'), repeatable)
    case 'replied': return judgeOutcome(attempt.reply.outcome, repeatable)
  }
}

function judgeOutcome (outcome: Outcome, repeatable: Repeatable): RetryDecision {
  switch (outcome.kind) {
    case 'answered':
    case 'refused':
    case 'failed': return { kind: 'answer', outcome }
    case 'unknown': return afterLoss(outcome, repeatable)
    case 'notRun': return judgeNotRun(outcome)
  }
}

function afterLoss (outcome: Outcome, repeatable: Repeatable): RetryDecision {
  if (repeatable === 'no') return { kind: 'answer', outcome }
  return { kind: 'again', avoidServer: true, mayHaveRun: true, reason: 'noServer' }
}

function judgeNotRun (outcome: Extract<Outcome, { readonly kind: 'notRun' }>): RetryDecision {
  switch (outcome.reason) {
    case 'wrongHome':
    case 'noPrimary': return { kind: 'again', avoidServer: false, mayHaveRun: false, reason: outcome.reason }
    case 'noServer':
    case 'stopping':
    case 'serverBusy':
    case 'behind': return { kind: 'again', avoidServer: true, mayHaveRun: false, reason: outcome.reason }
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
    case 'deadlinePassed':
    case 'unconfirmedConfiguration':
    case 'leaving':
    case 'transactionFailed':
    case 'preparedUnknown':
    case 'transactionLost': return { kind: 'answer', outcome }
  }
}

/**
 * The answer where the deadline ends the attempts.
 * @param reason - why the last attempt did not run
 * @param mayHaveRun - whether an earlier attempt was lost after it was sent
 * @returns the outcome
 */
export function deadlineOutcome (reason: NotRunReason, mayHaveRun: boolean): Outcome {
  if (mayHaveRun) return unknownOutcome('answerOverdue', 'the deadline passed and an earlier attempt was lost')
  return notRun(reason, 'the deadline passed before a server could take the statement')
}
