// Keys of client accounts. A key is shown by the caller and never stored: the
// manifest holds the digest that MySQL's native password check compares.

import { createHash, timingSafeEqual } from 'node:crypto'

/** Random bytes that one key is made of. */
export const keyRandomBytes = 25

const keyPrefix = 'lmk_'
const base32Alphabet = 'abcdefghijklmnopqrstuvwxyz234567'
const base32Bits = 5
const keyPattern = /lmk_[a-z2-7]{40}/i
const wholeKeyPattern = /^lmk_[a-z2-7]{40}$/
const sha1Bytes = 20

/**
 * Makes a key.
 * @param random - `keyRandomBytes` bytes from a cryptographic source
 * @returns the key: `lmk_` and 40 base32 characters
 * @throws RangeError where the number of bytes differs
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
 * Makes the digest that the manifest holds in place of a key.
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
 * @param proof - the 20 bytes that the caller answered
 * @returns true where the caller holds the key
 */
export function checkNativePassword (digestHex: string, nonce: Uint8Array, proof: Uint8Array): boolean {
  const digest = Buffer.from(digestHex, 'hex')
  if (proof.length !== sha1Bytes || digest.length !== sha1Bytes) return false
  const mask = sha1(Buffer.concat([nonce, digest]))
  const keyHash = mask.map((byte, at) => byte ^ (proof[at] as number))
  return timingSafeEqual(sha1(keyHash), digest)
}

/**
 * Tells whether a text holds anything shaped like a key.
 * @param text - a statement, a log line or a field
 * @returns true where it does
 */
export function containsKey (text: string): boolean {
  return keyPattern.test(text)
}

/**
 * Takes everything shaped like a key out of a text, as a caller may show a key
 * in the place of a name.
 * @param text - a text that is to be logged or answered
 * @returns the text with `lmk_...` in the place of each key
 */
export function redactKeys (text: string): string {
  return text.replace(new RegExp(keyPattern, 'gi'), `${keyPrefix}...`)
}

/**
 * Tells whether a text is a key and nothing else.
 * @param text - what somebody gave as a key
 * @returns true where it is
 */
export function isKey (text: string): boolean {
  return wholeKeyPattern.test(text)
}

function sha1 (bytes: Uint8Array): Buffer {
  return createHash('sha1').update(bytes).digest()
}
