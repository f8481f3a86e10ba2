// Registry of hosts: registers this host in the store, lists the others and
// deregisters hosts that have been unresponsive for a long time.

import { isIP } from 'node:net'
import * as z from 'zod'
import { concentratedQuotaFeature } from '../limits/index.js'
import { hostsToDeregister, mustRegister, recordUnresponsive, weightedPlacementFeature, withRestoredHosts, type HostListMemory, type ListedHost, type Registration, type UnresponsiveSince } from '../members/index.js'
import type { HostName } from '../model/index.js'
import { currentEra, eraField, putObjectInEra, readObject, StoreError, type HostSource, type StoredObject, type VersionInEra } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** Dependencies of the registry. */
export type RegistrySpec = {
  readonly context: DaemonContext
  readonly source: Extract<HostSource, { readonly kind: 'registered' }>
  readonly stopping: () => boolean
  readonly unresponsive: () => ReadonlySet<HostName>
  /** Highest era of the store that this host has heard of. */
  readonly heardEra: () => number
  /** True on the one host that deregisters other hosts. */
  readonly isCleaner: () => boolean
  readonly onDeregistered: (host: HostName) => void
}

/** The running registry. */
export type Registry = {
  /**
   * Lists the hosts, and registers this one where its entry is missing or
   * outdated; rejects with a `StoreError`.
   */
  readonly list: () => Promise<readonly ListedHost[]>
  /**
   * Registers this host where a list from another source lacks it, and checks its
   * entry in each new era of the store.
   */
  readonly checkRegistration: (hosts: readonly ListedHost[]) => void
}

const maxPort = 65_535

const hostSchema = z.object({
  failureDomain: z.string().min(1),
  ip: z.string().refine(ip => isIP(ip) !== 0),
  port: z.int().min(1).max(maxPort),
  capacityCores: z.number().positive().optional(),
  features: z.array(z.string()).optional(),
  state: z.enum(['live', 'leaving']),
  incarnation: z.string()
})

/**
 * Starts the registry.
 * @param spec - dependencies of the registry
 * @returns the registry
 */
export function startRegistry (spec: RegistrySpec): Registry {
  const { context, source } = spec
  const { settings, timers, ports: { store } } = context
  const self: Registration = {
    host: settings.host.name,
    failureDomain: settings.host.failureDomain,
    ip: settings.host.ip,
    port: settings.host.peerPort,
    capacityCores: settings.host.capacityCores,
    features: [weightedPlacementFeature, concentratedQuotaFeature],
    state: 'live',
    incarnation: context.incarnation
  }
  let unresponsiveSince: UnresponsiveSince = new Map()
  let isRegistering = false
  let checkedEra = 0
  let memory: HostListMemory | undefined
  const register = async (base: VersionInEra): Promise<void> => {
    if (isRegistering || spec.stopping()) return
    isRegistering = true
    const { host, ...value } = self
    await putObjectInEra(store, source.objectKind, host, base, { ...value, ...eraField(base.era) }).finally(() => { isRegistering = false })
  }
  return {
    async list () {
      const { objects, era = 0 } = await store.listObjects(source.objectKind)
      const hosts = objects.flatMap(decoded)
      const entry = hosts.find(each => each.host === self.host)
      if (mustRegister(self, entry)) await register({ version: objects.find(object => object.name === self.host)?.version ?? 0, era }).catch(ignoreStoreError)
      unresponsiveSince = recordUnresponsive(unresponsiveSince, spec.unresponsive(), timers.nowMs())
      if (spec.isCleaner()) {
        for (const host of hostsToDeregister(unresponsiveSince, timers.nowMs())) {
          const object = objects.find(each => each.name === host)
          // The version of an earlier era may be that of another entry by now.
          if (object === undefined || currentEra(store) !== era) continue
          await store.deleteObject(source.objectKind, host, object.version).catch(ignoreStoreError)
          spec.onDeregistered(host)
        }
      }
      const listed = hosts.map(({ incarnation: _, ...host }): ListedHost => host)
      memory = withRestoredHosts(memory, { hosts: entry === undefined ? [...listed, withoutIncarnation(self)] : listed, era }, spec.unresponsive(), timers.nowMs())
      return memory.hosts
    },
    checkRegistration (hosts) {
      const entry = hosts.find(each => each.host === self.host)
      const era = spec.heardEra()
      const isListed = entry?.ip === self.ip && entry.port === self.port
      if (isListed && checkedEra >= era) return
      void readObject(store, source.objectKind, self.host)
        .then(async ({ object, era: readEra }) => {
          const stored = object === undefined ? undefined : decoded(object)[0]
          if (!isListed || mustRegister(self, stored)) await register({ version: object?.version ?? 0, era: readEra })
          checkedEra = Math.max(checkedEra, readEra)
        })
        .catch(ignoreStoreError)
        .catch(context.onTaskError('registry'))
    }
  }
}

function withoutIncarnation ({ incarnation: _, ...host }: Registration): ListedHost {
  return host
}

// The next listing tries again.
function ignoreStoreError (error: unknown): undefined {
  if (!(error instanceof StoreError)) throw error
  return undefined
}

function decoded (object: StoredObject): readonly Registration[] {
  const parsed = hostSchema.safeParse(object.value)
  return parsed.success ? [{ host: object.name, ...parsed.data }] : []
}
