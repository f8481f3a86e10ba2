// Keys of client accounts. A key is known to the caller only and never stored:
// the manifest holds the digest that MySQL's native password check compares.

import { createHash, timingSafeEqual } from 'node:crypto'

/** Number of random bytes in a key. */
export const keyRandomBytes = 25

const keyPrefix = 'lmk_'
const base32Alphabet = 'abcdefghijklmnopqrstuvwxyz234567'
const base32Bits = 5
const keyPattern = /lmk_[a-z2-7]{40}/i
const wholeKeyPattern = /^lmk_[a-z2-7]{40}$/
const sha1Bytes = 20

/**
 * Generates a key.
 * @param random - `keyRandomBytes` bytes from a cryptographic source
 * @returns the key: `lmk_` and 40 base32 characters
 * @throws RangeError if the number of bytes differs
 */
export function newKey (random: Uint8Array): string {
  if (random.length !== keyRandomBytes) throw new RangeError(`a key needs ${keyRandomBytes} random bytes`)
  const bits = [...random].map(byte => byte.toString(2).padStart(8, '0')).join('')
  const characters = Array.from({ length: bits.length / base32Bits }, (_, at) => {
    return base32Alphabet[parseInt(bits.slice(at * base32Bits, (at + 1) * base32Bits), 2)]
  })
  return keyPrefix + characters.join('')
}

/**
 * Computes the digest that the manifest stores in place of a key.
 * @param key - the key
 * @returns SHA1(SHA1(key)) in hex
 */
export function digestOf (key: string): string {
  return sha1(sha1(Buffer.from(key, 'utf8'))).toString('hex')
}

/**
 * Checks MySQL's native password proof against a digest, in constant time.
 * @param digestHex - SHA1(SHA1(key)) in hex
 * @param nonce - the 20 bytes that the handshake sent to the caller
 * @param proof - the 20 bytes with which the caller responded
 * @returns true where the proof was made with the key
 */
export function checkNativePassword (digestHex: string, nonce: Uint8Array, proof: Uint8Array): boolean {
  const digest = Buffer.from(digestHex, 'hex')
  if (proof.length !== sha1Bytes || digest.length !== sha1Bytes) return false
  const mask = sha1(Buffer.concat([nonce, digest]))
  const keyHash = mask.map((byte, at) => byte ^ (proof[at] as number))
  return timingSafeEqual(sha1(keyHash), digest)
}

/**
 * Checks whether a text contains anything in the format of a key.
 * @param text - a statement, a log line or a field
 * @returns true where it does
 */
export function containsKey (text: string): boolean {
  return keyPattern.test(text)
}

/**
 * Redacts everything in the format of a key, because a caller may give a key in
 * place of a name.
 * @param text - a text for a log line or a response
 * @returns the text with `lmk_...` in place of each key
 */
export function redactKeys (text: string): string {
  return text.replace(new RegExp(keyPattern, 'gi'), `${keyPrefix}...`)
}

/**
 * Checks whether a whole text has the format of a key.
 * @param text - the supposed key
 * @returns true where it does
 */
export function isKey (text: string): boolean {
  return wholeKeyPattern.test(text)
}

function sha1 (bytes: Uint8Array): Buffer {
  return createHash('sha1').update(bytes).digest()
}
