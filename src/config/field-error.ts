// Validation errors of settings and manifest: the path of the field, the value
// found and the values allowed. Values of secret fields are never included.

import type { z } from 'zod'
import { containsKey } from './keys.js'

/** One validation error with the path of its field. */
export type FieldError = {
  /** For example `routes[2].database`. */
  readonly path: string
  readonly found: string
  readonly allowed: string
}

type Path = readonly PropertyKey[]

const maxDisplayLength = 60

/**
 * Converts the issues of the schema validation to field errors.
 * @param error - the issues
 * @param input - the value that was validated
 * @param secretFields - names of fields whose values must not be included
 * @returns the errors, in the order of the issues
 */
export function fieldErrors (error: z.ZodError, input: unknown, secretFields: readonly string[]): readonly FieldError[] {
  return error.issues.flatMap(issue => {
    if (issue.code === 'unrecognized_keys') return issue.keys.map(key => unknownFieldError([...issue.path, key]))
    const innerMessage = issue.code === 'invalid_key' ? issue.issues[0]?.message : undefined
    return [{
      path: formatPath(issue.path),
      found: displayValue(valueAt(input, issue.path), issue.path, secretFields),
      allowed: innerMessage ?? issue.message
    }]
  })
}

/**
 * Formats the path of a field.
 * @param path - field names and array indexes, outermost first
 * @returns for example `routes[2].database`
 */
export function formatPath (path: Path): string {
  const text = path.map(part => typeof part === 'number' ? `[${part}]` : `.${String(part)}`).join('')
  return text === '' ? 'whole text' : text.replace(/^\./, '')
}

function unknownFieldError (path: Path): FieldError {
  return { path: formatPath(path), found: 'an unknown field', allowed: 'only documented fields' }
}

function valueAt (input: unknown, path: Path): unknown {
  return path.reduce<unknown>((value, part) => isObject(value) ? value[part] : undefined, input)
}

function isObject (value: unknown): value is Readonly<Record<PropertyKey, unknown>> {
  return typeof value === 'object' && value !== null
}

function displayValue (value: unknown, path: Path, secretFields: readonly string[]): string {
  if (value === undefined) return 'nothing'
  if (path.some(part => secretFields.includes(String(part)))) return 'a secret value'
  if (typeof value === 'object') return Array.isArray(value) ? 'a list' : value === null ? 'null' : 'a table'
  const json = JSON.stringify(value) ?? String(value)
  if (containsKey(json)) return 'text that contains a key'
  return json.length > maxDisplayLength ? `${json.slice(0, maxDisplayLength)}...` : json
}
