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
