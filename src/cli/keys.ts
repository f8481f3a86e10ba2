// `limpetmoor keys`: makes keys and digests. A key is read from the standard
// input, as arguments are visible to every process of a machine.

import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { parseArgs } from 'node:util'
import { digestOf, isKey, keyRandomBytes, newKey } from '../config/index.js'
import { done, invalid, type CommandResult } from './result.js'

const standardInput = 0

/**
 * Makes a key or a digest.
 * @param args - arguments after the command's name
 * @returns the key and its digest, or the digest alone
 */
export function runKeys (args: readonly string[]): CommandResult {
  const { positionals } = parseArgs({ args: [...args], options: {}, allowPositionals: true })
  const action = positionals.length === 1 ? positionals[0] : undefined
  if (action === 'new') return makeKey()
  if (action === 'digest') return digestOfInput()
  return invalid('keys needs one of: new, digest')
}

function makeKey (): CommandResult {
  const key = newKey(randomBytes(keyRandomBytes))
  return done(`key ${key}`, `digest ${digestOf(key)}`)
}

function digestOfInput (): CommandResult {
  const key = readFileSync(standardInput, 'utf8').trim()
  if (!isKey(key)) return invalid('standard input: found text that is no key, allowed: "lmk_" and 40 base32 characters')
  return done(`digest ${digestOf(key)}`)
}
