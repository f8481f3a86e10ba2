// HTTP encoding of the platform API: parses requests into calls and writes
// responses.

import type { IncomingMessage, ServerResponse } from 'node:http'
import * as z from 'zod'
import type { AnswerPort, Json, PlatformAnswer, PlatformMessage } from './state.js'

/** Maximum size of an object's value, in bytes. */
const maxValueBytes = 1024 * 1024
/** Maximum wait time that a watch may request. */
const maxWatchMs = 120_000

/** A parsed request, or the status with which it is rejected. */
export type ParsedCall =
  | { readonly kind: 'call', readonly message: PlatformMessage }
  | { readonly kind: 'rejected', readonly status: number, readonly reason: string }

const faultsSchema = z.object({
  down: z.boolean().default(false),
  delayMs: z.number().min(0).default(0),
  dropAnswers: z.number().int().min(0).default(0),
  silentWatches: z.boolean().default(false)
})

const hostsSchema = z.object({
  hosts: z.array(z.object({
    host: z.string(),
    failureDomain: z.string(),
    ip: z.string(),
    port: z.number().int(),
    state: z.enum(['live', 'leaving'])
  })),
  lagMs: z.number().min(0).default(0)
})

const integerText = z.string().regex(/^\d{1,15}$/).transform(Number)

export async function readBody (request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    length += (chunk as Buffer).length
    if (length > maxValueBytes) return undefined
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

export function parseCall (method: string, target: string, body: string, port: AnswerPort): ParsedCall {
  const url = new URL(target, 'http://platform')
  const [, root, resource, objectKind, name] = url.pathname.split('/').map(decodeURIComponent)
  try {
    if (root === 'control') return parseControl(method, resource, body, port)
    if (root !== 'v1') return rejected(404, 'unknown path')
    if (resource === 'hosts' && method === 'GET') return { kind: 'call', message: { kind: 'hosts', port } }
    if (objectKind === undefined) return rejected(404, 'unknown path')
    if (resource === 'watch' && method === 'GET') {
      const timeoutMs = Math.min(integerText.parse(url.searchParams.get('timeoutMs')), maxWatchMs)
      return { kind: 'call', message: { kind: 'watch', objectKind, since: integerText.parse(url.searchParams.get('since')), timeoutMs, port } }
    }
    if (resource !== 'objects') return rejected(404, 'unknown path')
    if (method === 'GET') {
      return { kind: 'call', message: name === undefined ? { kind: 'list', objectKind, port } : { kind: 'get', objectKind, name, port } }
    }
    if ((method !== 'PUT' && method !== 'DELETE') || name === undefined) return rejected(405, 'unknown method')
    const version = integerText.parse(url.searchParams.get('version'))
    if (method === 'DELETE') return { kind: 'call', message: { kind: 'delete', objectKind, name, version, port } }
    return { kind: 'call', message: { kind: 'put', objectKind, name, version, value: JSON.parse(body) as Json, port } }
  } catch (error) {
    return rejected(400, String(error))
  }
}

function parseControl (method: string, resource: string | undefined, body: string, port: AnswerPort): ParsedCall {
  if (method === 'GET' && resource === 'stats') return { kind: 'call', message: { kind: 'stats', port } }
  if (method !== 'PUT') return rejected(405, 'unknown method')
  if (resource === 'faults') return { kind: 'call', message: { kind: 'setFaults', faults: faultsSchema.parse(JSON.parse(body)), port } }
  if (resource === 'hosts') return { kind: 'call', message: { kind: 'setHosts', ...hostsSchema.parse(JSON.parse(body)), port } }
  return rejected(404, 'unknown path')
}

function rejected (status: number, reason: string): ParsedCall {
  return { kind: 'rejected', status, reason }
}

export function writeAnswer (response: ServerResponse, answer: PlatformAnswer): void {
  switch (answer.kind) {
    case 'lost':
      response.destroy()
      return
    case 'body': {
      const text = JSON.stringify(answer.body)
      response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }
  }
}
