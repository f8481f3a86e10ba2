// What a test sees of a set's database servers, past all proxies.

import { serverStatus } from '../../standins/set/controls.js'
import type { LocalServer, LocalSet } from '../../standins/set/local-set.js'
import { until } from './until.js'

/** The server that leads a database: the primary of the highest term. */
export async function primaryOf (set: LocalSet, database = set.options.databases[0] ?? ''): Promise<LocalServer> {
  return await until(`a primary of ${database}`, async () => {
    const servers = set.servers.filter(server => server.database === database)
    const seen = await Promise.all(servers.map(async server => ({ server, status: await serverStatus(server.address).catch(() => undefined) })))
    const highest = Math.max(...seen.map(each => each.status?.fencedTerm ?? 0))
    return seen.find(each => each.status?.role === 'primary' && each.status.fencedTerm === highest)?.server
  })
}
