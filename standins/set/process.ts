// Real processes of a local set: started, awaited, paused, resumed and ended by
// their process id.

import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { Address } from '../../src/model/index.js'

/** How long a process may take until it listens. */
const startTimeoutMs = 20_000
/** How long an ended process may take before it is killed. */
const stopTimeoutMs = 10_000
/** Lines of output that are kept. */
const maxOutputLines = 2000

/** How a process ended. */
export type Exit = {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process of a local set. */
export type StartedProcess = {
  readonly name: string
  readonly pid: number
  /** Where it listens; the first address that it printed. */
  readonly address: Address
  readonly output: () => readonly string[]
  /** Resolves when the process has ended. */
  readonly exited: Promise<Exit>
  readonly pause: () => void
  readonly resume: () => void
  readonly kill: () => Promise<Exit>
  /** Sends SIGTERM and waits for the end; kills it where that takes too long. */
  readonly stop: () => Promise<Exit>
}

/**
 * Path of a built program of this package.
 * @param name - path below `dist`
 * @returns the whole path
 */
export function builtProgram (name: string): string {
  return fileURLToPath(new URL(`../../${name}`, import.meta.url))
}

/**
 * Starts a program of this package and waits until it listens.
 * @param name - what to call the process
 * @param program - path below `dist`
 * @param args - its arguments
 * @returns the process
 */
export async function startProcess (name: string, program: string, args: readonly string[]): Promise<StartedProcess> {
  const child = spawn(process.execPath, [builtProgram(program), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const exited = once(child, 'exit').then(([code, signal]): Exit => ({ code: code as number | null, signal: signal as NodeJS.Signals | null }))
  const lines: string[] = []
  const keep = (line: string): void => {
    lines.push(line)
    if (lines.length > maxOutputLines) lines.shift()
  }
  createInterface(child.stderr).on('line', keep)
  const address = await listeningAddress(name, child, exited, keep, lines)
  return {
    name,
    pid: child.pid as number,
    address,
    output: () => [...lines],
    exited,
    pause: () => { child.kill('SIGSTOP') },
    resume: () => { child.kill('SIGCONT') },
    kill: async () => {
      child.kill('SIGKILL')
      return await exited
    },
    stop: async () => await stop(child, exited)
  }
}

async function listeningAddress (name: string, child: ChildProcess, exited: Promise<Exit>, keep: (line: string) => void, lines: readonly string[]): Promise<Address> {
  return await new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      child.kill('SIGKILL')
      reject(new Error(`${name} ${reason}:\n${lines.join('\n')}`))
    }
    const timer = setTimeout(() => { fail('did not listen in time') }, startTimeoutMs)
    void exited.then(() => { clearTimeout(timer); fail('ended before it listened') })
    if (child.stdout === null) return
    createInterface(child.stdout).on('line', line => {
      keep(line)
      const match = /^listening (\S+) (\d+)/.exec(line)
      if (match === null) return
      clearTimeout(timer)
      resolve({ ip: match[1] ?? '', port: Number(match[2]) })
    })
  })
}

async function stop (child: ChildProcess, exited: Promise<Exit>): Promise<Exit> {
  if (child.exitCode !== null || child.signalCode !== null) return await exited
  child.kill('SIGCONT')
  child.kill('SIGTERM')
  const timer = setTimeout(() => { child.kill('SIGKILL') }, stopTimeoutMs)
  const exit = await exited
  clearTimeout(timer)
  return exit
}
