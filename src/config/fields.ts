// Field types of settings and manifest. The error message of each states the
// allowed values; `fieldErrors` adds the path and the value found.

import { isIP } from 'node:net'
import * as z from 'zod'

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const maxPort = 65_535

/**
 * Type of a name of a host, failure domain, client account, database, server or route.
 * @returns the field type
 */
export function name (): z.ZodString {
  return text('a name of 1 to 64 letters, digits, ".", "_" or "-"').regex(namePattern, 'a name of 1 to 64 letters, digits, ".", "_" or "-"')
}

/**
 * Type of a non-empty text.
 * @param allowed - description of the allowed values for error messages
 * @returns the field type
 */
export function text (allowed: string): z.ZodString {
  return z.string({ error: allowed }).min(1, allowed)
}

/**
 * Type of an integer.
 * @param min - the minimum
 * @param max - the maximum
 * @returns the field type
 */
export function wholeNumber (min: number, max: number): z.ZodNumber {
  const allowed = `a whole number from ${min} to ${max}`
  return z.number({ error: allowed }).int(allowed).min(min, allowed).max(max, allowed)
}

/**
 * Type of a duration, which the text may give with a fraction.
 * @param min - the minimum
 * @param max - the maximum
 * @returns the field type; its value is rounded down to a whole number, so that
 *   the duration is never longer than the one given
 */
export function duration (min: number, max: number): z.ZodType<number, number> {
  const allowed = `a number from ${min} to ${max}`
  return z.number({ error: allowed }).min(min, allowed).max(max, allowed).transform(Math.floor)
}

/**
 * Type of a number from zero on.
 * @param max - the maximum
 * @returns the field type
 */
export function amount (max: number): z.ZodNumber {
  const allowed = `a number from 0 to ${max}`
  return z.number({ error: allowed }).min(0, allowed).max(max, allowed)
}

/**
 * Type of a finite number above zero.
 * @param max - the maximum
 * @returns the field type
 */
export function positiveNumber (max: number): z.ZodNumber {
  const allowed = `a number above 0, at most ${max}`
  return z.number({ error: allowed }).positive(allowed).max(max, allowed)
}

/**
 * Type of a TCP port.
 * @returns the field type
 */
export function portNumber (): z.ZodNumber {
  return wholeNumber(1, maxPort)
}

/**
 * Type of a numeric IP address.
 * @returns the field type
 */
export function ipText (): z.ZodType<string> {
  return z.string({ error: 'an IP number' }).refine(value => isIP(value) !== 0, 'an IP number')
}

/**
 * Type of an IP address with a port: `ip:port`.
 * @returns the field type
 */
export function addressText (): z.ZodType<string, string> {
  const allowed = 'an address "ip:port"'
  return z.string({ error: allowed }).refine(isAddress, allowed)
}

/**
 * Type of an enumeration.
 * @param words - the allowed values
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
