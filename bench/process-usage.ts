// CPU time, memory and I/O of a process, and CPU time of the machine, from /proc.

import { readFileSync } from 'node:fs'

/** Length of a clock tick, in which Linux counts CPU time. */
const tickMs = 10
/** Indexes of utime and stime in the fields after the command's closing parenthesis. */
const userTicksAt = 11
const systemTicksAt = 12

/** Resources that a process has used. */
export type Usage = {
  readonly cpuMs: number
  readonly residentKb: number
  /** Bytes read and written, on sockets and files. */
  readonly ioBytes: number
}

/**
 * Reads the resources that a process has used since it started.
 * @param pid - process id
 * @returns CPU time, resident memory and I/O bytes
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

/** CPU time of the whole machine since it started. */
export type MachineUsage = {
  readonly busyTicks: number
  readonly allTicks: number
}

const idleAt = 3
const ioWaitAt = 4
/**
 * User, nice, system, idle, iowait, irq, softirq and steal; user time includes
 * guest time.
 */
const countedFields = 8

/**
 * Reads the CPU time of the machine.
 * @returns busy ticks and all ticks
 */
export function machineUsage (): MachineUsage {
  const [first = ''] = readFileSync('/proc/stat', 'utf8').split('\n')
  const ticks = first.trim().split(/\s+/).slice(1, 1 + countedFields).map(Number)
  const allTicks = ticks.reduce((sum, value) => sum + value, 0)
  return { allTicks, busyTicks: allTicks - (ticks[idleAt] ?? 0) - (ticks[ioWaitAt] ?? 0) }
}

/** CPU utilization of the machine between two readings, in percent. */
export function machinePercent (before: MachineUsage, after: MachineUsage): number {
  return 100 * (after.busyTicks - before.busyTicks) / (after.allTicks - before.allTicks)
}
