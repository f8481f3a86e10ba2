// Era task: owns what this host knows of the store's eras, tells the other tasks of a
// restore and of its end, and reports answers whose era was ignored.

import { eraDueAtMs, eraStep, initialEraKnowledge, type EraEffect, type EraEvent, type EraKnowledge } from '../era/index.js'
import type { HostName, MemberState } from '../model/index.js'
import { startTask } from '../pipe/index.js'
import { currentEra, type ObjectStore } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** Dependencies of the task. */
export type EraTaskSpec = {
  readonly context: DaemonContext
  readonly onEffect: (effect: EraEffect) => void
  /** Called with the number of answers whose era was ignored, at each power of two. */
  readonly onIgnored: (ignored: number) => void
}

/** The running task. */
export type EraTask = {
  /** Reads the store's era after an answer. */
  readonly checkStore: () => void
  /** The highest era that this host has heard of. */
  readonly heardEra: () => number
  readonly recordPeerState: (from: MemberState) => void
  readonly quorumChanged: (hosts: readonly HostName[]) => void
  readonly stop: () => Promise<void>
}

const mailboxCapacity = 1024

/**
 * Starts the task.
 * @param spec - dependencies of the task
 * @returns the running task
 */
export function startEras (spec: EraTaskSpec): EraTask {
  const { timers, settings, onTaskError, ports: { store } } = spec.context
  let heardEra = 0
  const task = startTask<EraKnowledge, EraEvent, EraEffect>({
    name: 'era',
    initial: initialEraKnowledge(settings.host.name, settings.control.confirmWithinMs),
    capacity: mailboxCapacity,
    onError: onTaskError('era'),
    schedule: { timers, dueAtMs: eraDueAtMs, tick: nowMs => ({ kind: 'tick', nowMs }) },
    step: eraStep,
    perform: effect => {
      if (effect.kind === 'heard') heardEra = effect.era
      spec.onEffect(effect)
    }
  })
  let era = 0
  let ignored = 0
  return {
    checkStore () {
      const shown = store.eras?.() ?? { era: 0, ignored: 0 }
      if (shown.era > era) task.port.send({ kind: 'storeAnswered', era: shown.era, nowMs: timers.nowMs() })
      era = shown.era
      if (shown.ignored > ignored && isPowerOfTwo(shown.ignored)) spec.onIgnored(shown.ignored)
      ignored = shown.ignored
    },
    heardEra: () => heardEra,
    recordPeerState (from) {
      if (from.era !== undefined) task.port.send({ kind: 'hostStated', host: from.host, era: from.era, nowMs: timers.nowMs() })
    },
    quorumChanged (hosts) { task.port.send({ kind: 'quorumChanged', hosts, nowMs: timers.nowMs() }) },
    stop: task.stop
  }
}

/**
 * Makes a store whose answers are observed.
 * @param store - the store
 * @param onAnswer - called after each call, also a failed one
 * @returns the observed store; the same one where it has no eras
 */
export function observedStore (store: ObjectStore, onAnswer: () => void): ObjectStore {
  if (store.eras === undefined) return store
  return {
    ...store,
    getObject: async (kind, name) => await store.getObject(kind, name).finally(onAnswer),
    listObjects: async kind => await store.listObjects(kind).finally(onAnswer),
    putObject: async (kind, name, version, value) => await store.putObject(kind, name, version, value).finally(onAnswer),
    deleteObject: async (kind, name, version) => { await store.deleteObject(kind, name, version).finally(onAnswer) },
    watch: async (kind, revision, waitMs) => await store.watch(kind, revision, waitMs).finally(onAnswer)
  }
}

/**
 * The era as the state of a host carries it.
 * @param store - the store
 * @returns the field; none in era 0
 */
export function statedEra (store: ObjectStore): Pick<MemberState, 'era'> {
  const era = currentEra(store)
  return era === 0 ? {} : { era }
}

function isPowerOfTwo (value: number): boolean {
  return Number.isInteger(Math.log2(value))
}
