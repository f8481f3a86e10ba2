// Processor time and memory of a process, from /proc.

import { readFileSync } from 'node:fs'

/** Linux counts processor time in ticks of this length. */
const tickMs = 10
/** Places of utime and stime after the command's closing bracket. */
const userTicksAt = 11
const systemTicksAt = 12

/** What a process has used. */
export type Usage = {
  readonly cpuMs: number
  readonly residentKb: number
  /** Read and written, on sockets and files. */
  readonly ioBytes: number
}

/**
 * Reads what a process has used since it started.
 * @param pid - the process
 * @returns processor time, resident memory and bytes
 */
export function usageOf (pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[userTicksAt]) + Number(fields[systemTicksAt])
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const io = readFileSync(`/proc/${pid}/io`, 'utf8')
  return {
    cpuMs: ticks * tickMs,
    residentKb: numberAfter(status, /^VmRSS:\s+(\d+)/m),
    ioBytes: numberAfter(io, /^rchar: (\d+)/m) + numberAfter(io, /^wchar: (\d+)/m)
  }
}

function numberAfter (text: string, pattern: RegExp): number {
  return Number(pattern.exec(text)?.[1] ?? 0)
}

/** Processor time of the whole machine since it started. */
export type MachineUsage = {
  readonly busyTicks: number
  readonly allTicks: number
}

const idleAt = 3
const ioWaitAt = 4
/** User, nice, system, idle, iowait, irq, softirq, steal; guest time stands in user time already. */
const countedFields = 8

/**
 * Reads what the machine's processors have done.
 * @returns ticks in use and ticks in all
 */
export function machineUsage (): MachineUsage {
  const [first = ''] = readFileSync('/proc/stat', 'utf8').split('\n')
  const ticks = first.trim().split(/\s+/).slice(1, 1 + countedFields).map(Number)
  const allTicks = ticks.reduce((sum, value) => sum + value, 0)
  return { allTicks, busyTicks: allTicks - (ticks[idleAt] ?? 0) - (ticks[ioWaitAt] ?? 0) }
}

/** Part of the machine's processor time in use between two readings, in percent. */
export function machinePercent (before: MachineUsage, after: MachineUsage): number {
  return 100 * (after.busyTicks - before.busyTicks) / (after.allTicks - before.allTicks)
}
