// Delegation of admissions. A host that owns no partition of an account and has no
// token for it lets the dispatcher's host take the token instead of borrowing one, so
// a statement costs no call for quota. Delegated statements do not count as demand of
// this host, so it borrows no tokens ahead and returns the loans that it has.
//
// After the dispatcher has refused a statement, this host borrows as before for a
// while: otherwise each refused statement of an account above its rate would cost a
// call and work at the dispatcher.

import type { AccountName } from '../model/index.js'
import type { AccountLimit, WaitingRequest } from './account.js'
import { accountOf, withAccount } from './accounts.js'
import type { LimitsState } from './limits.js'
import { delegationPauseMs, hopAllowanceMs, maxWaitMs, minWaitMs } from './settings.js'

/** Who asks for a token, and what happens if there is none. */
export type AdmissionMode =
  /** A statement of this host's caller; another host may take the token. */
  | 'delegable'
  /** A statement of this host's caller; this host borrows. */
  | 'local'
  /** A statement that another host sent here with `takesToken`; this host borrows. */
  | 'delegated'

/**
 * Checks whether this host lets dispatchers take the tokens of an account.
 * @param state - the limits; while the owners of the partitions are unknown, it
 *   borrows as before
 * @param account - the account, with its sources
 * @param nowMs - the time
 * @returns true if it does
 */
export function delegates (state: Pick<LimitsState, 'self' | 'partitionOwners'>, account: AccountLimit, nowMs: number): boolean {
  return account.ownedFractions.length === 0 &&
    state.partitionOwners.size > 0 &&
    account.sources?.coordinator !== state.self &&
    nowMs >= account.delegatesFromMs
}

/**
 * Records that a dispatcher refused a statement of an account for its rate.
 * @param state - the limits
 * @param name - the account
 * @param nowMs - the time
 * @returns the limits; the host borrows for the account for a while
 */
export function delegationRefused (state: LimitsState, name: AccountName, nowMs: number): LimitsState {
  const account = accountOf(state.accounts, name)
  if (account === undefined) return state
  return { ...state, accounts: withAccount(state.accounts, { ...account, delegatesFromMs: nowMs + delegationPauseMs }) }
}

/**
 * Creates a request that waits for a token.
 * @param event - the request and its deadline
 * @returns the request with its waiting times; a delegated one has spent a hop, so it
 *   waits for less and is refused as soon as a local one
 */
export function waitingRequest ({ id, deadlineMs, mode, nowMs }: { readonly id: string, readonly deadlineMs: number, readonly mode: AdmissionMode, readonly nowMs: number }): WaitingRequest {
  const spentMs = mode === 'delegated' ? hopAllowanceMs : 0
  return {
    id,
    minWaitUntilMs: Math.min(deadlineMs, nowMs + minWaitMs - spentMs),
    maxWaitUntilMs: Math.min(deadlineMs, nowMs + maxWaitMs - spentMs)
  }
}
