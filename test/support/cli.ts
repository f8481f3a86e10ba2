// Runs the program as operators do: a process of its own, with files.

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
 * Runs a command to its end.
 * @param args - its arguments
 * @param input - its standard input
 * @returns exit code and output
 */
export async function runCli (args: readonly string[], input = ''): Promise<CliRun> {
  const child = spawn(process.execPath, [builtProgram('src/cli/main.js'), ...args])
  child.stdin.on('error', () => {}).end(input)
  const ended = once(child, 'exit')
  const [out, err, [exitCode]] = await Promise.all([text(child.stdout), text(child.stderr), ended])
  return { exitCode: exitCode as number, out, err }
}

/**
 * Writes a file that is removed with the test.
 * @param t - the test
 * @param name - name of the file
 * @param content - text, or a value to be written as JSON
 * @returns its path
 */
export function fileOf (t: TestContext, name: string, content: unknown): string {
  const folder = mkdtempSync(join(tmpdir(), 'limpetmoor-cli-'))
  t.after(() => { rmSync(folder, { recursive: true, force: true }) })
  const path = join(folder, name)
  writeFileSync(path, typeof content === 'string' ? content : JSON.stringify(content))
  return path
}
