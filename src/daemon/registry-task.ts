// The registry of hosts: registers this host in the store, lists the others and
// removes the entries of hosts that have been silent for long.

import * as z from 'zod'
import { hostsToDeregister, mustRegister, recordUnresponsive, type ListedHost, type Registration, type UnresponsiveSince } from '../members/index.js'
import type { HostName } from '../model/index.js'
import { StoreError, type HostSource, type StoredObject } from '../ports/index.js'
import type { DaemonContext } from './context.js'

/** What the registry needs. */
export type RegistrySpec = {
  readonly context: DaemonContext
  readonly source: Extract<HostSource, { readonly kind: 'registered' }>
  readonly stopping: () => boolean
  readonly unresponsive: () => ReadonlySet<HostName>
  /** True where this host removes entries for the others. */
  readonly isCleaner: () => boolean
  readonly onDeregistered: (host: HostName) => void
}

/** The running registry. */
export type Registry = {
  /** Lists the hosts, and registers this one where its entry is missing; rejects with a `StoreError`. */
  readonly list: () => Promise<readonly ListedHost[]>
  /** Registers where a list from elsewhere lacks this host. */
  readonly checkRegistration: (hosts: readonly ListedHost[]) => void
}

const hostSchema = z.object({
  failureDomain: z.string(),
  ip: z.string(),
  port: z.int(),
  state: z.enum(['live', 'leaving']),
  incarnation: z.string()
})

/**
 * Starts the registry.
 * @param spec - what it needs
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
    state: 'live',
    incarnation: context.incarnation
  }
  let silences: UnresponsiveSince = new Map()
  let isRegistering = false
  const register = async (version: number): Promise<void> => {
    if (isRegistering || spec.stopping()) return
    isRegistering = true
    const { host, ...entry } = self
    await store.putObject(source.objectKind, host, version, entry).finally(() => { isRegistering = false })
  }
  return {
    async list () {
      const { objects } = await store.listObjects(source.objectKind)
      const hosts = objects.flatMap(decoded)
      const own = hosts.find(each => each.host === self.host)
      if (mustRegister(self, own)) await register(objects.find(object => object.name === self.host)?.version ?? 0).catch(ignoreStore)
      silences = recordUnresponsive(silences, spec.unresponsive(), timers.nowMs())
      if (spec.isCleaner()) {
        for (const host of hostsToDeregister(silences, timers.nowMs())) {
          const object = objects.find(each => each.name === host)
          if (object === undefined) continue
          await store.deleteObject(source.objectKind, host, object.version).catch(ignoreStore)
          spec.onDeregistered(host)
        }
      }
      const listed = hosts.map(({ incarnation: _, ...host }): ListedHost => host)
      return own === undefined ? [...listed, withoutIncarnation(self)] : listed
    },
    checkRegistration (hosts) {
      const own = hosts.find(each => each.host === self.host)
      if (own?.ip === self.ip && own.port === self.port) return
      void store.getObject(source.objectKind, self.host)
        .then(async object => { await register(object?.version ?? 0) })
        .catch(ignoreStore)
    }
  }
}

function withoutIncarnation ({ incarnation: _, ...host }: Registration): ListedHost {
  return host
}

// Tried again at the next listing.
function ignoreStore (error: unknown): undefined {
  if (!(error instanceof StoreError)) throw error
  return undefined
}

function decoded (object: StoredObject): readonly Registration[] {
  const parsed = hostSchema.safeParse(object.value)
  return parsed.success ? [{ host: object.name, ...parsed.data }] : []
}
