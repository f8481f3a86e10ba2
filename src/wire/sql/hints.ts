// Hints: what a caller asks for in the leading comment of a statement. A
// malformed hint is an error, because a request that runs without the
// protection that its caller asked for is worse than one that does not run.

import { noHints, type Hints } from '../../model/index.js'

/** Hints that were read, or what is wrong with them. */
export type HintsResult =
  | { readonly kind: 'hints', readonly hints: Hints }
  | { readonly kind: 'malformed', readonly detail: string }

const leadingComment = /^\s*\/\*\s*limpetmoor\b([\s\S]*?)\*\//
const requestIdShape = /^[A-Za-z0-9._:-]{1,64}$/
const wholeNumber = /^[0-9]{1,9}$/

/**
 * Reads the hints of a statement.
 * @param sql - the statement
 * @returns the hints, or what is wrong with them
 */
export function parseHints (sql: string): HintsResult {
  const comment = leadingComment.exec(sql)
  if (comment === null) return { kind: 'hints', hints: noHints }
  const words = (comment[1] ?? '').trim().split(/\s+/).filter(word => word !== '')
  return words.reduce<HintsResult>(addHint, { kind: 'hints', hints: noHints })
}

function addHint (result: HintsResult, word: string): HintsResult {
  if (result.kind === 'malformed') return result
  const at = word.indexOf('=')
  const name = at < 0 ? word : word.slice(0, at)
  const value = at < 0 ? undefined : word.slice(at + 1)
  const change = readHint(name, value)
  if (change === undefined) return { kind: 'malformed', detail: `the hint "${word.slice(0, 80)}" is unknown or malformed` }
  return { kind: 'hints', hints: { ...result.hints, ...change } }
}

function readHint (name: string, value: string | undefined): Partial<Hints> | undefined {
  switch (name) {
    case 'latest': return value === undefined ? { latest: true } : undefined
    case 'once': return value === undefined ? { once: true } : undefined
    case 'max_age_ms': return isWholeNumber(value) ? { maxAgeMs: Number(value) } : undefined
    case 'deadline_ms': return isWholeNumber(value) ? { deadlineMs: Number(value) } : undefined
    case 'request_id': return value !== undefined && requestIdShape.test(value) ? { requestId: value } : undefined
    default: return undefined
  }
}

function isWholeNumber (value: string | undefined): value is string {
  return value !== undefined && wholeNumber.test(value)
}
