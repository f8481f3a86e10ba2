// Processes of a local set: start them, wait for them, pause, resume and stop them
// by process id.

import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import type { Address } from '../../src/model/index.js'

/** Maximum time until a started process listens. */
const startTimeoutMs = 20_000
/** Time from SIGTERM until a process that still runs is killed. */
const stopTimeoutMs = 10_000
/** Maximum number of output lines that are kept. */
const maxOutputLines = 2000

/** Exit status of a process. */
export type Exit = {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process of a local set. */
export type StartedProcess = {
  readonly name: string
  readonly pid: number
  /** Listen address: the first one that the process printed. */
  readonly address: Address
  readonly output: () => readonly string[]
  /** Resolves when the process has exited. */
  readonly exited: Promise<Exit>
  readonly pause: () => void
  readonly resume: () => void
  readonly kill: () => Promise<Exit>
  /** Sends SIGTERM, waits for the exit, and kills the process after a timeout. */
  readonly stop: () => Promise<Exit>
}

/**
 * Returns the path of a built program of this package.
 * @param name - path below `dist`
 * @returns the absolute path
 */
export function builtProgram (name: string): string {
  return fileURLToPath(new URL(`../../${name}`, import.meta.url))
}

/**
 * Starts a program of this package and waits until it listens.
 * @param name - name of the process in messages
 * @param program - path below `dist`
 * @param args - its arguments
 * @param runtimeFlags - flags of the runtime
 * @returns the process
 */
export async function startProcess (name: string, program: string, args: readonly string[], runtimeFlags: readonly string[] = []): Promise<StartedProcess> {
  const child = spawn(process.execPath, [...runtimeFlags, builtProgram(program), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const exited = once(child, 'exit').then(([code, signal]): Exit => ({ code: code as number | null, signal: signal as NodeJS.Signals | null }))
  const lines: string[] = []
  const record = (line: string): void => {
    lines.push(line)
    if (lines.length > maxOutputLines) lines.shift()
  }
  createInterface(child.stderr).on('line', record)
  const address = await listeningAddress(name, child, exited, record, lines)
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

async function listeningAddress (name: string, child: ChildProcess, exited: Promise<Exit>, record: (line: string) => void, lines: readonly string[]): Promise<Address> {
  return await new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      child.kill('SIGKILL')
      reject(new Error(`${name} ${reason}:\n${lines.join('\n')}`))
    }
    const timer = setTimeout(() => { fail('did not listen before the timeout') }, startTimeoutMs)
    void exited.then(() => { clearTimeout(timer); fail('exited before it listened') })
    if (child.stdout === null) return
    createInterface(child.stdout).on('line', line => {
      record(line)
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
