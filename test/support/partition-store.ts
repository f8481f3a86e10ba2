// A simulated platform store for the quota partitions of a fleet in virtual time:
// one partition table with a version, and a host list with a lag. Calls can fail,
// answers can be lost, and a write can take effect long after its caller's
// timeout.

import { confirmedUntil, initialPartitions, partitionsStep, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable } from '../../src/limits/index.js'
import type { ListedHost } from '../../src/members/index.js'
import type { HostName } from '../../src/model/index.js'
import type { Fleet } from './limit-fleet.js'

/** Faults of the store. */
export type StoreFaults = {
  readonly isDown: boolean
  /** Fraction of the answers that are lost. */
  readonly lostFraction: number
  /** Fraction of the calls that take effect late and whose answers are lost. */
  readonly lateFraction: number
}

export type PartitionStoreOptions = {
  readonly partitionCount: number
  /** Time for which a confirmation of a host's configuration is valid. */
  readonly confirmationMs: number
  /** Time after which a host that is down is removed from the host list. */
  readonly listLagMs: number
}

export type PartitionStore = ReturnType<typeof partitionStore>

const callMs = 5
const callTimeoutMs = 1000
const lateMs = 4000
const tickMs = 500

/** Starts the store and the partitions task of each host. */
export function partitionStore (fleet: Fleet, { partitionCount, confirmationMs, listLagMs }: PartitionStoreOptions) {
  let faults: StoreFaults = { isDown: false, lostFraction: 0, lateFraction: 0 }
  let stored: { readonly version: number, readonly table: PartitionTable | undefined } = { version: 0, table: undefined }
  const states = new Map<HostName, PartitionsState>()
  const downSinceMs = new Map<HostName, number>()
  const cutOff = new Set<HostName>()

  function listed (): readonly ListedHost[] {
    return fleet.names
      .filter(host => fleet.now() - (downSinceMs.get(host) ?? fleet.now()) < listLagMs)
      .map((host, at) => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: at, capacityCores: fleet.capacityOf(host), state: 'live' }))
  }

  // Members that confirm a configuration during an outage use the last list received.
  let lastListed: readonly ListedHost[] = []

  function deliver (host: HostName, event: (nowMs: number) => PartitionsEvent): void {
    fleet.whenRunning(host, () => {
      const { state, effects } = partitionsStep(states.get(host) as PartitionsState, event(fleet.clock(host)))
      states.set(host, state)
      for (const effect of effects) perform(host, effect)
    })
  }

  function perform (host: HostName, effect: PartitionsEffect): void {
    switch (effect.kind) {
      case 'partitionsChanged': return fleet.deliver(host, nowMs => ({ ...effect, nowMs }))
      case 'readTable': return call(host, () => {
        const { version, table } = stored
        return nowMs => ({ kind: 'tableRead', version, table, nowMs })
      }, nowMs => ({ kind: 'readFailed', nowMs }))
      case 'writeTable': return call(host, () => {
        if (stored.version !== effect.version) return nowMs => ({ kind: 'writeEnded', nowMs })
        stored = { version: effect.version + 1, table: effect.value }
        const { version } = stored
        return nowMs => ({ kind: 'written', table: effect.value, version, sentMs: nowMs })
      }, nowMs => ({ kind: 'writeEnded', nowMs }))
    }
  }

  function call (host: HostName, run: () => (nowMs: number) => PartitionsEvent, failed: (nowMs: number) => PartitionsEvent): void {
    const incarnation = fleet.incarnationOf(host)
    const deliverAnswer = (event: (nowMs: number) => PartitionsEvent): void => {
      if (fleet.incarnationOf(host) === incarnation) deliver(host, event)
    }
    const startMs = fleet.now()
    if (faults.isDown || cutOff.has(host)) return fleet.at(startMs + callTimeoutMs, () => deliverAnswer(failed))
    const isLate = fleet.random() < faults.lateFraction
    const isLost = isLate || fleet.random() < faults.lostFraction
    fleet.at(startMs + (isLate ? lateMs * fleet.random() : callMs * fleet.random()), () => {
      const event = run()
      if (!isLost) fleet.at(fleet.now() + callMs * fleet.random(), () => deliverAnswer(event))
    })
    if (isLost) fleet.at(startMs + callTimeoutMs, () => deliverAnswer(failed))
  }

  function start (host: HostName): void {
    states.set(host, initialPartitions({ host, incarnation: fleet.incarnationOf(host) }))
    deliver(host, nowMs => ({ kind: 'manifestApplied', partitionCount, nowMs }))
  }

  function tick (): void {
    if (!faults.isDown) lastListed = listed()
    for (const host of fleet.names) {
      if (!fleet.isRunning(host)) continue
      const isReachable = !faults.isDown && !cutOff.has(host)
      if (isReachable) deliver(host, nowMs => ({ kind: 'hostsListed', hosts: lastListed, nowMs }))
      const isListed = lastListed.some(other => other.host === host)
      if (isListed && !cutOff.has(host)) fleet.deliver(host, nowMs => ({ kind: 'confirmationChanged', confirmation: confirmedUntil(nowMs + confirmationMs), nowMs }))
      deliver(host, nowMs => ({ kind: 'tick', nowMs }))
    }
    fleet.at(fleet.now() + tickMs, tick)
  }

  for (const host of fleet.names) start(host)
  tick()
  return {
    setFaults (changed: Partial<StoreFaults>): void { faults = { ...faults, ...changed } },
    /**
     * Disconnects a host from the store and from the members that would confirm
     * its configuration.
     */
    cutOff (host: HostName): void { cutOff.add(host); downSinceMs.set(host, fleet.now()) },
    reconnect (host: HostName): void { cutOff.delete(host); downSinceMs.delete(host) },
    kill (host: HostName): void { fleet.kill(host); downSinceMs.set(host, fleet.now()) },
    restart (host: HostName): void {
      fleet.restart(host)
      downSinceMs.delete(host)
      start(host)
    },
    pause (host: HostName): void { fleet.pause(host); downSinceMs.set(host, fleet.now()) },
    resume (host: HostName): void { fleet.resume(host); if (!cutOff.has(host)) downSinceMs.delete(host) },
    stop (host: HostName): void { deliver(host, nowMs => ({ kind: 'stopping', nowMs })) },
    stored: () => stored
  }
}
