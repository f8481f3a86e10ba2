// The session token: the floors of a session as text that a caller carries
// from one connection to the next. It is no secret and no proof; a caller who
// changes it can only make its own reads wait.

import * as z from 'zod'
import type { MinPositions } from '../model/index.js'

/** Longest token that is read, in characters. */
const maxTokenLength = 64 * 1024

const position = z.strictObject({ term: z.int().min(0), index: z.int().min(0) })
const floors = z.record(z.string(), position)

/**
 * Writes a token.
 * @param value - the floors of the session
 * @returns the token
 */
export function encodeToken (value: MinPositions): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url')
}

/**
 * Reads a token.
 * @param token - the text that the caller shows
 * @returns the floors, or undefined where it is no token
 */
export function decodeToken (token: string): MinPositions | undefined {
  if (token.length > maxTokenLength) return undefined
  try {
    const parsed = floors.safeParse(JSON.parse(Buffer.from(token, 'base64url').toString('utf8')))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
