// `limpetmoor evacuate`: sets or ends the evacuation of a failure domain in the store.

import { hostname } from 'node:os'
import { parseArgs } from 'node:util'
import * as z from 'zod'
import { evacuationKind, maxDomainLength } from '../evacuation/index.js'
import type { FailureDomain } from '../model/index.js'
import { StoreError, type StoredObject } from '../ports/index.js'
import type { PlatformClient } from '../wire/index.js'
import type { EvacuatedDomain } from './fleet-status.js'
import { withPlatformClient } from './platform.js'
import { done, failed, invalid, type CommandResult } from './result.js'

const requestSchema = z.object({ requestedBy: z.string() })

/**
 * Decodes a request for status output.
 * @param object - the stored object; its value may come from another writer
 * @returns the failure domain and, where the request states it, the operator
 */
export function evacuatedDomain ({ name, value }: StoredObject): EvacuatedDomain {
  const parsed = requestSchema.safeParse(value)
  return { domain: name, requestedBy: parsed.success ? parsed.data.requestedBy : undefined }
}

/**
 * Sets or ends an evacuation.
 * @param args - arguments after the command's name
 * @returns whether the request is stored or removed
 */
export async function runEvacuate (args: readonly string[]): Promise<CommandResult> {
  const options = { platform: { type: 'string' }, end: { type: 'boolean', default: false }, by: { type: 'string' } } as const
  const { values, positionals } = parseArgs({ args: [...args], options, allowPositionals: true })
  const [domain, ...others] = positionals
  if (domain === undefined || domain === '' || others.length > 0 || values.platform === undefined) return invalid('evacuate needs one DOMAIN and --platform URL')
  if (domain.length > maxDomainLength) return invalid(`DOMAIN: found ${domain.length} characters, allowed: at most ${maxDomainLength}`)
  const requestedBy = values.by ?? `${process.env['USER'] ?? 'operator'}@${hostname()}`
  return await withPlatformClient(values.platform, async client => {
    try {
      return values.end ? await end(client, domain) : await begin(client, domain, requestedBy)
    } catch (error) {
      if (!(error instanceof StoreError)) throw error
      return failed(`outcome unknown: ${error.message}`, 'run the command again when the platform responds')
    }
  })
}

async function begin (client: PlatformClient, domain: FailureDomain, requestedBy: string): Promise<CommandResult> {
  if (await client.getObject(evacuationKind, domain) !== undefined) return done(`${domain} is being evacuated already`)
  try {
    await client.putObject(evacuationKind, domain, 0, { requestedBy })
  } catch (error) {
    if (!isConflict(error)) throw error
    return done(`${domain} is being evacuated already`)
  }
  return done(`the evacuation of ${domain} is requested`)
}

async function end (client: PlatformClient, domain: FailureDomain): Promise<CommandResult> {
  const current = await client.getObject(evacuationKind, domain)
  if (current === undefined) return done(`${domain} is not being evacuated`)
  try {
    await client.deleteObject(evacuationKind, domain, current.version)
  } catch (error) {
    if (!isConflict(error)) throw error
    return failed(`another operator has changed the request for ${domain}; run the command again`)
  }
  return done(`the evacuation of ${domain} is ended`)
}

function isConflict (error: unknown): boolean {
  return error instanceof StoreError && error.fault.kind === 'conflict'
}
