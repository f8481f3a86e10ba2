#!/usr/bin/env node
// Entry point of the command line. Each command is a module of its own and
// returns a result; this module converts results to output and exit code.

import { readFileSync } from 'node:fs'
import { runApply } from './apply.js'
import { runCheck } from './check.js'
import { runEvacuate } from './evacuate.js'
import { commandHelp, commandNames, programHelp, type CommandName } from './help.js'
import { runKeys } from './keys.js'
import { runProxyCommand } from './proxy.js'
import { done, exitCodes, invalid, type CommandResult } from './result.js'
import { runStatus } from './status.js'

async function run (args: readonly string[]): Promise<CommandResult> {
  const [first, ...rest] = args
  if (first === '--version' || rest.includes('--version')) return done(version())
  if (first === '--help') return done(programHelp)
  const command = commandNames.find(name => name === first)
  if (command === undefined) {
    const found = first === undefined ? 'no command' : `unknown command ${JSON.stringify(first)}`
    return invalid(found, programHelp)
  }
  if (rest.includes('--help')) return done(commandHelp(command))
  try {
    return await runCommand(command, rest)
  } catch (error) {
    if (isUsageError(error)) return invalid(error.message, commandHelp(command))
    throw error
  }
}

async function runCommand (command: CommandName, args: readonly string[]): Promise<CommandResult> {
  switch (command) {
    case 'proxy': return await runProxyCommand(args)
    case 'check': return runCheck(args)
    case 'apply': return await runApply(args)
    case 'evacuate': return await runEvacuate(args)
    case 'status': return await runStatus(args)
    case 'keys': return runKeys(args)
  }
}

function isUsageError (error: unknown): error is Error {
  return error instanceof TypeError && String((error as NodeJS.ErrnoException).code).startsWith('ERR_PARSE_ARGS')
}

function version (): string {
  const text = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')
  return (JSON.parse(text) as { readonly version: string }).version
}

function writeResult (result: CommandResult): number {
  switch (result.kind) {
    case 'done': {
      process.stdout.write(result.output.join('\n') + '\n')
      return exitCodes.done
    }
    case 'failed':
    case 'invalid': {
      process.stderr.write(result.errors.join('\n') + '\n')
      return exitCodes[result.kind]
    }
    case 'exited': return result.exitCode
  }
}

process.exitCode = writeResult(await run(process.argv.slice(2)))
