// `limpetmoor status`: compares the hosts' reports, which the store holds by
// failure domain, with the accepted generation and the platform's host list.

import { parseArgs } from 'node:util'
import * as z from 'zod'
import { manifestObject } from '../wire/index.js'
import type { Generation, HostName, HostReport } from '../model/index.js'
import type { ListedHost, PlatformClient } from '../wire/index.js'
import { evacuationKind } from '../evacuation/index.js'
import { decodeStoredManifest } from './apply.js'
import { evacuatedDomain } from './evacuate.js'
import { withPlatformClient } from './platform.js'
import { done, invalid, type CommandResult } from './result.js'
import type { EvacuatedDomain, FleetStatus } from './fleet-status.js'
import { statusLines } from './status-text.js'

const latencySchema = z.object({ count: z.number(), p50Ms: z.number(), p99Ms: z.number(), maxMs: z.number() })

const hostSchema = z.object({
  host: z.string(),
  failureDomain: z.string(),
  incarnation: z.string(),
  generation: z.number(),
  state: z.enum(['serving', 'stopping']),
  // JSON has no undefined: a field without a value is absent.
  rejectedManifest: z.object({ generation: z.number(), errors: z.array(z.string()) }).optional().transform(orUndefined),
  databases: z.array(z.object({
    database: z.string(),
    primary: z.string().optional().transform(orUndefined),
    term: z.number(),
    servers: z.array(z.object({
      server: z.string(),
      // Dispatcher of the server.
      home: z.string().optional().transform(orUndefined),
      lagEntries: z.number().optional().transform(orUndefined),
      coldLeftMs: z.number().optional()
    }))
  })),
  accounts: z.array(z.object({
    account: z.string(),
    admitted: z.number(),
    refusedByRate: z.number(),
    latency: latencySchema
  }))
})

const reportSchema = z.object({ hosts: z.array(hostSchema) })

/**
 * Shows the status that the hosts report.
 * @param args - arguments after the command's name
 * @returns the status as text or JSON
 */
export async function runStatus (args: readonly string[]): Promise<CommandResult> {
  const options = { platform: { type: 'string' }, json: { type: 'boolean', default: false } } as const
  const { values } = parseArgs({ args: [...args], options })
  if (values.platform === undefined) return invalid('status needs --platform URL')
  return await withPlatformClient(values.platform, async client => {
    const status = await readFleetStatus(client)
    return values.json ? done(JSON.stringify(status, undefined, 2)) : done(...statusLines(status))
  })
}

async function readFleetStatus (client: PlatformClient): Promise<FleetStatus> {
  const [stored, reports, listedHosts, evacuations] = await Promise.all([
    client.getObject(manifestObject.kind, manifestObject.name),
    client.listObjects('report'),
    client.hosts(),
    client.listObjects(evacuationKind)
  ])
  const accepted = stored === undefined ? undefined : decodeStoredManifest(stored.value)
  const hosts = reports.objects.flatMap(object => decodeReports(object.value))
  return buildStatus(accepted?.generation ?? 0, accepted?.appliedBy, latestReports(hosts), listedHosts, evacuations.objects.map(evacuatedDomain).sort((a, b) => a.domain < b.domain ? -1 : 1))
}

function buildStatus (acceptedGeneration: Generation, appliedBy: string | undefined, hosts: readonly HostReport[], listedHosts: readonly ListedHost[], evacuated: readonly EvacuatedDomain[]): FleetStatus {
  const reporting = new Set(hosts.map(report => report.host))
  return {
    acceptedGeneration,
    appliedBy,
    hostsBehind: hosts.filter(report => report.generation !== acceptedGeneration).map(report => report.host),
    hostsSilent: listedHosts.map(each => each.host).filter(host => !reporting.has(host)),
    evacuated,
    hosts
  }
}

function decodeReports (value: unknown): readonly HostReport[] {
  const checked = reportSchema.safeParse(value)
  return checked.success ? checked.data.hosts : []
}

// A host that moved to another failure domain has two reports; the one with the
// higher generation is the later one.
function latestReports (hosts: readonly HostReport[]): readonly HostReport[] {
  const byHost = new Map<HostName, HostReport>()
  for (const report of hosts) {
    const previous = byHost.get(report.host)
    if (previous === undefined || previous.generation <= report.generation) byHost.set(report.host, report)
  }
  return [...byHost.values()].sort((a, b) => a.host.localeCompare(b.host))
}

function orUndefined<T> (value: T | undefined): T | undefined {
  return value
}
