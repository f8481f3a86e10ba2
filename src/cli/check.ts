// `limpetmoor check`: validates files without a connection to the platform.

import { parseArgs } from 'node:util'
import { readManifest, readSettings } from './files.js'
import { done, invalid, type CommandResult } from './result.js'

/**
 * Validates settings and manifest.
 * @param args - arguments after the command's name
 * @returns a line for each valid file, or all errors of all files
 */
export function runCheck (args: readonly string[]): CommandResult {
  const options = { settings: { type: 'string' }, manifest: { type: 'string' } } as const
  const { values } = parseArgs({ args: [...args], options })
  const checked = [
    ...values.settings === undefined ? [] : [{ file: values.settings, result: readSettings(values.settings) }],
    ...values.manifest === undefined ? [] : [{ file: values.manifest, result: readManifest(values.manifest) }]
  ]
  if (checked.length === 0) return invalid('check needs --settings FILE or --manifest FILE')
  const errors = checked.flatMap(({ result }) => result.kind === 'invalid' ? result.errors : [])
  return errors.length > 0 ? invalid(...errors) : done(...checked.map(({ file }) => `${file}: valid`))
}
