// Context that is shared by all tasks of the daemon: settings, ports, timers,
// counts, random numbers, ids and the incarnation of the process.

import type { Settings } from '../config/index.js'
import type { TimerService } from '../pipe/index.js'
import type { ProxyPorts } from '../ports/index.js'
import type { Activity } from '../report/index.js'

/** Context that is shared by all tasks of the daemon. */
export type DaemonContext = {
  readonly settings: Settings
  readonly timers: TimerService
  readonly ports: ProxyPorts
  /** Counts of what this process does. */
  readonly activity: Activity
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
  /** Id that differs at each start of the process. */
  readonly incarnation: string
  /** Makes an id that no other call in this process or in another one returns. */
  readonly uniqueId: () => string
  /** Makes the handler of errors that a task survives. */
  readonly onTaskError: (task: string) => (error: Error) => void
}
