// `limpetmoor apply`: brings a manifest into force by a conditional update of
// the store. Where operators apply concurrently, each gets either its own
// generation or the name of the operator who was first.

import { randomUUID } from 'node:crypto'
import { hostname } from 'node:os'
import { parseArgs } from 'node:util'
import * as z from 'zod'
import type { Generation, Manifest } from '../model/index.js'
import { systemTimers } from '../pipe/index.js'
import { StoreError, updateObject, type UpdateResult } from '../ports/index.js'
import { manifestObject, type PlatformClient } from '../wire/index.js'
import { readManifest } from './files.js'
import { withPlatformClient } from './platform.js'
import { done, failed, invalid, type CommandResult } from './result.js'

/** The accepted manifest in the form in which the store holds it. */
export type StoredManifest = {
  readonly generation: Generation
  readonly manifest: unknown
  readonly appliedBy: string
}

/** Time for the update including its retries. */
const deadlineMs = 15_000
/** The platform limits a value to 1 MB, part of which the ids of earlier writes need. */
const maxManifestBytes = 990_000

const storedManifestSchema = z.object({
  generation: z.int().min(0),
  manifest: z.unknown(),
  appliedBy: z.string().default('an unknown operator')
})

/**
 * Decodes the stored manifest.
 * @param value - value of the stored object
 * @returns the manifest with its generation and operator
 * @throws ZodError if the value does not match the schema
 */
export function decodeStoredManifest (value: unknown): StoredManifest {
  return storedManifestSchema.parse(value)
}

/**
 * Brings a manifest into force.
 * @param args - arguments after the command's name
 * @returns the accepted generation, or the operator who was first
 */
export async function runApply (args: readonly string[]): Promise<CommandResult> {
  const options = { platform: { type: 'string' }, manifest: { type: 'string' }, expect: { type: 'string' }, by: { type: 'string' } } as const
  const { values } = parseArgs({ args: [...args], options })
  if (values.platform === undefined || values.manifest === undefined) return invalid('apply needs --platform URL and --manifest FILE')
  if (values.expect !== undefined && !/^\d+$/.test(values.expect)) return invalid(`--expect: found ${JSON.stringify(values.expect)}, allowed: a generation`)
  const read = readManifest(values.manifest)
  if (read.kind === 'invalid') return read
  const bytes = Buffer.byteLength(JSON.stringify(read.value))
  if (bytes > maxManifestBytes) return invalid(`${values.manifest}: found ${bytes} bytes, allowed: at most ${maxManifestBytes} bytes`)
  const expected = values.expect === undefined ? undefined : Number(values.expect)
  const appliedBy = values.by ?? `${process.env['USER'] ?? 'operator'}@${hostname()}`
  return await withPlatformClient(values.platform, async client => await apply(client, { manifest: read.value, expected, appliedBy }))
}

type ApplyRequest = {
  readonly manifest: Manifest
  readonly expected: Generation | undefined
  readonly appliedBy: string
}

async function apply (client: PlatformClient, request: ApplyRequest): Promise<CommandResult> {
  try {
    const result = await updateObject<StoredManifest>(client, { timers: systemTimers(), random: Math.random, newWriteId: randomUUID }, {
      ...manifestObject,
      decode: decodeStoredManifest,
      change: current => nextManifest(current, request),
      deadlineMs
    })
    return applyResult(result, request)
  } catch (error) {
    if (!(error instanceof StoreError)) throw error
    return failed(`outcome unknown: ${error.message}`, 'apply again when the platform responds; if the manifest has already taken effect, this changes nothing')
  }
}

function nextManifest (current: StoredManifest | undefined, request: ApplyRequest): StoredManifest | undefined {
  const generation = current?.generation ?? 0
  if (request.expected !== undefined && request.expected !== generation) return undefined
  if (isSameManifest(current, request)) return undefined
  return { generation: generation + 1, manifest: request.manifest, appliedBy: request.appliedBy }
}

function applyResult (result: UpdateResult<StoredManifest>, request: ApplyRequest): CommandResult {
  switch (result.kind) {
    case 'written': {
      const accepted = `accepted generation ${result.value.generation}`
      const later = result.supersededBy
      return later === undefined ? done(accepted) : done(accepted, `superseded by generation ${later.generation} by ${later.appliedBy}`)
    }
    case 'unchanged': {
      const current = result.value
      if (current !== undefined && isSameManifest(current, request)) return done(`accepted generation ${current.generation}, which already holds this manifest`)
      const inForce = current === undefined ? 'no generation' : `generation ${current.generation} by ${current.appliedBy}`
      return failed(`not applied: ${inForce} is in force, expected generation ${request.expected ?? 0}`)
    }
  }
}

function isSameManifest (current: StoredManifest | undefined, request: ApplyRequest): boolean {
  return current !== undefined && JSON.stringify(current.manifest) === JSON.stringify(request.manifest)
}
