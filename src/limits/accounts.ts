// All accounts on one host: an immutable map. It is divided into small groups,
// so that a change copies one group instead of thousands of accounts.

import type { AccountName } from '../model/index.js'
import type { AccountLimit } from './account.js'

const groupCount = 64

/** The accounts, grouped by a hash of their names. */
export type Accounts = ReadonlyArray<ReadonlyMap<AccountName, AccountLimit>>

/** The empty map of accounts. */
export const noAccounts: Accounts = Array.from({ length: groupCount }, () => new Map())

function groupOf (account: AccountName): number {
  let hash = 0
  for (let at = 0; at < account.length; at += 1) hash = (Math.imul(hash, 31) + account.charCodeAt(at)) | 0
  return (hash >>> 0) % groupCount
}

/**
 * Finds an account.
 * @param accounts - the accounts
 * @param account - the name to find
 * @returns the account; undefined if it is unknown
 */
export function accountOf (accounts: Accounts, account: AccountName): AccountLimit | undefined {
  return accounts[groupOf(account)]?.get(account)
}

/**
 * Adds an account or replaces its previous state.
 * @param accounts - the accounts
 * @param state - the account
 * @returns the updated accounts
 */
export function withAccount (accounts: Accounts, state: AccountLimit): Accounts {
  const at = groupOf(state.account)
  return accounts.with(at, new Map(accounts[at]).set(state.account, state))
}

/**
 * Lists all accounts.
 * @param accounts - the accounts
 * @returns the states of all accounts
 */
export function allAccounts (accounts: Accounts): readonly AccountLimit[] {
  return accounts.flatMap(group => [...group.values()])
}
