// The session token: the minimum positions of a session as text, which a caller
// passes from one connection to another. It is neither secret nor authenticated:
// a caller that changes it affects only its own reads.

import * as z from 'zod'
import type { MinPositions } from '../model/index.js'

/** Maximum length of a token, in characters. */
const maxTokenLength = 64 * 1024

const positionSchema = z.strictObject({ term: z.int().min(0), index: z.int().min(0) })
const positionsSchema = z.record(z.string(), positionSchema)

/**
 * Encodes a token.
 * @param value - the minimum positions of the session
 * @returns the token
 */
export function encodeToken (value: MinPositions): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url')
}

/**
 * Decodes a token.
 * @param token - the text from the caller
 * @returns the minimum positions, or undefined where the text is not a valid token
 */
export function decodeToken (token: string): MinPositions | undefined {
  if (token.length > maxTokenLength) return undefined
  try {
    const parsed = positionsSchema.safeParse(JSON.parse(Buffer.from(token, 'base64url').toString('utf8')))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
