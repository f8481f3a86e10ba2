// A platform store for the seats of a fleet in virtual time: one table with a
// version, and a host list that lags. Calls can fail, answers can be lost, and
// a write can take effect long after its caller gave it up.

import { initialPartitions, partitionsStep, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable } from '../../src/limits/index.js'
import type { ListedHost } from '../../src/members/index.js'
import type { HostName } from '../../src/model/index.js'
import type { Fleet } from './limit-fleet.js'

/** Faults of the store. */
export type StoreFaults = {
  readonly isDown: boolean
  /** Part of the answers that are lost. */
  readonly lostPart: number
  /** Part of the writes that take effect late. */
  readonly latePart: number
}

export type SeatStoreOptions = {
  readonly seats: number
  /** How long a host serves without any confirmation. */
  readonly confirmationMs: number
  /** Time after which a host that is down leaves the list. */
  readonly listLagMs: number
}

export type SeatStore = ReturnType<typeof seatStore>

const callMs = 5
const callTimeoutMs = 1000
const lateMs = 4000
const tickMs = 500

/** Starts the store and the seats task of each host. */
export function seatStore (fleet: Fleet, { seats, confirmationMs, listLagMs }: SeatStoreOptions) {
  let faults: StoreFaults = { isDown: false, lostPart: 0, latePart: 0 }
  let stored: { readonly version: number, readonly table: PartitionTable | undefined } = { version: 0, table: undefined }
  const states = new Map<HostName, PartitionsState>()
  const downSinceMs = new Map<HostName, number>()
  const cutOff = new Set<HostName>()

  function listed (): readonly ListedHost[] {
    return fleet.names
      .filter(host => fleet.now() - (downSinceMs.get(host) ?? fleet.now()) < listLagMs)
      .map((host, at) => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: at, state: 'live' }))
  }

  // Members that confirm during an outage go by the last list that came.
  let lastListed: readonly ListedHost[] = []

  function tell (host: HostName, event: (nowMs: number) => PartitionsEvent): void {
    fleet.whenRunning(host, () => {
      const { state, effects } = partitionsStep(states.get(host) as PartitionsState, event(fleet.clock(host)))
      states.set(host, state)
      for (const effect of effects) perform(host, effect)
    })
  }

  function perform (host: HostName, effect: PartitionsEffect): void {
    switch (effect.kind) {
      case 'seatsChanged': return fleet.tell(host, nowMs => ({ ...effect, nowMs }))
      case 'readTable': return call(host, () => {
        const { version, table } = stored
        return nowMs => ({ kind: 'tableRead', version, table, nowMs })
      }, nowMs => ({ kind: 'readFailed', nowMs }))
      case 'writeTable': return call(host, () => {
        if (stored.version === effect.version) stored = { version: effect.version + 1, table: effect.value }
        return nowMs => ({ kind: 'writeEnded', nowMs })
      }, nowMs => ({ kind: 'writeEnded', nowMs }))
    }
  }

  function call (host: HostName, run: () => (nowMs: number) => PartitionsEvent, failed: (nowMs: number) => PartitionsEvent): void {
    const incarnation = fleet.incarnationOf(host)
    const answer = (event: (nowMs: number) => PartitionsEvent): void => {
      if (fleet.incarnationOf(host) === incarnation) tell(host, event)
    }
    const startMs = fleet.now()
    if (faults.isDown || cutOff.has(host)) return fleet.at(startMs + callTimeoutMs, () => answer(failed))
    const isLate = fleet.random() < faults.latePart
    const isLost = isLate || fleet.random() < faults.lostPart
    fleet.at(startMs + (isLate ? lateMs * fleet.random() : callMs * fleet.random()), () => {
      const event = run()
      if (!isLost) fleet.at(fleet.now() + callMs * fleet.random(), () => answer(event))
    })
    if (isLost) fleet.at(startMs + callTimeoutMs, () => answer(failed))
  }

  function start (host: HostName): void {
    states.set(host, initialPartitions({ host, incarnation: fleet.incarnationOf(host) }))
    tell(host, nowMs => ({ kind: 'manifestApplied', partitionCount: seats, nowMs }))
  }

  function tick (): void {
    if (!faults.isDown) lastListed = listed()
    for (const host of fleet.names) {
      if (!fleet.isRunning(host)) continue
      const isReached = !faults.isDown && !cutOff.has(host)
      if (isReached) tell(host, nowMs => ({ kind: 'hostsListed', hosts: lastListed, nowMs }))
      const isListed = lastListed.some(other => other.host === host)
      if (isListed && !cutOff.has(host)) fleet.tell(host, nowMs => ({ kind: 'confirmationChanged', confirmedUntilMs: nowMs + confirmationMs, nowMs }))
      tell(host, nowMs => ({ kind: 'tick', nowMs }))
    }
    fleet.at(fleet.now() + tickMs, tick)
  }

  for (const host of fleet.names) start(host)
  tick()
  return {
    setFaults (changed: Partial<StoreFaults>): void { faults = { ...faults, ...changed } },
    /** Cuts a host off from the store and from who would confirm it. */
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
    stop (host: HostName): void { tell(host, nowMs => ({ kind: 'stopping', nowMs })) },
    stored: () => stored
  }
}
