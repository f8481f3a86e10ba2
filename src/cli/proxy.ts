// `limpetmoor proxy`: runs the proxy daemon.

import { parseArgs } from 'node:util'
import { runProxy } from '../daemon/index.js'
import { mysqlPorts } from '../wire/index.js'
import { readSettings } from './files.js'
import { invalid, type CommandResult } from './result.js'

/**
 * Runs the proxy until it receives a stop signal.
 * @param args - arguments after the command's name
 * @returns the daemon's exit code, or all errors of its settings
 */
export async function runProxyCommand (args: readonly string[]): Promise<CommandResult> {
  const { values } = parseArgs({ args: [...args], options: { settings: { type: 'string' } } })
  if (values.settings === undefined) return invalid('proxy needs --settings FILE')
  const read = readSettings(values.settings)
  switch (read.kind) {
    case 'valid': return { kind: 'exited', exitCode: await runProxy(read.value, mysqlPorts(read.value)) }
    case 'invalid': return read
  }
}
