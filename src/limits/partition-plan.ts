// Plan of a host's quota partitions: which it acquires, releases and reclaims, given the
// table and its view of the fleet. The state machine that carries plans out is in
// partitions.ts.

import type { HostName } from '../model/index.js'
import { spreadOverAccounts } from './division.js'

/** Owner of a quota partition. */
export type PartitionOwner = {
  readonly host: HostName
  readonly incarnation: string
}

/** Partition table as kept in the store; null marks an unowned partition. */
export type PartitionTable = {
  /** Owner of each partition; `seats` is the name of the stored field. */
  readonly seats: ReadonlyArray<PartitionOwner | null>
  /** Era of the table; undefined: 0. */
  readonly era?: number | undefined
  /** Whether a host has found the era settled. */
  readonly isSettled?: boolean | undefined
}

/** Partitions that a host keeps above its even count. */
const keptAboveEven = 2

/** Input of a plan besides the table. */
export type PartitionView = {
  readonly self: PartitionOwner
  /** Hosts that the partitions are distributed over; without the local host while it stops. */
  readonly sharingHosts: readonly HostName[]
  /** Whether a host's partitions are to be reclaimed. */
  readonly isRemoved: (host: HostName) => boolean
}

/** Changes of a table, by partition index within the table. */
export type PartitionPlan = {
  /** Own partitions above the even count and `keptAboveEven`. */
  readonly release: readonly number[]
  /**
   * Partitions to acquire: unowned ones, those of removed hosts, and those of
   * an earlier incarnation of this host.
   */
  readonly acquire: readonly number[]
  /** Partitions of removed hosts that become unowned. */
  readonly reclaim: readonly number[]
}

/**
 * Plans a host's changes of its table.
 * @param table - the table
 * @param view - the host's view of the fleet
 * @returns the changes; all empty if none is needed
 */
export function planPartitions (table: PartitionTable, view: PartitionView): PartitionPlan {
  const { self } = view
  const all = table.seats.map((owner, partition) => ({ owner, partition }))
  const inSpreadOrder = (some: typeof all, known: typeof all): typeof all => {
    const order = spreadOverAccounts(some.map(({ partition }) => partition), known.map(({ partition }) => partition), all.length)
    return order.flatMap(partition => all[partition] ?? [])
  }
  const owned = inSpreadOrder(all.filter(({ owner }) => owner?.host === self.host), [])
  const ofRemovedHosts = all.filter(({ owner }) => owner !== null && owner.host !== self.host && view.isRemoved(owner.host))
  const dueCount = evenCount(self.host, view.sharingHosts, table.seats.length)
  const kept = owned.slice(0, view.sharingHosts.includes(self.host) ? dueCount + keptAboveEven : 0)
  const ofEarlierIncarnation = kept.filter(({ owner }) => owner?.incarnation !== self.incarnation)
  const unowned = inSpreadOrder(all.filter(({ owner }) => owner === null), kept).concat(inSpreadOrder(ofRemovedHosts, kept))
  const acquired = unowned.slice(0, Math.max(0, dueCount - kept.length))
  return {
    release: owned.slice(kept.length).map(({ partition }) => partition),
    acquire: [...ofEarlierIncarnation, ...acquired].map(({ partition }) => partition),
    reclaim: ofRemovedHosts.filter(({ partition }) => !acquired.some(other => other.partition === partition)).map(({ partition }) => partition)
  }
}

function evenCount (host: HostName, sharingHosts: readonly HostName[], partitionCount: number): number {
  const rank = [...sharingHosts].sort().indexOf(host)
  if (rank < 0) return 0
  return Math.floor(partitionCount / sharingHosts.length) + (rank < partitionCount % sharingHosts.length ? 1 : 0)
}

/**
 * Applies a plan to a table.
 * @param table - the table
 * @param plan - the changes
 * @param self - the owner of the acquired partitions
 * @returns the changed table
 */
export function applyPlan (table: PartitionTable, plan: PartitionPlan, self: PartitionOwner): PartitionTable {
  const unowned = new Set([...plan.release, ...plan.reclaim])
  const acquired = new Set(plan.acquire)
  return {
    seats: table.seats.map((owner, partition) => {
      if (acquired.has(partition)) return self
      return unowned.has(partition) ? null : owner
    })
  }
}
