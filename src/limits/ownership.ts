// Use of the own partitions, which the limits of a host are made of: from when each
// may be used after a handover or a restart, and until when.

import type { AccountName, HostName } from '../model/index.js'
import type { Transition } from '../pipe/index.js'
import { advanced, lentExpiryMs, ownFraction, refreshed, withoutLender, type AccountLimit, type OwnedFraction } from './account.js'
import { allAccounts, withAccount } from './accounts.js'
import { partitionFractions, type Division } from './division.js'
import { divisionOf } from './owners.js'
import type { Confirmation, LimitsEffect, LimitsEvent, LimitsState } from './limits.js'
import { partitionHandoverMs } from './settings.js'

/**
 * Computes the fractions of an account's limit that own partitions give.
 * @param usableFromMs - the own partitions, with the time from which each may be used
 * @param account - the account
 * @param division - division of the account's limit
 * @returns the fractions by time
 */
export function ownedFractions (usableFromMs: ReadonlyMap<number, number>, account: AccountName, division: Division): readonly OwnedFraction[] {
  const byTime = new Map<number, number>()
  const fractionOf = partitionFractions(account, division)
  for (const [partition, fromMs] of usableFromMs) {
    const fraction = fractionOf(partition)
    if (fraction > 0) byTime.set(fromMs, (byTime.get(fromMs) ?? 0) + fraction)
  }
  return [...byTime].map(([fromMs, fraction]) => ({ fromMs, fraction }))
}

type PartitionChange = { readonly owned: readonly number[], readonly reacquired: ReadonlySet<number> }

/**
 * Applies the own partitions of a table.
 * @param state - the state
 * @param change - the own partitions, and which of them the previous process owned
 * @param owners - owners of all partitions of the table
 * @param nowMs - the time
 * @returns the new state
 */
export function partitionsChanged (state: LimitsState, { owned, reacquired }: PartitionChange, owners: ReadonlyMap<number, HostName>, nowMs: number): LimitsState {
  // Unchanged owners stay the same object, which the accounts' sources compare.
  const partitionOwners = isSameOwners(state.partitionOwners, owners) ? state.partitionOwners : owners
  const isSame = owned.length === state.usableFromMs.size && owned.every(partition => state.usableFromMs.has(partition))
  if (isSame) return { ...state, reacquired, partitionOwners }
  const handoverEndMs = (partition: number): number => reacquired.has(partition) && state.expiredMs === -Infinity
    ? Math.min(state.startedAtMs + partitionHandoverMs, state.loansClearMs)
    : nowMs + partitionHandoverMs
  const usableFromMs = new Map(owned.map(partition => [partition, state.usableFromMs.get(partition) ?? Math.max(nowMs, handoverEndMs(partition))]))
  return withUsablePartitions({ ...state, reacquired, partitionOwners }, usableFromMs, nowMs)
}

function isSameOwners (a: ReadonlyMap<number, HostName>, b: ReadonlyMap<number, HostName>): boolean {
  return a.size === b.size && [...a].every(([partition, host]) => b.get(partition) === host)
}

function withUsablePartitions (state: LimitsState, usableFromMs: ReadonlyMap<number, number>, nowMs: number): LimitsState {
  let { accounts } = state
  for (const account of allAccounts(state.accounts)) {
    const fractions = ownedFractions(usableFromMs, account.account, divisionOf(state, account.limit))
    const current = advanced(account, nowMs)
    const changed = refreshed({ ...current, ownedFractions: fractions })
    accounts = withAccount(accounts, withUnusedTokens(state, changed, ownFraction(current, nowMs), nowMs))
  }
  return { ...state, usableFromMs, accounts }
}

// The tokens of partitions that become usable at once accrued while nobody used them.
function withUnusedTokens (state: LimitsState, account: AccountLimit, fractionBefore: number, nowMs: number): AccountLimit {
  const added = ownFraction(account, nowMs) - fractionBefore
  if (added <= 0 || state.unusedFromMs >= nowMs) return account
  const tokens = Math.min(account.limit.capacity, account.limit.ratePerS * (nowMs - state.unusedFromMs) / 1000) * added
  return { ...account, level: Math.min(account.available.capacity, account.level + tokens) }
}

/**
 * Ends the handover delay of the previous process's partitions early.
 * @param state - the state
 * @param event - from when no host uses a loan of the previous process, or its partitions
 * @returns the new state
 */
export function loansCleared (state: LimitsState, { clearMs, unusedFromMs, nowMs }: Extract<LimitsEvent, { readonly kind: 'loansCleared' }>): LimitsState {
  if (state.expiredMs !== -Infinity) return state
  const fromMs = Math.max(nowMs, clearMs)
  const usableFromMs = new Map([...state.usableFromMs].map(([partition, usableMs]) => [partition, state.reacquired.has(partition) ? Math.min(usableMs, fromMs) : usableMs]))
  return withUsablePartitions({ ...state, loansClearMs: clearMs, unusedFromMs: Math.max(unusedFromMs, clearMs > nowMs ? clearMs : -Infinity) }, usableFromMs, nowMs)
}

/**
 * Gives up all loans of a lender. Loans that this host has made from them run until
 * they expire.
 * @param state - the state
 * @param callId - id of the call to answer
 * @param lender - the host whose previous process made the loans
 * @param nowMs - the time
 * @returns the new state and the answer
 */
export function resetLoans (state: LimitsState, callId: string, lender: HostName, nowMs: number): Transition<LimitsState, LimitsEffect> {
  let { accounts } = state
  let clearMs = nowMs
  let unusedFromMs = Math.max(state.startedAtMs, state.resetMs.get(lender) ?? -Infinity)
  for (const account of allAccounts(state.accounts)) {
    if (!account.lenders.has(lender)) continue
    const reset = withoutLender(advanced(account, nowMs), lender)
    clearMs = Math.max(clearMs, lentExpiryMs(reset, nowMs))
    unusedFromMs = nowMs
    accounts = withAccount(accounts, reset)
  }
  const resetMs = unusedFromMs === nowMs ? new Map(state.resetMs).set(lender, nowMs) : state.resetMs
  return { state: { ...state, accounts, resetMs }, effects: [{ kind: 'loansReset', callId, clearInMs: Math.ceil(clearMs - nowMs), unusedMs: Math.floor(nowMs - unusedFromMs) }] }
}

/**
 * Applies a confirmation; the own partitions are dropped where the contact has ended.
 * @param state - the state
 * @param confirmation - the confirmation
 * @param nowMs - the time
 * @returns the new state
 */
export function confirmationChanged (state: LimitsState, confirmation: Confirmation, nowMs: number): LimitsState {
  const isInContact = confirmation.contactUntilMs > nowMs
  const isLost = state.wasInContact && (nowMs >= state.confirmation.contactUntilMs || !isInContact)
  if (!isLost) return { ...state, confirmation, wasInContact: state.wasInContact || isInContact }
  const lost = { ...state, confirmation, wasInContact: isInContact, expiredMs: nowMs }
  return partitionsChanged(lost, { owned: [], reacquired: new Set() }, state.partitionOwners, nowMs)
}
