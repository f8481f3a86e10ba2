// Errors of settings and manifest with their place: the field, what was found
// there and what is allowed. Values of secret fields are never repeated.

import type { z } from 'zod'
import { containsKey } from './keys.js'

/** One error and its place. */
export type PlacedError = {
  /** For example `routes[2].database`. */
  readonly place: string
  readonly found: string
  readonly allowed: string
}

type Path = readonly PropertyKey[]

const maxShownLength = 60

/**
 * Turns the checker's issues into errors with their place.
 * @param error - what the checker found
 * @param input - the value that was checked
 * @param secretFields - names of fields whose values must not be shown
 * @returns the errors in the checker's order
 */
export function placedErrors (error: z.ZodError, input: unknown, secretFields: readonly string[]): readonly PlacedError[] {
  return error.issues.flatMap(issue => {
    if (issue.code === 'unrecognized_keys') return issue.keys.map(key => unknownField([...issue.path, key]))
    const innermost = issue.code === 'invalid_key' ? issue.issues[0]?.message : undefined
    return [{
      place: placeText(issue.path),
      found: shown(valueAt(input, issue.path), issue.path, secretFields),
      allowed: innermost ?? issue.message
    }]
  })
}

/**
 * Writes the path to a field.
 * @param path - names and indexes from the outermost inwards
 * @returns for example `routes[2].database`
 */
export function placeText (path: Path): string {
  const place = path.map(part => typeof part === 'number' ? `[${part}]` : `.${String(part)}`).join('')
  return place === '' ? 'whole text' : place.replace(/^\./, '')
}

function unknownField (path: Path): PlacedError {
  return { place: placeText(path), found: 'a field of that name', allowed: 'only the fields of the documentation' }
}

function valueAt (input: unknown, path: Path): unknown {
  return path.reduce<unknown>((value, part) => isObject(value) ? value[part] : undefined, input)
}

function isObject (value: unknown): value is Readonly<Record<PropertyKey, unknown>> {
  return typeof value === 'object' && value !== null
}

function shown (value: unknown, path: Path, secretFields: readonly string[]): string {
  if (value === undefined) return 'nothing'
  if (path.some(part => secretFields.includes(String(part)))) return 'a value that is not shown'
  if (typeof value === 'object') return Array.isArray(value) ? 'a list' : value === null ? 'null' : 'a table'
  const json = JSON.stringify(value) ?? String(value)
  if (containsKey(json)) return 'text that holds a key'
  return json.length > maxShownLength ? `${json.slice(0, maxShownLength)}...` : json
}
