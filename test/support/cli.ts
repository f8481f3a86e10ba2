// Runs the command-line program in a process of its own, as an operator would.

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { text } from 'node:stream/consumers'
import type { TestContext } from 'node:test'
import { builtProgram } from '../../standins/set/process.js'

export type CliRun = {
  readonly exitCode: number
  readonly out: string
  readonly err: string
}

/**
 * Runs a command and waits until its process exits.
 * @param args - command-line arguments
 * @param input - text for standard input
 * @returns exit code, standard output and standard error
 */
export async function runCli (args: readonly string[], input = ''): Promise<CliRun> {
  const child = spawn(process.execPath, [builtProgram('src/cli/main.js'), ...args])
  child.stdin.on('error', () => {}).end(input)
  const ended = once(child, 'exit')
  const [out, err, [exitCode]] = await Promise.all([text(child.stdout), text(child.stderr), ended])
  return { exitCode: exitCode as number, out, err }
}

/**
 * Writes a temporary file, which is removed when the test ends.
 * @param t - the test
 * @param name - file name
 * @param content - text, or a value that is written as JSON
 * @returns path of the file
 */
export function writeTempFile (t: TestContext, name: string, content: unknown): string {
  const folder = mkdtempSync(join(tmpdir(), 'limpetmoor-cli-'))
  t.after(() => { rmSync(folder, { recursive: true, force: true }) })
  const path = join(folder, name)
  writeFileSync(path, typeof content === 'string' ? content : JSON.stringify(content))
  return path
}
