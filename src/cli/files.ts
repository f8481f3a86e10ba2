// Reads the files that are named on the command line. An unreadable or invalid
// file counts as invalid input; each error names the file and the place in it.

import { readFileSync } from 'node:fs'
import { checkManifest, parseSettings, type Settings } from '../config/index.js'
import type { Manifest } from '../model/index.js'

/** Result of reading a file. */
export type FileResult<T> =
  | { readonly kind: 'valid', readonly value: T }
  | { readonly kind: 'invalid', readonly errors: readonly string[] }

/**
 * Reads the settings of a host.
 * @param file - path of the TOML file
 * @returns the settings, or all errors
 */
export function readSettings (file: string): FileResult<Settings> {
  const text = readText(file)
  if (text.kind === 'invalid') return text
  const parsed = parseSettings(text.value, file)
  switch (parsed.kind) {
    case 'valid': return { kind: 'valid', value: parsed.settings }
    case 'invalid': return parsed
  }
}

/**
 * Reads a manifest.
 * @param file - path of the JSON file
 * @returns the manifest, or all errors
 */
export function readManifest (file: string): FileResult<Manifest> {
  const text = readText(file)
  if (text.kind === 'invalid') return text
  const json = readJson(text.value, file)
  if (json.kind === 'invalid') return json
  const checked = checkManifest(json.value)
  switch (checked.kind) {
    case 'valid': return { kind: 'valid', value: checked.manifest }
    case 'invalid': return { kind: 'invalid', errors: checked.errors.map(error => `${file}: ${error}`) }
  }
}

function readText (file: string): FileResult<string> {
  try {
    return { kind: 'valid', value: readFileSync(file, 'utf8') }
  } catch (error) {
    return { kind: 'invalid', errors: [`${file}: can't be read (${(error as NodeJS.ErrnoException).code ?? 'unknown error'})`] }
  }
}

function readJson (text: string, file: string): FileResult<unknown> {
  try {
    return { kind: 'valid', value: JSON.parse(text) }
  } catch {
    // The parser's message quotes the text, which may contain a key.
    return { kind: 'invalid', errors: [`${file}: whole text: found text that is not JSON, allowed: a JSON object`] }
  }
}
