// Field types of settings and manifest. The message of each says what is
// allowed; the place and what was found are added where errors are gathered.

import { isIP } from 'node:net'
import * as z from 'zod'

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const maxPort = 65_535

/**
 * A name of a host, failure domain, client account, database, server or route.
 * @returns the field type
 */
export function name (): z.ZodString {
  return text('a name of 1 to 64 letters, digits, ".", "_" or "-"').regex(namePattern, 'a name of 1 to 64 letters, digits, ".", "_" or "-"')
}

/**
 * Text that is not empty.
 * @param allowed - what an error message says is allowed
 * @returns the field type
 */
export function text (allowed: string): z.ZodString {
  return z.string({ error: allowed }).min(1, allowed)
}

/**
 * A whole number.
 * @param min - the least allowed
 * @param max - the greatest allowed
 * @returns the field type
 */
export function wholeNumber (min: number, max: number): z.ZodNumber {
  const allowed = `a whole number from ${min} to ${max}`
  return z.number({ error: allowed }).int(allowed).min(min, allowed).max(max, allowed)
}

/**
 * A finite number above zero.
 * @param max - the greatest allowed
 * @returns the field type
 */
export function positiveNumber (max: number): z.ZodNumber {
  const allowed = `a number above 0, at most ${max}`
  return z.number({ error: allowed }).positive(allowed).max(max, allowed)
}

/**
 * A TCP port.
 * @returns the field type
 */
export function portNumber (): z.ZodNumber {
  return wholeNumber(1, maxPort)
}

/**
 * An IP number.
 * @returns the field type
 */
export function ipText (): z.ZodType<string> {
  return z.string({ error: 'an IP number' }).refine(value => isIP(value) !== 0, 'an IP number')
}

/**
 * An IP number and a port: `ip:port`.
 * @returns the field type
 */
export function addressText (): z.ZodType<string, string> {
  const allowed = 'an address "ip:port"'
  return z.string({ error: allowed }).refine(isAddress, allowed)
}

/**
 * One of several words.
 * @param words - the words
 * @returns the field type
 */
export function choice<const W extends readonly string[]> (words: W): z.ZodEnum<{ readonly [K in W[number]]: K }> {
  return z.enum(words, { error: `one of ${words.map(word => JSON.stringify(word)).join(', ')}` })
}

function isAddress (value: string): boolean {
  const colon = value.lastIndexOf(':')
  const port = Number(value.slice(colon + 1))
  return isIP(value.slice(0, colon)) !== 0 && Number.isInteger(port) && port >= 1 && port <= maxPort
}
