// Ports for MySQL callers, MySQL servers and the product's own store.

import { checkManifest, redirectedAddress, type Settings } from '../config/index.js'
import { mysqlSessionRules } from '../request/index.js'
import type { ProxyPorts } from '../ports/index.js'
import { decodeAcceptedManifest } from './accepted-manifest.js'
import { openSession } from './database-client.js'
import { listenForCallers } from './mysql-front.js'
import { platformClient } from './platform-client.js'

/** Kind and name of the accepted manifest in the store. */
export const manifestObject = { kind: 'manifest', name: 'current' } as const

/**
 * Creates the ports.
 * @param settings - the settings of this host
 * @returns the ports
 */
export function mysqlPorts (settings: Settings): ProxyPorts {
  const platform = platformClient({
    url: settings.platform.url,
    callTimeoutMs: settings.platform.callTimeoutMs,
    redirect: address => redirectedAddress(settings.links, address)
  })
  return {
    frontEnd: { rules: mysqlSessionRules, listen: listenForCallers },
    driver: {
      openSession: async (target, timers, timeoutMs) => await openSession(target.address, settings.databaseLogin, timers, timeoutMs),
      minPositionCheck: 'dispatcher',
      statusDelivery: 'pushed',
      locking: 'locks',
      sessionSharing: 'allAccounts'
    },
    store: platform,
    manifest: { ...manifestObject, decode: decodeAcceptedManifest, check: checkManifest },
    hosts: { kind: 'listed', list: async () => (await platform.hosts()).map(({ address, ...host }) => ({ ...host, ...address })) },
    servers: { kind: 'declared' },
    promotionMethod: { kind: 'byQuorum' }
  }
}
