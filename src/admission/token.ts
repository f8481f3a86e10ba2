// Which host takes the token of a statement. The token is taken once for all attempts
// of a statement: by the entry host, or by the dispatcher's host with the first attempt
// that reaches it. An attempt that was lost counts as if the dispatcher had taken the
// token, because it may have; a token that was taken is not returned.

import type { ExecuteReply, Outcome } from '../model/index.js'
import type { PeerSupport } from './peer-support.js'

/** Decision of a host's rate limiter about a statement. */
export type Admission =
  | { readonly kind: 'admitted' }
  /** No token was taken; the dispatcher is to take it. */
  | { readonly kind: 'delegated' }
  | { readonly kind: 'refused', readonly outcome: Outcome }

/** State of the token of one statement. */
export type TokenState =
  /** Taken, or the statement needs none. */
  | { readonly kind: 'taken' }
  /** Not taken; the dispatcher takes it if it can, otherwise the entry host does. */
  | { readonly kind: 'delegated' }

/** What the entry host does before it sends an attempt. */
export type TokenStep =
  /** `takesToken`: the field of the request. */
  | { readonly kind: 'send', readonly takesToken: boolean | undefined }
  /** Takes the token itself, then sends. */
  | { readonly kind: 'takeHere' }

/** Result of an attempt as far as the token is concerned. */
export type TokenAttempt =
  | { readonly kind: 'replied', readonly reply: Pick<ExecuteReply, 'outcome' | 'tookToken'> }
  | { readonly kind: 'unsent' }
  | { readonly kind: 'lost' }
  | { readonly kind: 'noRoute' }
  | { readonly kind: 'refused' }

/** The state of a statement that needs no further token. */
export const tokenTaken: TokenState = { kind: 'taken' }

/** The state of a statement whose token the dispatcher is to take. */
export const tokenDelegated: TokenState = { kind: 'delegated' }

/**
 * Decides what the entry host does about the token before it sends an attempt.
 * @param token - state of the token
 * @param support - whether the dispatcher takes tokens for entry hosts
 * @returns the step; `takesToken` is false where the reply is to show what the
 *   dispatcher supports
 */
export function tokenStep (token: TokenState, support: PeerSupport): TokenStep {
  switch (token.kind) {
    case 'taken': return { kind: 'send', takesToken: support === 'unknown' ? false : undefined }
    case 'delegated': return support === 'supported' ? { kind: 'send', takesToken: true } : { kind: 'takeHere' }
  }
}

/**
 * Computes the state of the token after an attempt.
 * @param token - the state before
 * @param attempt - the result of the attempt
 * @returns the state for the next attempt
 */
export function tokenAfter (token: TokenState, attempt: TokenAttempt): TokenState {
  if (token.kind === 'taken') return token
  switch (attempt.kind) {
    case 'lost': return tokenTaken
    case 'replied': return attempt.reply.tookToken === true ? tokenTaken : token
    case 'unsent':
    case 'noRoute':
    case 'refused': return token
  }
}

/** What the reply to an attempt with `takesToken` says about the token. */
export type TokenVerdict =
  | 'decided'
  /** The account is above its rate. */
  | 'overRate'
  /** The dispatcher's host has no confirmed configuration; the entry host has to take the token. */
  | 'cannotTake'
  /** The host does not know the field, because it runs an earlier version by now. */
  | 'notUnderstood'

/**
 * Classifies the result of an attempt that was sent with `takesToken`.
 * @param attempt - the result
 * @returns the verdict
 */
export function tokenVerdict (attempt: TokenAttempt): TokenVerdict {
  if (attempt.kind !== 'replied') return 'decided'
  const { outcome, tookToken } = attempt.reply
  if (tookToken === undefined) return 'notUnderstood'
  if (tookToken || outcome.kind !== 'notRun') return 'decided'
  if (outcome.reason === 'unconfirmedConfiguration') return 'cannotTake'
  return outcome.reason === 'rateExceeded' ? 'overRate' : 'decided'
}
