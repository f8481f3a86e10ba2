#!/usr/bin/env node
// The command line. Each command stands in a module of its own.

import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { parseSettings } from '../config/index.js'
import { runProxy } from '../daemon/index.js'

const exitUsage = 2

async function main (): Promise<number> {
  const { values, positionals } = parseArgs({ allowPositionals: true, options: { settings: { type: 'string' } } })
  if (positionals[0] !== 'proxy' || values.settings === undefined) {
    process.stderr.write('usage: limpetmoor proxy --settings FILE\n')
    return exitUsage
  }
  const result = parseSettings(readFileSync(values.settings, 'utf8'), values.settings)
  switch (result.kind) {
    case 'valid': return await runProxy(result.settings)
    case 'invalid': {
      process.stderr.write(result.errors.join('\n') + '\n')
      return exitUsage
    }
  }
}

process.exitCode = await main()
