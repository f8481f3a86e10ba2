// The guard of the process: owns the ledger of connections and the bytes that sessions
// keep, performs its measures on the connections' owners, and sweeps the deadlines of
// all connections with one period. A report is a call and no message, because reading
// has to stop before the next piece arrives.

import { readFileSync } from 'node:fs'
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import type { RequestLimits } from '../config/index.js'
import { guardLimits, KeptBytes, Ledger, type CloseReason, type GrantedMemory, type GuardAction, type GuardTotals } from '../guard/index.js'
import type { TimerService } from '../pipe/index.js'
import type { ConnectionControls, ConnectionGuard } from '../ports/index.js'

/** Dependencies of the guard. */
export type GuardSpec = {
  readonly limits: RequestLimits
  readonly timers: TimerService
  /** Called for each connection that the guard has closed. */
  readonly onClosed: (reason: CloseReason) => void
}

/** The running guard. */
export type GuardTask = {
  readonly connections: ConnectionGuard
  readonly kept: KeptBytes
  /** Largest number of callers: the setting, or what the descriptors allow. */
  readonly maxCallers: number
  readonly totals: () => GuardTotals
}

const sweepMs = 1000
const mebibyte = 1024 * 1024
/** Descriptors where the system does not tell their limit. */
const defaultDescriptors = 1024

/**
 * Starts the guard.
 * @param spec - dependencies of the guard
 * @returns the running guard
 */
export function startGuard ({ limits: settings, timers, onClosed }: GuardSpec): GuardTask {
  const limits = guardLimits(grantedTo(settings), {
    maxConnections: settings.maxConnections,
    loginMs: settings.loginTimeoutMs,
    messageMs: settings.messageTimeoutMs,
    unreadMs: settings.unreadTimeoutMs
  })
  const ledger = new Ledger(limits)
  const owners = new Map<number, ConnectionControls>()
  const queue: GuardAction[] = []
  let isPerforming = false
  // A measure may lead to further reports, whose measures follow after it.
  const perform = (actions: readonly GuardAction[]): void => {
    queue.push(...actions)
    if (isPerforming) return
    isPerforming = true
    for (let action = queue.shift(); action !== undefined; action = queue.shift()) performOne(action)
    isPerforming = false
  }
  const performOne = (action: GuardAction): void => {
    const owner = owners.get(action.id)
    switch (action.kind) {
      case 'pause': return owner?.pause()
      case 'resume': return owner?.resume()
      case 'close': {
        owners.delete(action.id)
        owner?.close()
        return onClosed(action.reason)
      }
    }
  }
  timers.every(sweepMs, { send: () => { perform(ledger.sweep(timers.nowMs())); return 'accepted' } })
  return {
    kept: new KeptBytes(limits),
    maxCallers: limits.maxCallers,
    totals: () => ledger.totals(),
    connections: {
      open (kind, controls) {
        const { id, actions } = ledger.open(kind, timers.nowMs())
        perform(actions)
        if (id === undefined) return undefined
        owners.set(id, controls)
        return {
          report: use => {
            const measures = ledger.report(id, use, timers.nowMs())
            if (measures.length > 0) perform(measures)
          },
          enter: phase => { ledger.enter(id, phase, timers.nowMs()) },
          closed: () => {
            owners.delete(id)
            perform(ledger.close(id, timers.nowMs()))
          }
        }
      }
    }
  }
}

function grantedTo ({ memoryMb, maxDescriptors }: RequestLimits): GrantedMemory {
  return {
    memoryBytes: memoryMb === undefined ? machineBytes() : memoryMb * mebibyte,
    heapBytes: getHeapStatistics().heap_size_limit,
    descriptors: maxDescriptors ?? systemDescriptors()
  }
}

// The control group's limit, where it has one, else the memory of the machine.
function machineBytes (): number {
  const constrainedBytes = process.constrainedMemory()
  return constrainedBytes > 0 ? Math.min(constrainedBytes, totalmem()) : totalmem()
}

function systemDescriptors (): number {
  try {
    const match = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))
    return match === null ? defaultDescriptors : Number(match[1])
  } catch {
    return defaultDescriptors
  }
}
