// Samples the load of this host's processor and decides which new statements it refuses.
// Background work asks it how much less often to run.

import { backgroundFactor, emptyMix, hostLoadStep, initialHostLoad, isCheckDue, isShed, samplePeriodMs, withStatement, type HostLoadState } from '../load/index.js'
import type { HostLoad } from '../model/index.js'
import type { TimerService } from '../pipe/index.js'

/** What background work asks before it runs. */
export type BackgroundPace = {
  /** How much longer the periods of background work are now; at least 1. */
  readonly factor: () => number
}

/** Load of this host for the other components. */
export type HostLoadTask = BackgroundPace & {
  readonly load: () => HostLoad
  /** The latest state, for reports. */
  readonly state: () => HostLoadState
  /** Whether a new statement of the priority is refused; counts it. */
  readonly sheds: (priority: number) => boolean
  /** Statements that were refused since the start. */
  readonly shedCount: () => number
}

/** Dependencies of the task. */
export type HostLoadSpec = {
  readonly timers: TimerService
  readonly cpuShare: number
  readonly random: () => number
  /** Processor time of this process since its start. */
  readonly cpuMs: () => number
  readonly onChanged: (state: HostLoadState) => void
}

/**
 * Starts to sample.
 * @param spec - dependencies of the task
 * @returns the load of this host
 */
export function startHostLoad (spec: HostLoadSpec): HostLoadTask {
  const { timers, random, cpuMs } = spec
  let state = initialHostLoad({ cpuShare: spec.cpuShare }, { nowMs: timers.nowMs(), cpuMs: cpuMs() })
  let mix = emptyMix
  let shedCount = 0
  const sample = (kind: 'tick' | 'check', nowMs: number): void => {
    const before = state.load
    state = hostLoadStep(state, { kind, nowMs, cpuMs: cpuMs() })
    if (state.load !== before) spec.onChanged(state)
  }
  timers.every(samplePeriodMs, { send: ({ nowMs }) => { sample('tick', nowMs); return 'accepted' } })
  return {
    load: () => state.load,
    state: () => state,
    factor: () => backgroundFactor(state.load),
    shedCount: () => shedCount,
    sheds (priority) {
      const nowMs = timers.nowMs()
      if (isCheckDue(state, nowMs)) sample('check', nowMs)
      mix = withStatement(mix, priority, nowMs)
      if (state.shedFraction === 0) return false
      const isRefused = isShed(mix, priority, state.shedFraction, random())
      if (isRefused) shedCount += 1
      return isRefused
    }
  }
}
