// Decoding of messages between proxies. The frequent ones (`execute`, `borrow`,
// `heartbeat`) are read here field by field, directly from their short names,
// because the general schemas are slow. What is not recognized here, and every other method, is left to the schemas, which alone
// decide what is rejected.

import type { PeerMethod, PeerParams, PeerResult } from '../model/index.js'
import { asError, WireError } from '../ports/index.js'
import { restore } from './peer-codec.js'
import { executeReplyOf, executeRequestOf } from './execute-message.js'
import { unrecognized } from './peer-fields.js'
import { decodeParams, decodeResult } from './peer-schema.js'
import { borrowReplyOf, borrowCallOf, memberStateOf } from './quota-message.js'

type Readers = {
  readonly [M in PeerMethod]?: {
    readonly params: (value: unknown) => PeerParams<M>
    readonly result: (value: unknown) => PeerResult<M>
  }
}

const readers: Readers = {
  execute: { params: executeRequestOf, result: executeReplyOf },
  borrow: { params: borrowCallOf, result: borrowReplyOf },
  heartbeat: { params: memberStateOf, result: memberStateOf }
}

/**
 * Decodes the received parameters of a call.
 * @param method - the method
 * @param value - the parameters, with short field names
 * @returns the parameters; throws a `WireError` where they do not match
 */
export function receivedParams<M extends PeerMethod> (method: M, value: unknown): PeerParams<M> {
  return recognized(readers[method]?.params, value) ?? decodeParams(method, restored(value, `parameters of ${method}`))
}

/**
 * Decodes the received result of a call.
 * @param method - the method
 * @param value - the result, with short field names
 * @returns the result; throws a `WireError` where it does not match
 */
export function receivedResult<M extends PeerMethod> (method: M, value: unknown): PeerResult<M> {
  return recognized(readers[method]?.result, value) ?? decodeResult(method, restored(value, `result of ${method}`))
}

/**
 * Reads a value that a reader may not recognize.
 * @param read - the reader; undefined for none
 * @param value - the received value
 * @returns what was read; undefined where the reader does not recognize the value
 */
export function recognized<T> (read: ((value: unknown) => T) | undefined, value: unknown): T | undefined {
  try {
    return read?.(value)
  } catch (error) {
    if (error === unrecognized) return undefined
    throw error
  }
}

// A value may be nested too deeply to be restored.
function restored (value: unknown, what: string): unknown {
  try {
    return restore(value)
  } catch (error) {
    throw new WireError('rejected', `the ${what} are malformed`, asError(error))
  }
}
