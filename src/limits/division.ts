// Division of limits into quota partitions, and of the partitions into tables. Above
// `maxPartitionsPerTable` partitions there are several tables, and each host belongs
// to one of them, which keeps conflicts rare and reads small.
//
// An account does not use all partitions but every stride-th, at least
// `minPartitionsPerAccount` if there are as many. With several tables, the stride
// also depends on the rate: an account with a high rate uses more partitions.

import { nameHash, type AccountName, type HostName } from '../model/index.js'

/** Maximum number of partitions in one table. */
const maxPartitionsPerTable = 256
/**
 * Minimum number of partitions of an account: its coordinator borrows from few
 * owners, and one of them may fail.
 */
const minPartitionsPerAccount = 8
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
 * @param division - rate of the account and number of partitions in the manifest
 * @returns the fraction of the limit that belongs to a partition; 0 for one that
 *   the account does not use
 */
export function partitionFractions (account: AccountName, { ratePerS, partitionCount }: Division): (partition: number) => number {
  if (partitionCount === 0) return () => 0
  const stride = partitionStride(ratePerS, partitionCount)
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
  return before.partitionCount === after.partitionCount && partitionStride(before.ratePerS, before.partitionCount) === partitionStride(after.ratePerS, after.partitionCount)
}

/** Values that determine how an account's limit is divided into partitions. */
export type Division = { readonly ratePerS: number, readonly partitionCount: number }

function partitionStride (ratePerS: number, partitionCount: number): number {
  const isOneTable = partitionCount <= maxPartitionsPerTable
  const minPartitions = isOneTable ? minPartitionsPerAccount : Math.max(minPartitionsPerAccount, Math.ceil(ratePerS / maxRatePerPartitionPerS))
  // A power of two, so that a change of the rate rarely changes the division.
  return 2 ** Math.max(0, Math.floor(Math.log2(partitionCount / minPartitions)))
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
  const stride = 2 ** Math.max(0, Math.floor(Math.log2(partitionCount / minPartitionsPerAccount)))
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
