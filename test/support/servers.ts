// Direct access to the database servers of a set, bypassing all proxies.

import { serverStatus } from '../../standins/set/controls.js'
import type { LocalServer, LocalSet } from '../../standins/set/local-set.js'
import { until } from './until.js'

/** Waits until a primary has the highest fenced term among the servers of its database. */
export async function primaryOf (set: LocalSet, database = set.options.databases[0] ?? ''): Promise<LocalServer> {
  return await until(`a primary of ${database}`, async () => {
    const servers = set.servers.filter(server => server.database === database)
    const statuses = await Promise.all(servers.map(async server => ({ server, status: await serverStatus(server.address).catch(() => undefined) })))
    const highest = Math.max(...statuses.map(each => each.status?.fencedTerm ?? 0))
    return statuses.find(each => each.status?.role === 'primary' && each.status.fencedTerm === highest)?.server
  })
}
