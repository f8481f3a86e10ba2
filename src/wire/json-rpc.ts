// Texts of JSON-RPC 2.0, one message a text: requests of this host and the answers
// to them, requests of another host and the answers to those. Batches are not part
// of the protocol between proxies and count as invalid requests.

import { shortText } from './peer-codec.js'

/** Error code of a request that is none. */
export const invalidRequestCode = -32600
/** Error code of an unknown method. */
export const unknownMethodCode = -32601
/** Error code of a method that failed. */
export const failedMethodCode = 0

/** Answer to a request of this host. */
export type RpcAnswer =
  | { readonly kind: 'result', readonly id: unknown, readonly value: unknown }
  | { readonly kind: 'error', readonly id: unknown, readonly message: string }

/** Request of another host. */
export type RpcRequest =
  /** `id` is undefined where the caller expects no answer. */
  | { readonly kind: 'call', readonly id: unknown, readonly method: unknown, readonly params: unknown }
  | { readonly kind: 'invalid', readonly id: unknown }

type Fields = Readonly<Record<string, unknown>>

/**
 * Writes a request.
 * @param id - its number, unique on its link
 * @param method - name of the method, without characters that JSON escapes
 * @param params - the parameters
 * @returns the text
 */
export function requestText (id: number, method: string, params: unknown): string {
  return `{"jsonrpc":"2.0","id":${id},"method":"${method}","params":${shortText(params)}}`
}

/**
 * Writes the result of a request.
 * @param id - id of the request
 * @param value - the result
 * @returns the text
 */
export function resultText (id: unknown, value: unknown): string {
  return `{"jsonrpc":"2.0","id":${JSON.stringify(id)},"result":${shortText(value)}}`
}

/**
 * Writes the failure of a request.
 * @param id - id of the request
 * @param code - one of the codes above
 * @param message - description
 * @returns the text
 */
export function errorText (id: unknown, code: number, message: string): string {
  return `{"jsonrpc":"2.0","id":${JSON.stringify(id)},"error":{"code":${code},"message":${JSON.stringify(message)}}}`
}

/**
 * Reads the answer to a request.
 * @param text - the received text
 * @returns the answer; throws where the text is no JSON object
 */
export function parseAnswer (text: string): RpcAnswer {
  const { id, result, error } = parseFields(text)
  if (result !== undefined && !isPresent(error)) return { kind: 'result', id, value: result }
  const message = isPresent(error) ? (error as Fields)['message'] : undefined
  return { kind: 'error', id, message: typeof message === 'string' ? message : 'answer without a result' }
}

/**
 * Reads a request.
 * @param text - the received text
 * @returns the request; throws where the text is no JSON object
 */
export function parseRequest (text: string): RpcRequest {
  const { jsonrpc, id, method, params, result, error } = parseFields(text)
  if (jsonrpc === '2.0' && method !== undefined && result === undefined && error === undefined) return { kind: 'call', id, method, params }
  return { kind: 'invalid', id: typeof id === 'string' || typeof id === 'number' ? id : null }
}

function parseFields (text: string): Fields {
  const value: unknown = JSON.parse(text)
  if (typeof value !== 'object' || value === null) throw new Error('received a line that is no message')
  return value as Fields
}

function isPresent (value: unknown): boolean {
  return value !== undefined && value !== null
}
