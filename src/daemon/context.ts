// What every task of the daemon is given: settings, time, chance and a name
// for this run of the process.

import type { Settings } from '../config/index.js'
import type { TimerService } from '../pipe/index.js'
import type { ProxyPorts } from '../ports/index.js'

/** What every task of the daemon is given. */
export type DaemonContext = {
  readonly settings: Settings
  readonly timers: TimerService
  readonly ports: ProxyPorts
  /** From 0 up to, not including, 1. */
  readonly random: () => number
  /** Differs at each start of the process. */
  readonly incarnation: string
  /** Told of an error that a task outlived. */
  readonly onTaskError: (task: string) => (error: Error) => void
}
