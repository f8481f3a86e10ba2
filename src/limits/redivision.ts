// Division of the limits after a change of the manifest or of the layout.

import type { AccountName, Quota } from '../model/index.js'
import { advanced, newAccount, ownFraction, refreshed, type AccountLimit } from './account.js'
import { accountOf, noAccounts, withAccount, type Accounts } from './accounts.js'
import { isSameDivision } from './division.js'
import type { LimitsState } from './limits.js'
import { divisionOf } from './owners.js'
import { ownedFractions } from './ownership.js'
import { divisionChangeDelayMs } from './settings.js'

/** States before and after a change, and whether nothing was divided before. */
export type DivisionChange = {
  readonly before: LimitsState
  readonly after: LimitsState
  readonly isFirst: boolean
}

/**
 * Divides limits anew.
 * @param change - the change
 * @param limits - the limits by account
 * @param nowMs - the time
 * @returns the accounts with these limits
 */
export function redivided (change: DivisionChange, limits: ReadonlyMap<AccountName, Quota>, nowMs: number): Accounts {
  let accounts = noAccounts
  for (const [account, limit] of limits) accounts = withAccount(accounts, redividedAccount(change, account, limit, nowMs))
  return accounts
}

// After a change of the division some hosts still use the old one. Until the new
// division is in force on every host, each host uses at most the smaller of its
// two fractions.
function redividedAccount ({ before, after, isFirst }: DivisionChange, account: AccountName, limit: Quota, nowMs: number): AccountLimit {
  const known = accountOf(before.accounts, account)
  const fractions = ownedFractions(before.usableFromMs, account, divisionOf(after, limit))
  const current = known === undefined ? newAccount(account, limit, nowMs) : advanced(known, nowMs)
  const isSame = known !== undefined && isSameDivision(divisionOf(before, known.limit), divisionOf(after, limit))
  const ceiling = isFirst || isSame ? current.ceiling : { fraction: ownFraction(current, nowMs), untilMs: nowMs + divisionChangeDelayMs }
  return refreshed({ ...current, limit, ownedFractions: fractions, ceiling })
}
