// `limpetmoor keys`: generates keys and computes digests. A key is read from
// standard input, because arguments are visible to every process on a machine.

import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { digestOf, isKey, keyRandomBytes, newKey } from '../config/index.js'
import { done, invalid, type CommandResult } from './result.js'

const stdinDescriptor = 0

/**
 * Generates a key, or computes the digest of a key.
 * @param args - arguments after the command's name
 * @returns the key and its digest, or the digest alone
 */
export function runKeys (args: readonly string[]): CommandResult {
  const { positionals } = parseArgs({ args: [...args], options: {}, allowPositionals: true })
  const action = positionals.length === 1 ? positionals[0] : undefined
  if (action === 'new') return generateKey()
  if (action === 'digest') return digestFromStdin()
  return invalid('keys needs one of: new, digest')
}

function generateKey (): CommandResult {
  const key = newKey(randomBytes(keyRandomBytes))
  return done(`key ${key}`, `digest ${digestOf(key)}`)
}

function digestFromStdin (): CommandResult {
  const key = readFileSync(stdinDescriptor, 'utf8').trim()
  if (!isKey(key)) return invalid('standard input: found text that is no key, allowed: "lmk_" and 40 base32 characters')
  return done(`digest ${digestOf(key)}`)
}
