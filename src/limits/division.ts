// Division of limits into quota partitions, and of the partitions into tables. Above
// `maxPartitionsPerTable` partitions there are several tables, and each host belongs
// to one of them, which keeps conflicts rare and reads small.
//
// An account does not use all partitions but every stride-th, at least
// `minPartitionsPerAccount` if there are as many. With several tables, the stride
// also depends on the rate: an account with a high rate uses more partitions.
//
// In the concentrated layout an account with a low rate uses fewer. An eighth of its
// burst is less than one token, so nobody could admit a request before it has
// collected the quota of all owners. It applies once all listed hosts support it.

import type { Member } from '../members/index.js'
import { nameHash, type AccountName, type HostName, type PeerFeature } from '../model/index.js'

/** Maximum number of partitions in one table. */
const maxPartitionsPerTable = 256
/**
 * Minimum number of partitions of an account: its coordinator borrows from few
 * owners, and one of them may fail.
 */
const minPartitionsPerAccount = 8
/** The same in the concentrated layout: one of the owners may fail. */
const minConcentratedPartitions = 2
/** In the concentrated layout, an account uses fewer partitions if one would get less than this rate. */
const minRatePerPartitionPerS = 5
/** With several tables, an account uses more partitions if one would exceed this rate. */
const maxRatePerPartitionPerS = 50

/** Table and range of partitions that a host belongs to. */
export type PartitionRange = {
  /** Name of the object in the store. */
  readonly table: string
  readonly firstPartition: number
  /** Number of partitions in the table. */
  readonly size: number
  /** Hosts whose partitions are in this table. */
  readonly hosts: readonly HostName[]
}

/**
 * Finds the table and the range of partitions of a host.
 * @param host - the host
 * @param hosts - all live hosts of the platform's list
 * @param partitionCount - number of partitions in the manifest
 * @returns the range, with the hosts that it is distributed over
 */
export function partitionRange (host: HostName, hosts: readonly HostName[], partitionCount: number): PartitionRange {
  const tables = Math.ceil(partitionCount / maxPartitionsPerTable)
  if (tables <= 1) return { table: 'table', firstPartition: 0, size: partitionCount, hosts }
  const at = nameHash(host) % tables
  const firstPartition = Math.floor(partitionCount * at / tables)
  const size = Math.floor(partitionCount * (at + 1) / tables) - firstPartition
  return { table: `table-${at}`, firstPartition, size, hosts: hosts.filter(other => nameHash(other) % tables === at) }
}

/**
 * Computes how an account's limit is divided, once for all partitions.
 * @param account - the account
 * @param division - rate of the account, number of partitions in the manifest, and layout
 * @returns the fraction of the limit that belongs to a partition; 0 for one that
 *   the account does not use
 */
export function partitionFractions (account: AccountName, division: Division): (partition: number) => number {
  const { partitionCount } = division
  if (partitionCount === 0) return () => 0
  const stride = partitionStride(division)
  const offset = nameHash(account) % stride
  const fraction = 1 / Math.ceil((partitionCount - offset) / stride)
  return partition => partition < partitionCount && partition % stride === offset ? fraction : 0
}

/**
 * Checks whether two manifests divide an account's limit in the same way.
 * @param before - division by the first manifest
 * @param after - division by the second manifest
 * @returns true if every partition has the same fraction
 */
export function isSameDivision (before: Division, after: Division): boolean {
  return before.partitionCount === after.partitionCount && partitionStride(before) === partitionStride(after)
}

/** Values that determine how an account's limit is divided into partitions. */
export type Division = { readonly ratePerS: number, readonly partitionCount: number, readonly layout?: QuotaLayout }

/** Whether accounts with a low rate use fewer partitions; 'spread' where nothing is stated. */
export type QuotaLayout = 'spread' | 'concentrated'

/** Name of the concentrated layout among the features of a host. */
export const concentratedQuotaFeature: PeerFeature = 'concentratedQuota'

/**
 * Selects the layout that all hosts of a list use alike.
 * @param hosts - the listed hosts
 * @returns the concentrated layout where each host supports it
 */
export function layoutOf (hosts: readonly Member[]): QuotaLayout {
  return hosts.every(({ features }) => features?.includes(concentratedQuotaFeature) === true) ? 'concentrated' : 'spread'
}

/**
 * Checks whether an account has so few partitions that one owner can admit its requests.
 * @param division - the division
 * @returns true where the concentrated layout gives it fewer partitions
 */
export function isConcentrated (division: Division): boolean {
  return partitionStride(division) > partitionStride({ ...division, layout: 'spread' })
}

function partitionStride (division: Division): number {
  return strideFor(division.partitionCount, minPartitions(division))
}

// A power of two, so that a change of the rate rarely changes the division, and the
// partitions of a longer stride are among those of a shorter one.
function strideFor (partitionCount: number, partitions: number): number {
  return 2 ** Math.max(0, Math.floor(Math.log2(partitionCount / partitions)))
}

function minPartitions ({ ratePerS, partitionCount, layout }: Division): number {
  if (partitionCount > maxPartitionsPerTable) return Math.max(minPartitionsPerAccount, Math.ceil(ratePerS / maxRatePerPartitionPerS))
  switch (layout ?? 'spread') {
    case 'spread': return minPartitionsPerAccount
    case 'concentrated': return Math.min(minPartitionsPerAccount, Math.max(minConcentratedPartitions, ratePerS / minRatePerPartitionPerS))
  }
}

/**
 * Orders partitions so that the first ones belong to as many accounts as possible: a
 * host with at least as many partitions as the stride then owns one of each account.
 * @param partitions - the partitions
 * @param owned - partitions that the host has anyway
 * @param partitionCount - number of partitions of the table
 * @returns the partitions; those of accounts of which the host has fewer come first
 */
export function spreadOverAccounts (partitions: readonly number[], owned: readonly number[], partitionCount: number): readonly number[] {
  const stride = strideFor(partitionCount, minPartitionsPerAccount)
  const counts = Array.from({ length: stride }, (_, offset) => owned.filter(partition => partition % stride === offset).length)
  const ranked = partitions.map(partition => {
    const rank = counts[partition % stride] ?? 0
    counts[partition % stride] = rank + 1
    return { partition, rank }
  })
  return ranked.sort((a, b) => a.rank - b.rank).map(({ partition }) => partition)
}

/**
 * Selects the owner that an account's coordinator borrows from first.
 * @param account - the account
 * @param ownerCount - number of owners
 * @returns the index of the owner
 */
export function firstOwner (account: AccountName, ownerCount: number): number {
  return ownerCount === 0 ? 0 : nameHash(account) % ownerCount
}
