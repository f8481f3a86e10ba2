// Owners of quota: the live hosts from which an account's coordinator borrows.

import { capableMembers } from '../members/index.js'
import type { AccountName, HostName } from '../model/index.js'
import type { AccountLimit, QuotaOwner } from './account.js'
import { firstOwner, partitionFractions } from './division.js'
import type { LimitsState } from './limits.js'

type OwnerSources = Pick<LimitsState, 'self' | 'members' | 'partitionOwners' | 'partitionCount'>

/**
 * Lists the other hosts that own quota of an account.
 * @param state - owners of the partitions, and the live members
 * @param account - the account and its limit
 * @returns the owners; their order differs by account, so that no host is the first
 *   lender of all accounts
 */
export function quotaOwners (state: OwnerSources, { account, limit }: AccountLimit): readonly QuotaOwner[] {
  const fractions = new Map<HostName, number>()
  const fractionOf = partitionFractions(account, { ratePerS: limit.ratePerS, partitionCount: state.partitionCount })
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
