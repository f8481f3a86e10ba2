// `limpetmoor apply`: brings a manifest into force by a conditional update.
// Operators may race: each gets to know which generation is theirs, or who
// was first.

import { randomUUID } from 'node:crypto'
import { hostname } from 'node:os'
import { parseArgs } from 'node:util'
import * as z from 'zod'
import type { Generation, Manifest } from '../model/index.js'
import { systemTimers } from '../pipe/index.js'
import { StoreError, updateObject, type UpdateResult } from '../ports/index.js'
import { manifestObject, type PlatformClient } from '../wire/index.js'
import { readManifest } from './files.js'
import { withPlatform } from './platform.js'
import { done, failed, invalid, type CommandResult } from './result.js'

/** The accepted manifest as it stands in the store. */
export type StoredManifest = {
  readonly generation: Generation
  readonly manifest: unknown
  readonly appliedBy: string
}

/** Time within which the update is tried again. */
const deadlineMs = 15_000
/** The platform holds values of up to a megabyte; ids of writes need some of it. */
const maxManifestBytes = 990_000

const storedSchema = z.object({
  generation: z.int().min(0),
  manifest: z.unknown(),
  appliedBy: z.string().default('an unknown operator')
})

/**
 * Decodes the stored manifest.
 * @param value - the object's value
 * @returns the manifest with its generation
 * @throws ZodError where the value is of another form
 */
export function decodeStored (value: unknown): StoredManifest {
  return storedSchema.parse(value)
}

/**
 * Brings a manifest into force.
 * @param args - arguments after the command's name
 * @returns the accepted generation, or who won the race
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
  return await withPlatform(values.platform, async client => await apply(client, { manifest: read.value, expected, appliedBy }))
}

type Application = {
  readonly manifest: Manifest
  readonly expected: Generation | undefined
  readonly appliedBy: string
}

async function apply (client: PlatformClient, application: Application): Promise<CommandResult> {
  try {
    const result = await updateObject<StoredManifest>(client, { timers: systemTimers(), random: Math.random, newWriteId: randomUUID }, {
      ...manifestObject,
      decode: decodeStored,
      change: current => nextStored(current, application),
      deadlineMs
    })
    return told(result, application)
  } catch (error) {
    if (!(error instanceof StoreError)) throw error
    return failed(`outcome unknown: ${error.message}`, 'apply again once the platform answers; where the manifest took effect, that changes nothing')
  }
}

function nextStored (current: StoredManifest | undefined, application: Application): StoredManifest | undefined {
  const generation = current?.generation ?? 0
  if (application.expected !== undefined && application.expected !== generation) return undefined
  if (isSame(current, application)) return undefined
  return { generation: generation + 1, manifest: application.manifest, appliedBy: application.appliedBy }
}

function told (result: UpdateResult<StoredManifest>, application: Application): CommandResult {
  switch (result.kind) {
    case 'written': {
      const accepted = `accepted generation ${result.value.generation}`
      const later = result.supersededBy
      return later === undefined ? done(accepted) : done(accepted, `generation ${later.generation} by ${later.appliedBy} has followed it`)
    }
    case 'unchanged': {
      const current = result.value
      if (current !== undefined && isSame(current, application)) return done(`accepted generation ${current.generation}, which held this manifest before`)
      const holder = current === undefined ? 'no generation' : `generation ${current.generation} by ${current.appliedBy}`
      return failed(`not applied: ${holder} is in force, expected generation ${application.expected ?? 0}`)
    }
  }
}

function isSame (current: StoredManifest | undefined, application: Application): boolean {
  return current !== undefined && JSON.stringify(current.manifest) === JSON.stringify(application.manifest)
}
