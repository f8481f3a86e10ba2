// Owners of quota: the live hosts from which an account's coordinator borrows.

import { capableMembers, quotaCoordinator } from '../members/index.js'
import type { AccountName, HostName, Quota } from '../model/index.js'
import type { AccountLimit, QuotaOwner } from './account.js'
import { firstOwner, isConcentrated, partitionFractions, type Division } from './division.js'
import type { LimitsState } from './limits.js'

type OwnerSources = Pick<LimitsState, 'self' | 'members' | 'partitionOwners' | 'partitionCount' | 'layout'>

/**
 * Returns how a limit is divided now.
 * @param state - number of partitions and layout
 * @param limit - the limit
 * @returns the division
 */
export function divisionOf ({ partitionCount, layout }: Pick<LimitsState, 'partitionCount' | 'layout'>, { ratePerS }: Quota): Division {
  return { ratePerS, partitionCount, layout }
}

/**
 * Selects the coordinator of an account. An account with few partitions has the owner
 * of its first one, which can lend without collecting quota from others.
 * @param state - owners of the partitions, and the live members
 * @param account - the account and its limit
 * @returns the coordinator; undefined if no member is live
 */
export function coordinatorOf (state: OwnerSources, { account, limit }: AccountLimit): HostName | undefined {
  const division = divisionOf(state, limit)
  const assigned = quotaCoordinator(account, state.members)
  if (!isConcentrated(division)) return assigned
  const fractionOf = partitionFractions(account, division)
  const partitions = [...state.partitionOwners.keys()].filter(partition => fractionOf(partition) > 0).sort((a, b) => a - b)
  const owners = partitions.flatMap(partition => state.partitionOwners.get(partition) ?? [])
  return owners.find(owner => state.members.some(({ host }) => host === owner)) ?? assigned
}

/**
 * Lists the other hosts that own quota of an account.
 * @param state - owners of the partitions, and the live members
 * @param account - the account and its limit
 * @returns the owners; their order differs by account, so that no host is the first
 *   lender of all accounts
 */
export function quotaOwners (state: OwnerSources, { account, limit }: AccountLimit): readonly QuotaOwner[] {
  const fractions = new Map<HostName, number>()
  const fractionOf = partitionFractions(account, divisionOf(state, limit))
  for (const [partition, host] of state.partitionOwners) {
    const fraction = fractionOf(partition)
    if (fraction > 0) fractions.set(host, (fractions.get(host) ?? 0) + fraction)
  }
  if (state.partitionOwners.size === 0) return rotated(assumedOwners(state), account)
  const owners = state.members.flatMap(({ host }) => {
    const fraction = host === state.self ? undefined : fractions.get(host)
    return fraction === undefined ? [] : [{ host, fraction }]
  })
  return rotated(owners, account)
}

// While the owners are unknown, each capable member may own the same fraction.
function assumedOwners (state: OwnerSources): readonly QuotaOwner[] {
  const capable = capableMembers(state.members)
  return capable.flatMap(({ host }) => host === state.self ? [] : [{ host, fraction: 1 / capable.length }])
}

function rotated (owners: readonly QuotaOwner[], account: AccountName): readonly QuotaOwner[] {
  const first = firstOwner(account, owners.length)
  return [...owners.slice(first), ...owners.slice(0, first)]
}
